//! Handler of messages from peers.

use super::thread::Shared;
use crate::dispatch::Directive;
use sassafrascrank_peer::{
    message::{
        Handover,
        KnownState,
        Report,
        State, //
    },
    server::{
        Handler,
        Refusal, //
    },
};
use std::rc::Rc;
use tokio::sync::oneshot;

/// Answers messages of peers from the state of the peer thread.
pub(super) struct Responder(pub(super) Rc<Shared>);

impl Handler for Responder {
    async fn report(&self, report: Report) -> Result<Report, Refusal> {
        let unknown = || Refusal("this process has no room for another peer".to_owned());
        let key = self.0.apply_report(&report).ok_or_else(unknown)?;
        self.0.compose(key).ok_or_else(unknown)
    }

    async fn state(&self, after: KnownState) -> Result<State, Refusal> {
        let local_state = self.0.local_state.borrow();
        let config = local_state
            .config
            .as_ref()
            .filter(|image| image.through > after.config);
        let member = Some(&local_state.member).filter(|view| view.offset > after.member);
        let hosts = Some(&local_state.hosts).filter(|hosts| !after.hosts && !hosts.is_empty());
        Ok(State {
            config: config.map(|image| image.as_ref().clone()),
            member: member.map(|view| view.as_ref().clone()),
            hosts: hosts.map(|hosts| hosts.as_ref().clone()),
        })
    }

    async fn hand_over(&self, handover: Handover) -> Result<(), Refusal> {
        let (sender, receiver) = oneshot::channel();
        let number = self.0.register_handover(sender);
        let directive = Directive::AcceptHandover(number, Box::new(handover));
        if !self.0.send(directive) {
            self.0.remove_handover(number);
            return Err(Refusal(
                "this process is overloaded; send the handover again in a second".to_owned(),
            ));
        }
        match receiver.await {
            Ok(result) => result.map_err(Refusal),
            Err(_) => Err(Refusal("this process is shutting down".to_owned())),
        }
    }
}
