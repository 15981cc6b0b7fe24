//! Upstreams of one availability zone, ordered by preference.

use super::member::{
    MemberKey,
    Rank, //
};
use crate::heap::Heap;
use sassafrascrank_base::prelude::*;

/// Upstreams of one availability zone.
#[derive(Debug)]
pub(crate) struct Zone {
    pub(crate) key: availability_zone::Key,
    /// Every upstream of the zone; those without a free slot have the rank [`Rank::MAX`].
    pub(crate) order: Heap<MemberKey, Rank>,
    /// Slots of all the upstreams that this entry may use now.
    pub(crate) slots: u32,
}

impl Zone {
    /// Creates a zone without upstreams.
    pub(crate) fn new(key: availability_zone::Key) -> Self {
        Self {
            key,
            order: Heap::new(),
            slots: 0,
        }
    }

    /// Returns the preferred upstream with a free slot.
    pub(crate) fn best(&self, avoid: Option<MemberKey>) -> Option<(Rank, MemberKey)> {
        let best = self.order.first_except(avoid);
        best.filter(|(rank, _)| *rank != Rank::MAX)
    }
}
