//! `skylarkwinch demo`: runs all entries of a deployment in one process, with stand-in
//! targets, sends requests and moves one instance.

use crate::cmd::explain::print_note;
use crate::config::{self, Client};
use crate::util::{self, Error, Result};
use ::entry::http::operators::{Batch, Notes};
use ::entry::{Listeners, Process, Settings};
use argh::FromArgs;
use async_std::task;
use fleet::{Change, Outcome};
use metrics_exporter_prometheus::PrometheusHandle;
use record::{Document, Kind};
use serde::Deserialize;
use standin::Target;
use standin::client::Call;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Longest wait for the condition that ends a step of the demo.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a stand-in target takes for a request.
const REQUEST_WORK_TIME: Duration = Duration::from_millis(5);

/// Run a deployment in one process: its entries on loopback sockets, stand-in
/// targets for its instances, its records, requests of its kinds, one move. Ports
/// and data folders are temporary.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Args {
    /// folder of the deployment, for instance examples/cadena-fria
    #[argh(positional)]
    folder: PathBuf,
}

/// Contents of the deployment's `demo.yaml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Script {
    requests: Vec<Requests>,
    #[serde(rename = "move")]
    instance_move: InstanceMove,
}

/// Requests to one pool; each body gets its number appended.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Requests {
    pool: String,
    path: String,
    body: String,
    count: usize,
}

/// The instance to move and its new pool.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct InstanceMove {
    instance: String,
    to: String,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    let settings = load_settings(&args.folder)?;
    let documents = load_documents(&args.folder)?;
    let script = load_script(&args.folder)?;
    let metrics = config::start_metrics()?;
    task::block_on(run_demo(settings, documents, script, metrics))
}

async fn run_demo(
    settings: Vec<Settings>,
    documents: Vec<Document>,
    script: Script,
    metrics: PrometheusHandle,
) -> Result<()> {
    let scratch = tempfile::tempdir().map_err(|error| Error::Io("temp folder".into(), error))?;
    let entries = start_entries(settings, scratch.path(), &metrics).await?;
    println!("{} entries started; waiting until all have joined", entries.len());
    wait_until("all entries are members", || entries.iter().all(Entry::sees_all_members)).await?;

    println!("all have joined; submitting {} records", documents.len());

    let operator = operator(&entries);
    let index = submit(&operator, "demo-records", put_all(&documents)).await?;
    let start = Instant::now();
    wait_until("the records are in force", || entries.iter().all(|e| e.applied() >= index)).await?;
    println!("{} records in force at every entry after {:?}", documents.len(), start.elapsed());

    let targets = start_targets(&entries, &documents).await?;
    wait_until("every target is routed to", || count_routed(&entries) == targets.len()).await?;
    println!("{} stand-in targets announced and routed to", targets.len());

    send_requests(&entries, &script.requests).await?;
    move_instance(&entries, &operator, &documents, &script.instance_move).await?;

    for target in targets {
        target.stop().await;
    }
    for entry in entries {
        entry.process.stop().await;
    }
    println!("stopped gracefully");
    Ok(())
}

fn load_settings(folder: &Path) -> Result<Vec<Settings>> {
    let mut all = Vec::new();
    for path in util::yaml_files(&folder.join("entries"))? {
        let text = util::read_file(&path)?;
        let parsed = Settings::parse(&text, folder);
        all.push(parsed.map_err(|field_errors| Error::in_file(&path, &field_errors))?);
    }
    Ok(all)
}

fn load_documents(folder: &Path) -> Result<Vec<Document>> {
    let mut all = Vec::new();
    for path in util::yaml_files(&folder.join("records"))? {
        let parsed = record::document::parse_all(&util::read_file(&path)?);
        all.extend(parsed.map_err(|field_errors| Error::in_file(&path, &field_errors))?);
    }
    Ok(all)
}

