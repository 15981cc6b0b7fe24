//! Number of seats, and the durations that decide who holds them.

use sassafrascrank_base::prelude::*;

/// Number of seats, and the durations that decide who holds them; they have to be the same at all entries.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Seats in each availability zone. With four, all entries of a small deployment are candidates, and a large zone keeps
    /// two when one is replaced and another is lost.
    pub seats_per_zone: u8,
    /// Time between two records of a holder.
    pub renewal: Duration,
    /// Time without a record of the holder, while reads succeed, after which a seat is vacant. A slow log, which appends
    /// one record in 0.1 s, takes 2 s for a round of the renewals of 15 candidates.
    pub lifetime: Duration,
    /// Largest age of the last successful read at which the seats count as known.
    pub max_read_age: Duration,
    /// Time for which a seat has to be vacant before an entry without any processor capacity takes it. One with a whole
    /// core takes it at once, so that the largest entries of a zone get its seats.
    pub capacity_delay: Duration,
    /// Range over which entries of the same size spread their attempts.
    pub stagger: Duration,
    /// Time for which a seat has had a much smaller holder before a larger entry takes it.
    pub replace_delay: Duration,
    /// Pause before a renewal that failed is repeated.
    pub retry_pause: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            seats_per_zone: 4,
            renewal: Duration::from_millis(1_500),
            lifetime: Duration::from_millis(5_000),
            max_read_age: Duration::from_millis(2_500),
            capacity_delay: Duration::from_millis(2_000),
            stagger: Duration::from_millis(300),
            replace_delay: Duration::from_millis(2_000),
            retry_pause: Duration::from_millis(300),
        }
    }
}
