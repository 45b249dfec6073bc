//! A subscription to the configuration by long poll, on a dedicated thread.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use conf::Update;
use ids::{
    Clock,
    HostName,
    Incarnation,
    Revision,
    Tick, //
};
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use step::Worker;
use wire::{
    SubscriberKind,
    ViewRequest,
    ViewResponse,
    paths, //
};

use crate::call::{
    ControlClient,
    PeerError, //
};

/// How long a control host may hold a poll before it responds without a change.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1600);
/// Pause after a round in which no control host responded.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The subscribing process, as the control group identifies it.
#[derive(Clone, Debug)]
pub struct SubscriberIdentity {
    /// The host.
    pub host: HostName,
    /// Whether the process is an entry or an agent.
    pub kind: SubscriberKind,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
}

/// An update of the configuration, with the time until which it is valid.
#[derive(Clone, Debug)]
pub struct ViewUpdate {
    /// The update.
    pub update: Update,
    /// The time until which the process may use the configuration.
    pub valid_until: Tick,
}

/// A running subscription.
pub struct Subscriber(Worker);

impl Subscriber {
    /// Starts the thread. `deliver` passes an update to the core and returns the revision that the
    /// core has applied then, or `None` once the core has ended.
    ///
    /// # Errors
    ///
    /// The operating system's error if the thread cannot be started.
    pub fn start<K, F>(
        identity: SubscriberIdentity,
        control: ControlClient,
        clock: K,
        log: Logger,
        counters: Counters,
        deliver: F,
    ) -> io::Result<Self>
    where
        K: Clock + Send + 'static,
        F: FnMut(ViewUpdate) -> Option<Revision> + Send + 'static,
    {
        let name = format!("{}-follow", identity.host);
        let mut poller = Poller {
            identity,
            control,
            clock,
            log,
            counters,
            deliver,
            revision: Revision::default(),
            reachable: true,
        };
        Worker::start(&name, move || poller.poll()).map(Self)
    }

    /// Makes the thread end after the poll in flight, without waiting for the end.
    pub fn stop(&self) {
        self.0.stop();
    }

    /// Stops the thread and waits for its end, which takes at most as long as the poll in flight.
    pub fn close(self) {
        self.0.close();
    }
}

struct Poller<K, F> {
    identity: SubscriberIdentity,
    control: ControlClient,
    clock: K,
    log: Logger,
    counters: Counters,
    deliver: F,
    revision: Revision,
    reachable: bool,
}

impl<K: Clock, F: FnMut(ViewUpdate) -> Option<Revision>> Poller<K, F> {
    /// Polls one control host after the other until one responds. Returns `None` once the core has
    /// ended.
    fn poll(&mut self) -> Option<()> {
        for host in self.control.host_order(None) {
            let requested_at = self.clock.now();
            match self.request(host) {
                Ok(response) => return self.apply(requested_at, response),
                Err(error) => self.report_failure(host, &error),
            }
        }
        thread::park_timeout(RETRY_PAUSE);
        Some(())
    }

    fn request(&mut self, host: SocketAddr) -> Result<ViewResponse, PeerError> {
        self.counters.count(Counter::ViewRequested);
        let request = ViewRequest {
            host: self.identity.host.clone(),
            kind: self.identity.kind,
            incarnation: self.identity.incarnation,
            revision: self.revision,
            max_wait: POLL_WAIT,
        };
        self.control
            .call_host(host, paths::VIEW, &request, POLL_TIMEOUT)
    }

    /// Passes a response to the core. Its validity counts from the time of the request, so that the
    /// delay of the response does not prolong it.
    fn apply(&mut self, requested_at: Tick, response: ViewResponse) -> Option<()> {
        self.reachable = true;
        self.control.set_hosts(response.control_hosts);
        let view = ViewUpdate {
            update: response.update,
            valid_until: requested_at + response.ttl,
        };
        let offered = view.update.revision;
        let applied = (self.deliver)(view)?;
        if applied > self.revision {
            self.counters.count(Counter::ViewAdvanced);
            event!(self.log, ViewAdvanced, "revision" => applied.0);
        }
        if applied < offered {
            event!(self.log, ViewRejected, "offered" => offered.0, "held" => applied.0);
        }
        self.revision = applied;
        Some(())
    }

    /// Logs the first failure since the last response.
    fn report_failure(&mut self, host: SocketAddr, error: &PeerError) {
        if std::mem::replace(&mut self.reachable, false) {
            event!(self.log, ControlUnreachable,
                "control" => host.to_string(), "fault" => error.to_string());
        }
    }
}
