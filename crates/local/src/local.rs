//! Starts everything, and stops it in order.

use std::fmt;
use std::fs;
use std::net::{
    Ipv4Addr,
    SocketAddr, //
};
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use conf::Change;
use edge::{
    Limits,
    reserve, //
};
use fake::{
    EngineHost,
    PlatformHost,
    Profile,
    ServiceHost, //
};
use ids::{
    DigestKey,
    GrantName,
    Revision,
    Secret, //
};
use obs::{
    Counters,
    LogFormat,
    Logger, //
};
use ops::OperatorClient;
use setting::Common;
use tempfile::TempDir;
use wire::{
    NewKey,
    NewMember,
    Operator, //
};

/// How long one call of the plain service takes.
const SERVICE_TAKES: Duration = Duration::from_millis(5);
/// How long a change may take until every process has confirmed it.
const CONFIRM: Duration = Duration::from_secs(60);
/// Traffic threads of each entry and agent; a demo needs few.
const THREADS: usize = 64;

/// What is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the first entry listens.
    pub listen: SocketAddr,
    /// Where the first control host listens, if that matters.
    pub control: Option<SocketAddr>,
    /// The data folder; a temporary one if none is given.
    pub data: Option<PathBuf>,
    /// How many control hosts: 1, 3 or 5.
    pub controls: usize,
    /// How many entries.
    pub entries: usize,
    /// How many engines, each with its agent.
    pub engines: usize,
    /// The engines' speed and size.
    pub profile: Profile,
    /// Length of a usage window.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: free(),
            control: None,
            data: None,
            controls: 1,
            entries: 1,
            engines: 2,
            profile: Profile {
                warmup: Duration::from_millis(200),
                ..Profile::default()
            },
            window: Duration::from_secs(60),
        }
    }
}

fn free() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Why the local system cannot start.
#[derive(Debug)]
pub enum LocalError {
    /// An address is not on loopback: where it came from, and the address.
    NotLoopback(&'static str, SocketAddr),
    /// A file cannot be read or written.
    File(PathBuf, std::io::Error),
    /// A part of the system cannot start.
    Part(&'static str, String),
    /// The control group refused the first configuration.
    Setup(ops::OperatorError),
}

impl fmt::Display for LocalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLoopback(field, address) => {
                write!(
                    f,
                    "command line: {field}: \"{address}\" is not a loopback address"
                )
            }
            Self::File(path, fault) => write!(f, "{}: {fault}", path.display()),
            Self::Part(part, fault) => write!(f, "{part}: {fault}"),
            Self::Setup(fault) => write!(f, "setup: {fault}"),
        }
    }
}

impl std::error::Error for LocalError {}

impl From<ops::OperatorError> for LocalError {
    fn from(fault: ops::OperatorError) -> Self {
        Self::Setup(fault)
    }
}

fn part<E: fmt::Display>(name: &'static str) -> impl Fn(E) -> LocalError {
    move |fault| LocalError::Part(name, fault.to_string())
}

/// One control host with what is needed to start it again.
struct ControlSlot {
    settings: control::Settings,
    handle: Option<control::Handle>,
}

/// A running local system.
pub struct Local {
    /// The operator's client.
    pub ops: OperatorClient,
    /// The engines.
    pub engines: Vec<EngineHost>,
    /// The plain service.
    pub service: ServiceHost,
    /// The platform.
    pub platform: PlatformHost,
    /// What all roles count.
    pub counters: Counters,
    key: Secret,
    log: Logger,
    controls: Vec<ControlSlot>,
    agents: Vec<agent::Handle>,
    entries: Vec<entry::Handle>,
    folder: Option<TempDir>,
}

struct Base {
    data: PathBuf,
    secret: String,
    operator: Secret,
}

impl Base {
    fn common(&self, host: &str, listen: SocketAddr) -> Result<Common, LocalError> {
        Ok(Common {
            host: host.try_into().map_err(part("host"))?,
            cluster: "local".try_into().map_err(part("cluster"))?,
            secret: self.secret.clone(),
            listen,
            limits: Limits::default(),
            format: LogFormat::Terminal,
            statsd: None,
        })
    }
}

