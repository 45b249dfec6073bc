//! Starts and stops an agent.

use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use admit::{
    Agent,
    Arrival,
    Input,
    Tiered, //
};
use crossbeam::channel::bounded;
use edge::{
    EdgeError,
    Exchange,
    Handler,
    Limits,
    Pool,
    Server, //
};
use fault::Kind;
use ids::{
    Incarnation,
    Monotonic,
    Revision,
    Ticket, //
};
use obs::{
    Counters,
    Logger,
    event, //
};
use oxhttp::model::HeaderMap;
use peer::{
    ControlClient,
    Subscriber,
    SubscriberIdentity,
    ViewUpdate, //
};
use usage::{
    Meter,
    Source, //
};
use wire::{
    Advert,
    Attempt,
    Frame,
    Sealer,
    Side,
    paths, //
};

use crate::control::{
    AgentEffects,
    AgentInbox,
    Attachment, //
};
use crate::engine::watch;
use crate::report::Reporter;
use crate::settings::{
    self,
    Settings, //
};
use crate::work::Worker;

/// A running agent.
pub struct Handle {
    server: Server,
    pool: Pool,
    follower: Subscriber,
    watch: Option<step::Worker>,
    reporter: Reporter,
    control: step::ControlThread<Input, Attachment>,
    log: Logger,
}

struct Front {
    sealer: Sealer,
    inbox: AgentInbox,
    tickets: AtomicU64,
    counters: Counters,
    log: Logger,
}

impl Handler for Front {
    fn handle(&self, exchange: Exchange) {
        if exchange.head.uri.path() != paths::ATTEMPT {
            return exchange.reply(404, HeaderMap::new(), Vec::new());
        }
        let attempt: Attempt = match self.sealer.open(paths::ATTEMPT, &exchange.body) {
            Ok(attempt) => attempt,
            Err(fault) => {
                event!(self.log, PeerRefused, "fault" => fault.to_string());
                return self.reject(exchange, Kind::PeerInvalid);
            }
        };
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let input = Input::Arrive(arrival(ticket, &attempt));
        let attached = Attachment::Attempt(ticket, exchange, Box::new(attempt));
        // If the core has ended, the exchange is dropped and the entry sees a closed connection.
        let _ = self.inbox.call(attached, input);
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        self.counters.refuse(kind);
        let bytes = wire::encode(&Frame::Bounced(kind, Advert::default()));
        exchange.reply(200, HeaderMap::new(), bytes.unwrap_or_default());
    }
}

fn arrival(ticket: Ticket, attempt: &Attempt) -> Arrival {
    let head = &attempt.head;
    Arrival {
        ticket,
        endpoint: head.endpoint.clone(),
        account: head.account.clone(),
        grant: head.grant.clone(),
        route: head.route.clone(),
        class: head.class.clone(),
        remaining: head.slack,
        target_remaining: head.target,
        input_tokens: head.input,
    }
}

/// Starts an agent.
///
/// # Errors
///
/// [`EdgeError`]; nothing keeps running then.
pub fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, EdgeError> {
    let common = &settings.common;
    let run = Incarnation(rand::random());
    let clock = Monotonic::start();
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let peers = ControlClient::new(sealer.clone(), settings.control.clone());
    let source = Source {
        endpoint: settings.endpoint.clone(),
        incarnation: run,
    };
    let reporter = Reporter::start(
        Meter::new(source),
        settings.report,
        peers.clone(),
        log.clone(),
    );
    let reporter = reporter.map_err(EdgeError::Thread)?;
    let (jobs, pool_jobs) = crossbeam::channel::unbounded();
    let core = Agent::new(settings.endpoint.clone(), Tiered::default());
    let effects = AgentEffects::new(run, jobs, counters.clone(), log.clone());
    let control = step::ControlThread::start("agent-control", core, effects, clock);
    let control = control.map_err(EdgeError::Thread)?;
    let inbox = control.inbox();
    let worker = Worker {
        kind: settings.kind,
        backend: settings.backend,
        run,
        inbox: inbox.clone(),
        usage: reporter.sender(),
        log: log.clone(),
    };
    let pool = Pool::start("agent-traffic", settings.threads, pool_jobs, || {
        let worker = worker.clone();
        move |job| worker.run(job)
    });
    let pool = pool.map_err(EdgeError::Thread)?;
    let watch = match settings.kind {
        settings::Kind::Engine => {
            Some(watch(settings.backend, inbox.clone(), log.clone()).map_err(EdgeError::Thread)?)
        }
        settings::Kind::Service => None,
    };
    let identity = SubscriberIdentity {
        host: common.host.clone(),
        side: Side::Agent,
        incarnation: run,
    };
    let delivery = inbox.clone();
    let deliver = move |viewed| deliver(&delivery, viewed);
    let follower = Subscriber::start(
        identity,
        peers,
        clock,
        log.clone(),
        counters.clone(),
        deliver,
    );
    let follower = follower.map_err(EdgeError::Thread)?;
    let front = Front {
        sealer,
        inbox,
        tickets: AtomicU64::new(0),
        counters,
        log: log.clone(),
    };
    // An attempt is the caller's request and what the entry says of it.
    let limits = Limits {
        body_bytes: common.limits.body_bytes.saturating_mul(2),
        ..common.limits
    };
    let server = Server::start("agent-edge", common.listen, limits, front)?;
    event!(log, Started, "listen" => server.address().to_string());
    Ok(Handle {
        server,
        pool,
        follower,
        watch,
        reporter,
        control,
        log,
    })
}

fn deliver(inbox: &AgentInbox, viewed: ViewUpdate) -> Option<Revision> {
    let (tx, rx) = bounded(1);
    let input = Input::View(viewed.update, viewed.valid_until);
    inbox.call(Attachment::View(tx), input).ok()?;
    rx.recv().ok()
}

impl Handle {
    /// Where the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops gracefully: sends what waits elsewhere, finishes what runs, reports its usage, ends.
    pub fn close(self) {
        event!(self.log, Stopping);
        let (tx, rx) = bounded(1);
        if self
            .control
            .inbox()
            .call(Attachment::Drained(tx), Input::Drain)
            .is_ok()
        {
            let _ = rx.recv();
        }
        self.server.close();
        self.follower.close();
        if let Some(watch) = self.watch {
            watch.close();
        }
        let _ = self.control.close();
        self.pool.close();
        self.reporter.close();
        event!(self.log, Stopped);
    }
}
