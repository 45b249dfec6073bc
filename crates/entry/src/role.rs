//! Starts and stops an entry.

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
    Side, //
};

use crate::attempt::Attempter;
use crate::control::{
    Attachment,
    EntryEffects,
    EntryInbox, //
};
use crate::serve::Service;
use crate::settings::Settings;
use crate::settle::Settler;

/// A running entry.
pub struct Handle {
    server: Server,
    pool: Pool,
    follower: Subscriber,
    settler: Settler,
    control: step::ControlThread<Input, Attachment>,
    linger: Duration,
    log: Logger,
}

struct Front {
    jobs: Sender<Exchange>,
    service: Arc<Service>,
}

impl Handler for Front {
    fn handle(&self, exchange: Exchange) {
        if let Err(full) = self.jobs.try_send(exchange) {
            self.service.refuse(full.into_inner(), Kind::Overloaded);
        }
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        self.service.refuse(exchange, kind);
    }
}

/// Starts an entry.
///
/// # Errors
///
/// [`EdgeError`]; nothing keeps running then.
pub fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, EdgeError> {
    let common = &settings.common;
    let run = Incarnation(rand::random());
    let seed = EntryOptions {
        incarnation: run,
        zone: settings.zone.clone(),
        rng_seed: run.0,
    };
    let clock = Monotonic::start();
    let core = Entry::new(seed, PowerOfTwo);
    let effects = EntryEffects::new(counters.clone());
    let control = step::ControlThread::start("entry-control", core, effects, clock);
    let control = control.map_err(EdgeError::Thread)?;
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let peers = ControlClient::new(sealer.clone(), settings.control.clone());
    let settler = Settler::start(peers.clone(), log.clone()).map_err(EdgeError::Thread)?;
    let service = Arc::new(Service {
        inbox: control.inbox(),
        control: peers.clone(),
        digests: DigestKey::derive(&common.secret),
        attempter: Attempter {
            sealer,
            counters: counters.clone(),
        },
        counters: counters.clone(),
        log: log.clone(),
        tickets: Arc::new(AtomicU64::new(0)),
        settler: settler.sender(),
    });
    let worker = Arc::clone(&service);
    // As many requests as threads may wait for one; more are refused at once.
    let (jobs, waiting) = bounded(settings.threads);
    let pool = Pool::start("entry-traffic", settings.threads, waiting, || {
        let service = Arc::clone(&worker);
        move |exchange| service.serve(exchange)
    });
    let pool = pool.map_err(EdgeError::Thread)?;
    let identity = SubscriberIdentity {
        host: common.host.clone(),
        side: Side::Entry,
        incarnation: run,
    };
    let inbox = control.inbox();
    let deliver = move |viewed| deliver(&inbox, viewed);
    let follower = Subscriber::start(identity, peers, clock, log.clone(), counters, deliver);
    let follower = follower.map_err(EdgeError::Thread)?;
    let front = Front { jobs, service };
    let server = Server::start("entry-edge", common.listen, common.limits, front)?;
    event!(log, Started, "listen" => server.address().to_string());
    Ok(Handle {
        server,
        pool,
        follower,
        settler,
        control,
        linger: settings.linger,
        log,
    })
}

fn deliver(inbox: &EntryInbox, viewed: ViewUpdate) -> Option<Revision> {
    let (tx, rx) = bounded(1);
    let input = Input::View(viewed.update, viewed.valid_until);
    inbox.call(Attachment::View(tx), input).ok()?;
    rx.recv().ok()
}

impl Handle {
    /// Where the entry listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops gracefully: says that it is not ready, serves on for the time that the balancer
    /// needs to notice, answers everything that came, and ends.
    pub fn close(self) {
        event!(self.log, Stopping);
        let _ = self.control.inbox().send(Input::Drain);
        std::thread::sleep(self.linger);
        self.server.close();
        self.pool.close();
        self.settler.close();
        self.follower.close();
        let _ = self.control.close();
        event!(self.log, Stopped);
    }
}
