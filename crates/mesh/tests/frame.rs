//! Size of the frames that carry the log.

use mesh::Frame;
use quorum::message::AppendRequest;
use quorum::{Entry, Message, Payload};
use std::time::Duration;

/// Bytes around an entry in a frame: names of fields, numbers and lengths.
const MAX_OVERHEAD: usize = 200;

#[test]
fn the_log_is_not_sent_byte_by_byte_as_numbers() {
    let data: Vec<u8> = (0..=255).cycle().take(4096).collect();
    let entry = Entry { index: 7, term: 2, payload: Payload::Data(data.clone()) };
    let append = AppendRequest {
        term: 2,
        prev_index: 6,
        prev_term: 2,
        entries: vec![entry],
        commit_index: 6,
        sent_at: Duration::from_secs(1),
    };
    let frame = Frame::Quorum(Message::AppendRequest(append));
    let size = frame.encode().len();
    assert!(size <= data.len() + MAX_OVERHEAD, "{size} bytes for an entry of {}", data.len());
    assert_eq!(Frame::decode(&frame.encode()).unwrap(), frame);
}
