//! Start tags of a start-time fair queue.

/// Units of virtual time for one microsecond of slot time at a weight of one.
///
/// The scale keeps the rounding error of a charge below a thousandth of a microsecond at the largest usual weight.
const VIRTUAL_TIME_SCALE: u128 = 10_000_000;
/// Weight of a share of one percent.
const WEIGHT_PER_PERCENT: u128 = 100;
/// Weight of a share of zero, a ten-thousandth of the weight of a share of 100%: it gets almost only unused slots.
const WEIGHT_MIN: u128 = 1;

/// Virtual time: slot time divided by weight.
///
/// 128 bits keep it from overflowing for the life of any process.
pub(crate) type Tag = u128;

/// State of one customer or one class in start-time fair queueing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    /// Start tag of the next request.
    pub(crate) start: Tag,
    /// Sequence number of the last time that credit was dropped or the weight changed.
    pub(crate) epoch: u64,
    /// Weight, from the share in percent.
    pub(crate) weight: u128,
    /// Credit that was dropped at the start of the current epoch or by corrections since, less what they have used up.
    dropped_credit: Tag,
}

impl Flow {
    /// Creates an idle flow; `epoch` must differ from those of earlier flows of the same customer or class.
    pub(crate) fn new(share: u32, start: Tag, epoch: u64) -> Self {
        Self {
            start,
            epoch,
            weight: weight(share),
            dropped_credit: 0,
        }
    }

    /// Sets the share in percent, and scales the distance of the start tag from the virtual time `clock` to it.
    ///
    /// Charges made under the old weight are corrected like those from before an idle period.
    pub(crate) fn set_share(&mut self, share: u32, clock: Tag, epoch: u64) {
        let before = self.weight;
        self.weight = weight(share);
        if self.weight == before {
            return;
        }
        let ahead = self.start.saturating_sub(clock);
        self.start = self.start.min(clock) + ahead.saturating_mul(before) / self.weight;
        self.dropped_credit = 0;
        self.epoch = epoch;
    }

    /// Starts a busy period at the virtual time `clock`, without credit for the idle time before.
    pub(crate) fn activate(&mut self, clock: Tag, epoch: u64) {
        if self.start < clock {
            self.dropped_credit = clock - self.start;
            self.start = clock;
            self.epoch = epoch;
        }
    }

    /// Charges `cost` microseconds of slot time.
    pub(crate) fn charge(&mut self, cost: u64) {
        self.start = self.start.saturating_add(self.virtual_time(cost));
    }

    /// Replaces an earlier charge, made in `epoch`, by the actual slot time.
    ///
    /// A charge from before an idle period matters only as far as it exceeds the credit that the idle period
    /// dropped; otherwise a late refund would be credit for idling.
    pub(crate) fn correct(&mut self, epoch: u64, charged: u64, actual: u64) {
        let (charged, actual) = (self.virtual_time(charged), self.virtual_time(actual));
        if epoch == self.epoch {
            self.start = self.start.saturating_sub(charged).saturating_add(actual);
            return;
        }
        let refund = charged.saturating_sub(actual);
        let surcharge = actual.saturating_sub(charged);
        let covered = surcharge.min(self.dropped_credit);
        self.dropped_credit = (self.dropped_credit - covered).saturating_add(refund);
        self.start = self.start.saturating_add(surcharge - covered);
    }

    fn virtual_time(&self, cost: u64) -> Tag {
        u128::from(cost) * VIRTUAL_TIME_SCALE / self.weight
    }
}

fn weight(share: u32) -> u128 {
    (u128::from(share) * WEIGHT_PER_PERCENT).max(WEIGHT_MIN)
}
