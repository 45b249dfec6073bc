//! Follows the deployment by long poll, on a thread of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    AtomicUsize,
    Ordering, //
};
use std::thread;
use std::time::Duration;

use ids::{
    Clock,
    HostName,
    Incarnation,
    Monotonic,
    Tick, //
};
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use peer::{
    ControlClient,
    PeerError, //
};
use plan::{
    DeploymentSnapshot,
    Directory,
    Plan, //
};
use relay::{
    Input,
    View, //
};
use wire::{
    DeploymentRequest,
    DeploymentResponse,
    paths, //
};

use crate::adapter::ProtocolAdapter;
use crate::control::FrontInbox;
use crate::endpoint_list::Decoder;
use crate::settings::Settings;

/// How long a question may stay open at the control host.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// How long the whole call may take: the wait, and what a loaded control host needs.
const POLL_PATIENCE: Duration = Duration::from_millis(1300);
/// How long a question may stay open while the front follows nobody: enough for the host to have it
/// confirmed by the leader.
const EAGER_WAIT: Duration = Duration::from_millis(150);
/// How long the call may take while the front follows nobody: a host that does not answer at once
/// is passed over.
const EAGER_PATIENCE: Duration = Duration::from_millis(300);
/// A leader that did not answer is not sought for this long.
const AVOID: Duration = Duration::from_secs(4);
/// Pause after a round in which no control host answered.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Who follows, and by what.
pub(crate) struct Follow<D> {
    pub(crate) host: HostName,
    pub(crate) run: Incarnation,
    pub(crate) control: ControlClient,
    /// The settings file, read again when no control host answers.
    pub(crate) settings: PathBuf,
    pub(crate) decoder: Decoder<D>,
    pub(crate) inbox: FrontInbox,
    pub(crate) clock: Monotonic,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
    pub(crate) edition: u64,
    pub(crate) directory: u64,
    /// When the list that the control group last told of was read, in microseconds of the clock.
    pub(crate) listed: Arc<AtomicU64>,
    /// Most bytes of a request's body, as the plan says.
    pub(crate) body: Arc<AtomicUsize>,
    /// A leader that did not answer, and when; it is not sought for a while.
    pub(crate) avoided: Option<(SocketAddr, Tick)>,
    pub(crate) reached: bool,
}

impl<D: ProtocolAdapter> Follow<D> {
    /// Asks one control host after the other until one answers. None once the core has ended.
    pub(crate) fn turn(&mut self) -> Option<()> {
        for host in self.control.host_order(None) {
            let asked = self.clock.now();
            match self.ask(host) {
                Ok(answer) => {
                    self.follow_leader(host, answer.leader);
                    return self.take(asked, answer);
                }
                Err(fault) => {
                    self.avoided = Some((host, self.clock.now()));
                    self.miss(host, &fault);
                }
            }
        }
        self.reseed();
        thread::park_timeout(ROUND_PAUSE);
        Some(())
    }

    /// Asks the leader from now on, which has the list of endpoints, unless it did not answer
    /// lately.
    fn follow_leader(&self, host: SocketAddr, leader: Option<SocketAddr>) {
        let now = self.clock.now();
        let avoided = |leader: &SocketAddr| {
            let matches = |(host, at): (SocketAddr, Tick)| host == *leader && now.since(at) < AVOID;
            self.avoided.is_some_and(matches)
        };
        self.control
            .prefer(leader.filter(|leader| !avoided(leader)).unwrap_or(host));
    }

    fn ask(&mut self, host: SocketAddr) -> Result<DeploymentResponse, PeerError> {
        self.counters.count(Counter::ViewRequested);
        let eager = self.edition == 0 || !self.reached;
        let (wait, patience) = if eager {
            (EAGER_WAIT, EAGER_PATIENCE)
        } else {
            (POLL_WAIT, POLL_PATIENCE)
        };
        let ask = DeploymentRequest {
            host: self.host.clone(),
            incarnation: self.run,
            generation: self.edition,
            directory_version: self.directory,
            max_wait: wait,
        };
        self.control
            .call_host(host, paths::DEPLOYMENT, &ask, patience)
    }

    fn take(&mut self, asked: Tick, answer: DeploymentResponse) -> Option<()> {
        if !std::mem::replace(&mut self.reached, true) {
            event!(self.log, ControlReached);
        }
        self.control.set_hosts(answer.control_hosts);
        if let Some(age) = answer.directory_age {
            let read = (self.clock.now() - age).0;
            self.listed.fetch_max(read, Ordering::AcqRel);
        }
        if let Some(directory) = answer.directory {
            self.list(&directory, answer.directory_age.unwrap_or_default())?;
        }
        let content = match answer.snapshot.map(|copy| self.decode(copy)) {
            None => None,
            Some(Some((edition, content))) => {
                self.edition = edition;
                Some(content)
            }
            // What does not decode is not followed; the view runs out.
            Some(None) => {
                thread::park_timeout(ROUND_PAUSE);
                return Some(());
            }
        };
        let view = View {
            generation: self.edition,
            deployment: content,
            valid_until: asked + answer.ttl,
            fronts: usize::try_from(answer.subscribers).unwrap_or(usize::MAX),
            // The answer may have waited for news, so its time is that of its arrival.
            wall_clock: (answer.unix_ms, self.clock.now()),
            requested_at: asked,
        };
        self.inbox.send(Input::View(Box::new(view))).ok()
    }

    /// Hands a newer list of endpoints to the core. None once the core has ended.
    fn list(&mut self, directory: &Directory, age: Duration) -> Option<()> {
        match self.decoder.decode(&directory.pages) {
            Ok(mut list) => {
                self.directory = directory.version;
                for listing in &mut list {
                    listing.cold_remaining = listing.cold_remaining.saturating_sub(age);
                }
                self.inbox.send(Input::Endpoints(list)).ok()
            }
            Err(fault) => {
                event!(self.log, ListUnavailable, "fault" => fault);
                Some(())
            }
        }
    }

    fn decode(&self, copy: DeploymentSnapshot) -> Option<(u64, relay::Deployment)> {
        let plan = copy.document.map(|document| {
            let spec = self.decoder.adapter.parse_plan(&document.bytes)?;
            Plan::try_from(spec).map_err(|fault| fault.to_string())
        });
        match plan.transpose() {
            Ok(plan) => {
                if let Some(bounds) = plan.as_ref().and_then(Plan::limits) {
                    self.body.store(bounds.body_bytes, Ordering::Release);
                }
                Some((copy.generation, (plan.map(Arc::new), copy.closed)))
            }
            Err(fault) => {
                event!(self.log, ViewRejected, "edition" => copy.generation, "fault" => fault);
                None
            }
        }
    }

    fn miss(&mut self, host: SocketAddr, fault: &PeerError) {
        if std::mem::replace(&mut self.reached, false) {
            event!(self.log, ControlUnreachable,
                "control" => host.to_string(), "fault" => fault.to_string());
        }
    }

    /// Adds the control hosts that the settings name now.
    fn reseed(&mut self) {
        match Settings::try_from(self.settings.as_path()) {
            Ok(settings) => self.control.add_hosts(&settings.control),
            Err(fault) => event!(self.log, SettingsInvalid, "fault" => fault.to_string()),
        }
    }
}
