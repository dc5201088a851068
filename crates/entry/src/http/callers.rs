//! HTTP application for callers: requests to pools, new idempotency keys and the load
//! balancer's health check.

use crate::dispatch;
use crate::forward::{DEADLINE_MS, OUTCOME, Options, forwarded_headers, jittered};
use crate::http::reply::{self, Result};
use crate::shared::Shared;
use route::claim::Key;
use route::outcome::{Reason, Refusal};
use route::queue::Class;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, Server, StatusCode};
use wire::call::{Call, Outcome, Response as CallResponse};

/// Header with the idempotency key of a request that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the priority class: `urgent`, `interactive` or `background`.
pub const CLASS: &str = "request-class";
/// Header with the team whose quota the request counts against.
pub const TEAM: &str = "request-team";

/// JSON body of a response to a request that was refused or whose outcome is unknown.
#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: &'a str,
    #[serde(flatten)]
    refusal: &'a Refusal,
}

/// Returns the application for callers.
pub fn app(shared: Arc<Shared>) -> Server<Arc<Shared>> {
    let mut app = Server::with_state(shared);
    app.at("/healthz").get(health);
    app.at("/keys").post(new_key);
    app.at("/pools/:pool").all(serve);
    app.at("/pools/:pool/*path").all(serve);
    app
}

/// Fails while the entry is stopping or not ready, so that the balancer sends its
/// requests to other entries.
async fn health(request: Request<Arc<Shared>>) -> Result {
    let shared = request.state();
    if shared.is_stopping() {
        return reply::error(StatusCode::ServiceUnavailable, "stopping");
    }
    if !shared.table.load().ready {
        return reply::error(StatusCode::ServiceUnavailable, "not ready");
    }
    Ok(Response::builder(StatusCode::Ok).body("ok\n").build())
}

/// JSON body with a new idempotency key.
#[derive(Serialize)]
struct NewKey {
    key: String,
}

/// Issues an idempotency key for a request that must not run twice.
async fn new_key(request: Request<Arc<Shared>>) -> Result {
    let shared = request.state();
    if shared.is_stopping() {
        return respond(Outcome::NotRun(stopping_refusal()));
    }
    reply::json(StatusCode::Ok, &NewKey { key: shared.idempotency_keys.new_key().to_string() })
}

async fn serve(mut request: Request<Arc<Shared>>) -> Result {
    let shared = request.state().clone();
    let outcome = match read_request(&shared, &mut request).await {
        Ok(caller_request) => run_request(&shared, caller_request).await,
        Err(refusal) => Outcome::NotRun(refusal),
    };
    count_outcome(&shared, &outcome);
    respond(outcome)
}

async fn run_request(shared: &Shared, caller_request: CallerRequest) -> Outcome {
    let CallerRequest { call, options, key } = caller_request;
    match key {
        Some(key) => dispatch::serve_keyed(shared, &key, &call, &options).await,
        None => dispatch::serve(shared, &call, &options).await,
    }
}

/// A caller's request as read from HTTP.
struct CallerRequest {
    call: Call,
    options: Options,
    key: Option<Key>,
}

fn stopping_refusal() -> Refusal {
    Refusal::new(Reason::Stopping, "this entry is stopping")
}

/// Reads and checks the headers and the body of a caller's request.
async fn read_request(
    shared: &Shared,
    request: &mut Request<Arc<Shared>>,
) -> std::result::Result<CallerRequest, Refusal> {
    if shared.is_stopping() {
        return Err(stopping_refusal());
    }
    let key = read_key(request)?;
    let options = Options {
        deadline: shared.clock.now() + read_deadline(shared, request)?,
        repeatable: key.is_none(),
        class: read_class(request)?,
        team: request.header(TEAM).map_or(String::new(), |team| team.as_str().to_string()),
    };
    let body = read_body(shared, request).await?;
    let pool = request.param("pool").unwrap_or_default().to_string();
    let mut path = request.param("path").unwrap_or_default().to_string();
    if let Some(query) = request.url().query() {
        path = format!("{path}?{query}");
    }
    let method = request.method().to_string();
    let headers = forwarded_headers(request);
    Ok(CallerRequest { call: Call { pool, method, path, headers, body }, options, key })
}

