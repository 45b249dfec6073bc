//! Starts and stops a control host.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use agree::{
    Body,
    DurableState,
    Entry,
    Member,
    MemberId,
    PromotionPolicy,
    Record,
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
    Options,
    PlanOptions,
    VIEW_TTL, //
};
use ids::{
    Clock,
    ClusterName,
    DigestKey,
    HostName,
    Index,
    Monotonic,
    Term,
    millis, //
};
use obs::{
    Counters,
    Logger,
    event, //
};
use peer::ControlClient;
use step::Worker;
use store::{
    StateDir,
    StoreError, //
};
use wire::{
    Packed,
    Sealer,
    WireError, //
};

use crate::admin::{
    self,
    Operators, //
};
use crate::codec;
use crate::disk::{
    self,
    Disk, //
};
use crate::effects::{
    ControlEffects,
    Waiting, //
};
use crate::front::{
    Front,
    Replies, //
};
use crate::join;
use crate::list::{
    self,
    List, //
};
use crate::order::Orders;
use crate::post::Post;
use crate::protocol::{
    NoPlatform,
    PlatformCodec, //
};
use crate::report::{
    self,
    Delivery, //
};
use crate::settings::{
    PlanSettings,
    Settings, //
};

/// How long a stopping host answers what came.
const LAST_ANSWERS: Duration = Duration::from_millis(500);

/// Why a control host cannot run.
#[derive(Debug)]
pub enum RunError {
    /// Its durable state cannot be opened.
    Store(StoreError),
    /// Its durable state does not decode.
    State(String),
    /// Its edge cannot start.
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
            Self::Store(fault) => fault.fmt(f),
            Self::State(fault) => write!(f, "the durable state does not decode: {fault}"),
            Self::Edge(fault) => fault.fmt(f),
            Self::Thread(fault) => write!(f, "cannot start a thread: {fault}"),
        }
    }
}

impl std::error::Error for RunError {}

impl From<StoreError> for RunError {
    fn from(fault: StoreError) -> Self {
        Self::Store(fault)
    }
}

impl From<WireError> for RunError {
    fn from(fault: WireError) -> Self {
        Self::State(fault.to_string())
    }
}

/// How a data folder begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitMode {
    /// As a new group of one.
    Bootstrap,
    /// As a further host, to be added by an operator.
    Join,
}

/// Initialises an empty data folder with a new identity, and returns it.
///
/// # Errors
///
/// [`RunError::Store`], also if the folder holds state already.
pub fn init(settings: &Settings, mode: InitMode) -> Result<MemberId, RunError> {
    let id = rand::random();
    let first = match mode {
        InitMode::Join => Record::default(),
        InitMode::Bootstrap => founding(vec![Member {
            id: MemberId(id),
            host: settings.common.host.clone(),
            address: settings.address(),
            stage: Stage::Voter,
        }]),
    };
    StateDir::init(&settings.data_dir, id, &codec::frame(&[first])?)?;
    Ok(MemberId(id))
}

/// A running control host.
pub struct Handle {
    server: Server,
    orders: Vec<Server>,
    joiner: Option<Worker>,
    lister: Worker,
    control: step::ControlThread<Input, Waiting>,
    disk: Disk,
    deliverer: Worker,
    failed: Receiver<String>,
    log: Logger,
}

/// Starts a control host from its data folder.
///
/// # Errors
///
/// [`RunError`]; nothing keeps running then.
pub fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, RunError> {
    run_with(settings, NoPlatform, log, counters)
}

