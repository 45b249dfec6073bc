//! Starts and stops a front.

use std::collections::HashMap;
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
    Memory,
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
use step::Worker;
use wire::Sealer;

use crate::adapter::ProtocolAdapter;
use crate::attempt::AttemptClient;
use crate::connection::Connections;
use crate::control::{
    Attachment,
    FrontEffects, //
};
use crate::deployment::DeploymentPoller;
use crate::evidence_report::EvidenceReporter;
use crate::listing::{
    ListingDecoder,
    ListingFetcher,
    ListingTimes, //
};
use crate::metrics::Metrics;
use crate::rollout_report::RolloutReporter;
use crate::serve::{
    Context,
    service, //
};
use crate::settings::Settings;
use crate::usage_report::UsageReporter;

/// Part of the shutdown timeout that is reserved for the last usage report and for the control
/// thread to end.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);

/// A running front.
pub struct Handle {
    server: Server,
    deployment_poller: Worker,
    listing_fetcher: Worker,
    usage_reporter: Worker,
    evidence_reporter: Worker,
    /// None without rollouts.
    rollout_reporter: Option<Worker>,
    /// Sends the last usage report.
    final_reporter: UsageReporter,
    control: step::ControlThread<Input, Attachment>,
    draining: Arc<AtomicBool>,
    shutdown_delay: Duration,
    shutdown_timeout: Duration,
    log: Logger,
}

