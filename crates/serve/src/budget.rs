//! Memory that the requests of a process take together.
//!
//! Each request is charged for what it holds until it is answered. When a charge does not fit,
//! requests that wait for their client are evicted: the one that holds most, and the oldest of
//! equals. So a client that needs little is served beside any number of clients that need much. A
//! request that the application handles is never evicted, but may take only three quarters of what
//! others leave: large ones can't shut out small ones.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Result of charging a request.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a request was not charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The requests that are being handled leave too little.
    #[error("too little is left of the {max_bytes} bytes for all requests")]
    Exhausted {
        /// Size of the budget.
        max_bytes: usize,
    },
    /// The request has given way to others.
    #[error("other requests need the memory, of {max_bytes} bytes for all")]
    Evicted {
        /// Size of the budget.
        max_bytes: usize,
    },
}

/// Largest size that a budget has by default; more is left to an operator who knows the machine.
pub const MAX_DEFAULT_BYTES: usize = 32 << 20;
/// Part of the memory of a process that its requests may take by default. The rest is for its state, links
/// and what the allocator keeps.
const DEFAULT_DIVISOR: usize = 6;
/// Smallest size of a budget, in bodies of the largest size: one of them is parsed while others
/// arrive.
const MIN_BODIES: usize = 8;

/// Returns the smallest size in bytes of a budget for bodies of this size.
pub fn min_bytes(max_body_bytes: usize) -> usize {
    max_body_bytes.saturating_mul(MIN_BODIES).max(MIN_BODIES * crate::stream::REQUEST_BYTES)
}

/// Returns the memory of the machine in bytes, if the system tells it.
fn machine_memory_bytes() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: usize = total.split_whitespace().next()?.parse().ok()?;
    Some(kib << 10)
}

/// Identifies a charge; later ones have higher numbers.
type ChargeId = u64;

/// Memory in bytes that requests may take together. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    max_bytes: usize,
    state: Arc<Mutex<State>>,
}

/// What a request is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for its client to send or to read.
    Client,
    /// The application handles it.
    Handled,
    /// It has to end, and still holds its memory.
    Evicted,
}

#[derive(Debug, Default)]
struct State {
    next_id: ChargeId,
    holders: BTreeMap<ChargeId, Holder>,
    /// Sum over all holders.
    used: usize,
    /// Sum over those that are handled.
    handled: usize,
    /// Sum over those that are evicted.
    evicted: usize,
    /// Tasks that wait until evicted requests have released their memory.
    waiting: Vec<Waker>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    phase: Phase,
    /// Wakes the task that waits for the eviction.
    eviction: Option<Waker>,
}

/// The memory of one request, released when this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    id: ChargeId,
}

impl Budget {
    /// Creates a budget of a size in bytes.
    ///
    /// ```
    /// use serve::budget::{Budget, Error};
    ///
    /// let budget = Budget::new(100);
    /// let (large, small) = (budget.charge(), budget.charge());
    /// large.grow(80).unwrap();
    /// small.grow(40).unwrap();
    /// assert_eq!(large.grow(1), Err(Error::Evicted { max_bytes: 100 }));
    /// drop(large);
    /// assert_eq!(budget.used_bytes(), 40);
    /// ```
    pub fn new(max_bytes: usize) -> Budget {
        Budget { max_bytes, state: Arc::default() }
    }

    /// Returns the size for a process with this much memory, in bytes, or with the machine's if it is
    /// not given: a sixth, at most [`MAX_DEFAULT_BYTES`], and always enough for some of the largest
    /// bodies.
    pub fn default_bytes(memory_bytes: Option<usize>, max_body_bytes: usize) -> usize {
        let memory_bytes = memory_bytes.or_else(machine_memory_bytes);
        let share = memory_bytes.map_or(MAX_DEFAULT_BYTES, |bytes| bytes / DEFAULT_DIVISOR);
        share.min(MAX_DEFAULT_BYTES).max(min_bytes(max_body_bytes))
    }

    /// Starts to charge a request that its client is sending.
    pub fn charge(&self) -> Charge {
        let mut state = self.state();
        let id = state.next_id;
        state.next_id += 1;
        state.holders.insert(id, Holder { bytes: 0, phase: Phase::Client, eviction: None });
        Charge { budget: self.clone(), id }
    }

