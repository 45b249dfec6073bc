//! Fetches the deployment and the directory from the control group by long poll, on a dedicated
//! thread.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{
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
    PeerError,
    distributor_order, //
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
use crate::listing::{
    ListingDecoder,
    ListingTimes, //
};
use crate::settings::Settings;

/// How long a control host may hold a request until a newer deployment or directory exists.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// Timeout of a request: [`POLL_WAIT`], plus the time that a loaded control host needs to respond.
const POLL_TIMEOUT: Duration = Duration::from_millis(1300);
/// How long a control host may hold a request while the front has no deployment or its last poll
/// failed: enough for the control host to confirm its state with the leader.
const RECONNECT_WAIT: Duration = Duration::from_millis(150);
/// Timeout of a request while the front has no deployment or its last poll failed. It is short so
/// that the front tries the next control host soon.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a control host that failed to respond is polled after all others.
const FAILURE_BACKOFF: Duration = Duration::from_secs(4);
/// Pause after a round in which no control host responded.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Polls the deployment and sends it to the core.
pub(crate) struct DeploymentPoller<A> {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
    pub(crate) control: ControlClient,
    /// The settings file. It is read again when no control host responds.
    pub(crate) settings: PathBuf,
    pub(crate) decoder: ListingDecoder<A>,
    pub(crate) inbox: FrontInbox,
    pub(crate) clock: Monotonic,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
    /// Generation of the deployment in use; 0 if there is none.
    pub(crate) generation: u64,
    /// Version of the directory in use; 0 if there is none.
    pub(crate) directory_version: u64,
    /// Version of the quarantine last received; 0 if there is none.
    pub(crate) quarantine_version: u64,
    pub(crate) listing_times: ListingTimes,
    /// Version of the stages of rollouts last received; 0 if there is none.
    pub(crate) rollout_version: u64,
    /// Maximum size of a request's body in bytes, according to the plan.
    pub(crate) body_limit: Arc<AtomicUsize>,
    /// The availability zone of this front.
    pub(crate) zone: String,
    /// The client that reports usage. It calls the host that the last poll reached.
    pub(crate) usage_control: ControlClient,
    /// The control processes that distribute the deployment, in the order in which they are polled.
    pub(crate) distributors: Vec<SocketAddr>,
    /// When control hosts failed to respond.
    pub(crate) failed_hosts: HashMap<SocketAddr, Tick>,
    /// Whether the last request succeeded.
    pub(crate) reachable: bool,
}

impl<A: ProtocolAdapter> DeploymentPoller<A> {
    /// Sends requests to one control host after the other until one responds. Returns
    /// `None` once the core has ended.
    pub(crate) fn step(&mut self) -> Option<()> {
        for host in self.poll_order() {
            let requested_at = self.clock.now();
            match self.request(host) {
                Ok(response) => {
                    self.failed_hosts.remove(&host);
                    return self.apply(requested_at, host, response);
                }
                Err(error) => {
                    self.failed_hosts.insert(host, self.clock.now());
                    self.report_unreachable(host, &error);
                }
            }
        }
        self.reload_control_hosts();
        thread::park_timeout(ROUND_PAUSE);
        Some(())
    }

    /// The control hosts in the order in which they are polled: the distributors, then the other
    /// hosts; those that recently did not respond come last.
    fn poll_order(&mut self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        self.failed_hosts
            .retain(|_, at| now.since(*at) < FAILURE_BACKOFF);
        let mut order = self.distributors.clone();
        for host in self.control.host_order(None) {
            if !order.contains(&host) {
                order.push(host);
            }
        }
        order.sort_by_key(|host| self.failed_hosts.contains_key(host));
        order
    }

    /// Sends one request to a control host.
    fn request(&mut self, host: SocketAddr) -> Result<DeploymentResponse, PeerError> {
        self.counters.count(Counter::ViewRequested);
        let reconnecting = self.generation == 0 || !self.reachable;
        let (wait, timeout) = if reconnecting {
            (RECONNECT_WAIT, RECONNECT_TIMEOUT)
        } else {
            (POLL_WAIT, POLL_TIMEOUT)
        };
        let request = DeploymentRequest {
            host: self.host.clone(),
            incarnation: self.incarnation,
            generation: self.generation,
            directory_version: self.directory_version,
            max_wait: wait,
            quarantine_version: self.quarantine_version,
            rollout_version: self.rollout_version,
        };
        self.control
            .call_host(host, paths::DEPLOYMENT, &request, timeout)
    }