/// Starts a front.
///
/// # Errors
///
/// [`EdgeError`] if a thread or a listener cannot be started. The process is expected to exit then;
/// threads that were started before may still run.
pub fn run<A: ProtocolAdapter + Send + 'static>(
    settings: &Settings,
    adapter: A,
    log: Logger,
    counters: Counters,
) -> Result<Handle, EdgeError> {
    let common = &settings.common;
    let incarnation = Incarnation(rand::random());
    let options = RelayOptions {
        zone: settings.zone.clone(),
        usage_window: settings.usage_window,
        retry_ratio: settings.retry_ratio,
        retry_extra: settings.retry_extra,
        retry_window: settings.retry_window,
        rng_seed: incarnation.0,
    };
    let clock = Monotonic::start();
    let (evidence_tx, evidence_rx) = crossbeam::channel::unbounded();
    let effects = FrontEffects::new(evidence_tx, clock, counters.clone(), log.clone());
    let core = Relay::new(options, PredictedLatency).with_bounds(settings.exposure);
    let control = step::ControlThread::start("front-control", core, effects, clock);
    let control = control.map_err(EdgeError::Thread)?;
    let inbox = control.inbox();
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let peers = ControlClient::new(sealer.clone(), settings.control.clone());
    peers.rotate(incarnation.0);
    let usage_peers = ControlClient::new(sealer, settings.control.clone());
    let listing_times = ListingTimes::default();
    let body_limit = Arc::new(AtomicUsize::new(common.limits.body_bytes));
    let decoder = || ListingDecoder {
        adapter: adapter.clone(),
        log: log.clone(),
        skipped: 0,
    };
    let mut poller = DeploymentPoller {
        host: common.host.clone(),
        incarnation,
        control: peers,
        zone: settings.zone.clone(),
        usage_control: usage_peers.clone(),
        distributors: Vec::new(),
        failed_hosts: HashMap::new(),
        settings: settings.path.clone(),
        decoder: decoder(),
        inbox: inbox.clone(),
        clock,
        counters: counters.clone(),
        log: log.clone(),
        generation: 0,
        directory_version: 0,
        quarantine_version: 0,
        listing_times: listing_times.clone(),
        rollout_version: 0,
        body_limit: Arc::clone(&body_limit),
        reachable: true,
    };
    let deployment_poller = Worker::start("front-follow", move || poller.step());
    let mut fetcher = ListingFetcher {
        address: settings.listing,
        decoder: decoder(),
        inbox: inbox.clone(),
        log: log.clone(),
        clock,
        times: listing_times.clone(),
        max_age: settings.listing_age,
        reachable: true,
        incomplete: false,
    };
    let listing_fetcher = Worker::start("front-list", move || fetcher.step());
    let reporter = || UsageReporter {
        host: common.host.clone(),
        incarnation,
        control: usage_peers.clone(),
        inbox: inbox.clone(),
        log: log.clone(),
        last_sealed: None,
        reachable: true,
    };
    let (mut regular_reporter, final_reporter) = (reporter(), reporter());
    let usage_reporter = Worker::start("front-usage", move || regular_reporter.step());
    let mut evidence_reporter = EvidenceReporter {
        host: common.host.clone(),
        incarnation,
        control: usage_peers.clone(),
        reports: evidence_rx,
        clock,
        log: log.clone(),
        unacknowledged: None,
    };
    let evidence_reporter = Worker::start("front-evidence", move || evidence_reporter.step());
    let mut rollout_reporter = RolloutReporter {
        host: common.host.clone(),
        incarnation,
        control: usage_peers.clone(),
        inbox: inbox.clone(),
        clock,
        log: log.clone(),
        acknowledged: None,
        reachable: true,
    };
    let rollout_reporter = settings
        .exposure
        .map(|_| Worker::start("front-rollout", move || rollout_reporter.step()));
    let draining = Arc::new(AtomicBool::new(false));
    let memory = Memory::new(budget::Limits::of_memory(settings.memory));
    let context = Context {
        inbox,
        memory: memory.clone(),
        tickets: Arc::new(AtomicU64::new(0)),
        counters,
        metrics: Metrics::new(listing_times, clock),
        log: log.clone(),
        limits: common.limits,
        body_limit,
        draining: Arc::clone(&draining),
    };
    let mut listeners = vec![common.listen, settings.ready];
    listeners.extend(settings.metrics);
    let charged = Some(memory.clone());
    let server = Server::start_bounded(
        "front-edge",
        &listeners,
        common.limits,
        charged,
        move |tasks| {
            let attempts = AttemptClient {
                adapter,
                inbox: context.inbox.clone(),
                connections: Connections::new(tasks.clone(), clock),
                clock,
                memory,
            };
            service(context, attempts, tasks)
        },
    )?;
    event!(log, Started, "listen" => server.address().to_string());
    Ok(Handle {
        server,
        deployment_poller: deployment_poller.map_err(EdgeError::Thread)?,
        listing_fetcher: listing_fetcher.map_err(EdgeError::Thread)?,
        usage_reporter: usage_reporter.map_err(EdgeError::Thread)?,
        evidence_reporter: evidence_reporter.map_err(EdgeError::Thread)?,
        rollout_reporter: rollout_reporter.transpose().map_err(EdgeError::Thread)?,
        final_reporter,
        control,
        draining,
        shutdown_delay: settings.shutdown_delay,
        shutdown_timeout: settings.shutdown_timeout,
        log,
    })
}

impl Handle {
    /// The address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops gracefully: reports that the front is not ready, keeps serving until the load balancer
    /// has removed the front, completes requests within the shutdown timeout, and ends.
    pub fn close(mut self) {
        event!(self.log, Stopping);
        let _ = self.control.inbox().send(Input::Drain);
        self.draining.store(true, Ordering::Relaxed);
        std::thread::sleep(self.shutdown_delay);
        let remaining = self
            .shutdown_timeout
            .saturating_sub(self.shutdown_delay + SHUTDOWN_RESERVE);
        self.server.close_within(remaining);
        let _ = self.final_reporter.report();
        // The threads are not joined, because their pending calls may take longer than the timeout.
        self.deployment_poller.stop();
        self.listing_fetcher.stop();
        self.usage_reporter.stop();
        self.evidence_reporter.stop();
        if let Some(reporter) = self.rollout_reporter {
            reporter.stop();
        }
        let _ = self.control.close();
        event!(self.log, Stopped);
    }
}
