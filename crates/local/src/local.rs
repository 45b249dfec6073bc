//! Starts all roles and stand-ins, and stops them in order.

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
    reserve_address, //
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

/// Time that the plain service takes for a request.
const SERVICE_LATENCY: Duration = Duration::from_millis(5);
/// Timeout for a change to be applied by every process.
const APPLY_TIMEOUT: Duration = Duration::from_secs(60);
/// Traffic threads of each entry and agent; enough for the few concurrent requests of a demo.
const THREADS: usize = 64;

/// Numbers, addresses and settings of the roles and stand-ins to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address that the first entry listens on.
    pub listen: SocketAddr,
    /// The address that the first control host listens on; a free port if none.
    pub control_listen: Option<SocketAddr>,
    /// The data directory; a temporary one if none.
    pub data: Option<PathBuf>,
    /// Number of control hosts; preferably odd.
    pub controls: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines, each with its own agent.
    pub engines: usize,
    /// Speed and size of the simulated engines.
    pub profile: Profile,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// A back end to which all agents send requests, instead of the simulated engines and the plain
    /// service.
    pub backend: Option<SocketAddr>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: any_loopback_port(),
            control_listen: None,
            data: None,
            controls: 1,
            entries: 1,
            engines: 2,
            profile: Profile {
                warmup: Duration::from_millis(200),
                ..Profile::default()
            },
            usage_window: Duration::from_secs(60),
            backend: None,
        }
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Why the local system cannot be started.
#[derive(Debug)]
pub enum LocalError {
    /// An address is not a loopback address: the flag that sets it, and the address.
    NotLoopback(&'static str, SocketAddr),
    /// A file cannot be read or written.
    File(PathBuf, std::io::Error),
    /// A component cannot be started: its name and the reason.
    Component(&'static str, String),
    /// An operator's request to the control group failed, such as the first configuration.
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
            Self::File(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Component(name, error) => write!(f, "{name}: {error}"),
            Self::Setup(error) => write!(f, "setup: {error}"),
        }
    }
}

impl std::error::Error for LocalError {}

impl From<ops::OperatorError> for LocalError {
    fn from(error: ops::OperatorError) -> Self {
        Self::Setup(error)
    }
}

fn component_error<E: fmt::Display>(name: &'static str) -> impl Fn(E) -> LocalError {
    move |error| LocalError::Component(name, error.to_string())
}

/// A control host, with its settings for a restart.
struct ControlHost {
    settings: control::Settings,
    /// None while the host is stopped.
    handle: Option<control::Handle>,
}

/// A running local system.
pub struct LocalSystem {
    /// The operator's client of the control group.
    pub ops: OperatorClient,
    /// The simulated engines.
    pub engines: Vec<EngineHost>,
    /// The stand-in of a plain service.
    pub service: ServiceHost,
    /// The stand-in of the platform.
    pub platform: PlatformHost,
    /// The counters of all roles.
    pub counters: Counters,
    operator_key: Secret,
    log: Logger,
    controls: Vec<ControlHost>,
    agents: Vec<agent::Handle>,
    entries: Vec<entry::Handle>,
    /// The temporary data directory, removed by [`Self::close`].
    temp_dir: Option<TempDir>,
}

/// Settings that all roles share.
struct SharedSettings {
    data: PathBuf,
    cluster_secret: String,
    operator_key: Secret,
}

impl SharedSettings {
    fn common(&self, host: &str, listen: SocketAddr) -> Result<Common, LocalError> {
        Ok(Common {
            host: host.try_into().map_err(component_error("host"))?,
            cluster: "local".try_into().map_err(component_error("cluster"))?,
            secret: self.cluster_secret.clone(),
            listen,
            limits: Limits::default(),
            format: LogFormat::Terminal,
            statsd: None,
        })
    }
}

impl LocalSystem {
    /// Starts all roles and stand-ins, and applies a first configuration: a zone for every two
    /// engines, two accounts, two classes, a model route and a service route.
    ///
    /// # Errors
    ///
    /// [`LocalError`] with the component that could not be started.
    pub fn start(options: &Options, log: &Logger) -> Result<Self, LocalError> {
        let control_listen = options.control_listen.map(|address| ("--control", address));
        for (field, address) in [("--listen", options.listen)]
            .into_iter()
            .chain(control_listen)
        {
            if !address.ip().is_loopback() {
                return Err(LocalError::NotLoopback(field, address));
            }
        }
        let temp_dir = TempDir::new().map_err(component_error("temporary directory"))?;
        let data = options
            .data
            .clone()
            .unwrap_or_else(|| temp_dir.path().to_owned());
        let shared = shared_settings(&data)?;
        let counters = Counters::local();
        let platform =
            PlatformHost::start(any_loopback_port()).map_err(component_error("platform"))?;
        let controls = start_controls(options, &shared, platform.address(), log, &counters)?;
        let addresses: Vec<_> = controls
            .iter()
            .map(|host| host.settings.common.listen)
            .collect();
        let ops = OperatorClient::new(addresses.clone(), shared.operator_key.clone());
        join_controls(&ops, &shared, &addresses)?;
        let mut engines = Vec::new();
        let mut agents = Vec::new();
        for n in 0..options.engines {
            let engine = EngineHost::start(any_loopback_port(), options.profile, true)
                .map_err(component_error("engine"))?;
            let backend = (
                agent::BackendKind::Engine,
                options.backend.unwrap_or(engine.address()),
            );
            let name = format!("engine-{n}");
            agents.push(start_agent(
                &name, backend, &shared, &addresses, log, &counters,
            )?);
            engines.push(engine);
        }
        let service = ServiceHost::start(any_loopback_port(), SERVICE_LATENCY)
            .map_err(component_error("service"))?;
        let backend = (
            agent::BackendKind::Service,
            options.backend.unwrap_or(service.address()),
        );
        agents.push(start_agent(
            "service-0",
            backend,
            &shared,
            &addresses,
            log,
            &counters,
        )?);
        let mut entries = Vec::new();
        for n in 0..options.entries {
            let listen = if n == 0 {
                options.listen
            } else {
                any_loopback_port()
            };
            entries.push(start_entry(n, listen, &shared, &addresses, log, &counters)?);
        }
        let local = Self {
            ops,
            engines,
            service,
            platform,
            counters,
            operator_key: shared.operator_key,
            log: log.clone(),
            controls,
            agents,
            entries,
            temp_dir: options.data.is_none().then_some(temp_dir),
        };
        let revision = local
            .ops
            .propose_on_latest(&local.first_configuration(options)?)?;
        local.wait_applied(revision)?;
        Ok(local)
    }

