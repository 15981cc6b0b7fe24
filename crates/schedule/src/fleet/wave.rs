//! A maintenance wave.

use sassafrascrank_base::prelude::*;
use std::{
    collections::BTreeSet,
    sync::Arc, //
};

/// A maintenance wave, as operators ask for it, and how far it is.
#[derive(Clone, Debug, Default)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Hosts that need maintenance.
    pub hosts: Vec<Arc<str>>,
    /// Time within which all have begun and ended it.
    pub duration: Duration,
    /// Hosts that may be in maintenance at once.
    pub cap: usize,
    /// When this leader learned of it.
    pub since: Time,
    /// Hosts that have begun.
    pub begun: BTreeSet<Arc<str>>,
    /// The operator was told of its beginning.
    pub announced: bool,
    /// All hosts that exist have begun.
    pub done: bool,
}
