//! Which machines serve which pool.

use super::{Moment, Scheduler};
use jobs::Ledger;
use std::time::Duration;

/// State of the moves.
#[derive(Clone, Debug)]
pub struct Balance {
    began: Duration,
}

impl Balance {
    /// No move is under way.
    pub fn new(now: Duration) -> Balance {
        Balance { began: now }
    }
}

impl Scheduler {
    pub(super) fn balance(&mut self, moment: Moment, _ledger: &Ledger) {
        let _ = moment.now.saturating_sub(self.balance.began);
    }
}
