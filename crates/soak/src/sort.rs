//! Sorts of faults, of which each series mixes some.

/// A sort of faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sort {
    /// Entries are killed.
    Kill,
    /// Entries are asked to end.
    Terminate,
    /// Entries stand still.
    Freeze,
    /// Many runners crash for less than a second.
    CrashBrief,
    /// Many runners crash for up to some seconds.
    Crash,
    /// Runners drain.
    Drain,
    /// Connections of entries end.
    Close,
    /// The proxies of one entry hold, refuse or delay.
    Link,
    /// The log has faults for one entry.
    LogView,
    /// The log has faults for all entries.
    Log,
    /// Runners end, start again under their ids and are cut off soon after.
    Restart,
    /// Runners go dark, start again under their ids and are cut off soon after. Calls wait for them as long as the entries
    /// keep their connections.
    RestartDark,
    /// As [`Sort::RestartDark`], but for up to some seconds, and calls arrive also if the entries have given them up.
    RestartLate,
    /// Keys are withdrawn and others added, callers use keys that no longer or never exist, and caps are lowered.
    ForeignKey,
    /// Clients send bodies that stop just short of their end, and keep their connections open.
    Crowd,
}

impl Sort {
    /// All sorts.
    pub const ALL: [Self; 15] = [
        Self::Kill,
        Self::Terminate,
        Self::Freeze,
        Self::CrashBrief,
        Self::Crash,
        Self::Drain,
        Self::Close,
        Self::Link,
        Self::LogView,
        Self::Log,
        Self::Restart,
        Self::RestartDark,
        Self::RestartLate,
        Self::ForeignKey,
        Self::Crowd,
    ];

    /// Returns its name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Terminate => "terminate",
            Self::Freeze => "freeze",
            Self::CrashBrief => "crash-brief",
            Self::Crash => "crash",
            Self::Drain => "drain",
            Self::Close => "close",
            Self::Link => "link",
            Self::LogView => "log-view",
            Self::Log => "log",
            Self::Restart => "restart",
            Self::RestartDark => "restart-dark",
            Self::RestartLate => "restart-late",
            Self::ForeignKey => "foreign-key",
            Self::Crowd => "crowd",
        }
    }

    /// Tells whether calls to runners wait for the next incarnation.
    pub const fn is_dark(self) -> bool {
        matches!(self, Self::RestartDark | Self::RestartLate)
    }

    /// Tells whether it is about clients. A run has such sorts only if they are named, so that others stay as they were.
    pub const fn is_client(self) -> bool {
        matches!(self, Self::ForeignKey | Self::Crowd)
    }

    /// Returns the sorts of a run for which none are named.
    pub fn usual() -> Vec<Self> {
        let sorts = Self::ALL.into_iter();
        sorts.filter(|sort| !sort.is_client()).collect()
    }

    /// Parses a list of names joined by commas.
    ///
    /// # Errors
    ///
    /// Fails at the first name that no sort has.
    pub fn parse_list(text: &str) -> Result<Vec<Self>, String> {
        let find = |name: &str| {
            let found = Self::ALL.into_iter().find(|sort| sort.name() == name);
            found.ok_or_else(|| {
                let names = Self::ALL.map(Self::name).join(", ");
                format!("no sort of faults is called {name:?}: use some of {names}")
            })
        };
        text.split(',').map(find).collect()
    }
}
