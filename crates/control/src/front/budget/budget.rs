//! The connections of the front thread and the bytes that their requests hold.

use super::{
    BODY_LIMIT_BYTES,
    Key,
    Limits,
    Origin,
    connection::{
        Connection,
        Phase, //
    }, //
};
use sassafrascrank_base::prelude::*;
use slotmap::SlotMap;
use std::collections::BTreeSet;

/// Largest body that may use the whole budget. A small body of each connection takes at most a quarter of it, since the
/// number of connections follows from the same memory.
const SMALL_BYTES: usize = 4 << 10;
/// Least capacity of a buffer.
const MIN_CAPACITY: usize = 1 << 10;

/// Connections by the time since which they have been in a phase.
type Order = BTreeSet<(Time, Key)>;

/// Why a body is refused. Nothing was done for its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// The requests hold as many bytes as they may, and no other one has to give way.
    Full,
    /// The body is larger than any request may have.
    TooLarge,
}

/// The connections of the front thread and the bytes that their requests hold.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    connections: SlotMap<Key, Connection>,
    /// Number of connections of each origin that do not have to close.
    open: [usize; Origin::COUNT],
    /// Bytes that all requests hold.
    held: usize,
    /// Those of bodies above [`SMALL_BYTES`].
    held_large: usize,
    /// Connections of each origin without a request in progress.
    idle: [Order; Origin::COUNT],
    /// Connections of each origin with an incomplete head or body.
    incomplete: [Order; Origin::COUNT],
    /// Incomplete bodies of at most [`SMALL_BYTES`] that hold bytes.
    small: Order,
    /// Larger incomplete bodies.
    large: Order,
}