impl Local {
    /// Starts everything and creates a first configuration: one zone for each two engines, two
    /// accounts, two classes, a model route and a service route.
    ///
    /// # Errors
    ///
    /// [`LocalError`], with the part that could not start.
    pub fn start(options: &Options, log: &Logger) -> Result<Self, LocalError> {
        let fixed = options.control.map(|control| ("--control", control));
        for (field, address) in [("--listen", options.listen)].into_iter().chain(fixed) {
            if !address.ip().is_loopback() {
                return Err(LocalError::NotLoopback(field, address));
            }
        }
        let folder = TempDir::new().map_err(part("temporary folder"))?;
        let data = options
            .data
            .clone()
            .unwrap_or_else(|| folder.path().to_owned());
        let base = base(&data)?;
        let counters = Counters::local();
        let platform = PlatformHost::start(free()).map_err(part("platform"))?;
        let controls = start_controls(options, &base, platform.address(), log, &counters)?;
        let addresses: Vec<_> = controls
            .iter()
            .map(|slot| slot.settings.common.listen)
            .collect();
        let ops = OperatorClient::new(addresses.clone(), base.operator.clone());
        join_controls(&ops, &base, &addresses)?;
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for n in 0..options.engines {
            let engine =
                EngineHost::start(free(), options.profile, true).map_err(part("engine"))?;
            let backend = (agent::BackendKind::Engine, engine.address());
            let name = format!("engine-{n}");
            agents.push(start_agent(
                &name, backend, &base, &addresses, log, &counters,
            )?);
            engines.push(engine);
        }
        let service = ServiceHost::start(free(), SERVICE_TAKES).map_err(part("service"))?;
        let backend = (agent::BackendKind::Service, service.address());
        agents.push(start_agent(
            "service-0",
            backend,
            &base,
            &addresses,
            log,
            &counters,
        )?);
        let mut entries = Vec::new();
        for n in 0..options.entries {
            let listen = if n == 0 { options.listen } else { free() };
            entries.push(start_entry(n, listen, &base, &addresses, log, &counters)?);
        }
        let local = Self {
            ops,
            engines,
            service,
            platform,
            counters,
            key: base.operator,
            log: log.clone(),
            controls,
            agents,
            entries,
            folder: options.data.is_none().then_some(folder),
        };
        let revision = local
            .ops
            .propose_on_latest(&local.first_configuration(options)?)?;
        local.confirm(revision)?;
        Ok(local)
    }

    /// Where the first entry listens.
    pub fn entry(&self) -> SocketAddr {
        self.entry_at(0)
    }

    /// Where an entry listens.
    pub fn entry_at(&self, n: usize) -> SocketAddr {
        self.entries[n].address()
    }

