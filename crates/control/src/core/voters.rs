//! Founding the cluster, and replacing voters that are gone.

use super::Core;
use log::info;
use mesh::ProcessInfo;
use quorum::{Id, Membership};
use sched::scheduler::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Most voters; more would only make a majority slower.
const MAX_VOTERS: usize = 9;
/// Voters that bear the loss of one.
const LEAST_VOTERS: usize = 3;
/// Silence after which a voter gives way to a newcomer that has taken its place. The
/// loss of another machine has to be borne 4 s after the newcomer's start; as long as
/// the silent one votes, two of four are lost then.
const GONE_AFTER: Duration = Duration::from_secs(2);

impl Core {
    pub(super) fn keep_voters(&mut self, time: Time) {
        if self.node.is_uninitialized() {
            self.found_if_first();
            return;
        }
        let peers = self.environment.peers();
        let present = self.node.membership().voters;
        self.note_silence(time, &present, &peers);
        if self.leadership.is_some() && self.node.has_lease(time.monotonic) {
            self.step_voters(time, &present, &peers);
        }
    }

    /// Founds the cluster when this is the first of the founders, and all of them
    /// are linked and know of no cluster.
    fn found_if_first(&mut self) {
        let own = self.hello.control_address;
        if !self.bootstrap || own.is_none() || own != self.founders.first().copied() {
            return;
        }
        let peers = self.environment.peers();
        let mut voters = BTreeSet::from([self.hello.id()]);
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

    /// Brings the voters one step closer to the durable processes that live.
    fn step_voters(&mut self, time: Time, present: &BTreeSet<Id>, peers: &[ProcessInfo]) {
        let wanted = wanted(present, peers, |id| {
            self.silent.get(id).is_some_and(|since| time.monotonic >= *since + GONE_AFTER)
        });
        if wanted == *present {
            return;
        }
        let mut durable: BTreeSet<Id> =
            peers.iter().filter(|peer| peer.durable).map(ProcessInfo::id).collect();
        durable.insert(self.hello.id());
        if self
            .node
            .propose_voter_step(time.monotonic, &wanted, &durable)
            .is_ok_and(|proposed| proposed)
        {
            info!("voters.changing from={present:?} to={wanted:?}");
        }
    }

    /// Every process notes it, so that a new leader knows it at once.
    fn note_silence(&mut self, time: Time, present: &BTreeSet<Id>, peers: &[ProcessInfo]) {
        let own = self.hello.id();
        let silent = |id: &Id| *id != own && !peers.iter().any(|peer| peer.id() == *id);
        self.silent.retain(|id, _| present.contains(id) && silent(id));
        for id in present.iter().filter(|id| silent(id)) {
            self.silent.entry(id.clone()).or_insert(time.monotonic);
        }
    }
}

/// Voters that the leader wants. A process whose disk is new replaces its former self,
/// which is lost for good. Newcomers join first; a silent voter goes only after that,
/// since it may be frozen, and without it and the one that is really gone the rest
/// could not agree on anything. An even number tells that one is too many.
fn wanted(
    present: &BTreeSet<Id>,
    peers: &[ProcessInfo],
    is_gone: impl Fn(&Id) -> bool,
) -> BTreeSet<Id> {
    let mut wanted = present.clone();
    for peer in peers.iter().filter(|peer| peer.durable) {
        let id = peer.id();
        if present.contains(&id) {
            continue;
        }
        wanted.retain(|voter| voter.name != id.name);
        if wanted.len() < MAX_VOTERS {
            wanted.insert(id);
        }
    }
    if wanted == *present
        && present.len() > LEAST_VOTERS
        && present.len().is_multiple_of(2)
        && let Some(gone) = present.iter().find(|id| is_gone(id))
    {
        wanted.remove(gone);
    }
    wanted
}
