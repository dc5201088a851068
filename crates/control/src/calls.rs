//! Interface for calls to workers, queue policies and the cloud.

use futures::future::BoxFuture;
use jobs::WorkerId;
use sched::instance::Instance;
use sched::order::{
    Advise, Answer, Destination, Maintenance, Move, Pace, Poll, RunLists, Start, StartOutcome, Stop,
};

/// Sends the leader's orders. Every call has its own timeout.
pub trait Calls: Send + Sync {
    /// Reads a worker's run lists and renews its lease.
    fn poll(&self, to: Destination, poll: Poll) -> BoxFuture<'static, Answer<RunLists>>;
    /// Starts a run on a worker.
    fn start(&self, to: Destination, start: Start) -> BoxFuture<'static, StartOutcome>;
    /// Stops a run on a worker.
    fn stop(&self, to: Destination, stop: Stop) -> BoxFuture<'static, Answer<()>>;
    /// Sets the processor share of a run.
    fn pace(&self, to: Destination, pace: Pace) -> BoxFuture<'static, Answer<()>>;
    /// Asks a queue's policy which workers may run a step.
    fn advise(&self, order: Advise) -> BoxFuture<'static, Answer<Vec<(WorkerId, String)>>>;
    /// Reads the cloud's list of instances.
    fn list_instances(&self) -> BoxFuture<'static, Answer<Vec<Instance>>>;
    /// Moves an instance to another pool.
    fn move_instance(&self, order: Move) -> BoxFuture<'static, Answer<()>>;
    /// Starts the maintenance of an instance.
    fn maintain(&self, order: Maintenance) -> BoxFuture<'static, Answer<()>>;
}