/// Starts a control host that serves a plan in the language of a protocol. A data folder without
/// state is initialised.
///
/// # Errors
///
/// [`RunError`]; nothing keeps running then.
pub fn run_with<D: PlatformCodec>(
    settings: &Settings,
    protocol: D,
    log: Logger,
    counters: Counters,
) -> Result<Handle, RunError> {
    if let Some(plan) = &settings.plan {
        prepare(settings, plan)?;
    }
    let common = &settings.common;
    let (vault, id, saved) = open(&settings.data_dir, &log)?;
    let address = settings.address();
    let clock = Monotonic::start();
    let options = Options {
        node: agree::NodeConfig {
            id,
            timing: Timing::default(),
            promotion: match settings.plan {
                Some(_) => PromotionPolicy::KeepOdd,
                None => PromotionPolicy::All,
            },
            rng_seed: rand::random(),
        },
        unix_ms: unix_millis(),
        usage_window: settings.usage_window,
        plan: settings.plan.as_ref().map(|plan| PlanOptions {
            member: Member {
                id,
                host: common.host.clone(),
                address,
                stage: Stage::Learner,
            },
            usage_window: settings.usage_window,
            report_delay: plan.report_delay,
        }),
    };
    let core = Govern::new(clock.now(), options, Packed, saved).map_err(RunError::State)?;
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let (jobs, disk_jobs) = disk::channel();
    let (windows, deliveries) = report::channel();
    let (seek, requests) = join::channel();
    let (list, readings) = list::channel();
    let (failed, failure) = bounded(2);
    let effects = ControlEffects {
        disk: jobs,
        deliver: windows,
        seek,
        list,
        post: Post::new(id, address, sealer.clone()),
        replies: Replies {
            sealer: sealer.clone(),
            cluster: common.cluster.clone(),
            host: common.host.clone(),
            fresh: settings
                .plan
                .as_ref()
                .map_or(VIEW_TTL, |plan| plan.view_ttl),
            port: settings.plan.as_ref().map_or(0, |plan| plan.listen.port()),
        },
        waiting: Default::default(),
        counters: counters.clone(),
        log: log.clone(),
        failed: failed.clone(),
    };
    let control = step::ControlThread::start("control-control", core, effects, clock);
    let control = control.map_err(RunError::Thread)?;
    let inbox = control.inbox();
    let disk = Disk::start(vault, disk_jobs, inbox.clone(), failed, log.clone());
    let disk = disk.map_err(RunError::Thread)?;
    let delivery = Delivery {
        protocol: protocol.clone(),
        platform: settings.platform,
        holder: common.host.to_string(),
        inbox: inbox.clone(),
        clock,
        log: log.clone(),
    };
    let deliverer = report::start(delivery, deliveries).map_err(RunError::Thread)?;
    let list = List {
        protocol: protocol.clone(),
        platform: settings.platform,
        inbox: inbox.clone(),
        log: log.clone(),
    };
    let lister = list::start(list, readings).map_err(RunError::Thread)?;
    let tickets = Arc::new(AtomicU64::new(0));
    let (orders, joiner) = match &settings.plan {
        None => (Vec::new(), None),
        Some(plan) => {
            let peers = ControlClient::new(sealer.clone(), plan.seeds.clone());
            let path = plan.path.clone();
            let joiner = join::start(path, peers, requests, log.clone());
            let orders = Orders {
                protocol,
                inbox: inbox.clone(),
                tickets: Arc::clone(&tickets),
                counters: counters.clone(),
                log: log.clone(),
            };
            let server = Server::start("control-orders", plan.listen, common.limits, orders);
            let mut servers = vec![server.map_err(RunError::Edge)?];
            if let Some(at) = plan.metrics {
                let shown = Shown(counters.clone());
                let server = Server::start("control-metrics", at, common.limits, shown);
                servers.push(server.map_err(RunError::Edge)?);
            }
            (servers, Some(joiner.map_err(RunError::Thread)?))
        }
    };
    let front = Front {
        id,
        host: common.host.clone(),
        sealer,
        operators: Operators {
            known: settings.operators.clone(),
            digests: DigestKey::derive(&common.secret),
        },
        inbox,
        tickets,
        counters,
        log: log.clone(),
    };
    let server = Server::start("control-edge", common.listen, common.limits, front);
    let server = server.map_err(RunError::Edge)?;
    event!(log, Started, "listen" => server.address().to_string(), "member" => id.to_string());
    Ok(Handle {
        server,
        orders,
        joiner,
        lister,
        control,
        disk,
        deliverer,
        failed: failure,
        log,
    })
}

