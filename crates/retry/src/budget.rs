//! Budget that limits retries to a percentage of the requests.

/// Credit that one retry costs; each request adds as much as the percentage.
const CREDIT_PER_RETRY: u32 = 100;
/// Most retries for which a budget saves credit.
const MAX_SAVED_RETRIES: u32 = 10;

/// Allows retries up to a percentage of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    percent: u32,
    credit: u32,
}

impl Budget {
    /// Creates a budget of `percent` retries for a hundred requests, with credit for 10 retries unless `percent` is 0.
    pub const fn new(percent: u32) -> Self {
        let credit = if percent == 0 {
            0
        } else {
            MAX_SAVED_RETRIES * CREDIT_PER_RETRY
        };
        Self { percent, credit }
    }

    /// Changes the percentage and keeps the credit; a percentage of 0 removes it.
    pub fn resize(&mut self, percent: u32) {
        self.percent = percent;
        if percent == 0 {
            self.credit = 0;
        }
    }

    /// Adds the credit of one request.
    pub fn earn(&mut self) {
        let credit = self.credit.saturating_add(self.percent);
        self.credit = credit.min(MAX_SAVED_RETRIES * CREDIT_PER_RETRY);
    }

    /// Spends the credit of one retry, and tells whether there was enough.
    pub fn spend(&mut self) -> bool {
        let allowed = self.credit >= CREDIT_PER_RETRY;
        if allowed {
            self.credit -= CREDIT_PER_RETRY;
        }
        allowed
    }
}
