//! Sending a request to a target and taking its whole answer.

use crate::clock::Clock;
use crate::gate::{Gate, Request as GateRequest};
use crate::idle::Connections;
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::headers::CONNECTION;
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use rand::Rng;
use record::TeamId;
use route::Table;
use route::outcome::{Reason, Refusal};
use route::queue::Class;
use route::retry::{Budget, MAX_ATTEMPTS};
use route::table::Target;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use wire::call::{Call, Header, Outcome, Response as CallResponse};

/// Header with the id that the answer has to repeat, if it names one.
pub const REQUEST_ID: &str = "request-id";
/// Header with the time left for an answer, in milliseconds.
pub const DEADLINE_MS: &str = "deadline-ms";
/// Header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "request-outcome";
/// Value of [`OUTCOME`] by which a target says that it did not run a request.
pub const NOT_RUN: &str = "not-run";

/// Status codes from here on count as failures of the target.
const SERVER_ERROR: u16 = 500;

/// A target is held silent after this many times the usual time of an answer.
const FAIR_SPANS: u32 = 3;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "host",
    "date",
    "expect",
];

/// What a caller asked for beside the request itself.
#[derive(Clone, Debug)]
pub struct Options {
    /// When the caller stops waiting, on the monotonic clock.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How urgent it is.
    pub class: Class,
    /// Team that it counts for; empty for none.
    pub team: TeamId,
}

/// One try on one target.
struct Attempt<'a> {
    target: &'a Target,
    call: &'a Call,
    options: &'a Options,
    span: Duration,
}

/// Sends requests to targets.
pub struct Forwarder {
    clock: Arc<dyn Clock>,
    entry: String,
    process_incarnation: u64,
    next: AtomicU64,
    max_answer_bytes: usize,
    connections: Connections,
    budget: Budget,
    gate: Arc<Gate>,
}

impl Forwarder {
    /// A forwarder without connections.
    pub fn new(
        clock: Arc<dyn Clock>,
        entry: String,
        process_incarnation: u64,
        max_answer_bytes: usize,
        gate: Arc<Gate>,
    ) -> Forwarder {
        Forwarder {
            clock,
            entry,
            process_incarnation,
            next: AtomicU64::new(0),
            max_answer_bytes,
            connections: Connections::default(),
            budget: Budget::new(),
            gate,
        }
    }

    /// The same with another bound on answers, in bytes.
    pub fn with_max_answer(mut self, bytes: usize) -> Forwarder {
        self.max_answer_bytes = bytes;
        self
    }

    /// Monotonic time, on which deadlines are given.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Closes idle connections to targets that are in no table.
    pub fn retain(&self, table: &Table) {
        let targets = table.pools.values().flat_map(|pool| &pool.targets);
        self.connections.retain(targets.map(|target| target.address));
    }

    /// Sends a request until it is answered, within its deadline and the retry
    /// budget. One that must not run twice goes out on a fresh connection, and
    /// again only if it certainly did not run.
    pub async fn call(&self, call: &Call, options: &Options) -> Outcome {
        self.budget.deposit();
        let gate_request = GateRequest {
            pool: call.pool.clone(),
            class: options.class,
            team: options.team.clone(),
            deadline: options.deadline,
        };
        let mut tried = Vec::new();
        let mut last = None;
        while tried.len() < MAX_ATTEMPTS {
            if last.is_some() && !self.budget.try_withdraw() {
                break;
            }
            let permit = match self.gate.acquire(&gate_request, &tried).await {
                Ok(permit) => permit,
                Err(refusal) => return last.unwrap_or(Outcome::NotRun(refusal)),
            };
            tried.push(permit.target().instance.clone());
            let more = if options.repeatable { MAX_ATTEMPTS - tried.len() } else { 0 };
            let target = permit.target();
            let span = self.share(options, &call.pool, more);
            let sent = self.clock.now();
            let outcome = self.attempt(Attempt { target, call, options, span }).await;
            self.judge(target, &outcome, &call.pool, span);
            if matches!(&outcome, Outcome::Answered(whole) if whole.status < SERVER_ERROR) {
                self.gate.record_service_time(&call.pool, self.clock.now().saturating_sub(sent));
            }
            match outcome {
                Outcome::Unknown(refusal) if !options.repeatable => {
                    return Outcome::Unknown(refusal);
                }
                Outcome::Answered(whole) => return Outcome::Answered(whole),
                Outcome::NotRun(_) if matches!(last, Some(Outcome::Unknown(_))) => {}
                other => last = Some(other),
            }
        }
        last.unwrap_or_else(|| {
            Outcome::NotRun(Refusal::new(Reason::Busy, "the retry budget is used up"))
        })
    }

