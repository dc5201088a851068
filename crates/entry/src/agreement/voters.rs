//! Founds a cluster, and changes its voters until they match the voter records.

use super::{Agreement, id_of};
use fleet::{Command, Fleet, Incarnation, StoredRecord};
use log::info;
use quorum::{Id, Membership};
use record::{Key, Kind};
use std::collections::BTreeSet;
use std::time::Duration;

/// Operator name and submission id under which the founding voters are recorded.
const FOUNDING: &str = "founding";

impl Agreement {
    /// Founds the cluster if needed; on the leader, records the founding voters and
    /// changes the voters towards their records.
    pub(super) fn manage_voters(&mut self, now: Duration) {
        if self.node.is_uninitialized() {
            self.found_cluster();
        }
        if self.node.has_lease(now) {
            self.record_founders(now);
            self.propose_voter_step(now);
        }
    }

    /// Founds the cluster if this entry has a data folder and the lowest name of the
    /// founding voters, every other founding voter is connected with the same list of
    /// founders, and no peer holds state of a cluster. Only one entry may found it, and
    /// never beside an existing cluster.
    pub(super) fn found_cluster(&mut self) {
        let founders = &self.founders;
        let is_first_founder = founders.iter().min() == Some(&self.identity.name);
        let cluster_exists = self.statuses.values().any(|status| !status.blank);
        if !is_first_founder || cluster_exists || self.store.is_none() {
            return;
        }
        let mut voters = BTreeSet::from([self.node.id().clone()]);
        for peer in self.environment.peers() {
            let id = id_of(&peer);
            let same_founders = self.statuses.get(&id).is_some_and(|s| s.founders == *founders);
            if same_founders && peer.durable && founders.contains(&peer.name) {
                voters.insert(id);
            }
        }
        if voters.len() < founders.len() {
            return;
        }
        let cluster = rand::random::<u64>().max(1);
        info!("founding cluster {cluster:016x} with {} voters", voters.len());
        self.node.bootstrap(Membership { cluster, voters });
    }

    /// Proposes a record for each founding voter, once in each term until a voter
    /// record exists.
    pub(super) fn record_founders(&mut self, now: Duration) {
        let fleet = self.fleet.read().expect("no holder panics");
        let has_voter_record = voter_records(&fleet).next().is_some();
        drop(fleet);
        if has_voter_record || self.founders_proposed_term == Some(self.node.term()) {
            return;
        }
        self.founders_proposed_term = Some(self.node.term());
        let voters = &self.node.membership().voters;
        let changes = voters.iter().map(|id| fleet::Change::Put(voter_document(id))).collect();
        let submission = fleet::Submission {
            operator: FOUNDING.to_string(),
            id: FOUNDING.to_string(),
            at: self.environment.wall(),
            changes,
        };
        let (reply, _) = async_std::channel::bounded(1);
        self.propose(now, Command::Submit(submission), reply);
    }

    /// Proposes the next step from the current voters towards the voter records.
    pub(super) fn propose_voter_step(&mut self, now: Duration) {
        let wanted = self.wanted_voters(&self.node.membership().voters);
        let mut durable_peers = self.environment.peers();
        durable_peers.retain(|peer| peer.durable);
        let durable_ids = durable_peers.iter().map(id_of).collect();
        if self.node.propose_voter_step(now, &wanted, &durable_ids).is_ok_and(|proposed| proposed) {
            info!("proposed a change of voters");
        }
    }

    /// Returns the voters that the voter records list. A current voter stays if there is
    /// no record of its name.
    pub(super) fn wanted_voters(&self, current: &BTreeSet<Id>) -> BTreeSet<Id> {
        let fleet = self.fleet.read().expect("no holder panics");
        let mut wanted = current.clone();
        for (key, _) in voter_records(&fleet) {
            wanted.retain(|id| id.name != key.name);
            if let Some(record::Spec::VoterV1(voter)) = fleet.spec(key) {
                wanted.extend(
                    voter.parse_incarnation().map(|number| Id::new(key.name.clone(), number)),
                );
            }
        }
        wanted
    }
}

fn voter_records(fleet: &Fleet) -> impl Iterator<Item = (&Key, &StoredRecord)> {
    fleet.records().range(Key::new(Kind::Voter, "")..).filter(|(key, _)| key.kind == Kind::Voter)
}

fn voter_document(id: &Id) -> record::Document {
    let incarnation: Incarnation = id.incarnation;
    record::Document {
        kind: Kind::Voter,
        schema: 1,
        name: id.name.clone(),
        revision: None,
        spec: serde_json::json!({ "incarnation": format!("{incarnation:016x}") }),
    }
}
