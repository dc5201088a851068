//! Founding a cluster, and bringing its voters closer to their records.

use super::{Agreement, id_of};
use fleet::{Command, Fleet, Incarnation, StoredRecord};
use log::info;
use quorum::{Id, Membership};
use record::{Key, Kind};
use std::collections::BTreeSet;
use std::time::Duration;

/// Operator name under which the founding voters are recorded.
const FOUNDING: &str = "founding";

impl Agreement {
    pub(super) fn housekeeping(&mut self, now: Duration) {
        if self.node.is_uninitialized() {
            self.found_if_first();
        }
        if self.node.has_lease(now) {
            self.record_founders(now);
            self.step_voters(now);
        }
    }

    /// Founds the cluster when this is the first of the founding voters by name,
    /// every founding voter is connected and blank, and no peer knows a cluster.
    pub(super) fn found_if_first(&mut self) {
        let founders = &self.founders;
        let first = founders.iter().min() == Some(&self.identity.name);
        let known = self.statuses.values().any(|status| !status.blank);
        if !first || known || self.store.is_none() {
            return;
        }
        let mut voters = BTreeSet::from([self.node.id().clone()]);
        for peer in self.environment.peers() {
            let id = id_of(&peer);
            let agrees = self.statuses.get(&id).is_some_and(|s| s.founders == *founders);
            if agrees && peer.durable && founders.contains(&peer.name) {
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

    /// Writes the founding voters down as records, once.
    pub(super) fn record_founders(&mut self, now: Duration) {
        let fleet = self.fleet.read().expect("no holder panics");
        let recorded = voter_records(&fleet).next().is_some();
        drop(fleet);
        if recorded || self.founders_proposed == Some(self.node.term()) {
            return;
        }
        self.founders_proposed = Some(self.node.term());
        let voters = self.node.membership().voters;
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

    /// Brings the voters one step closer to the voter records.
    pub(super) fn step_voters(&mut self, now: Duration) {
        let wanted = self.wanted_voters(&self.node.membership().voters);
        let mut durable = self.environment.peers();
        durable.retain(|peer| peer.durable);
        let durable = durable.iter().map(id_of).collect();
        if self.node.propose_voter_step(now, &wanted, &durable).is_ok_and(|proposed| proposed) {
            info!("proposed a change of voters");
        }
    }

    pub(super) fn wanted_voters(&self, present: &BTreeSet<Id>) -> BTreeSet<Id> {
        let fleet = self.fleet.read().expect("no holder panics");
        let mut wanted = present.clone();
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
