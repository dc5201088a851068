//! Status and dump of the process, for operators.

use crate::agreement::View;
use crate::settings::Settings;
use crate::shared::Shared;
use fleet::{Index, Member, Placement};
use record::{EntryId, InstanceId, PoolId};
use route::target::Sighting;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

/// Time since contact with the leader up to which an answer counts as current.
pub const CURRENT_WITHIN: Duration = Duration::from_secs(2);

/// Status of one entry and what it knows of the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry that answers.
    pub entry: EntryId,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Incarnation of the data folder, or of the process if it has none, as 16 hex
    /// digits.
    pub incarnation: String,
    /// Whether the entry routes requests.
    pub ready: bool,
    /// Whether a graceful stop has begun.
    pub stopping: bool,
    /// Name of the leader, if one is known.
    pub leader: Option<EntryId>,
    /// Current term.
    pub term: u64,
    /// Whether a leader in contact with a majority sent a message in the last
    /// [`CURRENT_WITHIN`].
    pub current: bool,
    /// Last log index applied by this entry.
    pub applied: Index,
    /// Voters, as name/incarnation.
    pub voters: Vec<String>,
    /// Connection, membership and applied index of each entry, as seen here.
    pub entries: Vec<EntryState>,
    /// Pools and their targets in this data centre.
    pub pools: Vec<PoolState>,
    /// Error after which commands are no longer applied.
    #[serde(rename = "held")]
    pub apply_failure: Option<String>,
    /// Error after which nothing more is written to disk.
    pub disk_failure: Option<String>,
}

/// Connection, membership and applied index of one entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryState {
    /// Name of the entry.
    pub entry: EntryId,
    /// Whether it is connected now; true for the entry that answers.
    pub connected: bool,
    /// Whether it is a member of the cluster.
    pub member: bool,
    /// Last log index that it is known to have applied; 0 if none.
    pub applied: Index,
    /// When that index was first seen, by the wall clock of the entry that answers.
    pub since: Option<SystemTime>,
}

/// One pool in this data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolState {
    /// Name of the pool.
    pub pool: PoolId,
    /// Whether the pool holds replacement instances and takes no requests.
    pub spare: bool,
    /// Targets in the routing table.
    pub targets: Vec<TargetState>,
}

/// One target in the routing table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetState {
    /// Instance that the target runs on.
    pub instance: InstanceId,
    /// Address that takes requests.
    pub address: String,
    /// Number of requests that this entry has in flight there.
    pub in_flight: u32,
    /// Largest number of requests that this entry may have in flight there.
    pub limit: u32,
    /// Whether the target gets only probe requests, after failures.
    pub quarantined: bool,
}

/// Complete state of the process.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// Wall-clock time of the dump.
    pub at: SystemTime,
    /// Settings, with keys and tokens hidden.
    pub settings: Settings,
    /// Status, as for `/status`.
    pub status: Status,
    /// State of the agreement.
    pub agreement: View,
    /// Open connections to peers.
    pub links: Vec<LinkState>,
    /// Number of requests that wait for a slot, by pool.
    pub waiting: BTreeMap<PoolId, usize>,
    /// Number of idempotency keys claimed here and remembered.
    pub claims: usize,
    /// Targets known from announcements.
    pub sightings: Vec<Sighting>,
    /// Pool and data centre of each instance.
    pub placements: BTreeMap<InstanceId, Placement>,
    /// Entries that are members of the cluster.
    pub members: BTreeMap<EntryId, Member>,
    /// Number of records, withdrawn ones included.
    pub records: usize,
    /// Number of journal notes kept.
    pub notes: usize,
}

/// One connection to a peer.
#[derive(Debug, Serialize)]
pub struct LinkState {
    /// Name of the peer.
    pub entry: EntryId,
    /// Incarnation of the peer in the agreement, as 16 hex digits.
    pub incarnation: String,
    /// Time since the connection was opened.
    pub open: Duration,
    /// Number of frames sent.
    pub frames_out: u64,
    /// Number of bytes sent.
    pub bytes_out: u64,
    /// Number of frames received.
    pub frames_in: u64,
    /// Number of bytes received.
    pub bytes_in: u64,
}

