//! Event that a thread records.

use super::{
    Kind,
    request, //
};
use sassafrascrank_base::prelude::*;

/// An event in this process: a step of a request or a change of state. Refers to things by key; the observe thread
/// resolves the keys to names.
///
/// # Examples
///
/// ```
/// use sassafrascrank_base::prelude::*;
/// use sassafrascrank_observe::event::{Event, Kind};
///
/// let event = Event::new(Time::from_millis(5), Kind::ConfigurationInForce).detail(812);
/// assert_eq!(event.detail, 812);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// When it happened, read just before the event is recorded.
    pub time: Time,
    /// What happened.
    pub kind: Kind,
    /// Outcome of the request, if it has one.
    pub outcome: Option<Outcome>,
    /// Why an attempt failed or a request was refused.
    pub reason: Option<Reason>,
    /// The request concerned.
    pub request: Option<request::Id>,
    /// The customer concerned.
    pub customer: Option<customer::Key>,
    /// Urgency class of the request in its customer's contract.
    pub class: Option<class::Index>,
    /// The pool concerned.
    pub pool: Option<pool::Key>,
    /// The upstream concerned.
    pub upstream: Option<upstream::Key>,
    /// The other entry concerned.
    pub member: Option<entry::Key>,
    /// A number whose meaning depends on the kind; see the variants of [`Kind`].
    pub detail: u64,
}

impl Event {
    /// Creates an event that has only a time and a kind.
    #[inline]
    pub const fn new(time: Time, kind: Kind) -> Self {
        Self {
            time,
            kind,
            outcome: None,
            reason: None,
            request: None,
            customer: None,
            class: None,
            pool: None,
            upstream: None,
            member: None,
            detail: 0,
        }
    }

    /// Creates the event of a refused request.
    #[inline]
    pub const fn refused(time: Time, refusal: &Refusal) -> Self {
        let mut event = Self::new(time, Kind::Refused);
        event.outcome = Some(refusal.outcome);
        event.reason = Some(refusal.reason);
        event
    }

    /// Creates the event of a failed attempt.
    #[inline]
    pub const fn attempt_failed(time: Time, reason: Reason) -> Self {
        let mut event = Self::new(time, Kind::AttemptFailed);
        event.reason = Some(reason);
        event
    }

    /// Creates the event of an answered request that took the upstream `service` time.
    #[inline]
    pub fn answered(time: Time, service: Duration) -> Self {
        let mut event = Self::new(time, Kind::Answered).duration(service);
        event.outcome = Some(Outcome::Answered);
        event
    }

    /// Sets the request.
    #[inline]
    pub const fn request(mut self, request: request::Id) -> Self {
        self.request = Some(request);
        self
    }

    /// Sets the customer.
    #[inline]
    pub const fn customer(mut self, customer: customer::Key) -> Self {
        self.customer = Some(customer);
        self
    }

    /// Sets the urgency class.
    #[inline]
    pub const fn class(mut self, class: class::Index) -> Self {
        self.class = Some(class);
        self
    }

    /// Sets the pool.
    #[inline]
    pub const fn pool(mut self, pool: pool::Key) -> Self {
        self.pool = Some(pool);
        self
    }

    /// Sets the upstream.
    #[inline]
    pub const fn upstream(mut self, upstream: upstream::Key) -> Self {
        self.upstream = Some(upstream);
        self
    }

    /// Sets the other entry.
    #[inline]
    pub const fn member(mut self, member: entry::Key) -> Self {
        self.member = Some(member);
        self
    }

    /// Sets the detail to a number.
    #[inline]
    pub const fn detail(mut self, detail: u64) -> Self {
        self.detail = detail;
        self
    }

    /// Sets the detail to a duration, in microseconds.
    #[inline]
    pub fn duration(self, duration: Duration) -> Self {
        self.detail(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}
