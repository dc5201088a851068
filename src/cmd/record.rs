//! `skylarkwinch record`: submits, amends, withdraws and reads records.

use crate::config::Client;
use crate::util::{self, Error, Result};
use ::record::{Document, Key, Kind};
use argh::FromArgs;
use async_std::task;
use entry::dump::Status;
use entry::http::operators::{Batch, Records};
use fleet::command::Withdrawal;
use fleet::{Change, Outcome, StoredRecord};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest time for which a submission is resent while it is not decided; an election takes
/// about two seconds.
const RESEND_TIMEOUT: Duration = Duration::from_secs(6);
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Submit, amend, withdraw and read records.
#[derive(FromArgs)]
#[argh(subcommand, name = "record")]
pub struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Submit(SubmitArgs),
    Amend(AmendArgs),
    Withdraw(WithdrawArgs),
    Dismiss(DismissArgs),
    Get(GetArgs),
    List(ListArgs),
}

/// Submit new records; all files are one batch, applied whole or not at all.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
struct SubmitArgs {
    /// record files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// submission id; a resend repeats it (default: a random one)
    #[argh(option)]
    id: Option<String>,
    /// wait until it is in force at every entry, at most this many seconds
    #[argh(option)]
    wait: Option<u64>,
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

/// Amend records; each document names the revision that it replaces.
#[derive(FromArgs)]
#[argh(subcommand, name = "amend")]
struct AmendArgs {
    /// record files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// submission id; a resend repeats it (default: a random one)
    #[argh(option)]
    id: Option<String>,
    /// wait until it is in force at every entry, at most this many seconds
    #[argh(option)]
    wait: Option<u64>,
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

/// Withdraw a record; a tombstone stays, so that an old copy can't come back.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
struct WithdrawArgs {
    /// kind of the record
    #[argh(positional)]
    kind: String,
    /// name of the record
    #[argh(positional)]
    name: String,
    /// revision that you saw
    #[argh(option)]
    revision: u64,
    /// submission id; a resend repeats it (default: a random one)
    #[argh(option)]
    id: Option<String>,
    /// wait until it is in force at every entry, at most this many seconds
    #[argh(option)]
    wait: Option<u64>,
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

/// Declare that an entry process was stopped for good, so that no move waits for
/// it. Only after it is certain that the process is gone.
#[derive(FromArgs)]
#[argh(subcommand, name = "dismiss")]
struct DismissArgs {
    /// name of the entry that is gone
    #[argh(positional)]
    gone: String,
    /// submission id; a resend repeats it (default: a random one)
    #[argh(option)]
    id: Option<String>,
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

/// Show one record as YAML that can be amended.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct GetArgs {
    /// kind of the record
    #[argh(positional)]
    kind: String,
    /// name of the record
    #[argh(positional)]
    name: String,
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

/// List records.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {
    /// only this kind
    #[argh(positional)]
    kind: Option<String>,
    /// withdrawn records too
    #[argh(switch)]
    withdrawn: bool,
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
    match args.command {
        Command::Submit(args) => {
            let changes = load_changes(&args.files, false)?;
            let client = Client::new(args.entry, args.token)?;
            task::block_on(submit(&client, Submission::new(args.id, changes, args.wait, args.json)))
        }
        Command::Amend(args) => {
            let changes = load_changes(&args.files, true)?;
            let client = Client::new(args.entry, args.token)?;
            task::block_on(submit(&client, Submission::new(args.id, changes, args.wait, args.json)))
        }
        Command::Withdraw(args) => {
            let key = Key::new(parse_kind(&args.kind)?, args.name);
            let changes = vec![Change::Withdraw(Withdrawal { key, revision: args.revision })];
            let client = Client::new(args.entry, args.token)?;
            task::block_on(submit(&client, Submission::new(args.id, changes, args.wait, args.json)))
        }
        Command::Dismiss(args) => {
            let changes = vec![Change::Dismiss(args.gone)];
            let client = Client::new(args.entry, args.token)?;
            task::block_on(submit(&client, Submission::new(args.id, changes, None, args.json)))
        }
        Command::Get(args) => task::block_on(get(args)),
        Command::List(args) => task::block_on(list(args)),
    }
}

/// A submission with the options of the command line.
struct Submission {
    batch: Batch,
    wait: Option<Duration>,
    json: bool,
}

impl Submission {
    fn new(id: Option<String>, changes: Vec<Change>, wait: Option<u64>, json: bool) -> Submission {
        let id = id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let wait = wait.map(Duration::from_secs);
        Submission { batch: Batch { id, changes }, wait, json }
    }
}

/// Reads record files as one batch and checks each document; reports all errors together.
fn load_changes(files: &[PathBuf], amend: bool) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    let mut field_errors = Vec::new();
    for path in files {
        let text = util::read_file(path)?;
        let documents = match ::record::document::parse_all(&text) {
            Ok(documents) => documents,
            Err(found) => {
                field_errors.extend(
                    found.iter().map(|field_error| format!("{}: {field_error}", path.display())),
                );
                continue;
            }
        };
        for document in documents {
            let found = document_field_errors(&document, amend);
            let name = format!("{}: {}", path.display(), document.key());
            field_errors.extend(found.iter().map(|field_error| format!("{name}: {field_error}")));
            changes.push(Change::Put(document));
        }
    }
    if changes.is_empty() && field_errors.is_empty() {
        field_errors.push("FILES: hold no record".to_string());
    }
    if field_errors.is_empty() { Ok(changes) } else { Err(Error::Input(field_errors)) }
}

fn document_field_errors(document: &Document, amend: bool) -> Vec<::record::FieldError> {
    let mut field_errors = document.check().err().unwrap_or_default();
    if amend && document.revision.is_none() {
        field_errors
            .push(::record::FieldError::new("revision", "is missing; it names what is replaced"));
    }
    field_errors
}

async fn submit(client: &Client, submission: Submission) -> Result<()> {
    let result = client.submit(&submission.batch, RESEND_TIMEOUT).await?;
    if submission.json {
        util::print_json(&result)?;
    } else if matches!(result, Outcome::Accepted { .. }) {
        println!("{result}");
    }
    match (&result, submission.wait) {
        (Outcome::Accepted { index, .. }, Some(max_wait)) => {
            wait_until_applied(client, *index, max_wait, submission.json).await
        }
        (Outcome::Accepted { .. }, None) => Ok(()),
        _ => Err(Error::Refused(result.to_string())),
    }
}

/// Waits until every entry that is connected or a member has applied an index.
async fn wait_until_applied(
    client: &Client,
    index: fleet::Index,
    max_wait: Duration,
    json: bool,
) -> Result<()> {
    let start = Instant::now();
    loop {
        let status: Status = client.get("/status").await?;
        let awaited_entries =
            || status.entries.iter().filter(|entry| entry.member || entry.connected);
        let missing: Vec<&str> = awaited_entries()
            .filter(|entry| entry.applied < index)
            .map(|entry| entry.entry.as_str())
            .collect();
        if missing.is_empty() {
            let count = awaited_entries().count();
            if !json {
                println!("in force at {count} entries after {:?}", start.elapsed());
            }
            return Ok(());
        }
        if start.elapsed() > max_wait {
            let missing = missing.join(", ");
            return Err(Error::Unknown(format!("accepted, but not yet in force at {missing}")));
        }
        task::sleep(WAIT_POLL_INTERVAL).await;
    }
}

async fn get(args: GetArgs) -> Result<()> {
    let kind = parse_kind(&args.kind)?;
    let client = Client::new(args.entry, args.token)?;
    let records: Records = client.get(&format!("/records/{kind}/{}", args.name)).await?;
    if args.json {
        return util::print_json(&records);
    }
    for stored in &records.records {
        print_record(stored);
    }
    print_as_of(&records);
    Ok(())
}

async fn list(args: ListArgs) -> Result<()> {
    let mut path = format!("/records?withdrawn={}", args.withdrawn);
    if let Some(kind) = &args.kind {
        path += &format!("&kind={}", parse_kind(kind)?);
    }
    let client = Client::new(args.entry, args.token)?;
    let records: Records = client.get(&path).await?;
    if args.json {
        return util::print_json(&records);
    }
    for stored in &records.records {
        let key = stored.document.key();
        let state = if stored.withdrawn { " withdrawn" } else { "" };
        println!("{key} schema {} revision {}{state}", stored.document.schema, stored.revision);
    }
    print_as_of(&records);
    Ok(())
}

fn print_record(stored: &StoredRecord) {
    let mut document = stored.document.clone();
    document.revision = Some(stored.revision);
    let state = if stored.withdrawn { "withdrawn" } else { "in force" };
    println!("# {state}, by operator \"{}\" at {}", stored.operator, util::format_time(stored.at));
    print!("{}", serde_norway::to_string(&document).expect("a document can be serialized"));
}

fn print_as_of(records: &Records) {
    let as_of = &records.as_of;
    if !as_of.current {
        eprintln!(
            "note: entry {} may be cut off; this is what it has in force at index {}",
            as_of.entry, as_of.index
        );
    }
}

fn parse_kind(text: &str) -> Result<Kind> {
    Kind::parse(text).ok_or_else(|| {
        let known = Kind::ALL.map(|kind| kind.to_string()).join(", ");
        Error::Input(vec![format!("KIND: \"{text}\" does not exist, known are {known}")])
    })
}
