//! What must hold after every step.

use super::Site;
use fleet::{Fleet, Index};
use quorum::{Id, Message, Term};
use record::{InstanceId, PoolId};
use std::collections::{BTreeMap, BTreeSet};
use wire::Frame;

/// What was seen so far, to compare with.
#[derive(Default)]
pub struct Checks {
    /// State after each index, from the first process that applied it.
    states: BTreeMap<Index, Vec<u8>>,
    /// Index that each disk had in force.
    in_force: BTreeMap<&'static str, Index>,
    /// Index that each entry routed with.
    routed: BTreeMap<&'static str, Index>,
    /// Votes given.
    votes: BTreeMap<(Id, Term), Id>,
    /// Last index whose state was compared, for each life.
    compared: BTreeMap<&'static str, Index>,
    /// Highest index that an operator was told is accepted.
    pub accepted: Index,
}

impl Checks {
    /// A disk was lost: the next life starts from nothing.
    pub fn forget(&mut self, name: &'static str) {
        self.in_force.remove(name);
    }

    /// A process has started: with its disk it has in force what it had.
    pub fn restarted(&mut self, site: &Site) {
        self.compared.remove(site.name);
        let Some(before) = self.in_force.get(site.name) else { return };
        let life = site.life.as_ref().unwrap();
        if life.is_dead() {
            return; // a fault struck while it started
        }
        let now = life.fleet.read().unwrap().applied();
        assert!(now >= *before, "{} had index {before} in force, restarted with {now}", site.name);
    }

    /// A vote is given once in a term.
    pub fn sent(&mut self, from: &Id, to: &Id, frame: &Frame) {
        match frame {
            Frame::Quorum(Message::VoteRequest(poll)) if !poll.pre_vote => {
                self.vote(from, poll.term, from)
            }
            Frame::Quorum(Message::VoteResponse(ballot)) if ballot.granted && !ballot.pre_vote => {
                self.vote(from, ballot.term, to);
            }
            _ => {}
        }
    }

    fn vote(&mut self, from: &Id, term: Term, candidate: &Id) {
        let earlier = self.votes.insert((from.clone(), term), candidate.clone());
        let same = earlier.as_ref().is_none_or(|earlier| earlier == candidate);
        assert!(same, "{from} voted for {earlier:?} and {candidate} in term {term}");
    }

    /// Checks everything that can be seen of the processes.
    pub fn observe(&mut self, now: u64, sites: &[Site]) {
        let mut leases = Vec::new();
        for site in sites {
            let Some(life) = &site.life else { continue };
            if now >= site.frozen_until && life.has_lease() {
                leases.push(site.name);
                let commit = life.agreement.node().commit_index();
                assert!(
                    commit >= self.accepted,
                    "{} has a lease at {commit}, accepted is {}",
                    site.name,
                    self.accepted
                );
            }
            let fleet = life.fleet.read().unwrap();
            self.compare(site, &fleet);
            if life.routes() {
                let routed = self.routed.entry(site.name).or_default();
                let applied = fleet.applied();
                assert!(applied >= *routed, "{} routes with {applied} after {routed}", site.name);
                *routed = applied;
            }
        }
        assert!(leases.len() <= 1, "{leases:?} have a lease at once");
        self.one_pool(sites);
    }

    /// Equal indices mean equal states, in all processes and lives.
    fn compare(&mut self, site: &Site, fleet: &Fleet) {
        let applied = fleet.applied();
        if applied == 0 || self.compared.get(site.name) == Some(&applied) {
            return;
        }
        self.compared.insert(site.name, applied);
        if site.durable {
            self.in_force.insert(site.name, applied);
        }
        let mut state = Vec::new();
        ciborium::into_writer(fleet, &mut state).unwrap();
        let first = self.states.entry(applied).or_insert_with(|| state.clone());
        assert!(*first == state, "{} differs from the others at index {applied}", site.name);
    }

    /// No two entries of a data centre would use an instance for two pools.
    fn one_pool(&self, sites: &[Site]) {
        let mut uses: BTreeMap<InstanceId, BTreeSet<PoolId>> = BTreeMap::new();
        for site in sites {
            let Some(life) = site.life.as_ref().filter(|life| life.routes()) else { continue };
            let fleet = life.fleet.read().unwrap();
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