fn load_script(folder: &Path) -> Result<Script> {
    let path = folder.join("demo.yaml");
    serde_norway::from_str(&util::read_file(&path)?)
        .map_err(|error| Error::Input(vec![format!("{}: {error}", path.display())]))
}

/// A running entry, its settings with the addresses that it is bound to, and the number of
/// entries of the deployment.
struct Entry {
    process: Process,
    settings: Settings,
    entry_count: usize,
}

impl Entry {
    fn applied(&self) -> fleet::Index {
        self.process.shared().fleet.read().expect("no holder panics").applied()
    }

    fn sees_all_members(&self) -> bool {
        let fleet = self.process.shared().fleet.read().expect("no holder panics");
        fleet.members().len() == self.entry_count
    }

    fn data_centre(&self) -> &str {
        &self.settings.own().data_centre
    }
}

async fn start_entries(
    mut settings: Vec<Settings>,
    scratch: &Path,
    metrics: &PrometheusHandle,
) -> Result<Vec<Entry>> {
    let mut bound_listeners = Vec::new();
    let mut peers = BTreeMap::new();
    for settings in &mut settings {
        let listeners = bind_to_free_ports(settings).await?;
        peers.insert(settings.name.clone(), bound_address(&listeners.peers)?);
        settings.listen.callers = bound_address(&listeners.callers)?;
        settings.listen.targets = bound_address(&listeners.targets)?;
        settings.listen.operators = bound_address(&listeners.operators)?;
        bound_listeners.push(listeners);
    }
    let mut entries = Vec::new();
    for (mut settings, listeners) in settings.into_iter().zip(bound_listeners) {
        for peer in &mut settings.entries {
            peer.address = peers.get(&peer.name).copied().unwrap_or(peer.address);
        }
        if settings.data_folder.is_some() {
            let folder = scratch.join(&settings.name);
            std::fs::create_dir(&folder)
                .map_err(|error| Error::Io(folder.display().to_string(), error))?;
            settings.data_folder = Some(folder);
        }
        let process = Process::start(settings.clone(), listeners, metrics.clone())
            .map_err(|error| Error::NotTaken(error.to_string()))?;
        entries.push(Entry { process, settings, entry_count: peers.len() });
    }
    Ok(entries)
}

async fn bind_to_free_ports(settings: &Settings) -> Result<Listeners> {
    let mut any_port = settings.clone();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    any_port.listen.callers = address;
    any_port.listen.targets = address;
    any_port.listen.operators = address;
    for peer in &mut any_port.entries {
        peer.address = address;
    }
    Listeners::bind(&any_port).await.map_err(|error| Error::NotTaken(error.to_string()))
}

fn bound_address(listener: &async_std::net::TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|error| Error::Io("socket".to_string(), error))
}

