//! Stub of the dispatch thread, which the test controls.

use super::within;
use core::net::SocketAddr;
use sassafrascrank_base::prelude::*;
use sassafrascrank_dispatch::engine::Target;
use sassafrascrank_exchange::{
    Message,
    Reply, //
};
use sassafrascrank_ring::{
    Receiver,
    Sender,
    Signal, //
};

/// Stub of the dispatch thread with its ends of the rings to and from the exchange thread.
pub struct DispatchStub {
    messages: Receiver<Message>,
    replies: Sender<Reply>,
    signal: Signal,
}

impl DispatchStub {
    pub fn new(messages: Receiver<Message>, replies: Sender<Reply>, signal: Signal) -> Self {
        Self {
            messages,
            replies,
            signal,
        }
    }

    /// Waits for the next message.
    pub async fn next(&mut self) -> Message {
        loop {
            if let Some(message) = self.messages.try_recv() {
                return message;
            }
            let messages = &self.messages;
            let wait = self.signal.wait(|| !messages.is_empty());
            within("a message of the exchange thread", wait).await;
        }
    }

    /// Waits for the next message and describes it.
    pub async fn event(&mut self) -> String {
        describe(&self.next().await)
    }

    /// Waits for an arrival; returns the caller that waits for the decision.
    pub async fn arrival(&mut self) -> caller::Handle {
        match self.next().await {
            Message::Arrive { arrival, .. } => arrival.caller,
            other => panic!("{} instead of an arrival", describe(&other)),
        }
    }

    /// Has the request forwarded to an upstream, with a time limit for the attempt.
    pub fn forward(
        &mut self,
        caller: caller::Handle,
        address: SocketAddr,
        attempt_timeout: Duration,
    ) {
        let upstream = upstream::Key::default();
        let target = Target { upstream, address };
        let until = super::clock() + attempt_timeout;
        self.reply(Reply::Forward {
            caller,
            target,
            until,
        });
    }

    /// Refuses a request as the engine does after an attempt that may have run.
    pub fn refuse(&mut self, caller: caller::Handle) {
        let refusal = Refusal::unknown(Reason::ConnectionLost);
        self.reply(Reply::Refuse { caller, refusal });
    }

    pub fn reply(&mut self, reply: Reply) {
        self.replies.send(reply).unwrap();
    }
}

/// Describes the kind of a message and the fields that the tests compare.
pub fn describe(message: &Message) -> String {
    match message {
        Message::Arrive {
            arrival,
            idempotency,
            ..
        } => {
            let keyed = idempotency.is_some();
            format!("arrive idempotent={} keyed={keyed}", arrival.idempotent)
        }
        Message::Finish { result, answer, .. } => match answer {
            None => format!("finish {result:?}"),
            Some(answer) => {
                let kept = answer.body.as_ref().map(|body| body.len());
                format!("finish {result:?} kept={kept:?}")
            }
        },
        Message::Cancel { .. } => "cancel".to_owned(),
        Message::Draining { source, .. } => format!("draining {source:?}"),
    }
}
