//! Sends a request to a target and reads the complete response, with retries on other
//! targets where these are safe.

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

/// Header with the request id. A response that has this header must repeat the id.
pub const REQUEST_ID: &str = "request-id";
/// Header with the time left for the response, in milliseconds.
pub const DEADLINE_MS: &str = "deadline-ms";
/// Header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "request-outcome";
/// Value of [`OUTCOME`] with which a target reports that it did not run a request.
pub const NOT_RUN: &str = "not-run";

/// Lowest status code that counts as a failure of the target.
const SERVER_ERROR: u16 = 500;

/// Multiple of the pool's average service time that a target must be given before a
/// timeout counts as its failure.
const FAIR_TIME_FACTOR: u32 = 3;

/// Longest wait for a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
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

/// Limits and quota that apply to a caller's request.
#[derive(Clone, Debug)]
pub struct Options {
    /// When the caller stops waiting, on the monotonic clock.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Priority class.
    pub class: Class,
    /// Team whose quota the request counts against; empty for none.
    pub team: TeamId,
}

/// One attempt on one target.
struct Attempt<'a> {
    target: &'a Target,
    call: &'a Call,
    options: &'a Options,
    time_limit: Duration,
}

/// Sends requests to targets, with a shared retry budget and idle connections.
pub struct Forwarder {
    clock: Arc<dyn Clock>,
    entry: String,
    process_incarnation: u64,
    next_request: AtomicU64,
    max_answer_bytes: usize,
    connections: Connections,
    budget: Budget,
    gate: Arc<Gate>,
}

