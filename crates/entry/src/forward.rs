//! Sending a request to a target and taking its whole answer.

use crate::clock::Clock;
use crate::pool::Pool;
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::headers::{CONNECTION, HeaderName, HeaderValue};
use http_types::{Body, Method, Request, Response, StatusCode, Url};
use rand::Rng;
use route::Table;
use route::outcome::{Outcome, Reason, Refusal};
use route::retry::{Budget, MAX_ATTEMPTS};
use route::table::Slot;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Header with the id that the answer has to repeat, if it names one.
pub const REQUEST_ID: &str = "request-id";
/// Header with the time left for an answer, in milliseconds.
pub const DEADLINE_MS: &str = "deadline-ms";
/// Header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME: &str = "request-outcome";
/// Value of [`OUTCOME`] by which a target says that it did not run a request.
pub const NOT_RUN: &str = "not-run";

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

/// A request to pass on.
#[derive(Clone, Debug)]
pub struct Call {
    /// Pool that serves it.
    pub pool: String,
    /// Its method.
    pub method: Method,
    /// Path and query below the pool.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Vec<u8>,
    /// When the caller stops waiting, on the monotonic clock.
    pub deadline: Duration,
}

/// One header.
#[derive(Clone, Debug)]
pub struct Header {
    /// Its name.
    pub name: HeaderName,
    /// Its value.
    pub value: HeaderValue,
}

/// A target's whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Its status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
    /// Instance that answered.
    pub instance: String,
}

/// What one attempt came to.
enum Attempt {
    Answered(Whole),
    NotRun(Refusal),
    Lost(Refusal),
}

/// Sends requests to targets.
pub struct Forwarder {
    clock: Arc<dyn Clock>,
    entry: String,
    life: u64,
    next: AtomicU64,
    max_answer_bytes: usize,
    pool: Pool,
    budget: Budget,
}

impl Forwarder {
    /// A forwarder without connections.
    pub fn new(
        clock: Arc<dyn Clock>,
        entry: String,
        life: u64,
        max_answer_bytes: usize,
    ) -> Forwarder {
        Forwarder {
            clock,
            entry,
            life,
            next: AtomicU64::new(0),
            max_answer_bytes,
            pool: Pool::default(),
            budget: Budget::new(),
        }
    }

    /// Closes idle connections to targets that are in no table.
    pub fn keep_only(&self, table: &Table) {
        let targets = table.pools.values().flat_map(|pool| &pool.targets);
        self.pool.keep_only(targets.map(|target| target.address));
    }

    /// Sends a repeatable request until it is answered, within its deadline and
    /// the retry budget.
    pub async fn call(&self, table: &Table, call: &Call) -> Outcome<Whole> {
        self.budget.earn();
        let mut tried = Vec::new();
        let mut last = None;
        while tried.len() < MAX_ATTEMPTS {
            if last.is_some() && !self.budget.take() {
                break;
            }
            let slot = match table.pick(&call.pool, &tried, &mut rand::rng()) {
                Ok(slot) => slot,
                Err(refusal) => return last.unwrap_or(Outcome::NotRun(refusal)),
            };
            tried.push(slot.target.instance.clone());
            let lost_before = matches!(last, Some(Outcome::Unknown(_)));
            match self.attempt(&slot, call, MAX_ATTEMPTS - tried.len()).await {
                Attempt::Answered(whole) => return Outcome::Answered(whole),
                Attempt::NotRun(refusal) if !lost_before => last = Some(Outcome::NotRun(refusal)),
                Attempt::NotRun(_) => {}
                Attempt::Lost(refusal) => last = Some(Outcome::Unknown(refusal)),
            }
        }
        last.unwrap_or_else(|| {
            Outcome::NotRun(Refusal::new(Reason::Busy, "the retry budget is used up"))
        })
    }

    /// Time that an attempt may take: the rest, shared with the attempts that
    /// may follow it.
    fn share(&self, call: &Call, more: usize) -> Duration {
        let left = call.deadline.saturating_sub(self.clock.now());
        left / (more as u32 + 1)
    }

    async fn attempt(&self, slot: &Slot, call: &Call, more: usize) -> Attempt {
        let span = self.share(call, more);
        if span.is_zero() {
            let refusal = Refusal::new(Reason::Deadline, "the deadline passed before it was sent");
            return Attempt::NotRun(refusal);
        }
        let address = slot.target.address;
        let instance = &slot.target.instance;
        let stream = match self.pool.take(&address, self.clock.now()) {
            Some(stream) => stream,
            None => match connect(address, span).await {
                Ok(stream) => stream,
                Err(error) => {
                    let detail = format!("instance \"{instance}\": {error}");
                    return Attempt::NotRun(Refusal::new(Reason::Unreachable, detail));
                }
            },
        };
        let id = self.next_id();
        let request = match build(call, address, &id, span) {
            Ok(request) => request,
            Err(error) => {
                return Attempt::NotRun(Refusal::new(Reason::Invalid, error.to_string()));
            }
        };
        match timeout(span, self.exchange(stream.clone(), request, &id)).await {
            Ok(Ok(mut answer)) => {
                if answer.reusable {
                    self.pool.put(&address, stream, self.clock.now());
                }
                if answer.refused {
                    let detail = format!("instance \"{instance}\" refused it");
                    return Attempt::NotRun(Refusal::new(Reason::Busy, detail));
                }
                answer.whole.instance = instance.clone();
                Attempt::Answered(answer.whole)
            }
            Ok(Err(detail)) => {
                let detail = format!("instance \"{instance}\": {detail}");
                Attempt::Lost(Refusal::new(Reason::Truncated, detail))
            }
            Err(_) => {
                let detail = format!("instance \"{instance}\" did not answer in {span:?}");
                Attempt::Lost(Refusal::new(Reason::Silent, detail))
            }
        }
    }

    fn next_id(&self) -> String {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{next}", self.entry, self.life)
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
        if echoed.is_some_and(|header| header.value.as_str() != id) {
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
        let whole = Whole { status, headers: passed_on(&response), body, instance: String::new() };
        Ok(Answer { whole, reusable: !closes, refused })
    }
}

struct Answer {
    whole: Whole,
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

fn build(
    call: &Call,
    address: SocketAddr,
    id: &str,
    span: Duration,
) -> Result<Request, http_types::url::ParseError> {
    let url = Url::parse(&format!("http://{address}/{}", call.path))?;
    let mut request = Request::new(call.method, url);
    for header in &call.headers {
        request.append_header(header.name.clone(), header.value.clone());
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
pub fn passed_on(headers: &impl AsRef<http_types::Headers>) -> Vec<Header> {
    let mut passed = Vec::new();
    for (name, values) in headers.as_ref().iter() {
        if HOP_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let values = values.iter().cloned();
        passed.extend(values.map(|value| Header { name: name.clone(), value }));
    }
    passed
}

/// A span with up to a quarter added, so that those turned away together do not
/// come back together.
pub fn spread(span: Duration) -> Duration {
    span + span.mul_f64(rand::rng().random_range(0.0..0.25))
}
