//! Appends over several connections, so that a lost answer costs little time.

use crate::{
    clock::Clock,
    port::{
        AppendError,
        Log,
        Producer, //
    },
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

/// Connections of a lane. Four in turn lose all their answers once in 40 times if the log loses 40% of them.
const WIDTH: usize = 4;
/// Shortest and longest time for which an answer is awaited before the append is also sent on another connection.
const HEDGE_MIN: Duration = Duration::from_millis(30);
const HEDGE_MAX: Duration = Duration::from_millis(400);
/// Multiple of the usual time of an append after which it is also sent on another connection.
const HEDGE_FACTOR: u32 = 3;
/// Growth of that time with each connection. A slow log carries out one append after the other, so that each further
/// copy delays all entries.
const HEDGE_GROWTH: u32 = 4;
/// Shortest and longest time after which a connection without an answer is given up.
const TIMEOUT_MIN: Duration = Duration::from_millis(500);
const TIMEOUT_MAX: Duration = Duration::from_millis(1_000);
/// Multiple of the usual time of an append after which its connection is given up.
const TIMEOUT_FACTOR: u32 = 8;

/// Appends of one producer, one after the other.
///
/// The log recognises a repeat by its sequence, so an append that is not answered soon is sent on further connections,
/// and the first answer counts.
pub struct Lane<L> {
    logs: Vec<L>,
    clock: Clock,
    /// Usual time of an append.
    usual: Duration,
}

impl<L: Log> Lane<L> {
    /// Makes a lane whose connections come from `connect`.
    pub fn new(connect: impl Fn() -> L, clock: Clock) -> Self {
        Self {
            logs: (0..WIDTH).map(|_| connect()).collect(),
            clock,
            usual: HEDGE_MIN / HEDGE_FACTOR,
        }
    }

    /// Appends records, all or none.
    ///
    /// # Errors
    ///
    /// The append was refused only if every connection says so; otherwise it may have taken effect.
    pub async fn append(
        &mut self,
        producer: &Producer,
        records: &[(String, Vec<u8>)],
    ) -> Result<(), AppendError> {
        let clock = self.clock;
        let timeout = (self.usual * TIMEOUT_FACTOR).clamp(TIMEOUT_MIN, TIMEOUT_MAX);
        let mut hedge = (self.usual * HEDGE_FACTOR).clamp(HEDGE_MIN, HEDGE_MAX);
        let mut spare = self.logs.iter_mut();
        let mut tries = FuturesUnordered::new();
        let mut failure: Option<AppendError> = None;
        loop {
            if let Some(log) = spare.next() {
                tries.push(async move {
                    let asked = clock.now();
                    let result = log.append(producer, records, timeout).await;
                    result.map(|_| clock.now().since(asked))
                });
            }
            let next = Instant::now() + hedge;
            loop {
                let result = tokio::select! {
                    Some(result) = tries.next() => result,
                    () = sleep_until(next), if spare.len() > 0 => break,
                };
                match result {
                    Ok(took) => {
                        self.usual = (self.usual * 3 + took) / 4;
                        return Ok(());
                    }
                    Err(AppendError::Refused(reason)) => {
                        failure.get_or_insert(AppendError::Refused(reason));
                    }
                    Err(AppendError::Unknown(reason)) => {
                        failure = Some(AppendError::Unknown(reason));
                    }
                    Err(known) => return Err(known),
                }
                if tries.is_empty()
                    && let Some(failure) = failure.take()
                {
                    return Err(failure);
                }
            }
            hedge *= HEDGE_GROWTH;
        }
    }
}
