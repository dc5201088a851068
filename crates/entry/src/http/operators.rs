//! HTTP application for operators: submissions, queries for records and journal notes,
//! status, dump and metrics.

use crate::dump;
use crate::http::reply::{self, Result};
use crate::settings::Operator;
use crate::shared::Shared;
use fleet::journal::Note;
use fleet::{Change, Command, Outcome, StoredRecord, Submission};
use metrics_exporter_prometheus::PrometheusHandle;
use record::{Key, Kind};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::Arc;
use tide::{Request, Response, Server, StatusCode};
use wire::frame::Answer;

/// Largest body of a submission.
const MAX_SUBMISSION_BYTES: usize = 1 << 20;
/// Longest submission id.
const MAX_ID_BYTES: usize = 128;
/// Largest number of notes in one answer to a query without a record name.
const MAX_NOTES: usize = 1000;

/// Body of a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Submission id, chosen by the client. A resend repeats it and gets the outcome of
    /// the first submission.
    pub id: String,
    /// Changes, accepted or refused as a whole.
    pub changes: Vec<Change>,
}

/// Answer to a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum Submitted {
    /// The submission has its final outcome.
    Decided {
        /// Outcome, the same for every resend.
        result: Outcome,
    },
    /// The submission has not taken effect and never will.
    NotTaken {
        /// Reason, for people.
        reason: String,
    },
    /// The submission may have been accepted; a resend with the same id returns the
    /// outcome.
    Unknown {
        /// Reason, for people.
        reason: String,
    },
}

/// How current an answer is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AsOf {
    /// Entry that answers.
    pub entry: String,
    /// Last log index applied by that entry.
    pub index: fleet::Index,
    /// Whether a leader in contact with a majority sent a message in the last
    /// [`dump::CURRENT_WITHIN`].
    pub current: bool,
    /// Time since the last message from such a leader, in milliseconds; none before the
    /// first.
    pub silence_ms: Option<u64>,
}

/// Answer to a query for records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Records {
    /// How current the answer is.
    pub as_of: AsOf,
    /// Matching records, in order of kind and name.
    pub records: Vec<StoredRecord>,
}

/// Answer to a query for journal notes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Notes {
    /// How current the answer is.
    pub as_of: AsOf,
    /// Matching notes, oldest first.
    pub notes: Vec<Note>,
}

/// Parameters of a query for records.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RecordQuery {
    /// Kind of the records; all kinds if missing.
    kind: Option<String>,
    /// Whether withdrawn records are included.
    withdrawn: bool,
}

/// Parameters of a query for journal notes. `id` returns one note; `kind` with `name`
/// returns the notes about a record; otherwise the notes from `since` on are returned.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct NoteQuery {
    kind: Option<String>,
    name: Option<String>,
    id: Option<fleet::journal::NoteId>,
    since: Option<fleet::journal::NoteId>,
}

/// Returns the application for operators. Every path needs an operator's token.
pub fn app(shared: Arc<Shared>, metrics: PrometheusHandle) -> Server<Arc<Shared>> {
    let mut app = Server::with_state(shared);
    app.at("/submissions").post(|request| authorised(request, submit));
    app.at("/records").get(|request| authorised(request, list));
    app.at("/records/:kind/:name").get(|request| authorised(request, get));
    app.at("/journal").get(|request| authorised(request, journal));
    app.at("/status").get(|request| authorised(request, status));
    app.at("/dump").get(|request| authorised(request, dump_state));
    app.at("/metrics").get(move |request| {
        let text = metrics.render();
        authorised(request, move |_, _| async move {
            Ok(Response::builder(StatusCode::Ok).body(text).content_type("text/plain").build())
        })
    });
    app
}

/// Calls the handler with the operator's name if the request has an operator's token,
/// and refuses it otherwise.
async fn authorised<F>(
    request: Request<Arc<Shared>>,
    handler: impl FnOnce(Request<Arc<Shared>>, String) -> F,
) -> Result
where
    F: Future<Output = Result>,
{
    let operators = &request.state().settings.operators;
    let matching: Vec<&Operator> =
        operators.iter().filter(|operator| reply::has_token(&request, &operator.token)).collect();
    match matching.first() {
        Some(operator) => {
            let name = operator.name.clone();
            handler(request, name).await
        }
        None => {
            let name = request.state().identity.name.clone();
            metrics::counter!("operators_refused_total", "entry" => name).increment(1);
            reply::error(StatusCode::Unauthorized, "authorization: is no operator's token")
        }
    }
}

