//! Runs a deployment in one process, for a newcomer.

use crate::cmd::explain::print_note;
use crate::config;
use crate::util::{self, Error, Result};
use ::entry::http::operators::{Batch, Notes, Submitted};
use ::entry::{Listeners, Process, Settings};
use argh::FromArgs;
use async_std::task;
use fleet::{Change, Outcome};
use metrics_exporter_prometheus::PrometheusHandle;
use record::{Document, Key, Kind};
use serde::Deserialize;
use standin::Target;
use standin::client::{Answer, Call};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Longest wait for each step of the demo.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);
/// Time that a stand-in target works on a request.
const WORK: Duration = Duration::from_millis(5);

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

/// What the demo sends.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Script {
    requests: Vec<Requests>,
    #[serde(rename = "move")]
    step: Step,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Requests {
    pool: String,
    path: String,
    body: String,
    count: usize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    instance: String,
    to: String,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    let settings = load_settings(&args.folder)?;
    let documents = load_documents(&args.folder)?;
    let script = load_script(&args.folder)?;
    let metrics = config::start_metrics()?;
    task::block_on(play(settings, documents, script, metrics))
}

async fn play(
    settings: Vec<Settings>,
    documents: Vec<Document>,
    script: Script,
    metrics: PrometheusHandle,
) -> Result<()> {
    let scratch = tempfile::tempdir().map_err(|error| Error::Io("temp folder".into(), error))?;
    let entries = start_entries(settings, scratch.path(), &metrics).await?;
    println!("{} entries started; waiting until all have joined", entries.len());
    until("all entries are members", || entries.iter().all(Entry::sees_all_members)).await?;

    let operator = Operator::new(&entries);
    let index = operator.submit("demo-records", put(&documents)).await?;
    let start = Instant::now();
    until("the records are in force", || entries.iter().all(|e| e.applied() >= index)).await?;
    println!("{} records in force at every entry after {:?}", documents.len(), start.elapsed());

    let targets = start_targets(&entries, &documents).await?;
    until("every target is routed to", || routed(&entries) == targets.len()).await?;
    println!("{} stand-in targets announced and routed to", targets.len());

    send_requests(&entries, &script.requests).await?;
    move_instance(&entries, &operator, &documents, &script.step).await?;

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
        let text = util::read(&path)?;
        let parsed = Settings::parse(&text, folder);
        all.push(parsed.map_err(|field_errors| Error::in_file(&path, &field_errors))?);
    }
    Ok(all)
}

fn load_documents(folder: &Path) -> Result<Vec<Document>> {
    let mut all = Vec::new();
    for path in util::yaml_files(&folder.join("records"))? {
        let parsed = record::document::parse_all(&util::read(&path)?);
        all.extend(parsed.map_err(|field_errors| Error::in_file(&path, &field_errors))?);
    }
    Ok(all)
}

fn load_script(folder: &Path) -> Result<Script> {
    let path = folder.join("demo.yaml");
    serde_norway::from_str(&util::read(&path)?)
        .map_err(|error| Error::Input(vec![format!("{}: {error}", path.display())]))
}

/// A running entry with the addresses that it was given.
struct Entry {
    process: Process,
    settings: Settings,
    peers: usize,
}

impl Entry {
    fn applied(&self) -> fleet::Index {
        self.process.shared().fleet.read().expect("no holder panics").applied()
    }

    fn sees_all_members(&self) -> bool {
        let fleet = self.process.shared().fleet.read().expect("no holder panics");
        fleet.members().len() == self.peers
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
    let mut bounds = Vec::new();
    let mut peers = BTreeMap::new();
    for settings in &mut settings {
        let bound = bind_anywhere(settings).await?;
        peers.insert(settings.name.clone(), local(&bound.peers)?);
        settings.listen.callers = local(&bound.callers)?;
        settings.listen.targets = local(&bound.targets)?;
        settings.listen.operators = local(&bound.operators)?;
        bounds.push(bound);
    }
    let mut entries = Vec::new();
    for (mut settings, bound) in settings.into_iter().zip(bounds) {
        for peer in &mut settings.entries {
            peer.address = peers.get(&peer.name).copied().unwrap_or(peer.address);
        }
        if settings.data_folder.is_some() {
            let folder = scratch.join(&settings.name);
            std::fs::create_dir(&folder)
                .map_err(|error| Error::Io(folder.display().to_string(), error))?;
            settings.data_folder = Some(folder);
        }
        let process = Process::start(settings.clone(), bound, metrics.clone())
            .map_err(|error| Error::NotTaken(error.to_string()))?;
        entries.push(Entry { process, settings, peers: peers.len() });
    }
    Ok(entries)
}

async fn bind_anywhere(settings: &Settings) -> Result<Listeners> {
    let mut anywhere = settings.clone();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    anywhere.listen.callers = address;
    anywhere.listen.targets = address;
    anywhere.listen.operators = address;
    for peer in &mut anywhere.entries {
        peer.address = address;
    }
    Listeners::bind(&anywhere).await.map_err(|error| Error::NotTaken(error.to_string()))
}

fn local(listener: &async_std::net::TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|error| Error::Io("socket".to_string(), error))
}

