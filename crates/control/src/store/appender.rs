//! Appends that are hedged over several connections, so that a lost answer causes little delay.

use crate::port::{
    AppendError,
    Log,
    Producer, //
};
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use sassafrascrank_base::prelude::*;
use tokio::time::{
    Instant,
    sleep_until, //
};

/// Number of connections. If 40% of the answers are lost, four appends lose all of theirs in one of 40 cases.
const CONNECTIONS: usize = 4;
/// Bounds of the time without an answer after which an append is also sent on a second connection. The upper one is longer
/// than an append takes on a slow log, which carries out each copy and so delays all other appends.
const HEDGE_MIN: Duration = Duration::from_millis(30);
const HEDGE_MAX: Duration = Duration::from_millis(1_000);
/// Multiple of the usual duration of an append after which it is also sent on a second connection.
const HEDGE_FACTOR: u32 = 3;
/// Factor by which that time grows with each further connection. A slow log processes appends one after the other, so
/// each further copy delays all entries.
const HEDGE_GROWTH: u32 = 4;
/// Bounds of the time after which an append without an answer fails.
const TIMEOUT_MIN: Duration = Duration::from_millis(500);
const TIMEOUT_MAX: Duration = Duration::from_millis(2_500);
/// Multiple of the usual duration of an append after which it fails without an answer.
const TIMEOUT_FACTOR: u32 = 8;

/// Sends the appends of one producer, one after the other.
///
/// An append that is not answered soon is also sent on further connections, and the first success counts. The log
/// recognises repeated appends by their sequence, so it stores each only once.
pub struct Appender<L> {
    logs: Vec<L>,
    /// Moving average of the duration of an append.
    usual: Duration,
}

impl<L: Log> Appender<L> {
    /// Creates an appender with connections from `connect`.
    pub fn new(connect: impl Fn() -> L) -> Self {
        Self {
            logs: (0..CONNECTIONS).map(|_| connect()).collect(),
            usual: HEDGE_MIN / HEDGE_FACTOR,
        }
    }

    /// Returns the usual duration of an append.
    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// Appends records, all or none.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::Refused`] only if every connection that the append was sent on was refused, and
    /// [`AppendError::Unknown`] if one of them had no answer, since the log may then hold the records.
    pub async fn append(
        &mut self,
        producer: &Producer,
        records: &[(String, Vec<u8>)],
    ) -> Result<(), AppendError> {
        let timeout = (self.usual * TIMEOUT_FACTOR).clamp(TIMEOUT_MIN, TIMEOUT_MAX);
        let mut hedge = (self.usual * HEDGE_FACTOR).clamp(HEDGE_MIN, HEDGE_MAX);
        let mut unused = self.logs.iter_mut();
        let mut attempts = FuturesUnordered::new();
        let mut failure: Option<AppendError> = None;
        loop {
            if let Some(log) = unused.next() {
                attempts.push(async move {
                    let started = Instant::now();
                    let result = log.append(producer, records, timeout).await;
                    result.map(|_| started.elapsed())
                });
            }
            let next = Instant::now() + hedge;
            loop {
                let result = tokio::select! {
                    Some(result) = attempts.next() => result,
                    () = sleep_until(next), if unused.len() > 0 => break,
                };
                match result {
                    Ok(took) => {
                        // A log that has become slow is known at once, since each copy of an append slows it down further.
                        self.usual = took.max((self.usual * 3 + took) / 4);
                        return Ok(());
                    }
                    Err(AppendError::Refused(reason)) => {
                        failure.get_or_insert(AppendError::Refused(reason));
                    }
                    Err(AppendError::Unknown(reason)) => {
                        failure = Some(AppendError::Unknown(reason));
                    }
                    Err(error) => return Err(error),
                }
                if attempts.is_empty()
                    && let Some(failure) = failure.take()
                {
                    return Err(failure);
                }
            }
            hedge *= HEDGE_GROWTH;
        }
    }
}
