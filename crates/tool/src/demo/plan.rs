//! Sizes and times of the demo.

use super::sample::{
    Phase,
    Work, //
};
use core::{
    net::SocketAddr,
    time::Duration, //
};

/// Customers of the deployment; the first one sends the flood.
pub const CUSTOMERS: [&str; 4] = ["alba", "brisa", "cedro", "duna"];
/// Pool that all customers share.
pub(super) const POOL: &str = "comun";
/// Availability zone of all hosts.
pub(super) const ZONE: &str = "nicoya";
/// Number of entry processes.
pub(super) const ENTRIES: u16 = 2;
/// Number of runners.
pub(super) const RUNNERS: usize = 4;
/// Slots of each runner.
pub(super) const SLOTS: usize = 8;
/// Quotes per second and customer. At 20 ms each they take 4 of the 32 slots, half of the share of a customer.
const QUOTES_PER_SECOND: u32 = 200;
/// Ledger requests per second in the flood. At 100 ms each this is ten times what 32 slots can run.
const LEDGER_PER_SECOND: u32 = 3_200;
/// Range of seconds of load; each phase needs some hundred requests.
pub(super) const SECONDS: core::ops::RangeInclusive<u64> = 5..=60;

/// Load before the first phase that counts. An entry starts with the smallest part of the slots of each upstream. Its
/// part grows when the slots are next divided (every 1 s) after its first demand report (every 1 s).
const WARM_UP: Duration = Duration::from_millis(2_500);

/// Addresses of the deployment, all on loopback.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Ports {
    /// Any free ports.
    Free,
    /// The ports of `examples/trenzas`, so that commands can name them.
    Fixed,
}

impl Ports {
    /// Returns the address of the platform.
    pub(super) fn platform(self) -> SocketAddr {
        self.address(18_000)
    }

    /// Returns the addresses of an entry for callers, peers and operators.
    pub(super) fn entry(self, index: u16) -> [SocketAddr; 3] {
        let first = 18_100 + 10 * index;
        [first, first + 1, first + 2].map(|port| self.address(port))
    }

    fn address(self, port: u16) -> SocketAddr {
        let port = match self {
            Self::Free => 0,
            Self::Fixed => port,
        };
        SocketAddr::from(([127, 0, 0, 1], port))
    }
}

/// Length of the load, and seed of the times between requests.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seconds of load after the warm-up.
    pub seconds: u64,
    /// Seed of the times between requests.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seconds: 8,
            seed: 1,
        }
    }
}

impl Plan {
    /// Returns when each phase begins, as time since the start of the load.
    pub fn start(&self, phase: Phase) -> Duration {
        let percent = match phase {
            Phase::WarmUp => return Duration::ZERO,
            Phase::Before => 0,
            Phase::Flood => 25,
            Phase::Settling => 55,
            Phase::After => 65,
            Phase::Shutdown => 80,
            Phase::End => 100,
        };
        WARM_UP + Duration::from_millis(self.seconds * 10 * percent)
    }

    /// Returns the phase at a time since the start of the load.
    pub fn phase(&self, at: Duration) -> Phase {
        let begun = Phase::ALL
            .iter()
            .rev()
            .find(|phase| at >= self.start(**phase));
        begun.copied().unwrap_or(Phase::WarmUp)
    }

    /// Returns how long a phase takes.
    pub fn length(&self, phase: Phase) -> Duration {
        let next = Phase::ALL.iter().find(|other| **other > phase);
        next.map_or(Duration::ZERO, |next| self.start(*next) - self.start(phase))
    }
}

impl Work {
    /// Returns the time that a runner takes for a request.
    pub(super) const fn service_time(self) -> Duration {
        match self {
            Self::Quote => Duration::from_millis(20),
            Self::Ledger => Duration::from_millis(100),
        }
    }

    /// Returns the time after which the caller gives up.
    pub(super) const fn deadline(self) -> Duration {
        match self {
            Self::Quote => Duration::from_millis(500),
            Self::Ledger => Duration::from_secs(2),
        }
    }

    /// Returns the mean time between two requests of one stream.
    pub(super) fn interval(self) -> Duration {
        match self {
            Self::Quote => Duration::from_secs(1) / QUOTES_PER_SECOND,
            Self::Ledger => Duration::from_secs(1) / LEDGER_PER_SECOND,
        }
    }
}
