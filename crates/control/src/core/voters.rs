//! Forms a new cluster and replaces voters whose disk or instance is lost.

use super::Core;
use log::info;
use mesh::ProcessInfo;
use quorum::{Id, Membership};
use sched::scheduler::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Upper limit of voters; more would only make a majority slower to reach.
const MAX_VOTERS: usize = 9;
/// Fewest voters that survive the loss of one. No unlinked voter is removed at this number.
const MIN_VOTERS: usize = 3;
/// Time without a link after which a voter is removed, once a new process has joined in
/// its place. The cluster has to survive the loss of another instance 4 s after the new
/// process starts, and as long as the unlinked one votes, two of four voters are lost then.
const UNLINKED_VOTER_TIMEOUT: Duration = Duration::from_secs(2);

impl Core {
    /// Forms the cluster if there is none; else records unlinked voters and, on the
    /// leader, changes the voters.
    pub(super) fn manage_voters(&mut self, time: Time) {
        if self.node.is_uninitialized() {
            self.bootstrap_if_first_founder();
            return;
        }
        let peers = self.environment.peers();
        let current = self.node.membership().voters;
        self.record_unlinked_voters(time, &current, &peers);
        if self.leadership.is_some() && self.node.has_lease(time.monotonic) {
            self.change_voters(time, &current, &peers);
        }
    }

    /// Forms a new cluster if this process is the first of the founders and all other
    /// founders are linked and uninitialized.
    fn bootstrap_if_first_founder(&mut self) {
        let own = self.process_info.control_address;
        if !self.bootstrap || own.is_none() || own != self.founders.first().copied() {
            return;
        }
        let peers = self.environment.peers();
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
    fn change_voters(&mut self, time: Time, current: &BTreeSet<Id>, peers: &[ProcessInfo]) {
        let wanted = wanted_voters(current, peers, |id| {
            self.unlinked_since
                .get(id)
                .is_some_and(|since| time.monotonic >= *since + UNLINKED_VOTER_TIMEOUT)
        });
        if wanted == *current {
            return;
        }
        let mut durable: BTreeSet<Id> =
            peers.iter().filter(|peer| peer.durable).map(ProcessInfo::id).collect();
        durable.insert(self.process_info.id());
        if self
            .node
            .propose_voter_step(time.monotonic, &wanted, &durable)
            .is_ok_and(|proposed| proposed)
        {
            info!("voters.changing from={current:?} to={wanted:?}");
        }
    }

    /// Records since when each voter has had no link to this process. Every process does
    /// so, not only the leader, so that a new leader knows it at once.
    fn record_unlinked_voters(
        &mut self,
        time: Time,
        current: &BTreeSet<Id>,
        peers: &[ProcessInfo],
    ) {
        let own = self.process_info.id();
        let is_unlinked = |id: &Id| *id != own && !peers.iter().any(|peer| peer.id() == *id);
        self.unlinked_since.retain(|id, _| current.contains(id) && is_unlinked(id));
        for id in current.iter().filter(|id| is_unlinked(id)) {
            self.unlinked_since.entry(id.clone()).or_insert(time.monotonic);
        }
    }
}

/// Computes the voters to aim for. A process with a new data folder replaces the voter
/// of the same name, whose data is lost for good. Other new processes join before an
/// unlinked voter is removed: that voter may only be frozen, and if it were removed while
/// another voter is really gone, the rest would have no majority. An even number of voters
/// shows that a new process has joined and one voter is too many.
fn wanted_voters(
    current: &BTreeSet<Id>,
    peers: &[ProcessInfo],
    is_unlinked_too_long: impl Fn(&Id) -> bool,
) -> BTreeSet<Id> {
    let mut wanted = current.clone();
    for peer in peers.iter().filter(|peer| peer.durable) {
        let id = peer.id();
        if current.contains(&id) {
            continue;
        }
        wanted.retain(|voter| voter.name != id.name);
        if wanted.len() < MAX_VOTERS {
            wanted.insert(id);
        }
    }
    if wanted == *current
        && current.len() > MIN_VOTERS
        && current.len().is_multiple_of(2)
        && let Some(unlinked) = current.iter().find(|id| is_unlinked_too_long(id))
    {
        wanted.remove(unlinked);
    }
    wanted
}
