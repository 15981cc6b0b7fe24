//! The actor and its handlers.

use super::{
    log,
    message::{
        Batch,
        Health,
        Inspect,
        Query,
        Scrape, //
    },
};
use crate::{
    event::{
        Event,
        Kind, //
    },
    metrics::{
        self,
        Registry, //
    },
    names::Names,
    status::{
        Status,
        Update,
        update::Phase,
        wire, //
    },
    timeline::{
        Record,
        Timeline, //
    },
};
use spdlog::Logger;
use std::sync::Arc;
use xtra::{
    Actor,
    Context,
    Handler, //
};

/// Actor that owns the time line, the metrics and the status of the process.
#[derive(Actor)]
pub struct Observer {
    names: Names,
    timeline: Timeline,
    metrics: Registry,
    status: Status,
    logger: Arc<Logger>,
}

impl Observer {
    /// Creates the observer of the process that `timeline` belongs to.
    pub fn new(timeline: Timeline, metrics: Registry, status: Status, logger: Arc<Logger>) -> Self {
        metrics.set_status(&status);
        Self {
            names: Names::default(),
            timeline,
            metrics,
            status,
            logger,
        }
    }

    /// Counts an event, appends it to the time line and logs it if it is a change of state.
    fn handle_event(&mut self, event: &Event) {
        let record = self.timeline.append(event, &self.names);
        self.metrics.count(&record);
        log::write(&self.logger, &record);
        if event.kind == Kind::ShutdownBegun {
            self.status.apply(Update::Phase(Phase::ShuttingDown));
        }
    }
}

impl Handler<Batch> for Observer {
    type Return = ();

    async fn handle(&mut self, batch: Batch, _: &mut Context<Self>) {
        for table in batch.tables {
            self.names.add(table);
        }
        for event in &batch.events {
            self.handle_event(event);
        }
        for update in batch.updates {
            self.status.apply(update);
        }
        for (thread, dropped) in batch.dropped {
            self.metrics.set_dropped(thread, dropped);
        }
        self.metrics.set_status(&self.status);
        self.metrics.set_timeline(&self.timeline);
    }
}

impl Handler<Scrape> for Observer {
    type Return = Result<String, metrics::Error>;

    async fn handle(&mut self, _: Scrape, _: &mut Context<Self>) -> Self::Return {
        self.metrics.scrape()
    }
}

impl Handler<Query> for Observer {
    type Return = Vec<Record>;

    async fn handle(&mut self, query: Query, _: &mut Context<Self>) -> Self::Return {
        self.timeline.query(&query.0)
    }
}

impl Handler<Inspect> for Observer {
    type Return = wire::Status;

    async fn handle(&mut self, inspect: Inspect, _: &mut Context<Self>) -> Self::Return {
        wire::Status::new(&self.status, inspect.0)
    }
}

impl Handler<Health> for Observer {
    type Return = Phase;

    async fn handle(&mut self, _: Health, _: &mut Context<Self>) -> Self::Return {
        self.status.phase
    }
}