/// Initialises a data folder without state: as one of the hosts that found the group, if it is
/// founded with this start and this host is a seed, else as a host that will ask to join.
fn prepare(settings: &Settings, plan: &PlanSettings) -> Result<(), RunError> {
    if StateDir::exists(&settings.data_dir) {
        return Ok(());
    }
    let own = settings.address();
    if !plan.bootstrap || !plan.seeds.contains(&own) {
        return init(settings, InitMode::Join).map(|_| ());
    }
    let cluster = &settings.common.cluster;
    let mut seeds = plan.seeds.clone();
    seeds.sort_unstable();
    seeds.dedup();
    let members = seeds.iter().map(|seed| founder(cluster, *seed));
    let members = members.collect::<Result<Vec<_>, _>>()?;
    // Every seed begins with this same entry, so that they agree on it without a leader.
    let first = founding(members);
    let id = founder(cluster, own)?.id;
    StateDir::init(&settings.data_dir, id.0, &codec::frame(&[first])?)?;
    Ok(())
}

/// The first record of a group of these members.
fn founding(members: Vec<Member>) -> Record {
    Record {
        vote: Some((Term(1), None)),
        truncate: None,
        entries: vec![Entry {
            index: Index(1),
            term: Term(1),
            body: Body::Members(members),
        }],
    }
}

/// A seed as a founding member. All seeds derive the same identity from its address.
fn founder(cluster: &ClusterName, address: SocketAddr) -> Result<Member, RunError> {
    let digest = blake3::hash(format!("{cluster} {address}").as_bytes());
    let (id, _) = digest.as_bytes().split_at(8);
    let id = id.iter().fold(0, |id, byte| id << 8 | u64::from(*byte));
    let host = HostName::try_from(format!("seed-{}", address.ip()).as_str());
    Ok(Member {
        id: MemberId(id),
        host: host.map_err(|fault| RunError::State(fault.to_string()))?,
        address,
        stage: Stage::Voter,
    })
}

/// Shows the counters.
struct Shown(Counters);

impl Handler for Shown {
    fn handle(&self, exchange: Exchange) {
        admin::counters(exchange, &self.0);
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        admin::refuse(exchange, kind.response().status, kind.response().text, None);
    }
}

fn open(data: &Path, log: &Logger) -> Result<(StateDir, MemberId, DurableState), RunError> {
    let (vault, recovered) = StateDir::open(data)?;
    if recovered.torn_bytes > 0 {
        event!(log, TornTail, "bytes" => recovered.torn_bytes);
    }
    let (meta, state) = codec::read_snapshot(&recovered.snapshot)?;
    let mut saved = DurableState::new(meta, state);
    for frame in &recovered.records {
        codec::read_frame(frame)?
            .into_iter()
            .for_each(|record| saved.replay(record));
    }
    Ok((vault, MemberId(recovered.identity), saved))
}

fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(since)
}

impl Handle {
    /// Where the control host listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Says why the host had to stop, once it had to: its disk failed.
    pub fn failure(&self) -> Receiver<String> {
        self.failed.clone()
    }

    /// Stops gracefully: hands over the leadership, answers everything that came, and ends.
    pub fn close(self) {
        event!(self.log, Stopping);
        let _ = self.control.inbox().send(Input::TransferLeadership);
        for server in self.orders {
            server.close_within(LAST_ANSWERS);
        }
        self.server.close_within(LAST_ANSWERS);
        let _ = self.control.close();
        self.deliverer.finish();
        self.lister.finish();
        if let Some(joiner) = self.joiner {
            joiner.finish();
        }
        self.disk.close();
        event!(self.log, Stopped);
    }
}
