//! Calls to workers and the cloud, as an interface.

use futures::future::BoxFuture;
use jobs::WorkerId;
use sched::machine::Machine;
use sched::order::{Address, Advise, Answer, Hold, Holding, Move, Pace, Start, Stop, Upkeep};

/// Carries orders out; every call ends within a bound of its own.
pub trait Calls: Send + Sync {
    /// Asks a worker for its lists.
    fn hold(&self, to: Address, hold: Hold) -> BoxFuture<'static, Answer<Holding>>;
    /// Starts a run.
    fn start(&self, to: Address, start: Start) -> BoxFuture<'static, Answer<()>>;
    /// Stops a run.
    fn stop(&self, to: Address, stop: Stop) -> BoxFuture<'static, Answer<()>>;
    /// Sets the share at which a run works.
    fn pace(&self, to: Address, pace: Pace) -> BoxFuture<'static, Answer<()>>;
    /// Asks the policy of a queue who may run a step.
    fn advise(&self, order: Advise) -> BoxFuture<'static, Answer<Vec<(WorkerId, String)>>>;
    /// Reads the list of machines.
    fn list(&self) -> BoxFuture<'static, Answer<Vec<Machine>>>;
    /// Moves a machine to another pool.
    fn move_machine(&self, order: Move) -> BoxFuture<'static, Answer<()>>;
    /// Begins a machine's upkeep.
    fn upkeep(&self, order: Upkeep) -> BoxFuture<'static, Answer<()>>;
}