    /// Where the control hosts listen.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.controls
            .iter()
            .map(|slot| slot.settings.common.listen)
            .collect()
    }

    /// The operator's key.
    pub fn operator_key(&self) -> &Secret {
        &self.key
    }

    /// Creates a key for an account.
    ///
    /// # Errors
    ///
    /// [`LocalError::Setup`].
    pub fn new_key(&self, account: &str) -> Result<(GrantName, Secret), LocalError> {
        let name = format!("{account}-{:08x}", rand::random::<u32>());
        let answer = self.ops.new_key(&NewKey {
            name: name.as_str().try_into().map_err(part("key"))?,
            account: account.try_into().map_err(part("account"))?,
            class: None,
        })?;
        self.confirm(answer.revision)?;
        Ok((answer.name, answer.key.parse().map_err(part("key"))?))
    }

    /// Withdraws a key and waits until it is refused everywhere.
    ///
    /// # Errors
    ///
    /// [`LocalError::Setup`].
    pub fn withdraw(&self, name: &GrantName) -> Result<(), LocalError> {
        self.confirm(
            self.ops
                .propose_on_latest(&[Change::WithdrawGrant(name.clone())])?,
        )
    }

    /// Waits until a revision is in force everywhere.
    ///
    /// # Errors
    ///
    /// [`LocalError::Setup`].
    pub fn confirm(&self, revision: Revision) -> Result<(), LocalError> {
        Ok(self.ops.wait_applied(revision, CONFIRM)?)
    }

    /// Stops a control host gracefully.
    pub fn stop_control(&mut self, n: usize) {
        if let Some(handle) = self.controls[n].handle.take() {
            handle.close();
        }
    }

    /// Starts a stopped control host again from its disk.
    ///
    /// # Errors
    ///
    /// [`LocalError::Part`].
    pub fn start_control(&mut self, n: usize) -> Result<(), LocalError> {
        let slot = &mut self.controls[n];
        let run = control::run(&slot.settings, self.log.clone(), self.counters.clone());
        slot.handle = Some(run.map_err(part("control"))?);
        Ok(())
    }

    /// Stops an entry gracefully.
    pub fn stop_entry(&mut self, n: usize) {
        self.entries.remove(n).close();
    }

    /// Stops an agent gracefully.
    pub fn stop_agent(&mut self, n: usize) {
        self.agents.remove(n).close();
    }

    /// Stops everything: callers' side first, so that nothing is cut.
    pub fn close(self) {
        self.entries.into_iter().for_each(entry::Handle::close);
        self.agents.into_iter().for_each(agent::Handle::close);
        let handles = self.controls.into_iter().filter_map(|slot| slot.handle);
        handles.for_each(control::Handle::close);
        self.engines.into_iter().for_each(EngineHost::close);
        self.service.close();
        self.platform.close();
        if let Some(folder) = self.folder {
            let _ = folder.close();
        }
    }

    fn first_configuration(&self, options: &Options) -> Result<Vec<Change>, LocalError> {
        let zones = options.engines.div_ceil(2).max(1);
        let zone_rows = (0..zones).map(
            |n| serde_json::json!({"put-zone": {"name": format!("zone-{n}"), "region": "local"}}),
        );
        let class = |name: &str, tier: u8, first: u64, reserve: u8| {
            serde_json::json!({"put-class": {"name": name, "tier": tier, "first_ms": first,
                "gap_ms": 66, "reserve": reserve}})
        };
        let fixed = [
            class("field", 0, 650, 0),
            class("office", 2, 3000, 10),
            serde_json::json!({"put-account": {"name": "norte"}}),
            serde_json::json!({"put-account": {"name": "sur"}}),
            serde_json::json!({"put-route": {"name": "crew", "class": "field",
                "serves": {"model": "crew-assistant"}}}),
            serde_json::json!({"put-route": {"name": "permits", "class": "field",
                "serves": {"service": {"prefix": "/permits", "idempotent": ["GET"]}}}}),
        ];
        let engine_rows = (0..options.engines).map(|n| {
            serde_json::json!({"put-endpoint": {
                "name": format!("engine-{n}"), "zone": format!("zone-{}", n / 2),
                "routes": ["crew"], "agent": self.agents[n].address(),
                "slots": options.profile.slots,
            }})
        });
        let service = serde_json::json!({"put-endpoint": {
            "name": "service-0", "zone": "zone-0", "routes": ["permits"],
            "agent": self.agents[options.engines].address(), "slots": 16,
        }});
        let rows = zone_rows.chain(fixed).chain(engine_rows).chain([service]);
        rows.map(|row| serde_json::from_value(row).map_err(part("configuration")))
            .collect()
    }
}

/// Reads or makes the cluster's secret and the operator's key.
fn base(data: &Path) -> Result<Base, LocalError> {
    fs::create_dir_all(data).map_err(|fault| LocalError::File(data.to_owned(), fault))?;
    let secret = keep(&data.join("secret"), || {
        Secret::generate().reveal().to_owned()
    })?;
    let operator = keep(&data.join("operator.key"), || {
        Secret::generate().reveal().to_owned()
    })?;
    Ok(Base {
        data: data.to_owned(),
        secret,
        operator: operator.parse().map_err(part("operator.key"))?,
    })
}

fn keep(path: &Path, make: impl FnOnce() -> String) -> Result<String, LocalError> {
    let fault = |fault| LocalError::File(path.to_owned(), fault);
    if path.exists() {
        return Ok(fs::read_to_string(path).map_err(fault)?.trim().to_owned());
    }
    let text = make();
    fs::write(path, &text).map_err(fault)?;
    Ok(text)
}

