//! Starts and stops a control host.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::time::{
    SystemTime,
    UNIX_EPOCH, //
};

use agree::{
    Body,
    Entry,
    Member,
    MemberId,
    Record,
    Saved,
    Stage,
    Timing, //
};
use crossbeam::channel::{
    Receiver,
    bounded, //
};
use edge::{
    EdgeError,
    Server, //
};
use govern::{
    Govern,
    Input,
    Seed, //
};
use ids::{
    Clock,
    DigestKey,
    Index,
    Monotonic,
    Term, //
};
use obs::{
    Counters,
    Logger,
    event, //
};
use store::{
    StoreError,
    Vault, //
};
use wire::{
    Packed,
    Sealer,
    WireError, //
};

use crate::admin::Operators;
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
use crate::post::Post;
use crate::report::{
    self,
    Deliverer, //
};
use crate::settings::Settings;

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
            Self::Store(StoreError::Empty(path)) => write!(
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
pub enum Start {
    /// As a new group of one.
    Group,
    /// As a further host, to be added by an operator.
    Join,
}

/// Initialises an empty data folder with a new identity, and returns it.
///
/// # Errors
///
/// [`RunError::Store`], also if the folder holds state already.
pub fn init(settings: &Settings, start: Start) -> Result<MemberId, RunError> {
    let id = rand::random();
    let address = settings.advertise.unwrap_or(settings.common.listen);
    let first = match start {
        Start::Join => Record::default(),
        Start::Group => Record {
            vote: Some((Term(1), None)),
            truncate: None,
            entries: vec![Entry {
                index: Index(1),
                term: Term(1),
                body: Body::Members(vec![Member {
                    id: MemberId(id),
                    host: settings.common.host.clone(),
                    address,
                    stage: Stage::Voter,
                }]),
            }],
        },
    };
    Vault::init(&settings.data, id, &codec::frame(&[first])?)?;
    Ok(MemberId(id))
}

/// A running control host.
pub struct Handle {
    server: Server,
    control: step::Control<Input, Waiting>,
    disk: Disk,
    deliverer: Deliverer,
    failed: Receiver<String>,
    log: Logger,
}

/// Starts a control host from its data folder.
///
/// # Errors
///
/// [`RunError`]; nothing keeps running then.
pub fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, RunError> {
    let common = &settings.common;
    let (vault, id, saved) = open(&settings.data, &log)?;
    let address = settings.advertise.unwrap_or(common.listen);
    let clock = Monotonic::start();
    let seed = Seed {
        node: agree::Seed {
            id,
            timing: Timing::default(),
            random: rand::random(),
        },
        wall: unix_millis(),
        window: settings.window,
    };
    let core = Govern::new(clock.now(), seed, Packed, saved).map_err(RunError::State)?;
    let sealer = Sealer::new(common.cluster.clone(), &common.secret);
    let (jobs, disk_jobs) = disk::channel();
    let (windows, deliveries) = report::channel();
    let (failed, failure) = bounded(2);
    let effects = ControlEffects {
        disk: jobs,
        deliver: windows,
        post: Post::new(id, address, sealer.clone()),
        replies: Replies {
            sealer: sealer.clone(),
            cluster: common.cluster.clone(),
            host: common.host.clone(),
        },
        waiting: Default::default(),
        counters: counters.clone(),
        log: log.clone(),
        failed: failed.clone(),
    };
    let control = step::Control::start("control-control", core, effects, clock);
    let control = control.map_err(RunError::Thread)?;
    let inbox = control.inbox();
    let disk = Disk::start(vault, disk_jobs, inbox.clone(), failed, log.clone());
    let disk = disk.map_err(RunError::Thread)?;
    let deliverer = Deliverer::start(
        settings.platform,
        deliveries,
        inbox.clone(),
        clock,
        log.clone(),
    );
    let deliverer = deliverer.map_err(RunError::Thread)?;
    let front = Front {
        id,
        host: common.host.clone(),
        sealer,
        operators: Operators {
            known: settings.operators.clone(),
            digests: DigestKey::derive(&common.secret),
        },
        inbox,
        tickets: AtomicU64::new(0),
        counters,
        log: log.clone(),
    };
    let server = Server::start("control-edge", common.listen, common.limits, front);
    let server = server.map_err(RunError::Edge)?;
    event!(log, Started, "listen" => server.address().to_string(), "member" => id.to_string());
    Ok(Handle {
        server,
        control,
        disk,
        deliverer,
        failed: failure,
        log,
    })
}

fn open(data: &Path, log: &Logger) -> Result<(Vault, MemberId, Saved), RunError> {
    let (vault, recovered) = Vault::open(data)?;
    if recovered.torn > 0 {
        event!(log, TornTail, "bytes" => recovered.torn);
    }
    let (meta, state) = codec::read_snapshot(&recovered.snapshot)?;
    let mut saved = Saved::new(meta, state);
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
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
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
        let _ = self.control.inbox().send(Input::HandOver);
        self.server.close();
        let _ = self.control.close();
        self.deliverer.close();
        self.disk.close();
        event!(self.log, Stopped);
    }
}
