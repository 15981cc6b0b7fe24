//! Shares and classes of one customer.

use super::{
    Class,
    flow::{
        Flow,
        Tag, //
    },
    lane::Lane, //
};
use sassafrascrank_base::{
    key::class::CLASS_LIMIT,
    prelude::*, //
};

/// Priority of a customer: start tag, class index of its next request, sequence number of its last update.
pub(crate) type Priority = (Tag, u8, u64);

/// Fair queue of the classes of one customer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Account {
    /// Flow among the customers for slots of the home zone.
    pub(crate) flow: Flow,
    /// Flow among the customers for slots of other zones.
    pub(crate) spill_flow: Flow,
    /// Whether it may use slots of other zones.
    pub(crate) spill: bool,
    /// Number of waiting requests.
    pub(crate) count: u32,
    /// Sum of the weights of the classes with waiting requests.
    pub(crate) active_weight: u128,
    /// Sum of the weights of all its classes.
    pub(crate) total_weight: u128,
    /// Virtual time of the classes.
    clock: Tag,
    lanes: [Option<Lane>; CLASS_LIMIT],
}

impl Account {
    /// Creates an account without classes.
    pub(crate) fn new(share: u32, clock: Tag, epoch: u64) -> Self {
        Self {
            flow: Flow::new(share, clock, epoch),
            spill_flow: Flow::new(share, 0, epoch),
            spill: false,
            count: 0,
            active_weight: 0,
            total_weight: 0,
            clock: 0,
            lanes: [None; CLASS_LIMIT],
        }
    }

    /// Sets the classes; a class that is no longer listed admits no new request.
    pub(crate) fn set_classes(&mut self, classes: &[Class], epoch: u64) {
        let clock = self.clock;
        for (index, current) in self.lanes.iter_mut().enumerate() {
            match (current.as_mut(), classes.get(index)) {
                (Some(lane), Some(&class)) => lane.set_class(class, clock, epoch),
                (None, Some(&class)) => *current = Some(Lane::new(class, epoch)),
                (Some(lane), None) => lane.class.limit = 0,
                (None, None) => {}
            }
        }
        let active = self.lanes.iter().flatten().filter(|lane| lane.count > 0);
        self.active_weight = active.map(|lane| lane.flow.weight).sum();
        let lanes = self.lanes.iter().flatten();
        self.total_weight = lanes.map(|lane| lane.flow.weight).sum();
    }

    /// Returns the queue of a class.
    pub(crate) fn lane(&self, class: class::Index) -> Option<&Lane> {
        self.lanes.get(usize::from(class.0))?.as_ref()
    }

    /// Returns the queue of a class for changes.
    pub(crate) fn lane_mut(&mut self, class: class::Index) -> Option<&mut Lane> {
        self.lanes.get_mut(usize::from(class.0))?.as_mut()
    }

    /// Returns the flow for slots of the home zone or, with `spill`, of other zones.
    pub(crate) fn flow_mut(&mut self, spill: bool) -> &mut Flow {
        match spill {
            true => &mut self.spill_flow,
            false => &mut self.flow,
        }
    }

    /// Returns the class that is served next; of classes with equal start tags, the most urgent.
    pub(crate) fn next_class(&self) -> Option<class::Index> {
        let indexed = (0..).map(class::Index).zip(&self.lanes);
        let active = indexed.filter_map(|(index, lane)| Some((index, lane.as_ref()?)));
        active
            .filter(|(_, lane)| lane.count > 0)
            .min_by_key(|(index, lane)| (lane.flow.start, *index))
            .map(|(index, _)| index)
    }

    /// Returns the class with the most waiting requests per weight.
    pub(crate) fn longest_class(&self) -> Option<class::Index> {
        let indexed = (0..).map(class::Index).zip(&self.lanes);
        let active = indexed.filter_map(|(index, lane)| Some((index, lane.as_ref()?)));
        active
            .filter(|(_, lane)| lane.count > 0)
            .max_by_key(|(index, lane)| (requests_per_weight(lane.count, lane.flow.weight), *index))
            .map(|(index, _)| index)
    }

    /// Counts a request that was added to `class`.
    pub(crate) fn count_added(&mut self, class: class::Index, epoch: u64) {
        self.count += 1;
        let clock = self.clock;
        let Some(lane) = self.lane_mut(class) else {
            return;
        };
        if lane.count == 1 {
            lane.flow.activate(clock, epoch);
            self.active_weight += lane.flow.weight;
        }
    }

    /// Counts a request that was removed from `class`.
    pub(crate) fn count_removed(&mut self, class: class::Index) {
        self.count -= 1;
        let lane = self.lane(class);
        let idle = lane.filter(|lane| lane.count == 0);
        self.active_weight -= idle.map_or(0, |lane| lane.flow.weight);
    }

    /// Charges `cost` microseconds for a request of `class` that gets a slot.
    pub(crate) fn charge(&mut self, class: class::Index, cost: u64, spill: bool) {
        self.flow_mut(spill).charge(cost);
        let Some(lane) = self.lane_mut(class) else {
            return;
        };
        let start = lane.flow.start;
        lane.flow.charge(cost);
        self.clock = self.clock.max(start);
    }
}

/// Returns the number of waiting requests per weight, scaled so that different counts differ under large weights.
pub(crate) fn requests_per_weight(count: u32, weight: u128) -> u128 {
    (u128::from(count) << 32) / weight
}
