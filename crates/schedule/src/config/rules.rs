//! Timing rules of the engine.

use sassafrascrank_base::prelude::*;

/// Timing rules of the engine.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Lease of all runs on a runner, renewed by each poll. It outlasts a change of leader: 1.8 s until the silence of
    /// the old leader is noticed, and 1 s between two renewals.
    pub lease: Duration,
    /// Longest lease that a runner grants, whatever an order says.
    pub lease_limit: Duration,
    /// Longest time from an order to a runner until it is carried out: the wait for a connection and the time for the
    /// answer. The platform may carry out a few orders later.
    pub order_limit: Duration,
    /// Longest time after which a start without an answer may still be carried out. The users' platform carries orders out up
    /// to 12 s late.
    pub start_limit: Duration,
    /// The same for long-running tasks. They have to run again at most 7 s after the last fault, so the wait is cut short.
    pub long_running_start_limit: Duration,
    /// Lease of a run that starts on an idle runner, until the first poll renews it. A short one limits how long a
    /// start stays in doubt if the host fails before it answers.
    pub first_lease: Duration,
    /// Time after its last confirmed append during which a leader may renew leases; see `lead::Timing::lease`.
    pub leader_lease: Duration,
    /// Largest amount by which a runner's clock runs slow, in thousandths of its rate.
    pub drift_permille: u32,
    /// Safety margin after the end of each lease.
    pub margin: Duration,
    /// Longest time that a runner holds a poll open while no run ends. Each poll renews the lease.
    pub poll_wait: Duration,
    /// Shortest time between two polls of a runner.
    pub poll_gap: Duration,
    /// Time between two polls of an idle runner.
    pub idle_poll_interval: Duration,
    /// Time between two polls of a runner that does not answer or whose ends are being stored.
    pub retry_interval: Duration,
    /// Time after which an unanswered order to stop a run is repeated.
    pub stop_retry_interval: Duration,
    /// Longest time that a run takes to stop.
    pub stop_limit: Duration,
    /// Time for which a runner gets no tasks after several tasks in a row failed there.
    pub quarantine: Duration,
    /// Time that a host takes to move to another pool.
    pub move_time: Duration,
    /// Time after an order to a host during which no other leader may give it an order.
    pub host_lease: Duration,
    /// Age of the last confirmation of the configuration up to which tasks of accounts with a cap start. A cap may have been
    /// lowered since.
    pub config_age_limit: Duration,
    /// Time in which the allowance of an account for further jobs is refilled.
    pub account_window: Duration,
    /// Orders to hosts a second that the host service accepts; `None` without a limit.
    pub host_orders_per_second: Option<u32>,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3_500),
            lease_limit: Duration::from_millis(6_000),
            order_limit: Duration::from_millis(1_200),
            start_limit: Duration::from_secs(12),
            long_running_start_limit: Duration::from_secs(6),
            first_lease: Duration::from_millis(1_500),
            leader_lease: Duration::from_millis(2_500),
            drift_permille: 20,
            margin: Duration::from_millis(300),
            poll_wait: Duration::from_millis(900),
            poll_gap: Duration::from_millis(30),
            idle_poll_interval: Duration::from_millis(2_000),
            retry_interval: Duration::from_millis(250),
            stop_retry_interval: Duration::from_millis(400),
            stop_limit: Duration::from_millis(900),
            quarantine: Duration::from_millis(4_000),
            move_time: Duration::from_millis(1_500),
            host_lease: Duration::from_millis(3_000),
            config_age_limit: Duration::from_millis(3_000),
            account_window: Duration::from_secs(5),
            host_orders_per_second: None,
        }
    }
}

impl Rules {
    /// Returns the time by which every lease that was renewed at `ordered` or before has ended, even by the slowest
    /// clock.
    pub fn lease_expiry(&self, ordered: Time) -> Time {
        self.expiry(self.lease, ordered)
    }

    /// Returns the time by which every lease has ended that was ordered at `ordered` or before, even if the order named its
    /// end by the clock of an earlier incarnation. The clock of a later one starts anew.
    pub fn longest_lease_expiry(&self, ordered: Time) -> Time {
        self.granted_lease_expiry(ordered + self.order_limit)
    }

    /// Returns the time by which every lease has ended that a runner had granted by `granted`.
    pub fn granted_lease_expiry(&self, granted: Time) -> Time {
        self.expiry(self.lease_limit, granted)
    }

    fn expiry(&self, lease: Duration, ordered: Time) -> Time {
        let rate = 1.0 - f64::from(self.drift_permille) / 1_000.0;
        ordered + lease.div_f64(rate) + self.margin
    }
}