async fn submit(mut request: Request<Arc<Shared>>, operator: String) -> Result {
    let Some(body) = reply::read_body(&mut request, MAX_SUBMISSION_BYTES).await? else {
        return reply::error(StatusCode::PayloadTooLarge, "body: is too long");
    };
    let mut deserializer = serde_json::Deserializer::from_slice(&body);
    let batch = match serde_path_to_error::deserialize::<_, Batch>(&mut deserializer) {
        Ok(batch) => batch,
        Err(error) => return reply::error(StatusCode::BadRequest, &error.to_string()),
    };
    if batch.id.is_empty() || batch.id.len() > MAX_ID_BYTES {
        let reason = format!("id: must be 1 to {MAX_ID_BYTES} bytes");
        return reply::error(StatusCode::BadRequest, &reason);
    }
    if let Some(reason) = unknown_schema(&batch) {
        return reply::error(StatusCode::BadRequest, &reason);
    }
    let shared = request.state();
    let at = shared.clock.wall();
    let submission = Submission { operator, id: batch.id, at, changes: batch.changes };
    match shared.propose(Command::Submit(submission)).await {
        Answer::Applied(Some(result)) => {
            reply::json(outcome_status(&result), &Submitted::Decided { result })
        }
        Answer::Applied(None) => reply::error(StatusCode::InternalServerError, "no outcome"),
        Answer::NotTaken(reason) => {
            let mut response =
                reply::json(StatusCode::ServiceUnavailable, &Submitted::NotTaken { reason })?;
            response.insert_header("retry-after", "2");
            Ok(response)
        }
        Answer::Unknown(reason) => {
            reply::json(StatusCode::GatewayTimeout, &Submitted::Unknown { reason })
        }
    }
}

/// Returns an error if a document has a schema that this version can't apply. Such a
/// document must not reach the log.
fn unknown_schema(batch: &Batch) -> Option<String> {
    batch.changes.iter().find_map(|change| {
        let Change::Put(document) = change else { return None };
        let newest = record::spec::newest(document.kind);
        let known = (1..=newest).contains(&document.schema);
        (!known).then(|| {
            let key = document.key();
            format!("{key}: schema: {} is not known here, newest is {newest}", document.schema)
        })
    })
}

fn outcome_status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Accepted { .. } => StatusCode::Ok,
        Outcome::Conflict { .. } => StatusCode::Conflict,
        Outcome::Refused { .. } => StatusCode::UnprocessableEntity,
    }
}

async fn list(request: Request<Arc<Shared>>, _operator: String) -> Result {
    let query: RecordQuery = request.query()?;
    let kind = match parse_kind(query.kind.as_deref()) {
        Ok(kind) => kind,
        Err(reason) => return reply::error(StatusCode::BadRequest, &reason),
    };
    let shared = request.state();
    let fleet = shared.fleet.read().expect("no holder panics");
    let records = fleet
        .records()
        .iter()
        .filter(|(key, _)| kind.is_none_or(|kind| kind == key.kind))
        .filter(|(_, stored)| query.withdrawn || !stored.withdrawn)
        .map(|(_, stored)| stored.clone())
        .collect();
    reply::json(StatusCode::Ok, &Records { as_of: as_of(shared, &fleet), records })
}

async fn get(request: Request<Arc<Shared>>, _operator: String) -> Result {
    let kind = match parse_kind(request.param("kind").ok()) {
        Ok(kind) => kind.unwrap_or(Kind::Pool),
        Err(reason) => return reply::error(StatusCode::BadRequest, &reason),
    };
    let key = Key::new(kind, request.param("name").unwrap_or_default());
    let shared = request.state();
    let fleet = shared.fleet.read().expect("no holder panics");
    let Some(stored) = fleet.record(&key) else {
        return reply::error(StatusCode::NotFound, &format!("record \"{key}\" does not exist"));
    };
    let records = vec![stored.clone()];
    reply::json(StatusCode::Ok, &Records { as_of: as_of(shared, &fleet), records })
}

async fn journal(request: Request<Arc<Shared>>, _operator: String) -> Result {
    let query: NoteQuery = request.query()?;
    let kind = match parse_kind(query.kind.as_deref()) {
        Ok(kind) => kind,
        Err(reason) => return reply::error(StatusCode::BadRequest, &reason),
    };
    let shared = request.state();
    let fleet = shared.fleet.read().expect("no holder panics");
    let journal = fleet.journal();
    let notes: Vec<Note> = match (query.id, kind, query.name) {
        (Some(id), _, _) => journal.note(id).into_iter().cloned().collect(),
        (None, Some(kind), Some(name)) => {
            journal.about(&Key::new(kind, name)).into_iter().cloned().collect()
        }
        (None, _, _) => {
            let notes = journal.since(query.since.unwrap_or_default());
            notes.into_iter().take(MAX_NOTES).cloned().collect()
        }
    };
    reply::json(StatusCode::Ok, &Notes { as_of: as_of(shared, &fleet), notes })
}

async fn status(request: Request<Arc<Shared>>, _operator: String) -> Result {
    reply::json(StatusCode::Ok, &dump::status(request.state()))
}

async fn dump_state(request: Request<Arc<Shared>>, _operator: String) -> Result {
    reply::json(StatusCode::Ok, &dump::dump(request.state()))
}

fn parse_kind(text: Option<&str>) -> std::result::Result<Option<Kind>, String> {
    let Some(text) = text else { return Ok(None) };
    let known = || Kind::ALL.map(|kind| kind.to_string()).join(", ");
    Kind::parse(text)
        .map(Some)
        .ok_or_else(|| format!("kind: \"{text}\" does not exist, known are {}", known()))
}

/// Returns how current an answer from this state is.
pub fn as_of(shared: &Shared, fleet: &fleet::Fleet) -> AsOf {
    let leader_silence = dump::leader_silence(shared);
    AsOf {
        entry: shared.identity.name.clone(),
        index: fleet.applied(),
        current: leader_silence.is_some_and(|leader_silence| leader_silence < dump::CURRENT_WITHIN),
        silence_ms: leader_silence.map(|leader_silence| leader_silence.as_millis() as u64),
    }
}