impl Budget {
    /// Creates a budget without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            open: [0; Origin::COUNT],
            held: 0,
            held_large: 0,
            idle: Default::default(),
            incomplete: Default::default(),
            small: Order::new(),
            large: Order::new(),
        }
    }

    /// Adds a connection, and returns it with the one that has to close for it, if any. Returns `None` if the connections
    /// are at their limit and each one has a complete request.
    pub fn admit(&mut self, origin: Origin, now: Time) -> Option<(Key, Option<Key>)> {
        let full = self.open[origin.index()] >= self.limits.connections(origin);
        let evicted = match full {
            true => Some(self.evict(origin)?),
            false => None,
        };
        self.open[origin.index()] += 1;
        let key = self.connections.insert(Connection {
            origin,
            phase: Phase::Head,
            since: now,
            held: 0,
        });
        self.list(key);
        Some((key, evicted))
    }

    /// Names the least useful connection of an origin, which has to close: the one without a request in progress for the
    /// longest time, otherwise the one whose head or body has been incomplete for the longest time.
    pub fn evict(&mut self, origin: Origin) -> Option<Key> {
        let idle = self.idle[origin.index()].first();
        let incomplete = || self.incomplete[origin.index()].first();
        let (_, key) = *idle.or_else(incomplete)?;
        self.change(key, |connection| {
            connection.phase = Phase::Evicted;
            connection.held = 0;
        });
        self.open[origin.index()] -= 1;
        Some(key)
    }

    /// Begins a request, whose body is still to be read. Returns `false` if the connection has to close.
    pub fn begin(&mut self, key: Key, now: Time) -> bool {
        self.enter(key, Phase::Body, now)
    }

    /// Makes room for a body of `length` bytes in all. Returns the capacity of its buffer. The requests whose bodies have
    /// to be dropped for it are added to `evicted`, also if the result is a refusal.
    ///
    /// # Errors
    ///
    /// Refuses the body if it has to give way itself; its bytes are then released.
    pub fn grow(
        &mut self,
        key: Key,
        length: usize,
        now: Time,
        evicted: &mut Vec<Key>,
    ) -> Result<usize, Refused> {
        let connection = self.connections.get(key).copied();
        let Some(connection) = connection.filter(|known| known.phase == Phase::Body) else {
            return Err(Refused::Full);
        };
        if length > BODY_LIMIT_BYTES {
            self.finish(key, now);
            return Err(Refused::TooLarge);
        }
        let capacity = length
            .next_power_of_two()
            .clamp(MIN_CAPACITY, BODY_LIMIT_BYTES);
        if capacity <= connection.held {
            return Ok(connection.held);
        }
        while !self.has_room(connection.held, capacity) {
            let own = (connection.since, key);
            let victim = match capacity > SMALL_BYTES {
                true => self.large.first().filter(|oldest| **oldest < own),
                false => self.large.first().or_else(|| self.small.first()),
            };
            match victim.copied() {
                Some((_, victim)) if victim != key => {
                    self.finish(victim, now);
                    evicted.push(victim);
                }
                _ => {
                    self.finish(key, now);
                    return Err(Refused::Full);
                }
            }
        }
        self.change(key, |connection| connection.held = capacity);
        Ok(capacity)
    }

    /// Marks the body of a request as complete, so that it is not dropped any more. Returns `false` if it has been dropped
    /// before.
    pub fn complete(&mut self, key: Key, now: Time) -> bool {
        let phase = self.connections.get(key).map(|known| known.phase);
        phase == Some(Phase::Body) && self.enter(key, Phase::Complete, now)
    }

    /// Sets the bytes that a complete request holds in place of its body.
    pub fn settle(&mut self, key: Key, bytes: usize) {
        let phase = self.connections.get(key).map(|known| known.phase);
        if phase == Some(Phase::Complete) {
            self.change(key, |connection| connection.held = bytes);
        }
    }

    /// Ends a request, which has been answered or refused, and releases its bytes.
    pub fn finish(&mut self, key: Key, now: Time) {
        if self.enter(key, Phase::Idle, now) {
            self.change(key, |connection| connection.held = 0);
        }
    }

    /// Removes a connection that has closed.
    pub fn close(&mut self, key: Key) {
        let Some(connection) = self.connections.get(key).copied() else {
            return;
        };
        self.unlist(key);
        self.connections.remove(key);
        if connection.phase != Phase::Evicted {
            self.open[connection.origin.index()] -= 1;
        }
    }

    /// Returns the bytes that all requests hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of connections of an origin that do not have to close.
    pub fn open(&self, origin: Origin) -> usize {
        self.open[origin.index()]
    }

    /// Tells whether a body may hold `after` bytes in place of `before`.
    fn has_room(&self, before: usize, after: usize) -> bool {
        let total = self.held - before + after;
        let total_large = self.held_large - large(before) + large(after);
        let fits_large = large(after) == 0 || total_large <= self.limits.large_bytes();
        total <= self.limits.bytes && fits_large
    }

    /// Changes the phase of a connection. Returns `false` if it has to close.
    fn enter(&mut self, key: Key, phase: Phase, now: Time) -> bool {
        let known = self.connections.get(key).map(|known| known.phase);
        if matches!(known, None | Some(Phase::Evicted)) {
            return false;
        }
        self.change(key, |connection| {
            connection.phase = phase;
            connection.since = now;
        });
        true
    }

    fn change(&mut self, key: Key, change: impl FnOnce(&mut Connection)) {
        self.unlist(key);
        if let Some(connection) = self.connections.get_mut(key) {
            change(connection);
        }
        self.list(key);
    }

    /// Counts what a connection holds, and adds it to the orders that its phase belongs to.
    fn list(&mut self, key: Key) {
        let Some(connection) = self.connections.get(key).copied() else {
            return;
        };
        self.held += connection.held;
        self.held_large += large(connection.held);
        let place = (connection.since, key);
        for order in self.orders(connection) {
            order.insert(place);
        }
    }

    /// Reverses [`list`](Self::list).
    fn unlist(&mut self, key: Key) {
        let Some(connection) = self.connections.get(key).copied() else {
            return;
        };
        self.held -= connection.held;
        self.held_large -= large(connection.held);
        let place = (connection.since, key);
        for order in self.orders(connection) {
            order.remove(&place);
        }
    }

    /// Returns the orders that a connection belongs to.
    fn orders(&mut self, connection: Connection) -> impl Iterator<Item = &mut Order> {
        let index = connection.origin.index();
        let by_connection = match connection.phase {
            Phase::Head | Phase::Body => Some(&mut self.incomplete[index]),
            Phase::Idle => Some(&mut self.idle[index]),
            Phase::Complete | Phase::Evicted => None,
        };
        let by_body = match (connection.phase, connection.held) {
            (Phase::Body, 1..=SMALL_BYTES) => Some(&mut self.small),
            (Phase::Body, 1..) => Some(&mut self.large),
            _ => None,
        };
        by_connection.into_iter().chain(by_body)
    }
}

/// Returns what a body of `bytes` counts towards the large ones.
fn large(bytes: usize) -> usize {
    if bytes > SMALL_BYTES { bytes } else { 0 }
}