    /// Takes the outcome into the target's limit and quarantine. A target that had
    /// too little time to answer is not to blame.
    fn judge(&self, target: &Target, outcome: &Outcome, pool: &str, span: Duration) {
        let now = self.clock.now();
        match outcome {
            Outcome::Answered(whole) if whole.status >= SERVER_ERROR => {
                target.health.record_failure(now)
            }
            Outcome::Answered(_) => target.health.record_success(),
            Outcome::Unknown(refusal)
                if refusal.reason == Reason::Silent
                    && span < self.gate.service_time(pool) * FAIR_SPANS =>
            {
                target.health.cancel_probe();
            }
            Outcome::Unknown(_) => target.health.record_failure(now),
            Outcome::NotRun(refusal) => match refusal.reason {
                Reason::Busy => target.health.record_overload(),
                Reason::Unreachable => target.health.record_failure(now),
                _ => target.health.cancel_probe(),
            },
        }
    }

    /// Time that an attempt may take: the rest, shared with the attempts that may
    /// follow it, but enough for a fair answer while there is as much.
    fn share(&self, options: &Options, pool: &str, more: usize) -> Duration {
        let left = options.deadline.saturating_sub(self.clock.now());
        let fair = self.gate.service_time(pool) * FAIR_SPANS;
        (left / (more as u32 + 1)).max(fair).min(left)
    }

    async fn attempt(&self, attempt: Attempt<'_>) -> Outcome {
        let Attempt { target, call, options, span } = attempt;
        if span.is_zero() {
            let refusal = Refusal::new(Reason::Deadline, "the deadline passed before it was sent");
            return Outcome::NotRun(refusal);
        }
        let address = target.address;
        let instance = &target.instance;
        let idle =
            options.repeatable.then(|| self.connections.take(&address, self.clock.now())).flatten();
        let stream = match idle {
            Some(stream) => stream,
            None => match connect(address, span).await {
                Ok(stream) => stream,
                Err(error) => {
                    let detail = format!("instance \"{instance}\": {error}");
                    return Outcome::NotRun(Refusal::new(Reason::Unreachable, detail));
                }
            },
        };
        let id = self.next_id();
        let request = match build(call, address, &id, span) {
            Ok(request) => request,
            Err(detail) => return Outcome::NotRun(Refusal::new(Reason::Invalid, detail)),
        };
        match timeout(span, self.exchange(stream.clone(), request, &id)).await {
            Ok(Ok(mut answer)) => {
                if answer.reusable {
                    self.connections.put(&address, stream, self.clock.now());
                }
                if answer.refused {
                    let detail = format!("instance \"{instance}\" refused it");
                    return Outcome::NotRun(Refusal::new(Reason::Busy, detail));
                }
                answer.whole.instance = instance.clone();
                Outcome::Answered(answer.whole)
            }
            Ok(Err(detail)) => {
                let detail = format!("instance \"{instance}\": {detail}");
                Outcome::Unknown(Refusal::new(Reason::Truncated, detail))
            }
            Err(_) => {
                let detail = format!("instance \"{instance}\" did not answer in {span:?}");
                Outcome::Unknown(Refusal::new(Reason::Silent, detail))
            }
        }
    }

