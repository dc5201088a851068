//! Encoding of files as a sequence of frames. A frame is a header of length and checksum,
//! followed by one CBOR value.

use crate::{Error, Result};
use serde::Serialize;
use serde::de::DeserializeOwned;

const HEADER_BYTES: usize = 8; // u32 length, u32 CRC-32, both little endian

/// Values decoded from a file, and the length of its intact part.
#[derive(Debug)]
pub struct Decoded<T> {
    /// Decoded values in file order.
    pub values: Vec<T>,
    /// Length of the intact part in bytes.
    pub intact_bytes: u64,
}

/// Encodes a value as one frame.
///
/// ```
/// let bytes = store::frame::encode(&7u64);
/// let decoded = store::frame::decode::<u64>("log", &bytes).unwrap();
/// assert_eq!(decoded.values, [7]);
/// ```
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut content = Vec::new();
    ciborium::into_writer(value, &mut content).expect("serializing to memory cannot fail");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend((content.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&content).to_le_bytes());
    bytes.extend(content);
    bytes
}

/// Decodes the frames of a file up to a torn tail.
///
/// An unreadable frame is a torn tail if no intact frame follows it. Otherwise it is
/// damage and an error, since the frames after it were synced later.
pub fn decode<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Result<Decoded<T>> {
    let mut values = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(content) = intact_content(bytes, offset) else {
            if has_intact_frame_after(bytes, offset) {
                return Err(damaged(file, offset, "wrong length or checksum"));
            }
            break;
        };
        let value = ciborium::from_reader(content)
            .map_err(|error| damaged(file, offset, &error.to_string()))?;
        values.push(value);
        offset += HEADER_BYTES + content.len();
    }
    Ok(Decoded { values, intact_bytes: offset as u64 })
}

/// Decodes a file that holds exactly one frame.
pub fn decode_one<T: DeserializeOwned>(file: &str, bytes: &[u8]) -> Result<T> {
    let content =
        intact_content(bytes, 0).ok_or_else(|| damaged(file, 0, "wrong length or checksum"))?;
    ciborium::from_reader(content).map_err(|error| damaged(file, 0, &error.to_string()))
}

/// Content of the frame at an offset, if it is complete and its checksum is correct.
fn intact_content(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length == 0 {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let content = bytes.get(start..start.checked_add(length)?)?;
    (crc32fast::hash(content) == checksum).then_some(content)
}

fn has_intact_frame_after(bytes: &[u8], offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|start| intact_content(bytes, start).is_some())
}

fn damaged(file: &str, offset: usize, reason: &str) -> Error {
    Error::Damaged { file: file.to_string(), offset: offset as u64, reason: reason.to_string() }
}
