//! Execution of the orders of a leader on another entry.
//!
//! A leader of many runners has more calls to make than its processor allows. Entries with a seat make them for it. The
//! orders carry the leader's fence, so it does not matter which entry sends them.

use super::{
    frame,
    wire::{
        Action,
        Batch,
        Command,
        Outcome,
        Results,
        WireView,
        error_number, //
    },
};
use crate::{
    clock::Clock,
    port::Runners, //
};
use sassafrascrank_base::prelude::*;
use sassafrascrank_schedule::order::{
    Pace,
    Poll,
    Start,
    Stop,
    Target,
    report::Failure, //
};
use std::{
    cell::RefCell,
    io,
    net,
    rc::Rc, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    task::spawn_local,
    time::sleep, //
};

/// Largest age of an order at which it is carried out. The leader has given it to another entry or carried it out itself by
/// then, and may have lost the lead.
const AGE_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for which results are collected, so that one write carries many.
const RESULT_DELAY: Duration = Duration::from_millis(4);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Results that were not sent yet.
#[derive(Default)]
struct Pending {
    results: RefCell<Vec<(u64, Outcome)>>,
    wake: Notify,
}

/// Carries out the orders of leaders that connect, until the thread ends.
pub(super) async fn serve<R: Runners>(
    listener: net::TcpListener,
    connect: impl Fn() -> R,
    clock: Clock,
) {
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Each leader has connections to runners of its own, which end with its lead.
                let runners = Rc::new(connect());
                spawn_local(async move {
                    // An error ends the connection, which the leader notices.
                    let _ = serve_leader(stream, Rc::clone(&runners), clock).await;
                    runners.close(None);
                });
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_leader<R: Runners>(
    stream: TcpStream,
    runners: Rc<R>,
    clock: Clock,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let pending = Rc::new(Pending::default());
    let results = Rc::clone(&pending);
    let answer = async move {
        loop {
            results.wake.notified().await;
            sleep(RESULT_DELAY).await;
            let batch = Results(results.results.take());
            frame::write(&mut writer, &batch).await?;
        }
    };
    let execute = async {
        let mut ages = Ages::default();
        loop {
            let batch: Batch = frame::read(&mut reader).await?;
            let expired = ages.age(batch.sent, clock.now()) > AGE_LIMIT;
            for address in batch.closed {
                runners.close(Some(address));
            }
            for (number, command) in batch.orders {
                let (runners, pending) = (Rc::clone(&runners), Rc::clone(&pending));
                spawn_local(async move {
                    let outcome = match expired {
                        true => failed(Failure::Unsent),
                        false => carry_out(&*runners, command).await,
                    };
                    pending.results.borrow_mut().push((number, outcome));
                    pending.wake.notify_one();
                });
            }
            // An answer without results shows that this entry is alive.
            pending.wake.notify_one();
        }
    };
    tokio::select! {
        result = answer => result,
        result = execute => result,
    }
}

/// Ages of the batches of a leader, whose clock may differ from this one.
#[derive(Debug, Default)]
struct Ages {
    /// Smallest difference between the time at which a batch was read and that at which it was sent, by both clocks.
    offset: Option<i128>,
}

impl Ages {
    /// Returns the age of a batch beyond that of the youngest one so far.
    fn age(&mut self, sent: u64, now: Time) -> Duration {
        let difference = i128::from(now.as_micros()) - i128::from(sent);
        let offset = self
            .offset
            .map_or(difference, |known| known.min(difference));
        self.offset = Some(offset);
        Duration::from_micros(u64::try_from(difference - offset).unwrap_or(u64::MAX))
    }
}

fn failed(failure: Failure) -> Outcome {
    Outcome {
        clock: None,
        result: Err(error_number(&failure.into())),
    }
}

async fn carry_out<R: Runners>(runners: &R, command: Command) -> Outcome {
    let target = Target {
        runner: Default::default(),
        id: command.id.into(),
        zone: "".into(),
        address: command.address,
        fence: command.fence,
    };
    let (clock, result) = match command.action {
        Action::Start {
            run,
            specification,
            until,
            checkpoint,
            ticket,
        } => {
            let start = Start {
                target,
                run: Default::default(),
                task: run.task(),
                attempt: run.attempt(),
                specification: specification.into(),
                until,
                checkpoint: checkpoint.map(Into::into),
                ticket: ticket.map(Into::into),
            };
            empty(runners.start(&start).await)
        }
        Action::Stop(run) => {
            let stop = Stop {
                target,
                run: None,
                task: run.task(),
                attempt: run.attempt(),
            };
            empty(runners.stop(&stop).await)
        }
        Action::Poll {
            until,
            acknowledged,
            wait_ms,
        } => {
            let poll = Poll {
                target,
                until,
                acknowledged,
                wait: Duration::from_millis(wait_ms),
            };
            let (clock, result) = runners.poll(&poll).await;
            (clock, result.map(WireView::from))
        }
        Action::Pace { run, percent } => {
            let pace = Pace {
                target,
                run: Default::default(),
                task: run.task(),
                attempt: run.attempt(),
                percent,
            };
            empty(runners.pace(&pace).await)
        }
    };
    Outcome {
        clock,
        result: result.map_err(|error| error_number(&error)),
    }
}

fn empty(answer: crate::port::Answer<()>) -> crate::port::Answer<WireView> {
    let (clock, result) = answer;
    (clock, result.map(|()| WireView::default()))
}