    /// The address of the first entry.
    pub fn entry_address(&self) -> SocketAddr {
        self.entry_address_at(0)
    }

    /// The address of an entry.
    pub fn entry_address_at(&self, n: usize) -> SocketAddr {
        self.entries[n].address()
    }

    /// The addresses of the control hosts.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls
            .iter()
            .map(|host| host.settings.common.listen)
            .collect()
    }

    /// The operator's key.
    pub fn operator_key(&self) -> &Secret {
        &self.operator_key
    }

    /// Creates a key for an account and waits until every process has applied the change.
    ///
    /// # Errors
    ///
    /// [`LocalError::Setup`] if the control group rejects the request or the wait times out.
    pub fn new_key(&self, account: &str) -> Result<(GrantName, Secret), LocalError> {
        let name = format!("{account}-{:08x}", rand::random::<u32>());
        let created = self.ops.new_key(&NewKey {
            name: name.as_str().try_into().map_err(component_error("key"))?,
            account: account.try_into().map_err(component_error("account"))?,
            class: None,
        })?;
        self.wait_applied(created.revision)?;
        Ok((
            created.name,
            created.key.parse().map_err(component_error("key"))?,
        ))
    }

    /// Withdraws a key and waits until every process has applied the change.
    ///
    /// # Errors
    ///
    /// [`LocalError::Setup`] if the control group rejects the request or the wait times out.
    pub fn withdraw(&self, name: &GrantName) -> Result<(), LocalError> {
        self.wait_applied(
            self.ops
                .propose_on_latest(&[Change::WithdrawGrant(name.clone())])?,
        )
    }

