//! Crashes of workers under units.

use std::time::Duration;

/// Time for which a run is recent. Work that crashes its worker does so while it is.
pub const RECENT: Duration = Duration::from_millis(300);