    /// Applies a response. Returns `None` once the core has ended.
    fn apply(
        &mut self,
        requested_at: Tick,
        host: SocketAddr,
        response: DeploymentResponse,
    ) -> Option<()> {
        if !std::mem::replace(&mut self.reachable, true) {
            event!(self.log, ControlReached);
        }
        self.distributors = distributor_order(&self.host, &self.zone, &response.distributors);
        let members = response.control_hosts.iter().copied();
        let others = members.filter(|member| *member != host);
        self.usage_control
            .set_hosts(std::iter::once(host).chain(others).collect());
        self.usage_control.prefer(host);
        self.control.set_hosts(response.control_hosts);
        // The core must know an order before it sees the endpoints of the new version.
        if let Some(stages) = response.rollouts {
            self.rollout_version = stages.version;
            self.inbox.send(Input::Stages(stages)).ok()?;
        }
        let readable = match response.directory {
            Some(directory) => {
                self.send_endpoints(&directory, response.directory_age.unwrap_or_default())?
            }
            None => true,
        };
        if let Some(age) = response.directory_age.filter(|_| readable) {
            self.listing_times.record_supplied(self.clock.now() - age);
        }
        let deployment = match response.snapshot.map(|snapshot| self.decode(snapshot)) {
            None => None,
            Some(Some((generation, deployment))) => {
                self.generation = generation;
                Some(deployment)
            }
            // An invalid deployment is not applied, and the current view is not renewed, so it
            // expires.
            Some(None) => {
                thread::park_timeout(ROUND_PAUSE);
                return Some(());
            }
        };
        if let Some(quarantine) = &response.quarantine {
            self.quarantine_version = quarantine.version();
        }
        let view = View {
            generation: self.generation,
            deployment,
            valid_until: requested_at + response.ttl,
            fronts: usize::try_from(response.subscribers).unwrap_or(usize::MAX),
            // The control host may have held the request, so its wall clock matches the time at
            // which the response arrived, not the time of the request.
            wall_clock: (response.unix_ms, self.clock.now()),
            requested_at,
            quarantine: response.quarantine.map(Arc::new),
        };
        self.inbox.send(Input::View(Box::new(view))).ok()?;
        if !readable {
            // The control host sends the directory again at once.
            thread::park_timeout(ROUND_PAUSE);
        }
        Some(())
    }

    /// Sends the endpoints of a newer directory to the core. Returns whether the directory could be
    /// read, and `None` once the core has ended. A directory that could not be read does not count
    /// as supplied, so that the front reads the listing itself once the last one is too old. `age` is
    /// the time since the control group read the directory; it is subtracted from the remaining cold
    /// time.
    fn send_endpoints(&mut self, directory: &Directory, age: Duration) -> Option<bool> {
        match self.decoder.decode(&directory.pages) {
            Ok(mut endpoints) => {
                self.directory_version = directory.version;
                for endpoint in &mut endpoints {
                    endpoint.cold_remaining = endpoint.cold_remaining.saturating_sub(age);
                }
                self.inbox.send(Input::Endpoints(endpoints)).ok()?;
                Some(true)
            }
            Err(error) => {
                event!(self.log, ListingUnavailable, "fault" => error);
                Some(false)
            }
        }
    }

    /// Decodes a deployment. Logs an invalid deployment and returns `None`.
    fn decode(&self, snapshot: DeploymentSnapshot) -> Option<(u64, relay::Deployment)> {
        let plan = snapshot.document.map(|document| {
            let spec = self.decoder.adapter.parse_plan(&document.bytes)?;
            Plan::try_from(spec).map_err(|error| error.to_string())
        });
        match plan.transpose() {
            Ok(plan) => {
                if let Some(limits) = plan.as_ref().and_then(Plan::limits) {
                    self.body_limit.store(limits.body_bytes, Ordering::Release);
                }
                Some((snapshot.generation, (plan.map(Arc::new), snapshot.closed)))
            }
            Err(error) => {
                event!(self.log, ViewRejected, "edition" => snapshot.generation, "fault" => error);
                None
            }
        }
    }

    /// Logs that a control host did not respond, if the previous request succeeded.
    fn report_unreachable(&mut self, host: SocketAddr, error: &PeerError) {
        if std::mem::replace(&mut self.reachable, false) {
            event!(self.log, ControlUnreachable,
                "control" => host.to_string(), "fault" => error.to_string());
        }
    }

    /// Adds the control hosts in the current settings file.
    fn reload_control_hosts(&mut self) {
        match Settings::try_from(self.settings.as_path()) {
            Ok(settings) => self.control.add_hosts(&settings.control),
            Err(error) => event!(self.log, SettingsInvalid, "fault" => error.to_string()),
        }
    }
}
