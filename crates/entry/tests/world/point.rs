//! Steps at which a fault can strike.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// A moment between two effects of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    Write,
    Sync,
    Synced,
    Send,
    Sent,
    Applied,
}

/// What can strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    Kill,
    KillTorn,
    KillLoseDisk,
    Freeze,
    CutBoth,
    CutOut,
    CutIn,
    Delay,
    Double,
    Reorder,
    DiskFull,
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

/// Counts the steps of all processes and says where the fault strikes.
#[derive(Debug, Default)]
pub struct Plan {
    pub passed: AtomicUsize,
    pub counting: AtomicBool,
    /// Faults by the number of the step, counted from 1.
    pub faults: Mutex<Vec<(usize, Fault)>>,
    /// Where faults have struck and wait to be carried out.
    pub struck: Mutex<Vec<(usize, Fault)>>,
    /// Steps passed by kind, for the report.
    pub steps: Mutex<Vec<Step>>,
}

/// One life of one process.
#[derive(Debug)]
pub struct Control {
    pub site: usize,
    pub plan: std::sync::Arc<Plan>,
    pub dead: AtomicBool,
}

impl Control {
    pub fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }

    /// Passes a step; a killing fault ends this life on the spot.
    pub fn pass(&self, step: Step) -> Option<Fault> {
        if self.is_dead() || !self.plan.counting.load(Ordering::Acquire) {
            return None;
        }
        let number = self.plan.passed.fetch_add(1, Ordering::AcqRel) + 1;
        self.plan.steps.lock().unwrap().push(step);
        let faults = self.plan.faults.lock().unwrap();
        let fault = faults.iter().find(|(at, _)| *at == number).map(|(_, fault)| *fault)?;
        self.plan.struck.lock().unwrap().push((self.site, fault));
        if fault.kills() {
            self.dead.store(true, Ordering::Release);
        }
        Some(fault)
    }
}
