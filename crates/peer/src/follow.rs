//! Follows the configuration by long poll, on a thread of its own.

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
    Side,
    ViewAnswer,
    ViewAsk,
    paths, //
};

use crate::call::{
    ControlClient,
    PeerError, //
};

/// How long a question may stay open at the control host.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// How long the whole call may take.
const POLL_PATIENCE: Duration = Duration::from_millis(1600);
/// Pause after a control host that did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Who follows.
#[derive(Clone, Debug)]
pub struct SubscriberIdentity {
    /// The host.
    pub host: HostName,
    /// What it is.
    pub side: Side,
    /// Its run.
    pub incarnation: Incarnation,
}

/// An update to be taken, and until when it is good.
#[derive(Clone, Debug)]
pub struct ViewUpdate {
    /// The update.
    pub update: Update,
    /// Until when the process may go by it.
    pub valid_until: Tick,
}

/// A running follower.
pub struct Subscriber(Worker);

impl Subscriber {
    /// Starts to follow. `deliver` hands an update to the core and returns the revision that the
    /// core holds then, or none once the core has ended.
    ///
    /// # Errors
    ///
    /// The operating system's, if no thread can be started.
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
        let mut follow = Follow {
            identity,
            control,
            clock,
            log,
            counters,
            deliver,
            revision: Revision::default(),
            reached: true,
        };
        Worker::start(&name, move || follow.turn()).map(Self)
    }

    /// Asks the follower to end after the question that is open.
    pub fn stop(&self) {
        self.0.stop();
    }

    /// Stops following. Takes as long as an open question at most.
    pub fn close(self) {
        self.0.close();
    }
}

struct Follow<K, F> {
    identity: SubscriberIdentity,
    control: ControlClient,
    clock: K,
    log: Logger,
    counters: Counters,
    deliver: F,
    revision: Revision,
    reached: bool,
}

impl<K: Clock, F: FnMut(ViewUpdate) -> Option<Revision>> Follow<K, F> {
    /// Asks one control host after the other until one answers. None once the core has ended.
    fn turn(&mut self) -> Option<()> {
        for host in self.control.host_order(None) {
            let asked = self.clock.now();
            match self.ask(host) {
                Ok(answer) => return self.take(asked, answer),
                Err(fault) => self.miss(host, &fault),
            }
        }
        thread::park_timeout(RETRY_PAUSE);
        Some(())
    }

    fn ask(&mut self, host: SocketAddr) -> Result<ViewAnswer, PeerError> {
        self.counters.count(Counter::ViewAsked);
        let ask = ViewAsk {
            host: self.identity.host.clone(),
            side: self.identity.side,
            run: self.identity.incarnation,
            revision: self.revision,
            wait: POLL_WAIT,
        };
        self.control
            .call_host(host, paths::VIEW, &ask, POLL_PATIENCE)
    }

    fn take(&mut self, asked: Tick, answer: ViewAnswer) -> Option<()> {
        self.reached = true;
        self.control.set_hosts(answer.hosts);
        let viewed = ViewUpdate {
            update: answer.update,
            valid_until: asked + answer.fresh,
        };
        let offered = viewed.update.revision;
        let held = (self.deliver)(viewed)?;
        if held > self.revision {
            self.counters.count(Counter::ViewAdvanced);
            event!(self.log, ViewAdvanced, "revision" => held.0);
        }
        if held < offered {
            event!(self.log, ViewRefused, "offered" => offered.0, "held" => held.0);
        }
        self.revision = held;
        Some(())
    }

    fn miss(&mut self, host: SocketAddr, fault: &PeerError) {
        if std::mem::replace(&mut self.reached, false) {
            event!(self.log, ControlUnreachable,
                "control" => host.to_string(), "fault" => fault.to_string());
        }
    }
}
