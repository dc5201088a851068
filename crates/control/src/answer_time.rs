//! How long to wait for a worker's answer, learned from the answers seen.
//!
//! Answers workers that leave some orders unanswered. Such an order can be sent again without
//! harm, and until it is, its run holds room and its job waits; so the wait is only a little
//! longer than answers take. It grows while a worker stays silent, so that answers that have
//! become slower are seen.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Least time that is waited beyond the mean. A process that shares its processor may pause for
/// a tenth of a second.
const MIN_MARGIN: Duration = Duration::from_millis(150);
/// Longest wait, and the one before the first answer.
const MAX_TIMEOUT: Duration = Duration::from_millis(800);
/// Weights of a new answer in the averages, and number of deviations in the wait, as in TCP's
/// retransmission timer (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;
/// Time after the last unanswered call for which an address is remembered: that of a worker which has
/// ended is not called again.
const UNANSWERED_MEMORY: Duration = Duration::from_secs(60);
/// Part of a poll's wait by which the clock of a worker may delay the answer.
const CLOCK_DRIFT: f64 = 0.05;

/// Times of the answers of all workers that a process calls.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// Mean and mean deviation in seconds; `None` before the first answer.
    seen: Option<(f64, f64)>,
    /// Rounds of calls since the last answer, by the worker's address.
    unanswered: BTreeMap<SocketAddr, Unanswered>,
}

/// Calls to one worker without an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Unanswered {
    rounds: u32,
    /// When the last round was given up.
    at: Duration,
}

impl Times {
    /// Returns how long to wait for the answer to an order. It doubles when calls to that address
    /// got none, once for calls that were open at the same time.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut times = control::answer_time::Times::default();
    /// let worker = "10.0.0.1:80".parse().unwrap();
    /// assert_eq!(times.timeout(worker), Duration::from_millis(800));
    /// times.record_answer(worker, Duration::from_millis(20));
    /// assert_eq!(times.timeout(worker), Duration::from_millis(170));
    /// times.record_unanswered(worker, Duration::ZERO, Duration::from_millis(170));
    /// assert_eq!(times.timeout(worker), Duration::from_millis(340));
    /// ```
    pub fn timeout(&self, address: SocketAddr) -> Duration {
        let Some((mean, deviation)) = self.seen else { return MAX_TIMEOUT };
        let margin = Duration::from_secs_f64(DEVIATIONS * deviation).max(MIN_MARGIN);
        let usual = Duration::from_secs_f64(mean) + margin;
        let rounds = self.unanswered.get(&address).map_or(0, |unanswered| unanswered.rounds);
        usual.saturating_mul(2u32.saturating_pow(rounds)).min(MAX_TIMEOUT)
    }

    /// Returns how long to wait for the answer to a poll that the worker may hold back for
    /// `max_wait`.
    pub fn poll_timeout(&self, address: SocketAddr, max_wait: Duration) -> Duration {
        max_wait.mul_f64(1.0 + CLOCK_DRIFT) + self.timeout(address)
    }

    /// Records that an order was answered after `elapsed`.
    pub fn record_answer(&mut self, address: SocketAddr, elapsed: Duration) {
        self.record_poll_answer(address);
        let elapsed = elapsed.as_secs_f64();
        self.seen = Some(match self.seen {
            None => (elapsed, elapsed / 2.0),
            Some((mean, deviation)) => {
                let error = elapsed - mean;
                (
                    mean + MEAN_WEIGHT * error,
                    deviation + DEVIATION_WEIGHT * (error.abs() - deviation),
                )
            }
        });
    }

    /// Records that a poll was answered. The time says nothing, since the worker may have held
    /// the answer back.
    pub fn record_poll_answer(&mut self, address: SocketAddr) {
        self.unanswered.remove(&address);
    }

    /// Records that a call sent at `sent_at` was given up without an answer.
    pub fn record_unanswered(&mut self, address: SocketAddr, sent_at: Duration, now: Duration) {
        self.unanswered.retain(|_, unanswered| now < unanswered.at + UNANSWERED_MEMORY);
        let unanswered = self.unanswered.entry(address).or_default();
        if sent_at >= unanswered.at {
            *unanswered = Unanswered { rounds: unanswered.rounds.saturating_add(1), at: now };
        }
    }
}
