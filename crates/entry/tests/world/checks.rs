//! Invariants that are checked after every step.

use super::Site;
use fleet::{Fleet, Index};
use quorum::{Id, Message, Term};
use record::{InstanceId, PoolId};
use std::collections::{BTreeMap, BTreeSet};
use wire::Frame;

/// Observations of earlier steps that the invariants refer to.
#[derive(Default)]
pub struct Checks {
    /// State after each index, from the first process that applied it.
    states: BTreeMap<Index, Vec<u8>>,
    /// Last index applied with each disk.
    applied_with_disk: BTreeMap<&'static str, Index>,
    /// Last index that each entry routed with.
    routed: BTreeMap<&'static str, Index>,
    /// Candidate that each voter voted for in each term.
    votes: BTreeMap<(Id, Term), Id>,
    /// Last index whose state was compared, for each running process.
    compared: BTreeMap<&'static str, Index>,
    /// Highest index of a submission that was answered as accepted.
    pub accepted: Index,
}

impl Checks {
    /// Records that a disk was lost: the next process starts without state.
    pub fn on_disk_lost(&mut self, name: &'static str) {
        self.applied_with_disk.remove(name);
    }

    /// Checks that a restarted process has recovered all that was applied with its disk.
    pub fn on_started(&mut self, site: &Site) {
        self.compared.remove(site.name);
        let Some(before) = self.applied_with_disk.get(site.name) else { return };
        let process = site.process.as_ref().unwrap();
        if process.is_dead() {
            return; // a fault was injected while it started
        }
        let now = process.fleet.read().unwrap().applied();
        assert!(now >= *before, "{} had applied index {before}, restarted with {now}", site.name);
    }

    /// Checks that no one votes for two candidates in one term.
    pub fn on_sent(&mut self, from: &Id, to: &Id, frame: &Frame) {
        match frame {
            Frame::Quorum(Message::VoteRequest(request)) if !request.pre_vote => {
                self.record_vote(from, request.term, from)
            }
            Frame::Quorum(Message::VoteResponse(response))
                if response.granted && !response.pre_vote =>
            {
                self.record_vote(from, response.term, to);
            }
            _ => {}
        }
    }

    fn record_vote(&mut self, from: &Id, term: Term, candidate: &Id) {
        let earlier = self.votes.insert((from.clone(), term), candidate.clone());
        let same = earlier.as_ref().is_none_or(|earlier| earlier == candidate);
        assert!(same, "{from} voted for {earlier:?} and {candidate} in term {term}");
    }

    /// Checks all processes: at most one holds a lease, and it has committed all that was
    /// accepted; the applied index of a routing entry never decreases; states agree.
    pub fn check_all(&mut self, now: u64, sites: &[Site]) {
        let mut leases = Vec::new();
        for site in sites {
            let Some(process) = &site.process else { continue };
            if now >= site.frozen_until && process.has_lease() {
                leases.push(site.name);
                let commit = process.agreement.node().commit_index();
                assert!(
                    commit >= self.accepted,
                    "{} has a lease at {commit}, accepted is {}",
                    site.name,
                    self.accepted
                );
            }
            let fleet = process.fleet.read().unwrap();
            self.compare(site, &fleet);
            if process.routes() {
                let routed = self.routed.entry(site.name).or_default();
                let applied = fleet.applied();
                assert!(applied >= *routed, "{} routes with {applied} after {routed}", site.name);
                *routed = applied;
            }
        }
        assert!(leases.len() <= 1, "{leases:?} have a lease at once");
        self.check_one_pool(sites);
    }

    /// Checks that equal indexes mean equal states, in all processes and after restarts.
    fn compare(&mut self, site: &Site, fleet: &Fleet) {
        let applied = fleet.applied();
        if applied == 0 || self.compared.get(site.name) == Some(&applied) {
            return;
        }
        self.compared.insert(site.name, applied);
        if site.durable {
            self.applied_with_disk.insert(site.name, applied);
        }
        let mut state = Vec::new();
        ciborium::into_writer(fleet, &mut state).unwrap();
        let first = self.states.entry(applied).or_insert_with(|| state.clone());
        assert!(*first == state, "{} differs from the others at index {applied}", site.name);
    }

    /// Checks that the entries of a data centre use each instance for one pool only.
    fn check_one_pool(&self, sites: &[Site]) {
        let mut uses: BTreeMap<InstanceId, BTreeSet<PoolId>> = BTreeMap::new();
        for site in sites {
            let Some(process) = site.process.as_ref().filter(|p| p.routes()) else { continue };
            let fleet = process.fleet.read().unwrap();
            for (instance, placement) in fleet.placements() {
                let usable =
                    placement.pending_move.is_none() && placement.data_centre == site.data_centre;
                if usable {
                    uses.entry(instance.clone()).or_default().insert(placement.pool.clone());
                }
            }
        }
        for (instance, pools) in uses {
            assert!(pools.len() <= 1, "instance {instance} is used for {pools:?}");
        }
    }
}
