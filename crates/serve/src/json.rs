//! JSON bodies: their memory while they are handled, and how they are parsed.

use crate::body::Body;
use crate::budget::Charge;
use http_types::{Request, StatusCode};
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Memory of an object beside its members: a struct of several strings and numbers.
const OBJECT_BYTES: usize = 512;
/// Memory of an element or member: a string or a number in a collection.
const MEMBER_BYTES: usize = 32;
/// Copies of the body's text: the body, the strings of what is parsed, and a copy that is passed on.
const TEXT_COPIES: usize = 3;

/// Returns the memory that a JSON text takes when it is parsed into structs, in bytes. It is an
/// estimate by the number of objects and members.
///
/// ```
/// assert!(serve::json::memory_bytes(b"[{},{},{}]") > 1500);
/// assert!(serve::json::memory_bytes(&[b'x'; 1500]) <= 4500);
/// ```
pub fn memory_bytes(text: &[u8]) -> usize {
    let estimate = |byte: &u8| match byte {
        b'{' => OBJECT_BYTES,
        b',' => MEMBER_BYTES,
        _ => 0,
    };
    text.len() * TEXT_COPIES + text.iter().map(estimate).sum::<usize>()
}

/// Charges a request for what its body takes when it is parsed. The error is the response if there
/// is too little memory.
pub fn charge(request: &Request, body: &Body) -> http_types::Result<()> {
    let Some(charge) = request.ext().get::<Arc<Charge>>() else { return Ok(()) };
    let bytes = body.blocks().map(memory_bytes).sum::<usize>();
    charge
        .begin_handling(crate::stream::REQUEST_BYTES + bytes)
        .map_err(|error| http_types::Error::from_str(StatusCode::ServiceUnavailable, error))
}

/// Parses a body.
pub fn parse<T: DeserializeOwned>(body: &Body) -> serde_json::Result<T> {
    match body.as_slice() {
        Some(bytes) => serde_json::from_slice(bytes),
        None => serde_json::from_reader(body.reader()),
    }
}
