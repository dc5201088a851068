//! `skylarkwinch explain`: prints decisions and their reasons, from the journal of an entry
//! or from a core process.

use crate::config::{self, Client};
use crate::util::{self, Error, Result};
use argh::FromArgs;
use async_std::task;
use entry::http::operators::Notes;
use fleet::journal::{Author, Note};
use jobs::Decision;
use record::Kind;
use standin::client::Call;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

/// Show what was decided and why.
///
/// The subject is `instance NAME`, `pool NAME`, `record KIND NAME`, `decision
/// NUMBER` or `since NUMBER`, which exports all notes from a number on. With --core
/// it is `configuration`, `wave NUMBER`, `machine NAME`, `job NAME`, `account NAME`, or nothing
/// for all decisions.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Args {
    /// instance NAME | pool NAME | record KIND NAME | decision NUMBER | since NUMBER
    #[argh(positional)]
    subject: Vec<String>,
    /// status address of a core process, which explains machines, waves, jobs and the
    /// configuration of queues
    #[argh(option)]
    core: Option<SocketAddr>,
    /// operators' address of an entry
    #[argh(option)]
    entry: Option<String>,
    /// operator's token
    #[argh(option)]
    token: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    if let Some(core) = args.core {
        return explain_core(core, &args.subject.join(" "), args.json);
    }
    let path = journal_path(&args.subject)?;
    let client = Client::new(args.entry, args.token)?;
    let notes: Notes = task::block_on(client.get(&path))?;
    if notes.notes.is_empty() {
        let subject = args.subject.join(" ");
        return Err(Error::Missing(format!("no decision about {subject} is kept")));
    }
    if args.json {
        return util::print_json(&notes);
    }
    for note in &notes.notes {
        print_note(note);
    }
    if !notes.as_of.current {
        eprintln!("note: entry {} may be cut off", notes.as_of.entry);
    }
    Ok(())
}

/// Prints the decisions about a subject that a core process keeps.
fn explain_core(core: SocketAddr, subject: &str, json: bool) -> Result<()> {
    let query = if subject.is_empty() { "" } else { "?about=" };
    let call = Call::new(core, format!("/decisions{query}{}", subject.replace(' ', "+")));
    let answer = task::block_on(call.send());
    let answer = answer.map_err(|error| Error::NotTaken(format!("core at {core}: {error}")))?;
    let decisions: Vec<Decision> = config::parse(&answer)?;
    if decisions.is_empty() {
        return Err(Error::Missing(format!("no decision about {subject} is kept")));
    }
    if json {
        return util::print_json(&decisions);
    }
    for Decision { at, subject, text } in &decisions {
        let at = SystemTime::UNIX_EPOCH + Duration::from_millis(*at);
        println!("{} {subject}: {text}", util::format_time(at));
    }
    Ok(())
}

/// Returns the path of the journal query for a subject of the command line.
fn journal_path(subject: &[String]) -> Result<String> {
    let words: Vec<&str> = subject.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["instance", name] => Ok(format!("/journal?kind=instance&name={name}")),
        ["pool", name] => Ok(format!("/journal?kind=pool&name={name}")),
        ["record", kind, name] if Kind::parse(kind).is_some() => {
            Ok(format!("/journal?kind={kind}&name={name}"))
        }
        ["decision", number] => Ok(format!("/journal?id={}", parse_number(number)?)),
        ["since", number] => Ok(format!("/journal?since={}", parse_number(number)?)),
        _ => Err(Error::Input(vec![
            "SUBJECT: must be instance NAME, pool NAME, record KIND NAME, decision NUMBER or \
             since NUMBER"
                .to_string(),
        ])),
    }
}

fn parse_number(text: &str) -> Result<u64> {
    text.parse().map_err(|_| Error::Input(vec![format!("NUMBER: \"{text}\" is not a number")]))
}

/// Prints a journal note as text.
pub fn print_note(note: &Note) {
    let author = match &note.author {
        Author::Operator(name) => format!("operator \"{name}\""),
        Author::Rule(name) => format!("rule {name}"),
    };
    println!(
        "{} {} (decision {}, index {})",
        util::format_time(note.at),
        note.event,
        note.id,
        note.index
    );
    println!("    by {author}: {}", note.reason);
    for source in note.based_on.iter().filter(|source| source.revision > 0) {
        println!("    rests on {} revision {}", source.key, source.revision);
    }
    for rejected in &note.rejected {
        println!("    not done: {}, because {}", rejected.choice, rejected.reason);
    }
}
