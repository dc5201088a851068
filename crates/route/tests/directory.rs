//! The directory of targets: announcements, expiry, the routing table, and when a moving
//! instance can be released.

use fleet::command::Join;
use fleet::{Change, Command, Fleet, Submission};
use record::{Document, Kind};
use route::Directory;
use route::directory::Releasable;
use route::target::{Announcement, State};
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

const INTERVAL: Duration = Duration::from_secs(5);
const EXPIRY: Duration = Duration::from_secs(16);

fn directory() -> Directory {
    Directory::new("north".to_string(), INTERVAL, EXPIRY)
}

fn announcement(instance: &str, sequence: u64, state: State, in_flight: u32) -> Announcement {
    Announcement {
        instance: instance.to_string(),
        incarnation: 1,
        sequence,
        address: ([127, 0, 0, 1], 80).into(),
        state,
        in_flight,
    }
}

fn document(kind: Kind, name: &str, revision: Option<u64>, spec: serde_json::Value) -> Change {
    Change::Put(Document { kind, schema: 1, name: name.to_string(), revision, spec })
}

fn instance(name: &str, pool: &str, revision: Option<u64>) -> Change {
    let spec = serde_json::json!({
        "pool": pool, "data_centre": "north", "rack": "r", "cores": 1, "memory_gb": 1,
        "slots": 8, "connections": 64,
    });
    document(Kind::Instance, name, revision, spec)
}

/// Two pools, instance `w` in the first, entries `a` and `b` in data centre `north`.
fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for (index, entry) in [(1, "a"), (2, "b")] {
        let join = Join {
            entry: entry.to_string(),
            data_centre: "north".to_string(),
            incarnation: 1,
            data_folder_id: None,
            at: SystemTime::UNIX_EPOCH,
        };
        fleet.apply(index, &Command::Join(join)).unwrap();
    }
    let pool = |name| {
        document(Kind::Pool, name, None, serde_json::json!({ "description": "", "size": 1 }))
    };
    submit(&mut fleet, 3, vec![pool("p"), pool("q"), instance("w", "p", None)]);
    fleet
}

fn submit(fleet: &mut Fleet, index: u64, changes: Vec<Change>) {
    let submission = Submission {
        operator: "ana".to_string(),
        id: format!("s{index}"),
        at: SystemTime::UNIX_EPOCH,
        changes,
    };
    fleet.apply(index, &Command::Submit(submission)).unwrap();
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[test]
fn expired_and_reordered_announcements_are_ignored() {
    let mut directory = directory();
    assert!(directory.record_announcement(
        secs(1),
        Duration::ZERO,
        announcement("w", 2, State::Leaving, 0)
    ));
    assert!(!directory.record_announcement(
        secs(2),
        Duration::ZERO,
        announcement("w", 1, State::Serving, 0)
    ));
    assert_eq!(directory.announcement("w").unwrap().state, State::Leaving);
    assert!(!directory.record_announcement(
        secs(99),
        secs(60),
        announcement("old", 1, State::Serving, 0)
    ));
    assert_eq!(directory.len(), 1);
}

#[test]
fn slots_are_shared_among_the_entries_of_the_data_centre() {
    let (mut directory, fleet) = (directory(), fleet());
    directory.record_announcement(secs(1), Duration::ZERO, announcement("w", 1, State::Serving, 0));
    let table = directory.table(&fleet, true);
    assert_eq!(table.pools["p"].targets[0].health.limit(), 4);
    assert_eq!(table.pools["p"].instance_count, 1);
    assert!(directory.expire(secs(18)));
    assert!(directory.table(&fleet, true).pools["p"].targets.is_empty());
}

#[test]
fn many_targets_have_longer_intervals_and_expiry() {
    let mut directory = directory();
    directory.table(&fleet(), true);
    for number in 0..282 {
        let name = format!("w{number}");
        directory.record_announcement(
            secs(1),
            Duration::ZERO,
            announcement(&name, 1, State::Serving, 0),
        );
    }
    // 282 targets over two entries at five announcements a second each.
    assert_eq!(directory.announce_interval(), Duration::from_millis(28_200));
    assert!(!directory.expire(secs(80)));
    assert!(directory.expire(secs(90)));
}

#[test]
fn a_moving_instance_is_releasable_only_when_idle() {
    let (mut directory, mut fleet) = (directory(), fleet());
    directory.record_announcement(secs(1), Duration::ZERO, announcement("w", 1, State::Serving, 1));
    let before = directory.table(&fleet, true);
    let in_flight = before.pools["p"].targets[0].in_flight.clone();
    in_flight.fetch_add(1, Ordering::AcqRel); // a request in flight
    submit(&mut fleet, 4, vec![instance("w", "q", Some(1))]);

    let table = directory.table(&fleet, true);
    assert!(table.pools.values().all(|pool| pool.targets.is_empty()));
    directory.record_withdrawn(&fleet, secs(10));
    let releasable = |directory: &Directory, now| directory.releasable(&fleet, &"a".into(), now);
    assert_eq!(releasable(&directory, secs(10)), [], "a request may still use the old table");
    assert_eq!(releasable(&directory, secs(11)), [], "a request is in flight");
    in_flight.fetch_sub(1, Ordering::AcqRel);
    assert_eq!(releasable(&directory, secs(11)), [], "the target has not announced itself since");
    directory.record_announcement(
        secs(12),
        Duration::ZERO,
        announcement("w", 2, State::Serving, 1),
    );
    assert_eq!(releasable(&directory, secs(12)), [], "the target still runs a request");
    directory.record_announcement(
        secs(13),
        Duration::ZERO,
        announcement("w", 3, State::Serving, 0),
    );
    let expected = Releasable { instance: "w".to_string(), start_index: 4 };
    assert_eq!(releasable(&directory, secs(13)), std::slice::from_ref(&expected));
    assert_eq!(directory.releasable(&fleet, &"c".into(), secs(13)), [], "c is not a member");

    // A target that is not known any more runs nothing.
    let mut without_target = self::directory();
    without_target.record_withdrawn(&fleet, secs(10));
    assert_eq!(without_target.releasable(&fleet, &"a".into(), secs(11)), [expected]);
}
