//! Background tasks of a running entry: rebuild the routing table, pass on target
//! announcements, join the cluster and confirm moves. Also the last steps of a stop:
//! handing over claims and leaving the cluster.

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

/// Time between two checks for expired targets.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two checks of pending moves.
const RELEASE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds of passing on announcements.
const SHARE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of claims in one frame; each holds a response of up to 64 KiB.
const MAX_CLAIMS_PER_FRAME: usize = 256;
/// Time between two attempts to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Rebuilds the routing table when records or targets have changed or a target has
/// expired. Also admits waiting requests, since the end of a quarantine does not. Runs
/// until the process is stopping and has closed its connections to peers.
pub async fn refresh_table(shared: Arc<Shared>) {
    while !shared.is_stopping() || !shared.links().is_empty() {
        let requested =
            timeout(EXPIRY_CHECK_INTERVAL, shared.rebuild_receiver.recv()).await.is_ok();
        let now = shared.clock.now();
        let expired = shared.directory().expire(now);
        if requested || expired {
            rebuild_table(&shared);
        }
        shared.gate.admit_waiting();
    }
}

/// Confirms releases for pending moves. This is a task of its own because a proposal
/// may wait for a leader, and rebuilding the routing table must not wait.
pub async fn confirm_releases(shared: Arc<Shared>) {
    while !shared.is_stopping() {
        release_moving(&shared).await;
        task::sleep(RELEASE_INTERVAL).await;
    }
}

fn rebuild_table(shared: &Shared) {
    let fleet = shared.fleet.read().expect("no holder panics");
    let ready = agreement::may_route(&fleet, &shared.identity);
    let mut directory = shared.directory();
    let table = directory.table(&fleet, ready);
    shared.forwarder.retain(&table);
    let previous = shared.table.swap(Arc::new(table));
    shared.gate.reload_table();
    // A request that read the old table may still take a slot, so releases wait for
    // the next round.
    directory.record_withdrawn(&fleet, shared.clock.now());
    announce_pools(shared);
    if previous.ready != ready {
        info!("routing is {}", if ready { "ready" } else { "not ready" });
    }
}

/// Tells the peers which pools have targets here, if the set has changed.
fn announce_pools(shared: &Shared) {
    let table = shared.table.load();
    let with_targets = table.pools.iter().filter(|(_, pool)| !pool.targets.is_empty());
    let local_pools: BTreeSet<PoolId> = with_targets.map(|(name, _)| name.clone()).collect();
    if **shared.local_pools.load() == local_pools {
        return;
    }
    shared.local_pools.store(Arc::new(local_pools.clone()));
    for link in shared.links() {
        link.send(Frame::Serving(local_pools.clone()));
    }
}

/// Proposes the release of each moving instance that this entry no longer uses.
async fn release_moving(shared: &Shared) {
    let releasable: Vec<Releasable> = {
        let fleet = shared.fleet.read().expect("no holder panics");
        let now = shared.clock.now();
        if !agreement::has_joined(&fleet, &shared.identity) {
            return;
        }
        shared.directory().releasable(&fleet, &shared.identity.name, now)
    };
    for Releasable { instance, start_index } in releasable {
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

/// Passes target announcements that this entry received to its data centre.
pub async fn share_sightings(shared: Arc<Shared>) {
    let mut last_round_at = Duration::ZERO;
    while !shared.is_stopping() {
        task::sleep(SHARE_INTERVAL).await;
        let now = shared.clock.now();
        let sightings = shared.directory().sightings_since(now, last_round_at);
        last_round_at = now;
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

/// Joins the cluster once a leader is known, and again whenever this process is no
/// longer a member, such as after an operator dismissed the entry.
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

/// Sends the completed claims of this process to its data centre, so that a resend
/// after the stop still gets its outcome.
pub fn hand_over_claims(shared: &Shared) {
    let claims = shared.idempotency_keys.completed();
    for link in shared.links() {
        if link.identity.data_centre == shared.identity.data_centre {
            for chunk in claims.chunks(MAX_CLAIMS_PER_FRAME) {
                link.send(Frame::Claims(chunk.to_vec()));
            }
        }
    }
}

/// Leaves the cluster, so that no pending move waits for this entry's release.
pub async fn leave(shared: &Shared) {
    let leave = Leave {
        entry: shared.identity.name.clone(),
        incarnation: shared.identity.process_incarnation,
        at: shared.clock.wall(),
    };
    shared.propose(Command::Leave(leave)).await;
}
