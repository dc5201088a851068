//! Answers that the handlers share.

use crate::secret::Secret;
use serde::Serialize;
use std::time::Duration;
use tide::{Body, Request, Response, StatusCode};

/// Longest time that a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a handler.
pub type Result = tide::Result<Response>;

/// Body of an answer that turns a request down.
#[derive(Debug, Serialize)]
struct Fault<'a> {
    error: &'a str,
}

/// An answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Result {
    Ok(Response::builder(status).body(Body::from_json(value)?).build())
}

/// An answer that turns a request down.
pub fn fault(status: StatusCode, reason: &str) -> Result {
    json(status, &Fault { error: reason })
}

/// The bearer token of a request.
fn token<S>(request: &Request<S>) -> Option<&str> {
    request.header("authorization")?.as_str().strip_prefix("Bearer ")
}

/// Whether the request carries this token.
pub fn carries<S>(request: &Request<S>, secret: &Secret) -> bool {
    token(request).is_some_and(|token| secret.matches(token))
}

/// Reads a body of at most `max` bytes that is as long as it says.
pub async fn read_body<S>(
    request: &mut Request<S>,
    max: usize,
) -> std::io::Result<Option<Vec<u8>>> {
    use async_std::io::ReadExt;
    let declared = request.len();
    if declared.is_some_and(|length| length > max) {
        return Ok(None);
    }
    let mut body = Vec::new();
    let mut bounded = request.take_body().take(max as u64 + 1);
    let read = bounded.read_to_end(&mut body);
    async_std::io::timeout(BODY_TIMEOUT, read).await?;
    if declared.is_some_and(|length| length != body.len()) {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok((body.len() <= max).then_some(body))
}
