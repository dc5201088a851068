//! Recovery of the data folder after torn writes, damage, full disks and crashes.

use quorum::node::HardState;
use quorum::{Entry, Id, Output, Payload, Snapshot};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use store::{DiskFolder, Error, Folder, Result, Store};

#[derive(Default)]
struct Files {
    files: BTreeMap<String, Vec<u8>>,
    /// Content of the files that a loss of power leaves.
    synced: BTreeMap<String, Vec<u8>>,
    /// Number of writing calls that still succeed; none for no limit.
    calls_left: Option<usize>,
}

/// An in-memory folder whose writes fail after a number of calls.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Files>>);

impl Memory {
    fn fail_after(&self, calls: Option<usize>) {
        self.0.lock().unwrap().calls_left = calls;
    }

    fn bytes(&self, name: &str) -> Vec<u8> {
        self.0.lock().unwrap().files.get(name).cloned().unwrap_or_default()
    }

    fn set(&self, name: &str, bytes: &[u8]) {
        self.0.lock().unwrap().files.insert(name.to_string(), bytes.to_vec());
    }

    /// Drops all that was not synced.
    fn lose_power(&self) {
        let mut files = self.0.lock().unwrap();
        files.files = files.synced.clone();
    }

    /// Makes a file durable.
    fn keep(&self, name: &str) {
        let mut files = self.0.lock().unwrap();
        let content = files.files.get(name).cloned().unwrap_or_default();
        files.synced.insert(name.to_string(), content);
    }

