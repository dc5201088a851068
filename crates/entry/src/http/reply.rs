//! Request and response helpers shared by the handlers.

use crate::secret::Secret;
use serde::Serialize;
use std::time::Duration;
use tide::{Body, Request, Response, StatusCode};

/// Longest time for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a handler.
pub type Result = tide::Result<Response>;

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Builds a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Result {
    Ok(Response::builder(status).body(Body::from_json(value)?).build())
}

/// Builds an error response; `reason` names the header, field or resource at fault.
pub fn error(status: StatusCode, reason: &str) -> Result {
    json(status, &ErrorBody { error: reason })
}

/// Returns the bearer token of a request.
fn bearer_token<S>(request: &Request<S>) -> Option<&str> {
    request.header("authorization")?.as_str().strip_prefix("Bearer ")
}

/// Returns whether the request has this bearer token.
pub fn has_token<S>(request: &Request<S>, secret: &Secret) -> bool {
    bearer_token(request).is_some_and(|token| secret.matches(token))
}

/// Reads a request body. Returns none if it is longer than `max_bytes`, and an error if
/// it is shorter than its declared length or arrives too slowly.
pub async fn read_body<S>(
    request: &mut Request<S>,
    max_bytes: usize,
) -> std::io::Result<Option<Vec<u8>>> {
    use async_std::io::ReadExt;
    let declared = request.len();
    if declared.is_some_and(|length| length > max_bytes) {
        return Ok(None);
    }
    let mut body = Vec::new();
    let mut bounded = request.take_body().take(max_bytes as u64 + 1);
    let read = bounded.read_to_end(&mut body);
    async_std::io::timeout(BODY_TIMEOUT, read).await?;
    if declared.is_some_and(|length| length != body.len()) {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok((body.len() <= max_bytes).then_some(body))
}
