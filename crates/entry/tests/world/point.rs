//! Fault injection: the steps at which a fault can occur, and the plan that says which
//! fault occurs at which step.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// A point between two side effects of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Write,
    Sync,
    Synced,
    Send,
    Sent,
    Applied,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The process ends; unsynced bytes are lost.
    Kill,
    /// The process ends; a random part of the unsynced bytes is kept.
    KillTorn,
    /// The process ends and its disk is replaced by an empty one.
    KillLoseDisk,
    /// The process is paused and continues later.
    Freeze,
    /// Frames from and to the process are lost.
    CutBoth,
    /// Frames from the process are lost.
    CutOut,
    /// Frames to the process are lost.
    CutIn,
    /// Frames from the process are delayed.
    Delay,
    /// Frames from the process arrive twice.
    Double,
    /// Frames from the process arrive in another order.
    Reorder,
    /// A write fails; the process is restarted later.
    DiskFull,
    /// A sync fails; the process is restarted later.
    SyncFails,
}

impl Fault {
    pub const ALL: [Fault; 12] = [
        Fault::Kill,
        Fault::KillTorn,
        Fault::KillLoseDisk,
        Fault::Freeze,
        Fault::CutBoth,
        Fault::CutOut,
        Fault::CutIn,
        Fault::Delay,
        Fault::Double,
        Fault::Reorder,
        Fault::DiskFull,
        Fault::SyncFails,
    ];

    pub fn kills(self) -> bool {
        matches!(self, Fault::Kill | Fault::KillTorn | Fault::KillLoseDisk)
    }
}

/// Counts the steps of all processes and holds the faults to inject.
#[derive(Debug, Default)]
pub struct Plan {
    /// Number of steps counted so far.
    pub reached: AtomicUsize,
    /// Whether steps are counted; faults are injected only while this is set.
    pub counting: AtomicBool,
    /// Faults to inject, with the number of their step, counted from 1.
    pub faults: Mutex<Vec<(usize, Fault)>>,
    /// Sites and faults that were triggered and not executed yet.
    pub triggered: Mutex<Vec<(usize, Fault)>>,
    /// Kind of each counted step.
    pub steps: Mutex<Vec<Step>>,
}

/// Fault injection for one process.
#[derive(Debug)]
pub struct Injector {
    pub site: usize,
    pub plan: std::sync::Arc<Plan>,
    pub dead: AtomicBool,
}

impl Injector {
    pub fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }

    /// Counts a step and returns the fault planned for it. A fault that kills the process
    /// suppresses all its later effects.
    pub fn reach(&self, step: Step) -> Option<Fault> {
        if self.is_dead() || !self.plan.counting.load(Ordering::Acquire) {
            return None;
        }
        let number = self.plan.reached.fetch_add(1, Ordering::AcqRel) + 1;
        self.plan.steps.lock().unwrap().push(step);
        let faults = self.plan.faults.lock().unwrap();
        let fault = faults.iter().find(|(at, _)| *at == number).map(|(_, fault)| *fault)?;
        self.plan.triggered.lock().unwrap().push((self.site, fault));
        if fault.kills() {
            self.dead.store(true, Ordering::Release);
        }
        Some(fault)
    }
}
