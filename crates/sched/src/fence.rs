//! Fences of a leader's orders to workers.

use crate::Fence;

/// Fences of one leader for the successive incarnations of a worker.
const FENCES_PER_LEADER: Fence = 1 << 16;

/// The fences that a leader's orders to workers carry. An order to a worker's predecessor that is
/// carried out late is refused by an incarnation that has obeyed an order of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fences {
    first: Fence,
    last: Fence,
}

impl Fences {
    /// Creates fences that rise with each restart of a worker, all below those of the next leader.
    ///
    /// ```
    /// let fences = sched::fence::Fences::rising(3);
    /// assert!(fences.after(1) > fences.after(0));
    /// assert!(fences.after(u64::MAX) < sched::fence::Fences::rising(4).after(0));
    /// ```
    pub fn rising(leader: Fence) -> Fences {
        let first = leader.saturating_mul(FENCES_PER_LEADER);
        Fences { first, last: first.saturating_add(FENCES_PER_LEADER - 1) }
    }

    /// Creates fences that are the leader's own, whatever the incarnation.
    pub fn fixed(leader: Fence) -> Fences {
        Fences { first: leader, last: leader }
    }

    /// Returns the fence of orders to a worker that has restarted so many times.
    pub fn after(&self, restarts: u64) -> Fence {
        self.first.saturating_add(restarts).min(self.last)
    }
}
