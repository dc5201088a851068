//! Assigns instances to pools and moves them between pools.

use super::{Fleet, Placement};
use crate::Index;
use crate::command::Release;
use crate::journal::{Event, RecordRevision};
use crate::moves::Move;
use record::{InstanceId, Key, Kind, PoolId};
use std::time::SystemTime;

impl Fleet {
    /// Assigns an instance to the pool of its record: at once if it has no pool, else by
    /// starting or cancelling a move.
    pub(super) fn place(
        &mut self,
        index: Index,
        at: SystemTime,
        name: &str,
        spec: record::instance::Instance,
        based_on: RecordRevision,
    ) {
        let Some(placement) = self.placements.get(name) else {
            let placement = Placement {
                pool: spec.pool.clone(),
                data_centre: spec.data_centre,
                pending_move: None,
            };
            self.placements.insert(name.to_string(), placement);
            let event = Event::Assigned { instance: name.to_string(), pool: Some(spec.pool) };
            self.note_move(index, at, name, event, "it was in no pool before", based_on);
            return;
        };
        let destination = placement
            .pending_move
            .as_ref()
            .map_or(Some(&placement.pool), |pending_move| pending_move.to.as_ref());
        if destination == Some(&spec.pool) {
            return;
        }
        if placement.pool == spec.pool {
            self.cancel_move(index, at, name, based_on);
        } else {
            self.begin_move(index, at, name, Some(spec.pool), based_on);
        }
    }

    /// Starts a move to a pool, or out of the fleet if `to` is `None`. Ends it at once if no
    /// entry of the data centre has to release the instance.
    pub(super) fn begin_move(
        &mut self,
        index: Index,
        at: SystemTime,
        name: &str,
        to: Option<PoolId>,
        based_on: RecordRevision,
    ) {
        let Some(placement) = self.placements.get_mut(name) else { return };
        placement.pending_move = Some(Move::new(index, to.clone()));
        let from = placement.pool.clone();
        let event = Event::MoveBegun { instance: name.to_string(), from, to };
        let reason = "the record names another pool; every entry of its data centre must release \
                      it first";
        self.note_move(index, at, name, event, reason, based_on);
        self.end_move(index, at, name);
    }

    /// Cancels a move; the instance stays in its pool.
    pub(super) fn cancel_move(
        &mut self,
        index: Index,
        at: SystemTime,
        name: &str,
        based_on: RecordRevision,
    ) {
        let Some(placement) = self.placements.get_mut(name) else { return };
        placement.pending_move = None;
        let pool = placement.pool.clone();
        let event = Event::MoveCancelled { instance: name.to_string(), pool };
        self.note_move(index, at, name, event, "the record names the old pool again", based_on);
    }

    /// Ends a move if every entry has released the instance.
    pub(super) fn end_move(&mut self, index: Index, at: SystemTime, name: &str) {
        let missing = self.missing_releases(name);
        let Some(placement) = self.placements.get_mut(name) else { return };
        if !missing.is_empty() {
            return;
        }
        let Some(pending_move) = placement.pending_move.take() else { return };
        let event = Event::Assigned { instance: name.to_string(), pool: pending_move.to.clone() };
        match pending_move.to {
            Some(pool) => placement.pool = pool,
            None => {
                self.placements.remove(name);
            }
        }
        let released: Vec<&str> = pending_move.released.keys().map(String::as_str).collect();
        let reason = format!("released by every entry of its data centre: {released:?}");
        let key = Key::new(Kind::Instance, name);
        let revision = self.records.get(&key).map_or(0, |stored| stored.revision);
        self.note_move(index, at, name, event, &reason, RecordRevision { key, revision });
    }

    /// Ends the moves of a data centre that were waiting only for entries that have left.
    pub(super) fn end_moves(&mut self, index: Index, at: SystemTime, data_centre: &str) {
        let moving: Vec<InstanceId> = self
            .placements
            .iter()
            .filter(|(_, placement)| {
                placement.pending_move.is_some() && placement.data_centre == data_centre
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in moving {
            self.end_move(index, at, &name);
        }
    }

    /// Applies an entry's release of an instance. Ignores releases of an earlier
    /// incarnation of the entry or of an earlier move.
    pub(super) fn release(&mut self, index: Index, release: &Release) {
        let current = self.members.get(&release.entry).map(|member| member.incarnation);
        if current != Some(release.incarnation) {
            return;
        }
        let Some(placement) = self.placements.get_mut(&release.instance) else { return };
        let Some(pending_move) = placement.pending_move.as_mut() else { return };
        if pending_move.start_index != release.start_index {
            return;
        }
        let previous = pending_move.released.insert(release.entry.clone(), release.incarnation);
        if previous == Some(release.incarnation) {
            return;
        }
        let event =
            Event::Released { instance: release.instance.clone(), entry: release.entry.clone() };
        let key = Key::new(Kind::Instance, release.instance.clone());
        let revision = self.records.get(&key).map_or(0, |stored| stored.revision);
        let reason = "it sends no new work there and has none in flight";
        let based_on = RecordRevision { key, revision };
        self.note_move(index, release.at, &release.instance, event, reason, based_on);
        self.end_move(index, release.at, &release.instance);
    }
}
