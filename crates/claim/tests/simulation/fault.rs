//! Kinds of faults that schedules inject.

/// Fault of a schedule; the clocks of the entries differ by up to the allowed skew in all of them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    None,
    /// An entry ends without a leave and starts again later.
    Crash,
    /// An entry stops running for a while and then goes on.
    Pause,
    /// One entry can't reach the log.
    LogCut,
    /// No entry can reach the log.
    LogDown,
    /// Two entries can't reach each other.
    PeerCut,
    /// More messages are lost, repeated and delayed.
    Messages,
    /// An entry leaves as planned and starts again.
    Leave,
    /// All entries leave one after the other and start again.
    Rolling,
    /// Several of the other faults.
    Mixed,
}

impl Fault {
    pub(crate) const ALL: [Self; 10] = [
        Self::None,
        Self::Crash,
        Self::Pause,
        Self::LogCut,
        Self::LogDown,
        Self::PeerCut,
        Self::Messages,
        Self::Leave,
        Self::Rolling,
        Self::Mixed,
    ];

    /// Faults from which a mixed schedule draws.
    pub(crate) const SINGLE: [Self; 6] = [
        Self::Crash,
        Self::Pause,
        Self::LogCut,
        Self::LogDown,
        Self::PeerCut,
        Self::Leave,
    ];
}
