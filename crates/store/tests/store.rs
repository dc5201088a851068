//! What the data folder holds after torn writes, damage, full disks and crashes.

use quorum::node::HardState;
use quorum::{Entry, Id, Output, Payload, Snapshot};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use store::{DiskFolder, Error, Folder, Result, Store};

#[derive(Default)]
struct Files {
    files: BTreeMap<String, Vec<u8>>,
    /// Calls that still succeed.
    left: Option<usize>,
}

/// A folder in memory that fails after a number of calls.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Files>>);

impl Memory {
    fn fail_after(&self, calls: Option<usize>) {
        self.0.lock().unwrap().left = calls;
    }

    fn bytes(&self, name: &str) -> Vec<u8> {
        self.0.lock().unwrap().files.get(name).cloned().unwrap_or_default()
    }

    fn set(&self, name: &str, bytes: &[u8]) {
        self.0.lock().unwrap().files.insert(name.to_string(), bytes.to_vec());
    }

    fn call(&self, name: &str) -> Result<()> {
        let mut files = self.0.lock().unwrap();
        match &mut files.left {
            Some(0) => Err(Error::Io {
                action: "write",
                file: name.to_string(),
                source: io::ErrorKind::StorageFull.into(),
            }),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn open(&self) -> Result<(Store, store::Recovered)> {
        Store::open(Box::new(self.clone()))
    }
}

impl Folder for Memory {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.0.lock().unwrap().files.get(name).cloned())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.call(name)?;
        self.0.lock().unwrap().files.entry(name.to_string()).or_default().extend(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.call(name)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.call(name)?;
        self.set(name, bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.call(name)?;
        self.0.lock().unwrap().files.get_mut(name).unwrap().truncate(length as usize);
        Ok(())
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Data(vec![index as u8; 20]) }
}

fn appended(entries: Vec<Entry>) -> Output {
    Output { append: entries, ..Output::default() }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot { index, term, data: vec![7; 50], ..Snapshot::default() }
}

#[test]
fn a_torn_tail_is_cut_at_every_byte() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    let hard_state = HardState { term: 3, vote: Some(Id::new("a", 1)) };
    store
        .save(&Output { hard_state: Some(hard_state.clone()), ..appended(vec![entry(1, 3)]) })
        .unwrap();
    let acknowledged = memory.bytes("log").len();
    store.save(&appended(vec![entry(2, 3), entry(3, 3)])).unwrap();
    let whole = memory.bytes("log");
    for length in acknowledged..whole.len() {
        let torn = Memory::default();
        torn.set("identity", &memory.bytes("identity"));
        torn.set("log", &whole[..length]);
        let (mut store, recovered) = torn.open().unwrap();
        assert_eq!(recovered.state.hard_state, hard_state);
        assert!(recovered.state.entries.starts_with(&[entry(1, 3)]), "at {length}");
        // The tail is gone for good: what follows can be read back.
        let next = recovered.state.entries.last().unwrap().index + 1;
        store.save(&appended(vec![entry(next, 4)])).unwrap();
        let (_, again) = torn.open().unwrap();
        assert_eq!(again.state.entries.last(), Some(&entry(next, 4)), "at {length}");
    }
}

#[test]
fn damage_in_the_middle_is_refused_with_file_and_offset() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    store.save(&appended(vec![entry(1, 1)])).unwrap();
    let second = memory.bytes("log").len();
    store.save(&appended(vec![entry(2, 1)])).unwrap();
    let third = memory.bytes("log").len();
    store.save(&appended(vec![entry(3, 1)])).unwrap();
    let whole = memory.bytes("log");
    for position in second..third {
        let mut bytes = whole.clone();
        bytes[position] ^= 0x40;
        memory.set("log", &bytes);
        match memory.open().err() {
            Some(Error::Damaged { file, offset, .. }) => {
                assert_eq!((file.as_str(), offset), ("log", second as u64), "at {position}");
            }
            other => panic!("at {position}: {other:?}"),
        }
    }
    memory.set("log", &whole);
    let mut bytes = memory.bytes("identity");
    bytes[9] ^= 1;
    memory.set("identity", &bytes);
    assert!(matches!(memory.open().err(), Some(Error::Damaged { file, .. }) if file == "identity"));
}

