//! Fences of a leader's orders.

use crate::Fence;

/// The fences of one leader: above those of earlier leaders, and none above its term, so that a
/// later leader, whose fences are its term or end with it, is never refused. Orders to a worker
/// rise with its incarnations. An order to its predecessor that is carried out late is refused by
/// an incarnation that has obeyed an order of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fences {
    first: Fence,
    last: Fence,
}

impl Fences {
    /// Creates the fences of the leader of `term`, when `preceding_term` is the term of the last
    /// leader that may have sent orders.
    ///
    /// ```
    /// let fences = sched::fence::Fences::between(7, 10);
    /// assert_eq!([0, 1, 2, 3].map(|restarts| fences.after(restarts)), [8, 9, 10, 10]);
    /// assert_eq!(fences.term(), 10);
    /// ```
    pub fn between(preceding_term: Fence, term: Fence) -> Fences {
        Fences { first: preceding_term.saturating_add(1).min(term), last: term }
    }

    /// Returns the fence of orders to a worker that has restarted so many times.
    pub fn after(&self, restarts: u64) -> Fence {
        self.first.saturating_add(restarts).min(self.last)
    }

    /// Returns the fence of orders that concern no incarnation of a worker.
    pub fn term(&self) -> Fence {
        self.last
    }
}
