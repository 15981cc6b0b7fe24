//! A pair of images that was found to interfere, or no longer does.

use std::sync::Arc;

/// A pair of images that was found to interfere, or no longer does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The image whose tasks are slowed down.
    pub affected: Arc<str>,
    /// The image beside it.
    pub beside: Arc<str>,
    /// Slowdown in percent of the mean of the image alone.
    pub percent: u64,
    /// Whether the pair interferes now.
    pub found: bool,
}
