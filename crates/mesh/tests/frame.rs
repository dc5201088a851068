//! Size of the frames that carry the log and its snapshots.

use mesh::Frame;
use quorum::message::{AppendRequest, InstallSnapshot};
use quorum::{Entry, Index, Membership, Message, Payload, Snapshot, Term};
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

#[test]
fn a_snapshot_is_not_sent_byte_by_byte_as_numbers() {
    let data: Vec<u8> = (0..=255).cycle().take(1 << 20).collect();
    let snapshot = Snapshot { index: 7, term: 2, data, ..Snapshot::default() };
    let install = InstallSnapshot { term: 2, snapshot, sent_at: Duration::from_secs(1) };
    let frame = Frame::Quorum(Message::InstallSnapshot(install));
    let size = frame.encode().len();
    assert!(size <= (1 << 20) + MAX_OVERHEAD, "{size} bytes for a snapshot of a megabyte");
    assert_eq!(Frame::decode(&frame.encode()).unwrap(), frame);
}

/// A snapshot as versions before this one write it, with its state as a list of numbers.
#[derive(serde::Serialize, serde::Deserialize)]
struct EarlierSnapshot {
    index: Index,
    term: Term,
    membership: Membership,
    data: Vec<u8>,
}

#[test]
fn snapshots_are_read_by_earlier_versions_and_theirs_by_this_one() {
    let data = vec![0, 7, 255];
    let snapshot = Snapshot { index: 7, term: 2, data: data.clone(), ..Snapshot::default() };
    let mut bytes = Vec::new();
    ciborium::into_writer(&snapshot, &mut bytes).unwrap();
    let earlier: EarlierSnapshot = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(earlier.data, data);
    bytes.clear();
    ciborium::into_writer(&earlier, &mut bytes).unwrap();
    assert_eq!(ciborium::from_reader::<Snapshot, _>(bytes.as_slice()).unwrap(), snapshot);
}
