//! Requests of callers, and the balancer's health check.

use crate::forward::{Call, DEADLINE_MS, OUTCOME, Whole, passed_on, spread};
use crate::http::reply::{self, Result};
use crate::shared::Shared;
use route::outcome::{Outcome, Reason, Refusal};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, Server, StatusCode};

/// Header with the key of a request that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Body of a refusal.
#[derive(Serialize)]
struct Body<'a> {
    outcome: &'a str,
    #[serde(flatten)]
    refusal: &'a Refusal,
}

/// The application for callers.
pub fn app(shared: Arc<Shared>) -> Server<Arc<Shared>> {
    let mut app = Server::with_state(shared);
    app.at("/healthz").get(health);
    app.at("/pools/:pool").all(serve);
    app.at("/pools/:pool/*path").all(serve);
    app
}

async fn health(request: Request<Arc<Shared>>) -> Result {
    let shared = request.state();
    if shared.is_stopping() {
        return reply::fault(StatusCode::ServiceUnavailable, "stopping");
    }
    if !shared.table.load().ready {
        return reply::fault(StatusCode::ServiceUnavailable, "not ready");
    }
    Ok(Response::builder(StatusCode::Ok).body("ok\n").build())
}

async fn serve(mut request: Request<Arc<Shared>>) -> Result {
    let shared = request.state().clone();
    let outcome = match read_call(&shared, &mut request).await {
        Ok(call) => shared.forwarder.call(&shared.table.load_full(), &call).await,
        Err(refusal) => Outcome::NotRun(refusal),
    };
    count(&shared, &outcome);
    respond(outcome)
}

async fn read_call(
    shared: &Shared,
    request: &mut Request<Arc<Shared>>,
) -> std::result::Result<Call, Refusal> {
    if shared.is_stopping() {
        return Err(Refusal::new(Reason::Stopping, "this entry is stopping"));
    }
    if request.header(IDEMPOTENCY_KEY).is_some() {
        let detail = "this version does not take requests that must not run twice";
        return Err(Refusal::new(Reason::Unsupported, detail));
    }
    let deadline = shared.clock.now() + read_deadline(shared, request)?;
    let max = shared.settings.limits.max_body_bytes;
    let body = match reply::read_body(request, max).await {
        Ok(Some(body)) => body,
        Ok(None) => {
            let detail = format!("body: is longer than {max} bytes");
            return Err(Refusal::new(Reason::Invalid, detail));
        }
        Err(error) => {
            let detail = format!("body: did not arrive whole: {error}");
            return Err(Refusal::new(Reason::Invalid, detail));
        }
    };
    let pool = request.param("pool").unwrap_or_default().to_string();
    let url = request.url();
    let mut path = request.param("path").unwrap_or_default().to_string();
    if let Some(query) = url.query() {
        path = format!("{path}?{query}");
    }
    let headers = passed_on(request);
    Ok(Call { pool, method: request.method(), path, headers, body, deadline })
}

fn read_deadline(
    shared: &Shared,
    request: &Request<Arc<Shared>>,
) -> std::result::Result<Duration, Refusal> {
    let limits = &shared.settings.limits;
    let Some(value) = request.header(DEADLINE_MS) else { return Ok(limits.default_deadline) };
    let longest = limits.max_deadline.as_millis() as u64;
    match value.as_str().parse::<u64>() {
        Ok(millis) if (1..=longest).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => {
            let detail =
                format!("header {DEADLINE_MS}: \"{value}\" is no number from 1 to {longest}");
            Err(Refusal::new(Reason::Invalid, detail))
        }
    }
}

fn count(shared: &Shared, outcome: &Outcome<Whole>) {
    let outcome = match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    };
    let name = shared.identity.name.clone();
    metrics::counter!("requests_total", "entry" => name, "outcome" => outcome).increment(1);
}

fn respond(outcome: Outcome<Whole>) -> Result {
    match outcome {
        Outcome::Answered(whole) => Ok(answered(whole)),
        Outcome::NotRun(refusal) => refused("not-run", not_run_status(refusal.reason), &refusal),
        Outcome::Unknown(refusal) => refused("unknown", unknown_status(refusal.reason), &refusal),
    }
}

fn answered(whole: Whole) -> Response {
    let mut response = Response::new(whole.status);
    response.set_body(whole.body);
    for header in whole.headers {
        response.insert_header(header.name, header.value);
    }
    response.insert_header(OUTCOME, "answered");
    response.insert_header("served-by", whole.instance);
    response
}

fn refused(outcome: &str, status: StatusCode, refusal: &Refusal) -> Result {
    let mut response = reply::json(status, &Body { outcome, refusal })?;
    response.insert_header(OUTCOME, outcome);
    if let Some(span) = refusal.retry_after {
        let seconds = spread(span).as_secs_f64().ceil() as u64;
        response.insert_header("retry-after", seconds.to_string());
    }
    if refusal.reason == Reason::Stopping {
        response.insert_header("connection", "close");
    }
    Ok(response)
}

fn not_run_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::UnknownPool | Reason::SparePool => StatusCode::NotFound,
        Reason::Invalid => StatusCode::BadRequest,
        Reason::Unsupported => StatusCode::NotImplemented,
        _ => StatusCode::ServiceUnavailable,
    }
}

fn unknown_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Silent => StatusCode::GatewayTimeout,
        _ => StatusCode::BadGateway,
    }
}