    fn next_id(&self) -> String {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{next}", self.entry, self.process_incarnation)
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        request: Request,
        id: &str,
    ) -> Result<Answer, String> {
        let response = async_h1::connect(stream, request).await.map_err(|e| e.to_string())?;
        let mut answer = self.whole(response).await?;
        let echoed = answer.whole.headers.iter().find(|header| header.name == REQUEST_ID);
        if echoed.is_some_and(|header| header.value != id) {
            return Err("the answer belongs to another request".to_string());
        }
        answer.whole.headers.retain(|header| header.name != REQUEST_ID);
        Ok(answer)
    }

    /// Reads the answer to its declared end.
    async fn whole(&self, mut response: Response) -> Result<Answer, String> {
        let declared = response.header("content-length").map(|value| value.as_str().to_string());
        let chunked = response.header("transfer-encoding").is_some();
        let status = response.status();
        let empty = status == StatusCode::NoContent || status == StatusCode::NotModified;
        if declared.is_none() && !chunked && !empty {
            return Err("the answer does not say where it ends".to_string());
        }
        let mut body = Vec::new();
        let limit = self.max_answer_bytes as u64 + 1;
        let read = response.take_body().take(limit).read_to_end(&mut body).await;
        read.map_err(|error| error.to_string())?;
        if body.len() > self.max_answer_bytes {
            return Err(format!("the answer is longer than {} bytes", self.max_answer_bytes));
        }
        if declared.is_some_and(|length| length != body.len().to_string()) {
            return Err("the answer ended early".to_string());
        }
        let closes = response
            .header(CONNECTION)
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        let refused = status == StatusCode::ServiceUnavailable
            && response.header(OUTCOME).is_some_and(|value| value.as_str() == NOT_RUN);
        let headers = forwarded_headers(&response);
        let whole = CallResponse { status: status.into(), headers, body, instance: String::new() };
        Ok(Answer { whole, reusable: !closes, refused })
    }
}

struct Answer {
    whole: CallResponse,
    reusable: bool,
    refused: bool,
}

async fn connect(address: SocketAddr, span: Duration) -> Result<TcpStream, String> {
    let stream = timeout(span.min(CONNECT_TIMEOUT), TcpStream::connect(address))
        .await
        .map_err(|_| "no connection in time".to_string())?
        .map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    Ok(stream)
}

fn build(call: &Call, address: SocketAddr, id: &str, span: Duration) -> Result<Request, String> {
    let url = Url::parse(&format!("http://{address}/{}", call.path)).map_err(|e| e.to_string())?;
    let method: Method = call.method.parse().map_err(|_| "method: is not known".to_string())?;
    let mut request = Request::new(method, url);
    for header in &call.headers {
        request.append_header(header.name.as_str(), header.value.as_str());
    }
    request.insert_header(REQUEST_ID, id);
    request.insert_header(DEADLINE_MS, span.as_millis().to_string());
    let mime = request.content_type();
    request.set_body(Body::from_bytes(call.body.clone()));
    if let Some(mime) = mime {
        request.set_content_type(mime);
    }
    Ok(request)
}

/// Headers that concern both ends and not the connection.
pub fn forwarded_headers(headers: &impl AsRef<http_types::Headers>) -> Vec<Header> {
    let mut passed = Vec::new();
    for (name, values) in headers.as_ref().iter() {
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let header = |value: &http_types::headers::HeaderValue| Header {
            name: name.as_str().to_string(),
            value: value.as_str().to_string(),
        };
        passed.extend(values.iter().map(header));
    }
    passed
}

/// A span with up to a quarter added, so that those turned away together do not
/// come back together.
pub fn jittered(span: Duration) -> Duration {
    span + span.mul_f64(rand::rng().random_range(0.0..0.25))
}
