//! Background tasks: routing table, sharing of announcements, joining the
//! cluster, confirming releases.

use crate::agreement;
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::task;
use fleet::Command;
use fleet::command::{Join, Leave, Release};
use log::info;
use record::PoolId;
use route::directory::Releasable;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use wire::Frame;

/// Longest time between two looks at expired targets.
const REBUILD_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks at pending moves.
const RELEASE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds of passing announcements on.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);
/// Claims in one frame, each with an answer of 64 KiB at most.
const CLAIMS_PER_FRAME: usize = 256;
/// Time between two tries to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Rebuilds the routing table whenever records or targets change.
pub async fn refresh_table(shared: Arc<Shared>) {
    while !shared.is_stopping() || !shared.links().is_empty() {
        let woken = timeout(REBUILD_INTERVAL, shared.changed.recv()).await.is_ok();
        let now = shared.clock.now();
        let expired = shared.directory().expire(now);
        if woken || expired {
            rebuild(&shared);
        }
        shared.gate.start_waiting();
    }
}

/// Confirms moves as they become possible. A task of its own: a proposal may wait
/// for a leader, and the routing table must not.
pub async fn confirm_releases(shared: Arc<Shared>) {
    while !shared.is_stopping() {
        release_idle(&shared).await;
        task::sleep(RELEASE_INTERVAL).await;
    }
}

fn rebuild(shared: &Shared) {
    let fleet = shared.fleet.read().expect("no holder panics");
    let ready = agreement::may_route(&fleet, &shared.identity);
    let mut directory = shared.directory();
    let table = directory.table(&fleet, ready);
    shared.forwarder.retain(&table);
    let before = shared.table.swap(Arc::new(table));
    shared.gate.reload_table();
    // A request that read the old table may still be about to take a slot, so
    // releases wait for the next round.
    directory.record_withdrawn(&fleet, shared.clock.now());
    announce_pools(shared);
    if before.ready != ready {
        info!("routing is {}", if ready { "ready" } else { "not ready" });
    }
}

/// Tells the peers which pools have targets here, when that has changed.
fn announce_pools(shared: &Shared) {
    let table = shared.table.load();
    let served = table.pools.iter().filter(|(_, pool)| !pool.targets.is_empty());
    let served: BTreeSet<PoolId> = served.map(|(name, _)| name.clone()).collect();
    if **shared.serving_here.load() == served {
        return;
    }
    shared.serving_here.store(Arc::new(served.clone()));
    for link in shared.links() {
        link.send(Frame::Serving(served.clone()));
    }
}

/// Confirms moves of instances that this entry has nothing in flight at.
async fn release_idle(shared: &Shared) {
    let released: Vec<Releasable> = {
        let fleet = shared.fleet.read().expect("no holder panics");
        let now = shared.clock.now();
        if !agreement::has_joined(&fleet, &shared.identity) {
            return;
        }
        shared.directory().releasable(&fleet, &shared.identity.name, now)
    };
    for Releasable { instance, start_index } in released {
        let release = Release {
            entry: shared.identity.name.clone(),
            incarnation: shared.identity.process_incarnation,
            instance,
            start_index,
            at: shared.clock.wall(),
        };
        shared.propose(Command::Release(release)).await;
    }
}

/// Passes announcements that this entry heard on to its data centre.
pub async fn share_sightings(shared: Arc<Shared>) {
    let mut since = Duration::ZERO;
    while !shared.is_stopping() {
        task::sleep(SHARE_INTERVAL).await;
        let now = shared.clock.now();
        let sightings = shared.directory().sightings_since(now, since);
        since = now;
        if sightings.is_empty() {
            continue;
        }
        for link in shared.links() {
            if link.identity.data_centre == shared.identity.data_centre {
                link.send(Frame::Sightings(sightings.clone()));
            }
        }
    }
}

/// Joins the cluster once this entry has its state, and again after a dismissal.
pub async fn join_cluster(shared: Arc<Shared>) {
    while !shared.is_stopping() {
        let joined = agreement::has_joined(
            &shared.fleet.read().expect("no holder panics"),
            &shared.identity,
        );
        if !joined && shared.view.load().leader.is_some() {
            let join = Join {
                entry: shared.identity.name.clone(),
                data_centre: shared.identity.data_centre.clone(),
                incarnation: shared.identity.process_incarnation,
                data_folder_id: shared.identity.durable.then_some(shared.identity.incarnation),
                at: shared.clock.wall(),
            };
            shared.propose(Command::Join(join)).await;
        }
        task::sleep(JOIN_INTERVAL).await;
    }
}

/// Hands what was settled under this life's keys to the data centre, so that a
/// resend after the stop still gets its answer.
pub fn hand_over_claims(shared: &Shared) {
    let settled = shared.idempotency_keys.completed();
    for link in shared.links() {
        if link.identity.data_centre == shared.identity.data_centre {
            for part in settled.chunks(CLAIMS_PER_FRAME) {
                link.send(Frame::Claims(part.to_vec()));
            }
        }
    }
}

/// Leaves the cluster, so that no move waits for this entry.
pub async fn leave(shared: &Shared) {
    let leave = Leave {
        entry: shared.identity.name.clone(),
        incarnation: shared.identity.process_incarnation,
        at: shared.clock.wall(),
    };
    shared.propose(Command::Leave(leave)).await;
}