/// Returns the time since the last message from a leader that was in contact with a
/// majority; none before the first.
pub fn leader_silence(shared: &Shared) -> Option<Duration> {
    shared.view.load().leader_silence
}

/// Returns the status of this entry.
pub fn status(shared: &Shared) -> Status {
    let view = shared.view.load();
    let fleet = shared.fleet.read().expect("no holder panics");
    Status {
        entry: shared.identity.name.clone(),
        data_centre: shared.identity.data_centre.clone(),
        incarnation: format!("{:016x}", shared.identity.incarnation),
        ready: shared.table.load().ready,
        stopping: shared.is_stopping(),
        leader: view.leader.as_ref().map(|leader| leader.name.clone()),
        term: view.term,
        current: view.leader_silence.is_some_and(|leader_silence| leader_silence < CURRENT_WITHIN),
        applied: fleet.applied(),
        voters: view.membership.voters.iter().map(quorum::Id::to_string).collect(),
        entries: entries(shared, &fleet),
        pools: pools(shared),
        apply_failure: view.apply_failure.clone(),
        disk_failure: view.disk_failure.clone(),
    }
}

fn entries(shared: &Shared, fleet: &fleet::Fleet) -> Vec<EntryState> {
    let links = shared.links();
    let applied_history = shared.applied_history.lock().expect("no holder panics");
    let state = |peer: &crate::settings::Peer| {
        let last = applied_history.get(&peer.name).and_then(|history| history.last_key_value());
        EntryState {
            entry: peer.name.clone(),
            connected: peer.name == shared.identity.name
                || links.iter().any(|link| link.identity.name == peer.name),
            member: fleet.members().contains_key(&peer.name),
            applied: last.map_or(0, |(index, _)| *index),
            since: last.map(|(_, at)| *at),
        }
    };
    shared.settings.entries.iter().map(state).collect()
}

fn pools(shared: &Shared) -> Vec<PoolState> {
    let table = shared.table.load();
    let target = |target: &route::table::Target| TargetState {
        instance: target.instance.clone(),
        address: target.address.to_string(),
        in_flight: target.in_flight.load(Ordering::Relaxed),
        limit: target.health.limit(),
        quarantined: target.health.is_quarantined(),
    };
    let pool = |(name, pool): (&PoolId, &route::table::Pool)| PoolState {
        pool: name.clone(),
        spare: pool.spare,
        targets: pool.targets.iter().map(target).collect(),
    };
    table.pools.iter().map(pool).collect()
}

/// Returns the complete state of the process.
pub fn dump(shared: &Shared) -> Dump {
    let now = shared.clock.now();
    let status = status(shared);
    let fleet = shared.fleet.read().expect("no holder panics");
    Dump {
        at: shared.clock.wall(),
        settings: shared.settings.clone(),
        status,
        agreement: (**shared.view.load()).clone(),
        links: shared.links().iter().map(|link| link_state(link, now)).collect(),
        waiting: shared.gate.waiting(),
        claims: shared.idempotency_keys.len(),
        sightings: shared.directory().sightings(now),
        placements: fleet.placements().clone(),
        members: fleet.members().clone(),
        records: fleet.records().len(),
        notes: fleet.journal().len(),
    }
}

fn link_state(link: &crate::link::Link, now: Duration) -> LinkState {
    let traffic = &link.traffic;
    LinkState {
        entry: link.identity.name.clone(),
        incarnation: format!("{:016x}", link.identity.incarnation),
        open: now.saturating_sub(link.opened_at),
        frames_out: traffic.frames_out.load(Ordering::Relaxed),
        bytes_out: traffic.bytes_out.load(Ordering::Relaxed),
        frames_in: traffic.frames_in.load(Ordering::Relaxed),
        bytes_in: traffic.bytes_in.load(Ordering::Relaxed),
    }
}