    /// Returns the memory that requests hold, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.state().used
    }

    /// Returns the size in bytes.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Sets what a request holds and does. Changes nothing for one that is evicted.
    fn set(&mut self, id: ChargeId, bytes: usize, phase: Phase) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let (old_bytes, old_phase) = (holder.bytes, holder.phase);
        if old_phase == Phase::Evicted {
            return;
        }
        (holder.bytes, holder.phase) = (bytes, phase);
        if phase == Phase::Evicted {
            holder.eviction.take().into_iter().for_each(Waker::wake);
        }
        self.used = self.used - old_bytes + bytes;
        if old_phase == Phase::Handled {
            self.handled -= old_bytes;
        }
        match phase {
            Phase::Client => {}
            Phase::Handled => self.handled += bytes,
            Phase::Evicted => self.evicted += bytes,
        }
        if bytes < old_bytes {
            self.wake_waiting();
        }
    }

    /// Evicts requests until the others hold at most `max_bytes`. Returns false if that can't be.
    fn evict_down_to(&mut self, max_bytes: usize) -> bool {
        while self.used - self.evicted > max_bytes {
            let evictable = self
                .holders
                .iter()
                .filter(|(_, holder)| holder.phase == Phase::Client && holder.bytes > 0);
            let largest = evictable.max_by_key(|(id, holder)| (holder.bytes, Reverse(**id)));
            let Some((id, bytes)) = largest.map(|(id, holder)| (*id, holder.bytes)) else {
                return false;
            };
            self.set(id, bytes, Phase::Evicted);
        }
        true
    }

    fn release(&mut self, id: ChargeId) {
        let Some(holder) = self.holders.remove(&id) else { return };
        self.used -= holder.bytes;
        match holder.phase {
            Phase::Client => {}
            Phase::Handled => self.handled -= holder.bytes,
            Phase::Evicted => self.evicted -= holder.bytes,
        }
        self.wake_waiting();
    }

    fn wake_waiting(&mut self) {
        self.waiting.drain(..).for_each(Waker::wake);
    }
}

impl Charge {
    /// Charges further bytes, also while evicted requests still hold theirs. Nothing is charged if it
    /// fails.
    pub fn grow(&self, bytes: usize) -> Result<()> {
        let mut state = self.budget.state();
        let (held, phase) = self.held(&state)?;
        self.set(&mut state, held + bytes, phase)
    }

    /// Charges further bytes once evicted requests have released theirs.
    pub fn poll_grow(&self, cx: &mut Context<'_>, bytes: usize) -> Poll<Result<()>> {
        let mut state = self.budget.state();
        let (held, phase) = match self.held(&state) {
            Ok(held) => held,
            Err(error) => return Poll::Ready(Err(error)),
        };
        if let Err(error) = self.set(&mut state, held + bytes, phase) {
            return Poll::Ready(Err(error));
        }
        if state.used <= self.budget.max_bytes {
            return Poll::Ready(Ok(()));
        }
        state.set(self.id, held, phase);
        state.waiting.push(cx.waker().clone());
        Poll::Pending
    }

    /// Records that the application handles the request, which holds this many bytes from now on. It
    /// fails if the request was evicted or needs more than three quarters of what other requests leave
    /// that are being handled.
    pub fn begin_handling(&self, bytes: usize) -> Result<()> {
        let max_bytes = self.budget.max_bytes;
        let mut state = self.budget.state();
        let (held, phase) = self.held(&state)?;
        let by_others = state.handled - if phase == Phase::Handled { held } else { 0 };
        if bytes > max_bytes.saturating_sub(by_others) / 4 * 3 {
            return Err(Error::Exhausted { max_bytes });
        }
        self.set(&mut state, bytes, Phase::Client)?; // gives way to smaller ones itself
        state.set(self.id, bytes, Phase::Handled);
        Ok(())
    }

    /// Records that the client is sent a response, and that this many bytes are held.
    pub fn begin_response(&self, bytes: usize) -> Result<()> {
        let mut state = self.budget.state();
        self.held(&state)?;
        self.set(&mut state, bytes, Phase::Client)
    }

    /// Evicts the request if it waits for its client. Returns whether it is evicted.
    pub fn evict(&self) -> bool {
        let mut state = self.budget.state();
        match self.held(&state) {
            Ok((_, Phase::Handled)) => false,
            Ok((bytes, _)) => {
                state.set(self.id, bytes, Phase::Evicted);
                true
            }
            Err(_) => true,
        }
    }

    /// Completes once the request is evicted.
    pub fn poll_evicted(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.budget.state();
        match state.holders.get_mut(&self.id) {
            Some(holder) if holder.phase != Phase::Evicted => {
                holder.eviction = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }

    /// Returns what the request holds and does, unless it is evicted.
    fn held(&self, state: &State) -> Result<(usize, Phase)> {
        match state.holders.get(&self.id) {
            Some(holder) if holder.phase != Phase::Evicted => Ok((holder.bytes, holder.phase)),
            _ => Err(Error::Evicted { max_bytes: self.budget.max_bytes }),
        }
    }

    /// Sets what the request holds and evicts others, or the request itself, to make room.
    fn set(&self, state: &mut State, bytes: usize, phase: Phase) -> Result<()> {
        let max_bytes = self.budget.max_bytes;
        let (old_bytes, old_phase) = self.held(state)?;
        state.set(self.id, bytes, phase);
        if !state.evict_down_to(max_bytes) {
            state.set(self.id, old_bytes, old_phase);
            return Err(Error::Exhausted { max_bytes });
        }
        self.held(state).map(|_| ())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.state().release(self.id);
    }
}
