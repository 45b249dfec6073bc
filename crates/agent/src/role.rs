//! Starts and stops the parts of an agent process.

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
    Attempt,
    Frame,
    LoadReport,
    Sealer,
    SubscriberKind,
    paths, //
};

use crate::control::{
    AgentEffects,
    AgentInbox,
    Attachment, //
};
use crate::engine::poll_status;
use crate::forward::Forwarder;
use crate::report::UsageReporter;
use crate::settings::{
    self,
    Settings, //
};

/// A running agent.
pub struct Handle {
    server: Server,
    pool: Pool,
    subscriber: Subscriber,
    /// Polls the status of an engine; none for a plain service.
    status_poller: Option<step::Worker>,
    usage_reporter: UsageReporter,
    control: step::ControlThread<Input, Attachment>,
    log: Logger,
}

/// Decodes attempts and submits them to the core, on the HTTP server's event loop.
struct AttemptHandler {
    sealer: Sealer,
    inbox: AgentInbox,
    next_ticket: AtomicU64,
    counters: Counters,
    log: Logger,
}

impl Handler for AttemptHandler {
    fn handle(&self, exchange: Exchange) {
        if exchange.head.uri.path() != paths::ATTEMPT {
            return exchange.reply(404, HeaderMap::new(), Vec::new());
        }
        let attempt: Attempt = match self.sealer.open(paths::ATTEMPT, &exchange.body) {
            Ok(attempt) => attempt,
            Err(error) => {
                event!(self.log, PeerRejected, "fault" => error.to_string());
                return self.reject(exchange, Kind::PeerInvalid);
            }
        };
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let input = Input::Arrive(arrival(ticket, &attempt));
        let attachment = Attachment::Attempt(ticket, exchange, Box::new(attempt));
        // If the core has ended, the exchange is dropped, which closes the connection to the entry.
        let _ = self.inbox.call(attachment, input);
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        self.counters.count_error(kind);
        let bytes = wire::encode(&Frame::Rejected(kind, LoadReport::default()));
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
        remaining: head.remaining,
        target_remaining: head.target_remaining,
        input_tokens: head.input_tokens,
    }
}

/// Starts an agent.
///
/// # Errors
///
/// [`EdgeError`] if the listen address is not available or a thread cannot be started. The process
/// is expected to exit then; threads that were started before may still run.
pub fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, EdgeError> {
    let common = &settings.common;
    let incarnation = Incarnation(rand::random());
    let clock = Monotonic::start();
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let peers = ControlClient::new(sealer.clone(), settings.control.clone());
    let source = Source {
        endpoint: settings.endpoint.clone(),
        incarnation,
    };
    let usage_reporter = UsageReporter::start(
        Meter::new(source),
        settings.report_interval,
        peers.clone(),
        log.clone(),
    );
    let usage_reporter = usage_reporter.map_err(EdgeError::Thread)?;
    let (job_sender, job_receiver) = crossbeam::channel::unbounded();
    let core = Agent::new(settings.endpoint.clone(), Tiered::default());
    let effects = AgentEffects::new(incarnation, job_sender, counters.clone(), log.clone());
    let control = step::ControlThread::start("agent-control", core, effects, clock);
    let control = control.map_err(EdgeError::Thread)?;
    let inbox = control.inbox();
    let forwarder = Forwarder {
        kind: settings.kind,
        backend: settings.backend,
        incarnation,
        inbox: inbox.clone(),
        usage: usage_reporter.sender(),
        log: log.clone(),
    };
    let pool = Pool::start("agent-traffic", settings.threads, job_receiver, || {
        let forwarder = forwarder.clone();
        move |job| forwarder.run(job)
    });
    let pool = pool.map_err(EdgeError::Thread)?;
    let status_poller = match settings.kind {
        settings::BackendKind::Engine => Some(
            poll_status(settings.backend, inbox.clone(), log.clone()).map_err(EdgeError::Thread)?,
        ),
        settings::BackendKind::Service => None,
    };
    let identity = SubscriberIdentity {
        host: common.host.clone(),
        kind: SubscriberKind::Agent,
        incarnation,
    };
    let view_inbox = inbox.clone();
    let deliver = move |view| apply_view(&view_inbox, view);
    let subscriber = Subscriber::start(
        identity,
        peers,
        clock,
        log.clone(),
        counters.clone(),
        deliver,
    );
    let subscriber = subscriber.map_err(EdgeError::Thread)?;
    let handler = AttemptHandler {
        sealer,
        inbox,
        next_ticket: AtomicU64::new(0),
        counters,
        log: log.clone(),
    };
    // An attempt contains a caller's complete request, whose body alone may have the maximum size,
    // and the attempt's head.
    let limits = Limits {
        body_bytes: common.limits.body_bytes.saturating_mul(2),
        ..common.limits
    };
    let server = Server::start("agent-edge", common.listen, limits, handler)?;
    event!(log, Started, "listen" => server.address().to_string());
    Ok(Handle {
        server,
        pool,
        subscriber,
        status_poller,
        usage_reporter,
        control,
        log,
    })
}

/// Sends a configuration view to the core. Returns the revision in effect afterwards, or `None` if
/// the core has ended.
fn apply_view(inbox: &AgentInbox, view: ViewUpdate) -> Option<Revision> {
    let (tx, rx) = bounded(1);
    let input = Input::View(view.update, view.valid_until);
    inbox.call(Attachment::View(tx), input).ok()?;
    rx.recv().ok()
}

impl Handle {
    /// The address on which the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shuts down gracefully: rejects queued and new requests, so that entries send them to other
    /// endpoints, waits until no request runs, and reports the remaining usage.
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
        self.subscriber.close();
        if let Some(poller) = self.status_poller {
            poller.close();
        }
        let _ = self.control.close();
        self.pool.close();
        self.usage_reporter.close();
        event!(self.log, Stopped);
    }
}