async fn read_body(
    shared: &Shared,
    request: &mut Request<Arc<Shared>>,
) -> std::result::Result<Vec<u8>, Refusal> {
    let max_bytes = shared.settings.limits.max_body_bytes;
    let detail = match reply::read_body(request, max_bytes).await {
        Ok(Some(body)) => return Ok(body),
        Ok(None) => format!("body: is longer than {max_bytes} bytes"),
        Err(error) => format!("body: did not arrive whole: {error}"),
    };
    Err(Refusal::new(Reason::Invalid, detail))
}

fn read_key(request: &Request<Arc<Shared>>) -> std::result::Result<Option<Key>, Refusal> {
    let Some(value) = request.header(IDEMPOTENCY_KEY) else { return Ok(None) };
    let Some(key) = Key::parse(value.as_str()) else {
        let detail = format!("header {IDEMPOTENCY_KEY}: \"{value}\" was not minted by POST /keys");
        return Err(Refusal::new(Reason::Invalid, detail));
    };
    Ok(Some(key))
}

fn read_class(request: &Request<Arc<Shared>>) -> std::result::Result<Class, Refusal> {
    let Some(value) = request.header(CLASS) else { return Ok(Class::default()) };
    Class::parse(value.as_str()).ok_or_else(|| {
        let detail =
            format!("header {CLASS}: \"{value}\" is none of urgent, interactive, background");
        Refusal::new(Reason::Invalid, detail)
    })
}

/// Returns the time that the caller waits, from its header or the settings.
fn read_deadline(
    shared: &Shared,
    request: &Request<Arc<Shared>>,
) -> std::result::Result<Duration, Refusal> {
    let limits = &shared.settings.limits;
    let Some(value) = request.header(DEADLINE_MS) else { return Ok(limits.default_deadline) };
    let max_millis = limits.max_deadline.as_millis() as u64;
    match value.as_str().parse::<u64>() {
        Ok(millis) if (1..=max_millis).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => {
            let detail =
                format!("header {DEADLINE_MS}: \"{value}\" is no number from 1 to {max_millis}");
            Err(Refusal::new(Reason::Invalid, detail))
        }
    }
}

fn count_outcome(shared: &Shared, outcome: &Outcome) {
    let outcome = match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    };
    let name = shared.identity.name.clone();
    metrics::counter!("requests_total", "entry" => name, "outcome" => outcome).increment(1);
}

fn respond(outcome: Outcome) -> Result {
    match outcome {
        Outcome::Answered(target_response) => Ok(answered(target_response)),
        Outcome::NotRun(refusal) => refused("not-run", not_run_status(refusal.reason), &refusal),
        Outcome::Unknown(refusal) => refused("unknown", unknown_status(refusal.reason), &refusal),
    }
}

fn answered(target_response: CallResponse) -> Response {
    let status = StatusCode::try_from(target_response.status).unwrap_or(StatusCode::BadGateway);
    let mut response = Response::new(status);
    response.set_body(target_response.body);
    for header in target_response.headers {
        response.append_header(header.name.as_str(), header.value.as_str());
    }
    response.insert_header(OUTCOME, "answered");
    response.insert_header("served-by", target_response.instance);
    response
}

fn refused(outcome: &str, status: StatusCode, refusal: &Refusal) -> Result {
    let mut response = reply::json(status, &RefusalBody { outcome, refusal })?;
    response.insert_header(OUTCOME, outcome);
    if let Some(retry_after) = refusal.retry_after {
        let seconds = jittered(retry_after).as_secs_f64().ceil() as u64;
        response.insert_header("retry-after", seconds.to_string());
    }
    if refusal.reason == Reason::Stopping {
        response.insert_header("connection", "close");
    }
    Ok(response)
}

fn not_run_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownPool | Reason::SparePool | Reason::NoInstance => StatusCode::NotFound,
        Reason::Invalid => StatusCode::BadRequest,
        _ => StatusCode::ServiceUnavailable,
    }
}

fn unknown_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Silent => StatusCode::GatewayTimeout,
        _ => StatusCode::BadGateway,
    }
}