fn start_controls(
    options: &Options,
    base: &Base,
    platform: SocketAddr,
    log: &Logger,
    counters: &Counters,
) -> Result<Vec<ControlSlot>, LocalError> {
    let digest = DigestKey::derive(&base.secret).digest(&base.operator);
    let mut slots = Vec::new();
    for n in 0..options.controls {
        let listen = match options.control.filter(|_| n == 0) {
            Some(fixed) => fixed,
            None => reserve().map_err(part("port"))?,
        };
        let settings = control::Settings {
            common: base.common(&format!("control-{n}"), listen)?,
            advertise: None,
            data: base.data.join(format!("control-{n}")),
            operators: vec![Operator {
                name: "local".try_into().map_err(part("operator"))?,
                digest,
            }],
            platform: Some(platform),
            window: options.window,
            plan: None,
        };
        if !settings.data.exists() {
            let start = if n == 0 {
                control::Start::Group
            } else {
                control::Start::Join
            };
            control::init(&settings, start).map_err(part("control"))?;
        }
        let handle = control::run(&settings, log.clone(), counters.clone());
        slots.push(ControlSlot {
            settings,
            handle: Some(handle.map_err(part("control"))?),
        });
    }
    Ok(slots)
}

/// Adds the further control hosts to the group, one after the other.
fn join_controls(
    ops: &OperatorClient,
    base: &Base,
    addresses: &[SocketAddr],
) -> Result<(), LocalError> {
    for (n, address) in addresses.iter().enumerate().skip(1) {
        let present =
            |host: &wire::StatusAnswer| host.members.iter().any(|m| m.address == *address);
        if ops.status()?.iter().any(present) {
            continue;
        }
        let path = base.data.join(format!("control-{n}")).join("identity");
        let id = fs::read_to_string(&path).map_err(|fault| LocalError::File(path, fault))?;
        let id: u64 = id.trim().parse().map_err(part("identity"))?;
        let member = NewMember {
            id: format!("{id:016x}"),
            host: format!("control-{n}")
                .as_str()
                .try_into()
                .map_err(part("host"))?,
            address: *address,
        };
        add_member(ops, &member)?;
        wait_for_vote(ops, *address)?;
    }
    Ok(())
}

/// Waits until a member that was added has caught up and votes.
fn wait_for_vote(ops: &OperatorClient, address: SocketAddr) -> Result<(), LocalError> {
    let votes = |host: &wire::StatusAnswer| {
        let member = host.members.iter().find(|m| m.address == address);
        member.is_some_and(|m| m.stage == agree::Stage::Voter)
    };
    while !ops.status()?.iter().any(votes) {
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Adds a member once the change before it is finished.
fn add_member(ops: &OperatorClient, member: &NewMember) -> Result<(), LocalError> {
    const TRIES: usize = 100;
    for _ in 0..TRIES {
        match ops.add_member(member) {
            Err(ops::OperatorError::Rejected(409, _)) => {
                std::thread::sleep(Duration::from_millis(100))
            }
            done => return Ok(done?),
        }
    }
    Ok(ops.add_member(member)?)
}

fn start_agent(
    name: &str,
    backend: (agent::BackendKind, SocketAddr),
    base: &Base,
    control: &[SocketAddr],
    log: &Logger,
    counters: &Counters,
) -> Result<agent::Handle, LocalError> {
    let settings = agent::Settings {
        common: base.common(name, free())?,
        endpoint: name.try_into().map_err(part("endpoint"))?,
        kind: backend.0,
        backend: backend.1,
        control: control.to_vec(),
        threads: THREADS,
        report_interval: Duration::from_millis(500),
    };
    agent::run(&settings, log.clone(), counters.clone()).map_err(part("agent"))
}

fn start_entry(
    n: usize,
    listen: SocketAddr,
    base: &Base,
    control: &[SocketAddr],
    log: &Logger,
    counters: &Counters,
) -> Result<entry::Handle, LocalError> {
    let settings = entry::Settings {
        common: base.common(&format!("entry-{n}"), listen)?,
        zone: "zone-0".try_into().map_err(part("zone"))?,
        control: control.to_vec(),
        threads: THREADS,
        shutdown_delay: Duration::ZERO,
    };
    entry::run(&settings, log.clone(), counters.clone()).map_err(part("entry"))
}
