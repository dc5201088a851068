//! What the core's thread says of its load.

use control::load::Meter;
use std::time::Duration;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_thread_that_waits_for_its_disk_differs_from_one_that_is_busy() {
    let mut meter = Meter::new(millis(500));
    meter.record_input(millis(300));
    meter.record_round(millis(700), millis(600));
    assert_eq!(meter.end_window(millis(1499)), None, "a window lasts a second");
    let waiting = meter.end_window(millis(1500)).unwrap();
    assert!(waiting.is_behind());
    assert_eq!((waiting.busy_time, waiting.disk_time), (millis(100), millis(600)));
    meter.record_input(millis(300));
    meter.record_round(millis(700), millis(6));
    let busy = meter.end_window(millis(2500)).unwrap();
    assert!(busy.is_behind());
    assert_eq!((busy.busy_time, busy.disk_time), (millis(694), millis(6)));
}

#[test]
fn a_thread_without_waiting_inputs_is_not_behind() {
    let mut meter = Meter::new(millis(0));
    meter.record_input(millis(250));
    meter.record_round(millis(900), millis(0));
    assert!(!meter.end_window(millis(1000)).unwrap().is_behind());
}