/// Waits for a condition.
async fn until(what: &str, condition: impl Fn() -> bool) -> Result<()> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > STEP_TIMEOUT {
            return Err(Error::NotTaken(format!("gave up waiting until {what}")));
        }
        task::sleep(POLL).await;
    }
    Ok(())
}

fn put(documents: &[Document]) -> Vec<Change> {
    documents.iter().cloned().map(Change::Put).collect()
}

/// The first operator of the settings, at the first entry.
struct Operator {
    address: SocketAddr,
    token: String,
}

impl Operator {
    fn new(entries: &[Entry]) -> Operator {
        let settings = &entries[0].settings;
        let token = String::from_utf8_lossy(settings.operators[0].token.bytes()).into_owned();
        Operator { address: settings.listen.operators, token }
    }

    async fn submit(&self, id: &str, changes: Vec<Change>) -> Result<fleet::Index> {
        let batch = Batch { id: id.to_string(), changes };
        let body = serde_json::to_vec(&batch).expect("a batch serialises to memory");
        let answer = self.send(Call::new(self.address, "/submissions").post(body)).await?;
        match serde_json::from_slice(&answer.body) {
            Ok(Submitted::Decided { result: Outcome::Accepted { index, .. } }) => Ok(index),
            _ => Err(Error::Refused(answer.text())),
        }
    }

    async fn explain(&self, key: &Key) -> Result<Notes> {
        let path = format!("/journal?kind={}&name={}", key.kind, key.name);
        config::parse(&self.send(Call::new(self.address, path)).await?)
    }

    async fn send(&self, call: Call) -> Result<Answer> {
        let answer = call.token(&self.token).send().await;
        answer.map_err(|error| Error::Unknown(error.to_string()))
    }
}

async fn start_targets(entries: &[Entry], documents: &[Document]) -> Result<Vec<Target>> {
    let mut targets = Vec::new();
    for document in documents {
        let Some(instance) = document.check().ok().and_then(|spec| spec.instance()) else {
            continue;
        };
        let here: Vec<&Entry> =
            entries.iter().filter(|entry| entry.data_centre() == instance.data_centre).collect();
        let first = here.first().ok_or_else(|| {
            Error::Refused(format!("no entry in data centre \"{}\"", instance.data_centre))
        })?;
        let token = first.settings.target_token.bytes();
        let settings = standin::Settings {
            instance: document.name.clone(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            entries: here.iter().map(|entry| entry.settings.listen.targets).collect(),
            token: String::from_utf8_lossy(token).into_owned(),
            work: WORK,
            slots: instance.slots as usize,
        };
        let started = Target::start(settings).await;
        targets.push(started.map_err(|error| Error::Io("stand-in target".to_string(), error))?);
    }
    Ok(targets)
}

/// Targets that every entry of their data centre routes to.
fn routed(entries: &[Entry]) -> usize {
    let mut seen: BTreeMap<(&str, String), usize> = BTreeMap::new();
    for entry in entries {
        let table = entry.process.shared().table.load();
        for target in table.pools.values().flat_map(|pool| &pool.targets) {
            *seen.entry((entry.data_centre(), target.instance.clone())).or_default() += 1;
        }
    }
    let sharing = |data_centre: &str| {
        entries.iter().filter(|entry| entry.data_centre() == data_centre).count()
    };
    seen.iter().filter(|((data_centre, _), count)| **count == sharing(data_centre)).count()
}

async fn send_requests(entries: &[Entry], all: &[Requests]) -> Result<()> {
    for requests in all {
        let mut answered = 0;
        let mut sample = String::new();
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
            sample = answer.text();
        }
        let elapsed = start.elapsed();
        println!("{}: {answered} of {} answered in {elapsed:?}", requests.pool, requests.count);
        println!("    last answer: {}", sample.trim());
    }
    Ok(())
}

async fn move_instance(
    entries: &[Entry],
    operator: &Operator,
    documents: &[Document],
    step: &Step,
) -> Result<()> {
    let is_subject =
        |document: &&Document| document.kind == Kind::Instance && document.name == step.instance;
    let Some(document) = documents.iter().find(is_subject) else {
        return Err(Error::Input(vec![format!("move.instance: no record \"{}\"", step.instance)]));
    };
    let mut document = document.clone();
    document.revision = Some(1);
    document.spec["pool"] = step.to.clone().into();
    let key = document.key();
    operator.submit("demo-move", vec![Change::Put(document)]).await?;
    let arrived = |entry: &Entry| {
        let fleet = entry.process.shared().fleet.read().expect("no holder panics");
        let placement = fleet.placements().get(&step.instance);
        placement.is_some_and(|place| place.pool == step.to && place.pending_move.is_none())
    };
    until("the move has ended", || entries.iter().all(arrived)).await?;
    println!("\nwhat was decided about instance {}, and why:", step.instance);
    for note in &operator.explain(&key).await?.notes {
        print_note(note);
    }
    Ok(())
}