impl Forwarder {
    /// Creates a forwarder without connections. Responses with a body longer than
    /// `max_answer_bytes` are rejected.
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
            next_request: AtomicU64::new(0),
            max_answer_bytes,
            connections: Connections::default(),
            budget: Budget::new(),
            gate,
        }
    }

    /// Replaces the largest accepted response body, in bytes.
    pub fn with_max_answer(mut self, bytes: usize) -> Forwarder {
        self.max_answer_bytes = bytes;
        self
    }

    /// Returns the monotonic time, on which deadlines are based.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Closes idle connections to targets that are not in the table.
    pub fn retain(&self, table: &Table) {
        let targets = table.pools.values().flat_map(|pool| &pool.targets);
        self.connections.retain(targets.map(|target| target.address));
    }

    /// Sends a request to one target after the other until one answers, within the
    /// deadline, the attempt limit and the retry budget. A request that must not run
    /// twice uses a new connection each time, and is retried only if it certainly did
    /// not run.
    pub async fn call(&self, call: &Call, options: &Options) -> Outcome {
        self.budget.deposit();
        let gate_request = GateRequest {
            pool: call.pool.clone(),
            class: options.class,
            team: options.team.clone(),
            deadline: options.deadline,
        };
        let mut tried = Vec::new();
        let mut last_outcome = None;
        while tried.len() < MAX_ATTEMPTS {
            if last_outcome.is_some() && !self.budget.try_withdraw() {
                break;
            }
            let permit = match self.gate.acquire(&gate_request, &tried).await {
                Ok(permit) => permit,
                Err(refusal) => return last_outcome.unwrap_or(Outcome::NotRun(refusal)),
            };
            tried.push(permit.target().instance.clone());
            let retries_left = if options.repeatable { MAX_ATTEMPTS - tried.len() } else { 0 };
            let target = permit.target();
            let time_limit = self.attempt_time_limit(options, &call.pool, retries_left);
            let sent_at = self.clock.now();
            let outcome = self.attempt(Attempt { target, call, options, time_limit }).await;
            self.record_health(target, &outcome, &call.pool, time_limit);
            if matches!(&outcome, Outcome::Answered(response) if response.status < SERVER_ERROR) {
                self.gate.record_service_time(&call.pool, self.clock.now().saturating_sub(sent_at));
            }
            match outcome {
                Outcome::Unknown(refusal) if !options.repeatable => {
                    return Outcome::Unknown(refusal);
                }
                Outcome::Answered(response) => return Outcome::Answered(response),
                // An earlier attempt may have run, so its outcome stays.
                Outcome::NotRun(_) if matches!(last_outcome, Some(Outcome::Unknown(_))) => {}
                other => last_outcome = Some(other),
            }
        }
        last_outcome.unwrap_or_else(|| {
            Outcome::NotRun(Refusal::new(Reason::Busy, "the retry budget is used up"))
        })
    }

    /// Records the outcome in the target's health, which sets its limit and quarantine.
    /// A timeout after too little time is not counted as a failure of the target.
    fn record_health(&self, target: &Target, outcome: &Outcome, pool: &str, time_limit: Duration) {
        let now = self.clock.now();
        match outcome {
            Outcome::Answered(response) if response.status >= SERVER_ERROR => {
                target.health.record_failure(now)
            }
            Outcome::Answered(_) => target.health.record_success(),
            Outcome::Unknown(refusal)
                if refusal.reason == Reason::Silent
                    && time_limit < self.gate.service_time(pool) * FAIR_TIME_FACTOR =>
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

    /// Returns the time that an attempt may take: an equal share of the time left for it
    /// and its possible retries, but at least [`FAIR_TIME_FACTOR`] times the average
    /// service time, as far as the deadline allows.
    fn attempt_time_limit(&self, options: &Options, pool: &str, retries_left: usize) -> Duration {
        let time_left = options.deadline.saturating_sub(self.clock.now());
        let fair_time = self.gate.service_time(pool) * FAIR_TIME_FACTOR;
        (time_left / (retries_left as u32 + 1)).max(fair_time).min(time_left)
    }

    /// Sends the request to one target.
    async fn attempt(&self, attempt: Attempt<'_>) -> Outcome {
        let Attempt { target, call, options, time_limit } = attempt;
        if time_limit.is_zero() {
            let refusal = Refusal::new(Reason::Deadline, "the deadline passed before it was sent");
            return Outcome::NotRun(refusal);
        }
        let address = target.address;
        let instance = &target.instance;
        let idle =
            options.repeatable.then(|| self.connections.take(&address, self.clock.now())).flatten();
        let stream = match idle {
            Some(stream) => stream,
            None => match connect(address, time_limit).await {
                Ok(stream) => stream,
                Err(error) => {
                    let detail = format!("instance \"{instance}\": {error}");
                    return Outcome::NotRun(Refusal::new(Reason::Unreachable, detail));
                }
            },
        };
        let id = self.next_id();
        let request = match build_request(call, address, &id, time_limit) {
            Ok(request) => request,
            Err(detail) => return Outcome::NotRun(Refusal::new(Reason::Invalid, detail)),
        };
        match timeout(time_limit, self.exchange(stream.clone(), request, &id)).await {
            Ok(Ok(mut received)) => {
                if received.connection_reusable {
                    self.connections.put(&address, stream, self.clock.now());
                }
                if received.refused {
                    let detail = format!("instance \"{instance}\" refused it");
                    return Outcome::NotRun(Refusal::new(Reason::Busy, detail));
                }
                received.call_response.instance = instance.clone();
                Outcome::Answered(received.call_response)
            }
            Ok(Err(detail)) => {
                let detail = format!("instance \"{instance}\": {detail}");
                Outcome::Unknown(Refusal::new(Reason::Truncated, detail))
            }
            Err(_) => {
                let detail = format!("instance \"{instance}\" did not answer in {time_limit:?}");
                Outcome::Unknown(Refusal::new(Reason::Silent, detail))
            }
        }
    }

    fn next_id(&self) -> String {
        let next = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{next}", self.entry, self.process_incarnation)
    }

    /// Sends the request on a connection and reads the response. An error is the detail
    /// of a refusal.
    async fn exchange(
        &self,
        stream: TcpStream,
        request: Request,
        id: &str,
    ) -> Result<TargetResponse, String> {
        let response = async_h1::connect(stream, request).await.map_err(|e| e.to_string())?;
        let mut received = self.read_response(response).await?;
        let echoed = received.call_response.headers.iter().find(|header| header.name == REQUEST_ID);
        if echoed.is_some_and(|header| header.value != id) {
            return Err("the answer belongs to another request".to_string());
        }
        received.call_response.headers.retain(|header| header.name != REQUEST_ID);
        Ok(received)
    }

    /// Reads the response to its declared end. Fails if the end is not declared, since a
    /// lost connection would then look like a complete response.
    async fn read_response(&self, mut response: Response) -> Result<TargetResponse, String> {
        let declared = response.header("content-length").map(|value| value.as_str().to_string());
        let chunked = response.header("transfer-encoding").is_some();
        let status = response.status();
        let has_no_body = status == StatusCode::NoContent || status == StatusCode::NotModified;
        if declared.is_none() && !chunked && !has_no_body {
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
        let call_response =
            CallResponse { status: status.into(), headers, body, instance: String::new() };
        Ok(TargetResponse { call_response, connection_reusable: !closes, refused })
    }
}

/// A complete response of a target.
struct TargetResponse {
    call_response: CallResponse,
    /// Whether the connection may be used for another request.
    connection_reusable: bool,
    /// Whether the target reported that it did not run the request.
    refused: bool,
}

async fn connect(address: SocketAddr, time_limit: Duration) -> Result<TcpStream, String> {
    let stream = timeout(time_limit.min(CONNECT_TIMEOUT), TcpStream::connect(address))
        .await
        .map_err(|_| "no connection in time".to_string())?
        .map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    Ok(stream)
}

fn build_request(
    call: &Call,
    address: SocketAddr,
    id: &str,
    time_limit: Duration,
) -> Result<Request, String> {
    let url = Url::parse(&format!("http://{address}/{}", call.path)).map_err(|e| e.to_string())?;
    let method: Method = call.method.parse().map_err(|_| "method: is not known".to_string())?;
    let mut request = Request::new(method, url);
    for header in &call.headers {
        request.append_header(header.name.as_str(), header.value.as_str());
    }
    request.insert_header(REQUEST_ID, id);
    request.insert_header(DEADLINE_MS, time_limit.as_millis().to_string());
    let mime = request.content_type();
    request.set_body(Body::from_bytes(call.body.clone()));
    if let Some(mime) = mime {
        request.set_content_type(mime);
    }
    Ok(request)
}

/// Returns the headers to forward: all but the hop-by-hop ones.
pub fn forwarded_headers(headers: &impl AsRef<http_types::Headers>) -> Vec<Header> {
    let mut forwarded = Vec::new();
    for (name, values) in headers.as_ref().iter() {
        if HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let header = |value: &http_types::headers::HeaderValue| Header {
            name: name.as_str().to_string(),
            value: value.as_str().to_string(),
        };
        forwarded.extend(values.iter().map(header));
    }
    forwarded
}

/// Adds up to a quarter to a duration, so that callers refused at the same time do not
/// retry at the same time.
pub fn jittered(duration: Duration) -> Duration {
    duration + duration.mul_f64(rand::rng().random_range(0.0..0.25))
}
