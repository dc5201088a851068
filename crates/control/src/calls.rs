//! Calls to workers and the cloud, as an interface.

use futures::future::BoxFuture;
use jobs::WorkerId;
use sched::instance::Instance;
use sched::order::{
    Advise, Answer, Destination, Maintenance, Move, Pace, Poll, RunLists, Start, Stop,
};

/// Carries orders out; every call ends within a bound of its own.
pub trait Calls: Send + Sync {
    /// Asks a worker for its lists.
    fn poll(&self, to: Destination, poll: Poll) -> BoxFuture<'static, Answer<RunLists>>;
    /// Starts a run.
    fn start(&self, to: Destination, start: Start) -> BoxFuture<'static, Answer<()>>;
    /// Stops a run.
    fn stop(&self, to: Destination, stop: Stop) -> BoxFuture<'static, Answer<()>>;
    /// Sets the share at which a run works.
    fn pace(&self, to: Destination, pace: Pace) -> BoxFuture<'static, Answer<()>>;
    /// Asks the policy of a queue who may run a step.
    fn advise(&self, order: Advise) -> BoxFuture<'static, Answer<Vec<(WorkerId, String)>>>;
    /// Reads the list of machines.
    fn list_instances(&self) -> BoxFuture<'static, Answer<Vec<Instance>>>;
    /// Moves a machine to another pool.
    fn move_instance(&self, order: Move) -> BoxFuture<'static, Answer<()>>;
    /// Begins a machine's upkeep.
    fn maintain(&self, order: Maintenance) -> BoxFuture<'static, Answer<()>>;
}
