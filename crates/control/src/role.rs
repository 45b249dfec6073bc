//! Starts and stops a control host.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use agree::{
    Member,
    MemberId,
    PromotionPolicy,
    Stage,
    Timing, //
};
use crossbeam::channel::{
    Receiver,
    bounded, //
};
use edge::{
    EdgeError,
    Exchange,
    Handler,
    Server, //
};
use fault::Kind;
use govern::{
    Govern,
    Input,
    Mirror,
    MirrorOptions,
    Options,
    PlanOptions,
    RolloutOptions,
    SubscriberId,
    SubscriberKind,
    VIEW_TTL, //
};
use ids::{
    Clock,
    DigestKey,
    Incarnation,
    Monotonic,
    millis, //
};
use obs::{
    Counters,
    Logger,
    event, //
};
use peer::ControlClient;
use plan::Distributor;
use step::Worker;
use store::StoreError;
use wire::{
    MessagePack,
    Sealer,
    WireError, //
};

use crate::admin::{
    self,
    Operators, //
};
use crate::api::{
    ApiHandler,
    Responder, //
};
use crate::billing::{
    self,
    Deliverer, //
};
use crate::command::CommandHandler;
use crate::disk::{
    self,
    Disk, //
};
use crate::effects::{
    ControlEffects,
    PendingRequest, //
};
use crate::feed::{
    self,
    FeedClient, //
};
use crate::join;
use crate::leave;
use crate::listing::{
    self,
    ListingFetcher, //
};
use crate::platform::{
    NoPlatform,
    PlatformCodec, //
};
use crate::settings::Settings;
use crate::storage;
use crate::transport::Transport;

/// How long a stopping host may take to respond to the requests that it has received.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);

