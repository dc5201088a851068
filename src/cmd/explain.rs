//! `skylarkwinch explain`: prints decisions and their reasons, from the journal of an entry
//! or from a core process.

use crate::config::{self, Client};
use crate::util::{self, Error, Result};
use argh::FromArgs;
use async_std::task;
use control::core::place::{Described, Placing, Question};
use entry::http::operators::Notes;
use fleet::journal::{Author, Note};
use jobs::Decision;
use record::Kind;
use standin::client::Call;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// Show what was decided and why.
///
/// The subject is `instance NAME`, `pool NAME`, `record KIND NAME`, `decision
/// NUMBER` or `since NUMBER`, which exports all notes from a number on. With --core
/// it is `configuration`, `wave NUMBER`, `machine NAME`, `job NAME`, `account NAME`, or nothing
/// for all decisions; `place job NAME`, or `place queue NAME` with --job, tells where the units of
/// a job run, or would go now, and why. Nothing is sent or stored.
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
    /// file with a job as a client would submit it, for `place queue NAME`
    #[argh(option)]
    job: Option<PathBuf>,
    /// account that would submit it
    #[argh(option)]
    account: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    if let Some(core) = args.core {
        if args.subject.first().is_some_and(|word| word == "place") {
            return explain_place(core, &args);
        }
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

/// Prints where the units of a job run or would go now.
fn explain_place(core: SocketAddr, args: &Args) -> Result<()> {
    let question = place_question(args)?;
    let body = serde_json::to_vec(&question).expect("the value can be serialized");
    let answer = task::block_on(Call::new(core, "/place").post(body).send());
    let answer = answer.map_err(|error| Error::NotTaken(format!("core at {core}: {error}")))?;
    let placing: Placing = config::parse(&answer)?;
    if args.json {
        return util::print_json(&placing);
    }
    print!("{}", place_text(&placing));
    Ok(())
}

/// Returns the question of the command line.
fn place_question(args: &Args) -> Result<Question> {
    let words: Vec<&str> = args.subject.iter().map(String::as_str).collect();
    let invalid = |text: String| Error::Input(vec![text]);
    match (words.as_slice(), &args.job) {
        (["place", "job", name], None) => Ok(Question::Job(name.to_string())),
        (["place", "queue", queue], Some(path)) => {
            let text = util::read_file(path)?;
            let job = platform::job::decode(text.as_bytes());
            let job = job.map_err(|error| invalid(format!("{}: {error}", path.display())))?;
            let (queue, account) = (queue.to_string(), args.account.clone());
            Ok(Question::Described(Box::new(Described { queue, account, job })))
        }
        _ => Err(invalid(
            "SUBJECT: must be place job NAME, or place queue NAME with --job FILE".into(),
        )),
    }
}

/// Describes where the units of a job run or would go now, one fact a line.
fn place_text(placing: &Placing) -> String {
    let account = placing.account.as_deref().unwrap_or("none");
    let mut text = format!("queue {}, pool {}, account {account}\n", placing.queue, placing.pool);
    if placing.is_excess {
        text += "beyond what the account is owed: goes after the others\n";
    }
    if let Some(refused_for) = placing.refused_for {
        text += &format!("would be refused, with a return after {} s\n", refused_for.as_secs());
    }
    for step in &placing.steps {
        let (occurrence, number) = step.step;
        text += &format!(
            "occurrence {occurrence}, step {number}: {} units run, {} would start now, {} wait; a \
             unit takes about {} ms\n",
            step.running.len(),
            step.starting.len(),
            step.waiting,
            step.run_time.as_millis()
        );
        for (unit, worker) in &step.running {
            text += &format!("  unit {unit} runs on {worker}\n");
        }
        for (unit, worker) in &step.starting {
            text += &format!("  unit {unit} would start on {worker}\n");
        }
        if let Some((rank, total)) = step.rank {
            let work = step.work_before;
            text += &format!("  rank {rank} of {total}; {work:.1} core-seconds go before\n");
        }
        if step.waiting > 0 {
            text += &match step.expected_start {
                Some(wait) => format!("  expected to begin in about {} ms\n", wait.as_millis()),
                None => "  nothing that runs is expected to make room by its end\n".to_string(),
            };
        }
        for reason in &step.reasons {
            text += &format!("  waits: {reason}\n");
        }
        text += &format!("  workers that could take a unit now: {}\n", step.candidates);
        for (reason, count) in &step.excluded {
            text += &format!("  {count} workers could not: {reason}\n");
        }
    }
    text
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