#[test]
fn nothing_is_taken_after_a_failed_write_or_sync() {
    for calls in 0..2 {
        let memory = Memory::default();
        let (mut store, _) = memory.open().unwrap();
        store.save(&appended(vec![entry(1, 1)])).unwrap();
        memory.fail_after(Some(calls));
        assert!(store.save(&appended(vec![entry(2, 1)])).is_err());
        memory.fail_after(None);
        assert!(matches!(store.save(&appended(vec![entry(2, 1)])), Err(Error::Failed)));
        assert!(store.has_failed());
        let (_, recovered) = memory.open().unwrap();
        assert_eq!(recovered.state.entries[0], entry(1, 1), "acknowledged entries are kept");
    }
}

#[test]
fn a_crash_at_any_step_of_a_snapshot_loses_nothing() {
    for calls in 0..3 {
        let memory = Memory::default();
        let (mut store, _) = memory.open().unwrap();
        let entries: Vec<Entry> = (1..=6).map(|index| entry(index, 1)).collect();
        store.save(&Output { commit_index: Some(4), ..appended(entries.clone()) }).unwrap();
        memory.fail_after(Some(calls));
        let _ = store.compact(&snapshot(4, 1), &entries[4..]);
        memory.fail_after(None);
        let (_, recovered) = memory.open().unwrap();
        let state = recovered.state;
        assert_eq!(state.commit_index, 4);
        let last = state.entries.last().map_or(state.snapshot.index, |entry| entry.index);
        assert_eq!(last, 6, "after {calls} calls");
        assert_eq!(state.entries.first().unwrap().index, state.snapshot.index + 1);
        goes_on(&memory, 7);
    }
}

/// The next entry can be written and read back.
fn goes_on(memory: &Memory, index: u64) {
    let (mut store, _) = memory.open().unwrap();
    store.save(&appended(vec![entry(index, 9)])).unwrap();
    let (_, recovered) = memory.open().unwrap();
    assert_eq!(recovered.state.entries.last(), Some(&entry(index, 9)));
}

/// A leader's snapshot replaces entries that were never committed. They must not
/// come back behind it when the process dies before the log is rewritten.
#[test]
fn entries_of_another_history_do_not_follow_a_snapshot() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    store.save(&appended((1..=6).map(|index| entry(index, 1)).collect())).unwrap();
    memory.fail_after(Some(1)); // the snapshot is written, the log is not
    let install_snapshot = Output { install_snapshot: Some(snapshot(4, 2)), ..Output::default() };
    assert!(store.save(&install_snapshot).is_err());
    memory.fail_after(None);
    let (_, recovered) = memory.open().unwrap();
    assert_eq!(recovered.state.snapshot.index, 4);
    assert_eq!(recovered.state.entries, []);
    goes_on(&memory, 5);
}

#[test]
fn a_snapshot_far_ahead_of_the_log_is_followed() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    store.save(&appended(vec![entry(1, 1)])).unwrap();
    memory.fail_after(Some(1)); // the snapshot is written, the log is not
    let install_snapshot = Output { install_snapshot: Some(snapshot(10, 2)), ..Output::default() };
    assert!(store.save(&install_snapshot).is_err());
    memory.fail_after(None);
    goes_on(&memory, 11);
}

#[test]
fn a_truncated_and_rewritten_tail_is_read_back() {
    let path = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(Box::new(DiskFolder::open(path.path()).unwrap())).unwrap();
    store.save(&appended(vec![entry(1, 1), entry(2, 1), entry(3, 1)])).unwrap();
    store.save(&Output { truncate: Some(2), ..appended(vec![entry(2, 2)]) }).unwrap();
    drop(store);
    let (_, recovered) = Store::open(Box::new(DiskFolder::open(path.path()).unwrap())).unwrap();
    assert_eq!(recovered.state.entries, [entry(1, 1), entry(2, 2)]);
}
