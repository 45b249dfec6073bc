//! Starts and stops the parts of an entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use crossbeam::channel::{
    Sender,
    bounded, //
};
use edge::{
    EdgeError,
    Exchange,
    Handler,
    Pool,
    Server, //
};
use fault::Kind;
use ids::{
    DigestKey,
    Incarnation,
    Monotonic,
    Revision, //
};
use obs::{
    Counters,
    Logger,
    event, //
};
use peer::{
    ControlClient,
    Subscriber,
    SubscriberIdentity,
    ViewUpdate, //
};
use route::{
    Entry,
    EntryOptions,
    Input,
    PowerOfTwo, //
};
use wire::{
    Sealer,
    SubscriberKind, //
};

use crate::attempt::AttemptRunner;
use crate::control::{
    Attachment,
    EntryEffects,
    EntryInbox, //
};
use crate::serve::Service;
use crate::settings::Settings;
use crate::settle::SettlementThread;

/// A running entry.
pub struct Handle {
    server: Server,
    pool: Pool,
    subscriber: Subscriber,
    settlements: SettlementThread,
    control: step::ControlThread<Input, Attachment>,
    shutdown_delay: Duration,
    log: Logger,
}

/// Passes requests from the HTTP server's event loop to the traffic threads.
struct TrafficHandler {
    requests: Sender<Exchange>,
    service: Arc<Service>,
}

impl Handler for TrafficHandler {
    fn handle(&self, exchange: Exchange) {
        if let Err(full) = self.requests.try_send(exchange) {
            self.service.reject(full.into_inner(), Kind::Overloaded);
        }
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        self.service.reject(exchange, kind);
    }
}

/// Starts an entry.
///
/// # Errors
///
/// [`EdgeError`] if the listen address is not available or a thread cannot be started. The process
/// is expected to exit then; threads that were started before may still run.
pub fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, EdgeError> {
    let common = &settings.common;
    let incarnation = Incarnation(rand::random());
    let options = EntryOptions {
        incarnation,
        zone: settings.zone.clone(),
        rng_seed: incarnation.0,
    };
    let clock = Monotonic::start();
    let core = Entry::new(options, PowerOfTwo);
    let effects = EntryEffects::new(counters.clone());
    let control = step::ControlThread::start("entry-control", core, effects, clock);
    let control = control.map_err(EdgeError::Thread)?;
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let peers = ControlClient::new(sealer.clone(), settings.control.clone());
    let settlements =
        SettlementThread::start(peers.clone(), log.clone()).map_err(EdgeError::Thread)?;
    let service = Arc::new(Service {
        inbox: control.inbox(),
        control: peers.clone(),
        digests: DigestKey::derive(&common.secret),
        attempts: AttemptRunner {
            sealer,
            counters: counters.clone(),
        },
        counters: counters.clone(),
        log: log.clone(),
        next_ticket: Arc::new(AtomicU64::new(0)),
        settlements: settlements.sender(),
    });
    let shared = Arc::clone(&service);
    // At most one request per traffic thread is queued. Further ones are rejected as overloaded.
    let (requests, queued) = bounded(settings.threads);
    let pool = Pool::start("entry-traffic", settings.threads, queued, || {
        let service = Arc::clone(&shared);
        move |exchange| service.serve(exchange)
    });
    let pool = pool.map_err(EdgeError::Thread)?;
    let identity = SubscriberIdentity {
        host: common.host.clone(),
        kind: SubscriberKind::Entry,
        incarnation,
    };
    let inbox = control.inbox();
    let deliver = move |view| apply_view(&inbox, view);
    let subscriber = Subscriber::start(identity, peers, clock, log.clone(), counters, deliver);
    let subscriber = subscriber.map_err(EdgeError::Thread)?;
    let handler = TrafficHandler { requests, service };
    let server = Server::start("entry-edge", common.listen, common.limits, handler)?;
    event!(log, Started, "listen" => server.address().to_string());
    Ok(Handle {
        server,
        pool,
        subscriber,
        settlements,
        control,
        shutdown_delay: settings.shutdown_delay,
        log,
    })
}

/// Sends a configuration view to the core. Returns the revision in effect afterwards, or `None` if
/// the core has ended.
fn apply_view(inbox: &EntryInbox, view: ViewUpdate) -> Option<Revision> {
    let (tx, rx) = bounded(1);
    let input = Input::View(view.update, view.valid_until);
    inbox.call(Attachment::View(tx), input).ok()?;
    rx.recv().ok()
}

impl Handle {
    /// The address on which the entry listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Shuts down gracefully. Readiness checks fail from now on, requests are still served for the
    /// shutdown delay so that the load balancer can remove the entry, and the requests received by
    /// then are completed.
    pub fn close(self) {
        event!(self.log, Stopping);
        let _ = self.control.inbox().send(Input::Drain);
        std::thread::sleep(self.shutdown_delay);
        self.server.close();
        self.pool.close();
        self.settlements.close();
        self.subscriber.close();
        let _ = self.control.close();
        event!(self.log, Stopped);
    }
}