/// Polls a condition until it is met; fails after `STEP_TIMEOUT`.
async fn wait_until(what: &str, condition: impl Fn() -> bool) -> Result<()> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > STEP_TIMEOUT {
            return Err(Error::NotTaken(format!("timed out waiting until {what}")));
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn put_all(documents: &[Document]) -> Vec<Change> {
    documents.iter().cloned().map(Change::Put).collect()
}

/// Returns a client that acts as the first operator of the settings, at the first entry.
fn operator(entries: &[Entry]) -> Client {
    let settings = &entries[0].settings;
    let token = String::from_utf8_lossy(settings.operators[0].token.bytes()).into_owned();
    Client::with_token(settings.listen.operators, token)
}

async fn submit(operator: &Client, id: &str, changes: Vec<Change>) -> Result<fleet::Index> {
    let batch = Batch { id: id.to_string(), changes };
    match operator.submit(&batch, STEP_TIMEOUT).await? {
        Outcome::Accepted { index, .. } => Ok(index),
        refusal => Err(Error::Refused(refusal.to_string())),
    }
}

async fn start_targets(entries: &[Entry], documents: &[Document]) -> Result<Vec<Target>> {
    let mut targets = Vec::new();
    for document in documents {
        let Some(instance) = document.check().ok().and_then(|spec| spec.instance()) else {
            continue;
        };
        let local_entries: Vec<&Entry> =
            entries.iter().filter(|entry| entry.data_centre() == instance.data_centre).collect();
        let first = local_entries.first().ok_or_else(|| {
            Error::Refused(format!("no entry in data centre \"{}\"", instance.data_centre))
        })?;
        let token = first.settings.target_token.bytes();
        let settings = standin::Settings {
            instance: document.name.clone(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entries: local_entries.iter().map(|entry| entry.settings.listen.targets).collect(),
            token: String::from_utf8_lossy(token).into_owned(),
            work: REQUEST_WORK_TIME,
            slots: instance.slots as usize,
        };
        let started = Target::start(settings).await;
        targets.push(started.map_err(|error| Error::Io("stand-in target".to_string(), error))?);
    }
    Ok(targets)
}

/// Counts the targets that every entry of their data centre routes to.
fn count_routed(entries: &[Entry]) -> usize {
    let mut entry_counts: BTreeMap<(&str, String), usize> = BTreeMap::new();
    for entry in entries {
        let table = entry.process.shared().table.load();
        for target in table.pools.values().flat_map(|pool| &pool.targets) {
            *entry_counts.entry((entry.data_centre(), target.instance.clone())).or_default() += 1;
        }
    }
    let entries_in = |data_centre: &str| {
        entries.iter().filter(|entry| entry.data_centre() == data_centre).count()
    };
    entry_counts
        .iter()
        .filter(|((data_centre, _), count)| **count == entries_in(data_centre))
        .count()
}

async fn send_requests(entries: &[Entry], all: &[Requests]) -> Result<()> {
    for requests in all {
        let mut answered = 0;
        let mut last_answer = String::new();
        let start = Instant::now();
        for number in 0..requests.count {
            let entry = &entries[number % entries.len()];
            let path = format!("/pools/{}/{}", requests.pool, requests.path);
            let body = format!("{} #{number}", requests.body);
            let call = Call::new(entry.settings.listen.callers, path).post(body);
            let answer = call.send().await.map_err(|error| Error::Unknown(error.to_string()))?;
            if answer.header("request-outcome") == "answered" {
                answered += 1;
            }
            last_answer = answer.text();
        }
        let elapsed = start.elapsed();
        println!("{}: {answered} of {} answered in {elapsed:?}", requests.pool, requests.count);
        println!("    last answer: {}", last_answer.trim());
    }
    Ok(())
}

async fn move_instance(
    entries: &[Entry],
    operator: &Client,
    documents: &[Document],
    instance_move: &InstanceMove,
) -> Result<()> {
    let is_moved_instance = |document: &&Document| {
        document.kind == Kind::Instance && document.name == instance_move.instance
    };
    let Some(document) = documents.iter().find(is_moved_instance) else {
        return Err(Error::Input(vec![format!(
            "move.instance: no record \"{}\"",
            instance_move.instance
        )]));
    };
    let mut document = document.clone();
    document.revision = Some(1);
    document.spec["pool"] = instance_move.to.clone().into();
    let key = document.key();
    submit(operator, "demo-move", vec![Change::Put(document)]).await?;
    let has_moved = |entry: &Entry| {
        let fleet = entry.process.shared().fleet.read().expect("no holder panics");
        let placement = fleet.placements().get(&instance_move.instance);
        placement
            .is_some_and(|place| place.pool == instance_move.to && place.pending_move.is_none())
    };
    wait_until("the move has ended", || entries.iter().all(has_moved)).await?;
    println!("\nwhat was decided about instance {}, and why:", instance_move.instance);
    let path = format!("/journal?kind={}&name={}", key.kind, key.name);
    for note in &operator.get::<Notes>(&path).await?.notes {
        print_note(note);
    }
    Ok(())
}
