//! Forms a new cluster and replaces voters whose disk or instance is lost.

use super::Core;
use log::{info, warn};
use mesh::ProcessInfo;
use quorum::{Id, Membership};
use sched::scheduler::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Upper limit of voters; more would only make a majority slower to reach.
const MAX_VOTERS: usize = 9;
/// Fewest voters that survive the loss of one. No unlinked voter is removed at this number.
const MIN_VOTERS: usize = 3;
/// Number of voters from which on it is kept odd, so that a cut into halves leaves a majority on
/// one side. Below it a new process has to become a voter at once, since another voter may be lost
/// before it could replace one.
const MIN_ODD_VOTERS: usize = 5;
/// Time without a link after which a voter is removed, once a new process has become a
/// voter. Until the removal there are four voters, and losing one more besides the unlinked
/// one loses the majority; the cluster has to survive that loss from 4 s after the new
/// process starts.
const UNLINKED_VOTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a leader after which a process logs which voters it misses, and between two such
/// lines.
const LEADERLESS_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a link after which a voter is removed though no other process takes its place. A
/// restart and most cuts are shorter; a process that comes back later votes again once it has caught
/// up.
const LOST_VOTER_TIMEOUT: Duration = Duration::from_secs(10);

impl Core {
    /// Ends the wait of a restarted voter once every other voter has said, since the restart, that
    /// it neither leads nor knows a leader: then no lease is left that this voter extended before.
    pub(super) fn end_vote_wait(&mut self) {
        if !self.node.waits_to_vote() || self.node.leader().is_some() {
            return;
        }
        let own = self.process_info.id();
        let has_no_leader = |voter: &Id| {
            let status = self.statuses.get(voter);
            status.is_some_and(|status| !status.is_leader && status.leader.is_none())
        };
        let voters = &self.node.membership().voters;
        if voters.iter().filter(|voter| **voter != own).all(has_no_leader) {
            self.node.end_vote_wait();
        }
    }

    /// Forms the cluster if there is none; else records unlinked voters and, on the
    /// leader, changes the voters.
    pub(super) fn manage_voters(&mut self, time: Time) {
        if self.node.is_uninitialized() {
            self.bootstrap_if_first_founder();
            return;
        }
        let current = self.node.membership().voters.clone();
        self.record_unlinked_voters(time, &current);
        if self.leadership.is_some() && self.node.has_lease(time.monotonic) {
            self.change_voters(time, &current);
        }
    }

    /// Forms a new cluster if this process is the first of the founders and all other
    /// founders are linked and uninitialized.
    fn bootstrap_if_first_founder(&mut self) {
        let own = self.process_info.control_address;
        if !self.bootstrap || own.is_none() || own != self.founders.first().copied() {
            return;
        }
        let peers = &self.peers;
        let mut voters = BTreeSet::from([self.process_info.id()]);
        for founder in self.founders.iter().skip(1) {
            let peer =
                peers.iter().find(|peer| peer.durable && peer.control_address == Some(*founder));
            let Some(peer) = peer else { return };
            let uninitialized =
                self.statuses.get(&peer.id()).is_some_and(|status| status.uninitialized);
            if !uninitialized {
                return;
            }
            voters.insert(peer.id());
        }
        let cluster = rand::random::<u64>().max(1);
        info!("cluster.founded cluster={cluster:016x} voters={}", voters.len());
        self.node.bootstrap(Membership { cluster, voters });
    }

    /// Proposes one step from the current voters towards the linked durable processes.
    fn change_voters(&mut self, time: Time, current: &BTreeSet<Id>) {
        let own = self.process_info.id();
        let wanted = wanted_voters(&own, current, &self.peers, |id| {
            let since = self.unlinked_since.get(id)?;
            Some(time.monotonic.saturating_sub(*since))
        });
        if wanted == *current {
            return;
        }
        let mut durable: BTreeSet<Id> =
            self.peers.iter().filter(|peer| peer.durable).map(ProcessInfo::id).collect();
        durable.insert(self.process_info.id());
        if self
            .node
            .propose_voter_step(time.monotonic, &wanted, &durable)
            .is_ok_and(|proposed| proposed)
        {
            info!("voters.changing from={current:?} to={wanted:?}");
        }
    }

    /// Publishes how many voters there are and how many are unlinked, and logs from time to time why
    /// there may be no leader.
    pub(super) fn report_voters(&mut self, time: Time) {
        let voters = &self.node.membership().voters;
        metrics::gauge!("core_voters").set(voters.len() as f64);
        metrics::gauge!("core_unlinked_voters").set(self.unlinked_since.len() as f64);
        if voters.is_empty() || self.node.leader().is_some() {
            self.leaderless_since = None;
            return;
        }
        let since = self.leaderless_since.get_or_insert(time.monotonic);
        let is_due = |at: Duration| time.monotonic >= at + LEADERLESS_LOG_INTERVAL;
        if !is_due(*since) || !self.leaderless_logged_at.is_none_or(is_due) {
            return;
        }
        let leaderless = time.monotonic.saturating_sub(*since);
        self.leaderless_logged_at = Some(time.monotonic);
        let unlinked: Vec<&str> = self.unlinked_since.keys().map(|id| id.name.as_str()).collect();
        warn!(
            "leader.missing for_ms={} voters={} majority={} unlinked={unlinked:?} term={} votes={}",
            leaderless.as_millis(),
            voters.len(),
            self.node.membership().majority(),
            self.node.term(),
            voters.contains(&self.process_info.id())
        );
    }

