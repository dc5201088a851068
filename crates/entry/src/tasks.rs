//! Group of spawned tasks that are joined together.

use async_std::task::{self, JoinHandle};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};

struct Task {
    handle: JoinHandle<()>,
    done: Arc<AtomicBool>,
}

/// Group of spawned tasks. Finished tasks are removed whenever a new one is spawned.
///
/// ```
/// let tasks = entry::tasks::Tasks::default();
/// tasks.spawn(async {});
/// async_std::task::block_on(tasks.join());
/// ```
#[derive(Default)]
pub struct Tasks {
    tasks: Mutex<Vec<Task>>,
}

impl Tasks {
    /// Spawns a future as a task of this group.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let done = Arc::new(AtomicBool::new(false));
        let flag = done.clone();
        let handle = task::spawn(async move {
            future.await;
            flag.store(true, Ordering::Release);
        });
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.retain(|task| !task.done.load(Ordering::Acquire));
        tasks.push(Task { handle, done });
    }

    /// Waits until all tasks have ended, tasks spawned meanwhile included.
    pub async fn join(&self) {
        loop {
            let tasks =
                std::mem::take(&mut *self.tasks.lock().unwrap_or_else(PoisonError::into_inner));
            if tasks.is_empty() {
                return;
            }
            for task in tasks {
                task.handle.await;
            }
        }
    }
}