    /// Waits until every process has applied a revision.
    ///
    /// # Errors
    ///
    /// [`LocalError::Setup`] if the control group rejects the request or the wait times out.
    pub fn wait_applied(&self, revision: Revision) -> Result<(), LocalError> {
        Ok(self.ops.wait_applied(revision, APPLY_TIMEOUT)?)
    }

    /// Stops a control host gracefully.
    pub fn stop_control(&mut self, n: usize) {
        if let Some(handle) = self.controls[n].handle.take() {
            handle.close();
        }
    }

    /// Restarts a stopped control host from its disk.
    ///
    /// # Errors
    ///
    /// [`LocalError::Component`] if the host cannot be started.
    pub fn start_control(&mut self, n: usize) -> Result<(), LocalError> {
        let host = &mut self.controls[n];
        let handle = control::run(&host.settings, self.log.clone(), self.counters.clone());
        host.handle = Some(handle.map_err(component_error("control"))?);
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

    /// Stops all roles and stand-ins, entries first and back ends last, so that open requests
    /// complete.
    pub fn close(self) {
        self.entries.into_iter().for_each(entry::Handle::close);
        self.agents.into_iter().for_each(agent::Handle::close);
        let handles = self.controls.into_iter().filter_map(|host| host.handle);
        handles.for_each(control::Handle::close);
        self.engines.into_iter().for_each(EngineHost::close);
        self.service.close();
        self.platform.close();
        if let Some(temp_dir) = self.temp_dir {
            let _ = temp_dir.close();
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
        rows.map(|row| serde_json::from_value(row).map_err(component_error("configuration")))
            .collect()
    }
}

/// Reads the cluster's secret and the operator's key from the data directory, or generates them.
fn shared_settings(data: &Path) -> Result<SharedSettings, LocalError> {
    fs::create_dir_all(data).map_err(|error| LocalError::File(data.to_owned(), error))?;
    let cluster_secret = read_or_create(&data.join("secret"), || {
        Secret::generate().reveal().to_owned()
    })?;
    let operator_key = read_or_create(&data.join("operator.key"), || {
        Secret::generate().reveal().to_owned()
    })?;
    Ok(SharedSettings {
        data: data.to_owned(),
        cluster_secret,
        operator_key: operator_key
            .parse()
            .map_err(component_error("operator.key"))?,
    })
}

/// Reads a file, or creates it with generated content.
fn read_or_create(path: &Path, create: impl FnOnce() -> String) -> Result<String, LocalError> {
    let file_error = |error| LocalError::File(path.to_owned(), error);
    if path.exists() {
        return Ok(fs::read_to_string(path)
            .map_err(file_error)?
            .trim()
            .to_owned());
    }
    let text = create();
    fs::write(path, &text).map_err(file_error)?;
    Ok(text)
}

fn start_controls(
    options: &Options,
    shared: &SharedSettings,
    platform: SocketAddr,
    log: &Logger,
    counters: &Counters,
) -> Result<Vec<ControlHost>, LocalError> {
    let digest = DigestKey::derive(&shared.cluster_secret).digest(&shared.operator_key);
    let mut hosts = Vec::new();
    for n in 0..options.controls {
        let listen = match options.control_listen.filter(|_| n == 0) {
            Some(address) => address,
            None => reserve_address().map_err(component_error("port"))?,
        };
        let data_dir = shared.data.join(format!("control-{n}"));
        let settings = control::Settings {
            common: shared.common(&format!("control-{n}"), listen)?,
            advertise: None,
            data_dir: Some(data_dir.clone()),
            operators: vec![Operator {
                name: "local".try_into().map_err(component_error("operator"))?,
                digest,
            }],
            platform: Some(platform),
            usage_window: options.usage_window,
            bounds: Default::default(),
            plan: None,
        };
        if !data_dir.exists() {
            let mode = if n == 0 {
                control::InitMode::Bootstrap
            } else {
                control::InitMode::Join
            };
            control::init(&settings, mode).map_err(component_error("control"))?;
        }
        let handle = control::run(&settings, log.clone(), counters.clone());
        hosts.push(ControlHost {
            settings,
            handle: Some(handle.map_err(component_error("control"))?),
        });
    }
    Ok(hosts)
}

/// Adds the control hosts after the first to the group, one by one.
fn join_controls(
    ops: &OperatorClient,
    shared: &SharedSettings,
    addresses: &[SocketAddr],
) -> Result<(), LocalError> {
    for (n, address) in addresses.iter().enumerate().skip(1) {
        let is_member =
            |host: &wire::StatusResponse| host.members.iter().any(|m| m.address == *address);
        if ops.status()?.iter().any(is_member) {
            continue;
        }
        let path = shared.data.join(format!("control-{n}")).join("identity");
        let id = fs::read_to_string(&path).map_err(|error| LocalError::File(path, error))?;
        let id: u64 = id.trim().parse().map_err(component_error("identity"))?;
        let member = NewMember {
            id: format!("{id:016x}"),
            host: format!("control-{n}")
                .as_str()
                .try_into()
                .map_err(component_error("host"))?,
            address: *address,
        };
        add_member(ops, &member)?;
        wait_until_voter(ops, *address)?;
    }
    Ok(())
}

/// Waits until an added member has caught up and has been promoted to voter.
fn wait_until_voter(ops: &OperatorClient, address: SocketAddr) -> Result<(), LocalError> {
    let is_voter = |host: &wire::StatusResponse| {
        let member = host.members.iter().find(|m| m.address == address);
        member.is_some_and(|m| m.stage == agree::Stage::Voter)
    };
    while !ops.status()?.iter().any(is_voter) {
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// Adds a member; retries while the previous membership change is in progress.
fn add_member(ops: &OperatorClient, member: &NewMember) -> Result<(), LocalError> {
    const MAX_ATTEMPTS: usize = 100;
    for _ in 0..MAX_ATTEMPTS {
        match ops.add_member(member) {
            Err(ops::OperatorError::Rejected(409, _)) => {
                std::thread::sleep(Duration::from_millis(100))
            }
            result => return Ok(result?),
        }
    }
    Ok(ops.add_member(member)?)
}

fn start_agent(
    name: &str,
    backend: (agent::BackendKind, SocketAddr),
    shared: &SharedSettings,
    control: &[SocketAddr],
    log: &Logger,
    counters: &Counters,
) -> Result<agent::Handle, LocalError> {
    let settings = agent::Settings {
        common: shared.common(name, any_loopback_port())?,
        endpoint: name.try_into().map_err(component_error("endpoint"))?,
        kind: backend.0,
        backend: backend.1,
        control: control.to_vec(),
        threads: THREADS,
        report_interval: Duration::from_millis(500),
    };
    agent::run(&settings, log.clone(), counters.clone()).map_err(component_error("agent"))
}

fn start_entry(
    n: usize,
    listen: SocketAddr,
    shared: &SharedSettings,
    control: &[SocketAddr],
    log: &Logger,
    counters: &Counters,
) -> Result<entry::Handle, LocalError> {
    let settings = entry::Settings {
        common: shared.common(&format!("entry-{n}"), listen)?,
        zone: "zone-0".try_into().map_err(component_error("zone"))?,
        control: control.to_vec(),
        threads: THREADS,
        shutdown_delay: Duration::ZERO,
    };
    entry::run(&settings, log.clone(), counters.clone()).map_err(component_error("entry"))
}