/// Why a control host cannot run.
#[derive(Debug)]
pub enum RunError {
    /// The durable state cannot be opened.
    Store(StoreError),
    /// The durable state cannot be decoded.
    State(String),
    /// The settings name no data directory, and the host serves no plan that it could mirror.
    NoDataDir,
    /// An HTTP server cannot start.
    Edge(EdgeError),
    /// A thread cannot be started.
    Thread(std::io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(StoreError::Uninitialized(path)) => write!(
                f,
                "{}: holds no state; start a new group with --init, or a further host with --join",
                path.display()
            ),
            Self::Store(error) => error.fmt(f),
            Self::State(error) => write!(f, "the durable state cannot be decoded: {error}"),
            Self::NoDataDir => f.write_str("the settings name no data directory"),
            Self::Edge(error) => error.fmt(f),
            Self::Thread(error) => write!(f, "cannot start a thread: {error}"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<StoreError> for RunError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<WireError> for RunError {
    fn from(error: WireError) -> Self {
        Self::State(error.to_string())
    }
}

/// A running control host.
pub struct Handle {
    server: Server,
    plan_servers: Vec<Server>,
    /// The threads of a host that serves a plan. They end with the control thread.
    plan_workers: Vec<Worker>,
    listing: Worker,
    control: step::ControlThread<Input, PendingRequest>,
    /// The disk thread; none for a mirror.
    disk: Option<Disk>,
    billing: Worker,
    failure: Receiver<String>,
    /// Receives a message when the request to leave the group is finished; none if this host is no
    /// member of a group that serves a plan.
    left: Option<Receiver<()>>,
    log: Logger,
}

/// Starts a control host without a platform.
///
/// # Errors
///
/// [`RunError`]; no thread keeps running in that case.
pub fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, RunError> {
    run_with(settings, NoPlatform, log, counters)
}

/// Starts a control host that exchanges messages with the platform through a codec. If it serves a
/// plan, an empty data directory is initialized.
///
/// # Errors
///
/// [`RunError`]; no thread keeps running in that case.
pub fn run_with<C: PlatformCodec>(
    settings: &Settings,
    codec: C,
    log: Logger,
    counters: Counters,
) -> Result<Handle, RunError> {
    let common = &settings.common;
    let clock = Monotonic::start();
    let stored = match &settings.data_dir {
        Some(data) => Some(storage::open_or_init(settings, data, &log)?),
        None => None,
    };
    // A mirror's identity is never that of a member, so that no member accepts its messages.
    let id = stored
        .as_ref()
        .map_or_else(|| MemberId(rand::random()), |stored| stored.id);
    let address = settings.address();
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let (disk_sender, disk_jobs) = disk::channel();
    let (billing_sender, billing_jobs) = billing::channel();
    let (join_sender, join_requests) = join::channel();
    let (leave_sender, leave_requests) = leave::channel();
    let (left_sender, left) = bounded(1);
    let (listing_sender, listing_requests) = listing::channel();
    let (feed_sender, feed_jobs) = feed::channel();
    let (failed, failure) = bounded(2);
    let effects = ControlEffects {
        disk: disk_sender,
        billing: billing_sender,
        join: join_sender,
        leave: leave_sender,
        listing: listing_sender,
        feed: feed_sender,
        transport: Transport::new(
            id,
            address,
            sealer.clone(),
            settings.bounds.pending,
            log.clone(),
        ),
        responder: Responder {
            sealer: sealer.clone(),
            cluster: common.cluster.clone(),
            host: common.host.clone(),
            view_ttl: settings
                .plan
                .as_ref()
                .map_or(VIEW_TTL, |plan| plan.view_ttl),
            port: settings.plan.as_ref().map_or(0, |plan| plan.listen.port()),
        },
        pending: Default::default(),
        counters: counters.clone(),
        log: log.clone(),
        failed: failed.clone(),
    };
    let (control, disk) = match stored {
        Some(stored) => {
            let options = member_options(settings, id, C::services);
            let core = Govern::new(clock.now(), options, MessagePack, stored.durable);
            let core = core.map_err(RunError::State)?;
            let control = step::ControlThread::start("control-control", core, effects, clock);
            let control = control.map_err(RunError::Thread)?;
            let inbox = control.inbox();
            let disk = Disk::start(stored.dir, disk_jobs, inbox, failed, log.clone());
            (control, Some(disk.map_err(RunError::Thread)?))
        }
        None => {
            let core = Mirror::new(mirror_options(settings)?);
            let control = step::ControlThread::start("control-control", core, effects, clock);
            (control.map_err(RunError::Thread)?, None)
        }
    };
    let inbox = control.inbox();
    let deliverer = Deliverer {
        codec: codec.clone(),
        platform: settings.platform,
        holder: common.host.to_string(),
        inbox: inbox.clone(),
        clock,
        log: log.clone(),
    };
    let billing = billing::start(deliverer, billing_jobs).map_err(RunError::Thread)?;
    let fetcher = ListingFetcher {
        codec: codec.clone(),
        platform: settings.platform,
        inbox: inbox.clone(),
        log: log.clone(),
    };
    let listing = listing::start(fetcher, listing_requests).map_err(RunError::Thread)?;
    let tickets = Arc::new(AtomicU64::new(0));
    let (plan_servers, plan_workers) = match &settings.plan {
        None => (Vec::new(), Vec::new()),
        Some(plan) => {
            let peers = ControlClient::new(sealer.clone(), plan.seeds.clone());
            let client = FeedClient {
                control: peers.clone(),
                settings: plan.path.clone(),
                inbox: inbox.clone(),
                log: log.clone(),
                reachable: true,
            };
            let feeder = feed::start(client, feed_jobs).map_err(RunError::Thread)?;
            let path = plan.path.clone();
            let joiner = join::start(path, peers.clone(), join_requests, log.clone());
            let joiner = joiner.map_err(RunError::Thread)?;
            let leaver = leave::start(address, peers, leave_requests, left_sender, log.clone());
            let leaver = leaver.map_err(RunError::Thread)?;
            let commands = CommandHandler {
                codec,
                rollouts: plan.rollouts.is_some(),
                inbox: inbox.clone(),
                tickets: Arc::clone(&tickets),
                counters: counters.clone(),
                log: log.clone(),
            };
            let limits = edge::Limits {
                body_bytes: common.limits.body_bytes.min(settings.bounds.pending),
                ..common.limits
            };
            let server = Server::start("control-orders", plan.listen, limits, commands);
            let mut servers = vec![server.map_err(RunError::Edge)?];
            if let Some(listen) = plan.metrics {
                let handler = MetricsHandler(counters.clone());
                let server = Server::start("control-metrics", listen, common.limits, handler);
                servers.push(server.map_err(RunError::Edge)?);
            }
            (servers, vec![joiner, leaver, feeder])
        }
    };
    let handler = ApiHandler {
        id,
        host: common.host.clone(),
        sealer,
        operators: Operators {
            operators: settings.operators.clone(),
            digests: DigestKey::derive(&common.secret),
        },
        inbox,
        tickets,
        counters,
        log: log.clone(),
    };
    let server = Server::start("control-edge", common.listen, common.limits, handler);
    let server = server.map_err(RunError::Edge)?;
    let mirror = disk.is_none();
    event!(log, Started, "listen" => server.address().to_string(),
        "member" => (!mirror).then(|| id.to_string()), "mirror" => mirror);
    Ok(Handle {
        server,
        plan_servers,
        plan_workers,
        listing,
        control,
        disk,
        billing,
        failure,
        left: (!mirror && settings.plan.is_some()).then_some(left),
        log,
    })
}

/// The options of a member of the group.
fn member_options(
    settings: &Settings,
    id: MemberId,
    services: fn(&[u8]) -> Option<Vec<rollout::Service>>,
) -> Options {
    Options {
        node: agree::NodeConfig {
            id,
            timing: Timing::default(),
            promotion: match settings.plan {
                Some(_) => PromotionPolicy::KeepOdd,
                None => PromotionPolicy::All,
            },
            limits: settings.bounds,
            rng_seed: rand::random(),
        },
        unix_ms: unix_millis(),
        usage_window: settings.usage_window,
        plan: settings.plan.as_ref().map(|plan| PlanOptions {
            member: Member {
                id,
                host: settings.common.host.clone(),
                address: settings.address(),
                stage: Stage::Learner,
            },
            zone: plan.zone.clone(),
            incarnation: Incarnation(rand::random()),
            usage_window: settings.usage_window,
            tolerated: plan.tolerated,
            report_delay: plan.report_delay,
            rollouts: plan
                .rollouts
                .map(|limits| RolloutOptions { limits, services }),
        }),
    }
}

/// The options of a host without a disk.
fn mirror_options(settings: &Settings) -> Result<MirrorOptions, RunError> {
    let plan = settings.plan.as_ref().ok_or(RunError::NoDataDir)?;
    Ok(MirrorOptions {
        id: SubscriberId {
            host: settings.common.host.clone(),
            kind: SubscriberKind::Distributor,
            incarnation: Incarnation(rand::random()),
        },
        distributor: Distributor {
            address: settings.address(),
            zone: plan.zone.clone(),
        },
        seeds: plan.seeds.clone(),
    })
}

/// Serves the counters.
struct MetricsHandler(Counters);

impl Handler for MetricsHandler {
    fn handle(&self, exchange: Exchange) {
        admin::counters(exchange, &self.0);
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        admin::reject(exchange, kind.response().status, kind.response().text, None);
    }
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(elapsed)
}

impl Handle {
    /// The address on which the control host listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// A channel that receives the error if durable state can no longer be written, or if an entry
    /// or a snapshot cannot be encoded or decoded. The core is halted in that case.
    pub fn failure(&self) -> Receiver<String> {
        self.failure.clone()
    }

    /// Stops gracefully: transfers leadership, leaves the group if it serves a plan and can do
    /// without this host, responds to the requests received so far, and ends all threads.
    pub fn close(self) {
        event!(self.log, Stopping);
        let inbox = self.control.inbox();
        match self.left {
            Some(left) => {
                if inbox.send(Input::Leave).is_ok() {
                    // The thread that sends the request logs how it ended.
                    let _ = left.recv_timeout(leave::LEAVE_TIMEOUT);
                }
            }
            None => {
                let _ = inbox.send(Input::TransferLeadership);
            }
        }
        for server in self.plan_servers {
            server.close_within(SHUTDOWN_GRACE);
        }
        self.server.close_within(SHUTDOWN_GRACE);
        let _ = self.control.close();
        self.billing.finish();
        self.listing.finish();
        self.plan_workers.into_iter().for_each(Worker::finish);
        if let Some(disk) = self.disk {
            disk.close();
        }
        event!(self.log, Stopped);
    }
}