    /// Counts a writing call and fails if none is left.
    fn count_call(&self, name: &str) -> Result<()> {
        let mut files = self.0.lock().unwrap();
        match &mut files.calls_left {
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
        self.count_call(name)?;
        self.0.lock().unwrap().files.entry(name.to_string()).or_default().extend(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.count_call(name)?;
        self.keep(name);
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.count_call(name)?;
        self.set(name, bytes);
        self.keep(name);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> Result<()> {
        self.count_call(name)?;
        self.0.lock().unwrap().files.get_mut(name).unwrap().truncate(length as usize);
        self.keep(name);
        Ok(())
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Data(vec![index as u8; 20]) }
}

fn append_output(entries: Vec<Entry>) -> Output {
    Output { append: entries, ..Output::default() }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot { index, term, data: vec![7; 50], ..Snapshot::default() }
}

/// Guards against entries that a restarted process has answered for and a loss of power takes: they
/// were read after a kill and had never been synced.
#[test]
fn entries_that_were_read_outlive_a_loss_of_power() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    store.save(&append_output(vec![entry(1, 3)])).unwrap();
    memory.fail_after(Some(1)); // the append succeeds, and the process is killed before the sync
    assert!(store.save(&append_output(vec![entry(2, 3)])).is_err());
    memory.fail_after(None);
    drop(store);
    let (store, recovered) = memory.open().unwrap();
    assert_eq!(recovered.state.entries, [entry(1, 3), entry(2, 3)]);
    drop(store);
    memory.lose_power();
    let (_, recovered) = memory.open().unwrap();
    assert_eq!(recovered.state.entries, [entry(1, 3), entry(2, 3)]);
}

#[test]
fn a_tail_torn_at_any_byte_is_truncated() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    let hard_state = HardState { term: 3, vote: Some(Id::new("a", 1)) };
    store
        .save(&Output { hard_state: Some(hard_state.clone()), ..append_output(vec![entry(1, 3)]) })
        .unwrap();
    let acknowledged = memory.bytes("log").len();
    store.save(&append_output(vec![entry(2, 3), entry(3, 3)])).unwrap();
    let whole = memory.bytes("log");
    for length in acknowledged..whole.len() {
        let torn = Memory::default();
        torn.set("identity", &memory.bytes("identity"));
        torn.set("log", &whole[..length]);
        let (mut store, recovered) = torn.open().unwrap();
        assert_eq!(recovered.state.hard_state, hard_state);
        assert!(recovered.state.entries.starts_with(&[entry(1, 3)]), "at {length}");
        // The torn tail is removed from the file, so that new entries can be read back.
        let next = recovered.state.entries.last().unwrap().index + 1;
        store.save(&append_output(vec![entry(next, 4)])).unwrap();
        let (_, reopened) = torn.open().unwrap();
        assert_eq!(reopened.state.entries.last(), Some(&entry(next, 4)), "at {length}");
    }
}

#[test]
fn damage_before_the_tail_is_an_error_with_file_and_offset() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    store.save(&append_output(vec![entry(1, 1)])).unwrap();
    let second = memory.bytes("log").len();
    store.save(&append_output(vec![entry(2, 1)])).unwrap();
    let third = memory.bytes("log").len();
    store.save(&append_output(vec![entry(3, 1)])).unwrap();
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
fn writes_are_refused_after_a_failed_write_or_sync() {
    for calls in 0..2 {
        let memory = Memory::default();
        let (mut store, _) = memory.open().unwrap();
        store.save(&append_output(vec![entry(1, 1)])).unwrap();
        memory.fail_after(Some(calls));
        assert!(store.save(&append_output(vec![entry(2, 1)])).is_err());
        memory.fail_after(None);
        assert!(matches!(store.save(&append_output(vec![entry(2, 1)])), Err(Error::Failed)));
        assert!(store.has_failed());
        let (_, recovered) = memory.open().unwrap();
        assert_eq!(recovered.state.entries[0], entry(1, 1), "acknowledged entries are kept");
    }
}

#[test]
fn a_crash_at_any_step_of_a_compaction_loses_nothing() {
    for calls in 0..3 {
        let memory = Memory::default();
        let (mut store, _) = memory.open().unwrap();
        let entries: Vec<Entry> = (1..=6).map(|index| entry(index, 1)).collect();
        store.save(&Output { commit_index: Some(4), ..append_output(entries.clone()) }).unwrap();
        memory.fail_after(Some(calls));
        let _ = store.compact(&snapshot(4, 1), &entries[4..]);
        memory.fail_after(None);
        let (_, recovered) = memory.open().unwrap();
        let state = recovered.state;
        assert_eq!(state.commit_index, 4);
        let last = state.entries.last().map_or(state.snapshot.index, |entry| entry.index);
        assert_eq!(last, 6, "after {calls} calls");
        assert_eq!(state.entries.first().unwrap().index, state.snapshot.index + 1);
        check_append(&memory, 7);
    }
}

/// Checks that the next entry can be written and read back.
fn check_append(memory: &Memory, index: u64) {
    let (mut store, _) = memory.open().unwrap();
    store.save(&append_output(vec![entry(index, 9)])).unwrap();
    let (_, recovered) = memory.open().unwrap();
    assert_eq!(recovered.state.entries.last(), Some(&entry(index, 9)));
}

/// A leader's snapshot replaces entries that were never committed. They must not follow
/// the snapshot after a crash between writing the snapshot and rewriting the log.
#[test]
fn uncommitted_entries_do_not_follow_an_installed_snapshot() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    store.save(&append_output((1..=6).map(|index| entry(index, 1)).collect())).unwrap();
    memory.fail_after(Some(1)); // the snapshot is written, the log isn't
    let install_snapshot = Output { install_snapshot: Some(snapshot(4, 2)), ..Output::default() };
    assert!(store.save(&install_snapshot).is_err());
    memory.fail_after(None);
    let (_, recovered) = memory.open().unwrap();
    assert_eq!(recovered.state.snapshot.index, 4);
    assert_eq!(recovered.state.entries, []);
    check_append(&memory, 5);
}

#[test]
fn the_log_continues_after_a_snapshot_far_ahead_of_it() {
    let memory = Memory::default();
    let (mut store, _) = memory.open().unwrap();
    store.save(&append_output(vec![entry(1, 1)])).unwrap();
    memory.fail_after(Some(1)); // the snapshot is written, the log isn't
    let install_snapshot = Output { install_snapshot: Some(snapshot(10, 2)), ..Output::default() };
    assert!(store.save(&install_snapshot).is_err());
    memory.fail_after(None);
    check_append(&memory, 11);
}

#[test]
fn a_truncated_and_rewritten_tail_is_read_back() {
    let path = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(Box::new(DiskFolder::open(path.path()).unwrap())).unwrap();
    store.save(&append_output(vec![entry(1, 1), entry(2, 1), entry(3, 1)])).unwrap();
    store.save(&Output { truncate: Some(2), ..append_output(vec![entry(2, 2)]) }).unwrap();
    drop(store);
    let (_, recovered) = Store::open(Box::new(DiskFolder::open(path.path()).unwrap())).unwrap();
    assert_eq!(recovered.state.entries, [entry(1, 1), entry(2, 2)]);
}
