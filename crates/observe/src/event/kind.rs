//! Kinds of events.

use core::fmt;

macro_rules! kinds {
    ($($(#[doc = $doc:literal])* $name:ident = $code:literal;)*) => {
        /// Kind of an event. The description of each kind says what the event's `detail` holds, if anything.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Kind {
            $($(#[doc = $doc])* $name,)*
        }

        impl Kind {
            /// All kinds, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the machine-readable code.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }
        }
    };
}

kinds! {
    /// A request arrived from a caller or from another entry.
    Arrived = "arrived";
    /// A request was queued; detail: requests in the queue with it.
    Queued = "queued";
    /// A request was granted a slot of an upstream; detail: queue wait in microseconds.
    Granted = "granted";
    /// A request was sent on to the entry that owns its key (`member`).
    Forwarded = "forwarded";
    /// An attempt failed with `reason`; detail: number of the attempt, from 1.
    AttemptFailed = "attempt-failed";
    /// A request will be tried again; detail: delay in microseconds.
    Retried = "retried";
    /// A request was answered; detail: service time in microseconds.
    Answered = "answered";
    /// A request was refused with `outcome` and `reason`.
    Refused = "refused";
    /// A caller disconnected before its answer.
    Cancelled = "cancelled";
    /// This process appended a configuration change; detail: its offset.
    ConfigurationPublished = "configuration-published";
    /// A configuration took effect in this process; detail: its offset.
    ConfigurationInForce = "configuration-in-force";
    /// An upstream is draining: it finishes its requests and gets no new ones.
    UpstreamDraining = "upstream-draining";
    /// An upstream failed too often and was ejected; detail: duration of the ejection in microseconds.
    UpstreamEjected = "upstream-ejected";
    /// An upstream accepts requests again.
    UpstreamReturned = "upstream-returned";
    /// An entry joined; detail: offset of the membership record.
    MemberJoined = "member-joined";
    /// An entry left in a planned departure; detail: offset of the membership record.
    MemberLeft = "member-left";
    /// An entry was retired; detail: offset of the membership record.
    MemberRetired = "member-retired";
    /// An append to the log failed.
    AppendFailed = "append-failed";
    /// The log stopped answering.
    LogLost = "log-lost";
    /// The log answers again; detail: duration of the loss in microseconds.
    LogFound = "log-found";
    /// Another entry stopped answering.
    PeerLost = "peer-lost";
    /// Another entry answers again; detail: duration of the loss in microseconds.
    PeerFound = "peer-found";
    /// The graceful shutdown began; detail: requests in flight.
    ShutdownBegun = "shutdown-begun";
    /// Every request in flight was answered.
    ShutdownDrained = "shutdown-drained";
    /// Outcomes of keyed requests were handed over; detail: their number.
    ShutdownHandedOver = "shutdown-handed-over";
    /// The process is about to exit.
    ShutdownEnded = "shutdown-ended";
}

impl Kind {
    /// Returns the kind with this code, if there is one.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.as_str() == code)
    }

    /// Tells whether the event concerns one request; every other event is a change of state.
    pub const fn concerns_request(self) -> bool {
        matches!(
            self,
            Self::Arrived
                | Self::Queued
                | Self::Granted
                | Self::Forwarded
                | Self::AttemptFailed
                | Self::Retried
                | Self::Answered
                | Self::Refused
                | Self::Cancelled
        )
    }

    /// Tells whether the event's detail is a configuration offset.
    pub const fn concerns_configuration(self) -> bool {
        matches!(
            self,
            Self::ConfigurationPublished | Self::ConfigurationInForce
        )
    }

    /// Returns the position of this kind in the course of a request, which orders events that have the same time.
    pub(crate) const fn stage(self) -> u8 {
        match self {
            Self::Arrived => 0,
            Self::Queued => 1,
            Self::Answered | Self::Refused | Self::Cancelled => 3,
            _ => 2,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
