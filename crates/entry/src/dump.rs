//! State of the process, for operators.

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

/// Silence of the leader up to which an answer counts as current.
pub const CURRENT_WITHIN: Duration = Duration::from_secs(2);

/// Short state of one entry and what it knows of the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry.
    pub entry: EntryId,
    /// Its data centre.
    pub data_centre: String,
    /// Incarnation of its data folder, or its life when it has none.
    pub incarnation: String,
    /// Whether requests are routed.
    pub ready: bool,
    /// Whether a stop has begun.
    pub stopping: bool,
    /// The leader it follows.
    pub leader: Option<EntryId>,
    /// Present term.
    pub term: u64,
    /// Whether a leader in touch with a majority was heard from a moment ago.
    pub current: bool,
    /// Last index in force here.
    pub applied: Index,
    /// Voters, as name/incarnation.
    pub voters: Vec<String>,
    /// What each entry has in force, as seen here.
    pub entries: Vec<EntryState>,
    /// Pools and their targets in this data centre.
    pub pools: Vec<PoolState>,
    /// Why commands are no longer applied, if so.
    #[serde(rename = "held")]
    pub apply_failure: Option<String>,
    /// Why the disk takes nothing more, if so.
    pub disk_failure: Option<String>,
}

/// What one entry has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryState {
    /// Its name.
    pub entry: EntryId,
    /// Whether there is a connection to it now.
    pub connected: bool,
    /// Whether it has joined and shares targets.
    pub member: bool,
    /// Last index known to be in force there.
    pub applied: Index,
    /// Since when, by the clock of the entry that answers.
    pub since: Option<SystemTime>,
}

/// One pool in this data centre.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolState {
    /// Its name.
    pub pool: PoolId,
    /// Whether it holds replacements.
    pub spare: bool,
    /// Instances that take new work.
    pub targets: Vec<TargetState>,
}

/// One target in the routing table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetState {
    /// Its instance.
    pub instance: InstanceId,
    /// Where it takes requests.
    pub address: String,
    /// What this entry has in flight there.
    pub in_flight: u32,
    /// What this entry may have in flight there.
    pub limit: u32,
    /// Whether it gets only probes.
    pub quarantined: bool,
}

/// Everything that the process holds.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// When it was taken.
    pub at: SystemTime,
    /// Settings, without keys and tokens.
    pub settings: Settings,
    /// Short state.
    pub status: Status,
    /// The agreement.
    pub agreement: View,
    /// Open connections to peers.
    pub links: Vec<LinkState>,
    /// Requests that wait for a slot, by pool.
    pub waiting: BTreeMap<PoolId, usize>,
    /// Keys that were claimed here and are remembered.
    pub claims: usize,
    /// Targets heard of.
    pub sightings: Vec<Sighting>,
    /// Where instances sit.
    pub placements: BTreeMap<InstanceId, Placement>,
    /// Entries that have joined.
    pub members: BTreeMap<EntryId, Member>,
    /// Number of records, withdrawn ones included.
    pub records: usize,
    /// Number of journal notes kept.
    pub notes: usize,
}

/// One connection to a peer.
#[derive(Debug, Serialize)]
pub struct LinkState {
    /// The peer.
    pub entry: EntryId,
    /// Its incarnation.
    pub incarnation: String,
    /// How long it has been open.
    pub open: Duration,
    /// Frames sent.
    pub frames_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Frames received.
    pub frames_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
}

/// Time since a leader in touch with a majority was heard from.
pub fn leader_silence(shared: &Shared) -> Option<Duration> {
    shared.view.load().leader_silence
}

/// Short state of the entry.
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
    let in_force = shared.applied_history.lock().expect("no holder panics");
    let state = |peer: &crate::settings::Peer| {
        let last = in_force.get(&peer.name).and_then(|history| history.last_key_value());
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

/// Everything that the process holds.
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
        open: now.saturating_sub(link.since),
        frames_out: traffic.frames_out.load(Ordering::Relaxed),
        bytes_out: traffic.bytes_out.load(Ordering::Relaxed),
        frames_in: traffic.frames_in.load(Ordering::Relaxed),
        bytes_in: traffic.bytes_in.load(Ordering::Relaxed),
    }
}