    /// Records since when each voter has had no link to this process. Every process does
    /// so, not only the leader, so that a new leader knows it at once.
    fn record_unlinked_voters(&mut self, time: Time, current: &BTreeSet<Id>) {
        let own = self.process_info.id();
        let is_linked = |id: &Id| {
            self.peers.iter().any(|peer| peer.name == id.name && peer.incarnation == id.incarnation)
        };
        let is_unlinked = |id: &Id| *id != own && !is_linked(id);
        self.unlinked_since.retain(|id, _| current.contains(id) && is_unlinked(id));
        for id in current.iter().filter(|id| is_unlinked(id)) {
            self.unlinked_since.entry(id.clone()).or_insert(time.monotonic);
        }
    }
}

/// Computes the voters that the leader `own` aims for, by these rules:
///
/// 1. A durable process with the name of a voter but a new data folder replaces that voter,
///    whose data is lost for good.
/// 2. Other new durable processes are added, up to `MAX_VOTERS`. One of them remains a learner if
///    the number of voters would become even, above `MIN_ODD_VOTERS`, and no voter has been
///    unlinked for too long.
/// 3. If neither applies, a voter may be removed, see [`surplus_voter`].
fn wanted_voters(
    own: &Id,
    current: &BTreeSet<Id>,
    peers: &[ProcessInfo],
    unlinked_for: impl Fn(&Id) -> Option<Duration>,
) -> BTreeSet<Id> {
    let mut wanted = current.clone();
    let mut new = BTreeSet::new();
    for peer in peers.iter().filter(|peer| peer.durable && !current.contains(&peer.id())) {
        let voters = wanted.len();
        wanted.retain(|voter| voter.name != peer.name);
        let replaces_voter = wanted.len() < voters;
        if replaces_voter {
            wanted.insert(peer.id());
        } else {
            new.insert(peer.id());
        }
    }
    let has_successor = !new.is_empty();
    let total = wanted.len() + new.len();
    let has_lost_voter = longest_unlinked(current, &unlinked_for)
        .is_some_and(|(unlinked, _)| unlinked >= UNLINKED_VOTER_TIMEOUT);
    if total.is_multiple_of(2) && total > MIN_ODD_VOTERS && !has_lost_voter {
        new.pop_last();
    }
    let free = MAX_VOTERS.saturating_sub(wanted.len());
    wanted.extend(new.into_iter().take(free));
    if wanted == *current
        && let Some(surplus) = surplus_voter(own, current, has_successor, unlinked_for)
    {
        wanted.remove(&surplus);
    }
    wanted
}

/// Returns the voter to remove, if there is one:
///
/// - From an even number above `MIN_VOTERS` one that has been unlinked for too long. That one is
///   surplus: the majority of one voter less is smaller.
/// - From `MAX_VOTERS` likewise, if a new process could not be added for want of a place.
/// - From an odd number above `MIN_ODD_VOTERS` one that has been unlinked for so long that it is
///   taken for lost. The majority of one voter less is the same, so the cluster bears as many further
///   losses as before, and one more with the next one that leaves.
/// - From an even number above `MIN_ODD_VOTERS` of which all are linked, one that becomes a learner.
///
/// At lower odd numbers an unlinked voter stays until a new process was added, because it may only be
/// frozen: if it were removed while another voter is really lost, the rest would have no majority.
fn surplus_voter(
    own: &Id,
    current: &BTreeSet<Id>,
    has_successor: bool,
    unlinked_for: impl Fn(&Id) -> Option<Duration>,
) -> Option<Id> {
    let is_even = current.len().is_multiple_of(2);
    let Some((unlinked, id)) = longest_unlinked(current, unlinked_for) else {
        let becomes_learner = is_even && current.len() > MIN_ODD_VOTERS;
        return current.iter().rfind(|id| *id != own).filter(|_| becomes_learner).cloned();
    };
    let is_full = current.len() >= MAX_VOTERS && has_successor;
    let timeout = match is_even || is_full {
        true if current.len() > MIN_VOTERS => UNLINKED_VOTER_TIMEOUT,
        false if current.len() > MIN_ODD_VOTERS => LOST_VOTER_TIMEOUT,
        _ => return None,
    };
    (unlinked >= timeout).then_some(id)
}

/// Returns the voter that has been unlinked for the longest time, and for how long.
fn longest_unlinked(
    voters: &BTreeSet<Id>,
    unlinked_for: impl Fn(&Id) -> Option<Duration>,
) -> Option<(Duration, Id)> {
    voters.iter().filter_map(|id| Some((unlinked_for(id)?, id.clone()))).max()
}
