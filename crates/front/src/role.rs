//! Starts and stops a front.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    AtomicU64,
    AtomicUsize,
    Ordering, //
};
use std::time::Duration;

use edge::{
    EdgeError,
    Server, //
};
use ids::{
    Incarnation,
    Monotonic, //
};
use obs::{
    Counters,
    Logger,
    event, //
};
use peer::ControlClient;
use relay::{
    Input,
    PredictedLatency,
    Relay,
    RelayOptions, //
};
use smol::channel::unbounded;
use step::Worker;
use wire::Sealer;

use crate::adapter::ProtocolAdapter;
use crate::attempt::Attempts;
use crate::connection::Links;
use crate::control::{
    Attachment,
    FrontEffects, //
};
use crate::deployment::Follow;
use crate::endpoint_list::{
    Decoder,
    Reader, //
};
use crate::metrics::Metrics;
use crate::serve::{
    Context,
    front, //
};
use crate::settings::Settings;
use crate::usage_report::Sender;

/// Time kept at the end of a stop for what is not a request.
const LAST_MOMENTS: Duration = Duration::from_millis(400);

/// A running front.
pub struct Handle {
    server: Server,
    follow: Worker,
    reader: Worker,
    sender: Worker,
    last: Sender,
    control: step::ControlThread<Input, Attachment>,
    leaving: Arc<AtomicBool>,
    linger: Duration,
    grace: Duration,
    log: Logger,
}

/// Starts a front.
///
/// # Errors
///
/// [`EdgeError`]; nothing keeps running then.
pub fn run<D: ProtocolAdapter + Send + 'static>(
    settings: &Settings,
    adapter: D,
    log: Logger,
    counters: Counters,
) -> Result<Handle, EdgeError> {
    let common = &settings.common;
    let run = Incarnation(rand::random());
    let seed = RelayOptions {
        zone: settings.zone.clone(),
        usage_window: settings.usage_window,
        retry_ratio: settings.retry_ratio,
        retry_extra: settings.retry_extra,
        retry_window: settings.retry_window,
        rng_seed: run.0,
    };
    let clock = Monotonic::start();
    let (gone, left) = unbounded();
    let effects = FrontEffects::new(gone, counters.clone(), log.clone());
    let core = Relay::new(seed, PredictedLatency);
    let control = step::ControlThread::start("front-control", core, effects, clock);
    let control = control.map_err(EdgeError::Thread)?;
    let inbox = control.inbox();
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let peers = ControlClient::new(sealer, settings.control.clone());
    peers.rotate(run.0);
    let listed = Arc::new(AtomicU64::new(0));
    let body = Arc::new(AtomicUsize::new(common.limits.body_bytes));
    let decoder = || Decoder {
        adapter: adapter.clone(),
        log: log.clone(),
        skipped: 0,
    };
    let mut follow = Follow {
        host: common.host.clone(),
        run,
        control: peers.clone(),
        settings: settings.path.clone(),
        decoder: decoder(),
        inbox: inbox.clone(),
        clock,
        counters: counters.clone(),
        log: log.clone(),
        edition: 0,
        directory: 0,
        listed: Arc::clone(&listed),
        body: Arc::clone(&body),
        avoided: None,
        reached: true,
    };
    let follow = Worker::start("front-follow", move || follow.turn());
    let mut reader = Reader {
        address: settings.list,
        decoder: decoder(),
        inbox: inbox.clone(),
        log: log.clone(),
        clock,
        listed,
        reached: true,
    };
    let reader = Worker::start("front-list", move || reader.turn());
    let sender = || Sender {
        host: common.host.clone(),
        run,
        control: peers.clone(),
        inbox: inbox.clone(),
        log: log.clone(),
        sealed: None,
        reached: true,
    };
    let (mut regular, last) = (sender(), sender());
    let sender = Worker::start("front-usage", move || regular.turn());
    let leaving = Arc::new(AtomicBool::new(false));
    let context = Context {
        inbox,
        tickets: Arc::new(AtomicU64::new(0)),
        counters,
        metrics: Metrics::default(),
        log: log.clone(),
        limits: common.limits,
        body,
        leaving: Arc::clone(&leaving),
    };
    let inbox = control.inbox();
    let mut listeners = vec![common.listen, settings.ready];
    listeners.extend(settings.metrics);
    let server = Server::start_service("front-edge", &listeners, common.limits, move |tasks| {
        let forget = async move {
            while let Ok(request) = left.recv().await {
                let _ = inbox.send(Input::Cancelled(request));
            }
        };
        tasks.spawn(forget).detach();
        let attempts = Attempts {
            adapter,
            links: Links::new(tasks.clone(), clock),
            clock,
        };
        front(context, attempts, tasks)
    })?;
    event!(log, Started, "listen" => server.address().to_string());
    Ok(Handle {
        server,
        follow: follow.map_err(EdgeError::Thread)?,
        reader: reader.map_err(EdgeError::Thread)?,
        sender: sender.map_err(EdgeError::Thread)?,
        last,
        control,
        leaving,
        linger: settings.linger,
        grace: settings.grace,
        log,
    })
}

impl Handle {
    /// Where callers come in.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops gracefully: says that it is not ready, serves on for the time that the balancer
    /// needs to notice, answers what came within the grace, and ends.
    pub fn close(mut self) {
        event!(self.log, Stopping);
        let _ = self.control.inbox().send(Input::Drain);
        self.leaving.store(true, Ordering::Relaxed);
        std::thread::sleep(self.linger);
        let left = self.grace.saturating_sub(self.linger + LAST_MOMENTS);
        self.server.close_within(left);
        let _ = self.last.send();
        // Their calls may be open for longer than a stop may take.
        self.follow.stop();
        self.reader.stop();
        self.sender.stop();
        let _ = self.control.close();
        event!(self.log, Stopped);
    }
}
