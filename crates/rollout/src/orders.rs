//! The replicated orders.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::evidence::Seen;
use crate::order::{
    Exposure,
    Order,
    OrderRequest,
    Stage,
    Stages,
    State, //
};

/// Orders above which the oldest ended one is dropped. Each service has at most one.
const MAX_ORDERS: usize = 1024;

/// A change of the orders, as stored in the log. Variants are stored by name.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Accepts an order, unless one for the service runs.
    Open {
        /// The service.
        service: String,
        /// The version that the service's requests are moved to.
        version: String,
        /// The time from the order to its deadline, in milliseconds.
        duration_ms: u64,
    },
    /// Sets the exposure of a running order, or only records the time since the order.
    Step {
        /// The order's id.
        id: u64,
        /// The new exposure.
        exposure: Exposure,
        /// The time since the order, in milliseconds.
        elapsed_ms: u64,
        /// What the leader knew.
        #[serde(default)]
        seen: Seen,
    },
    /// Ends a running order.
    End {
        /// The order's id.
        id: u64,
        /// Whether the new version serves all requests from now on.
        done: bool,
    },
}

impl From<OrderRequest> for Change {
    fn from(request: OrderRequest) -> Self {
        Self::Open {
            service: request.service().to_owned(),
            version: request.version().to_owned(),
            duration_ms: u64::try_from(request.duration().as_millis())
                .unwrap_or(u64::MAX)
                .max(1),
        }
    }
}

/// The effect of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The order was accepted with this id.
    Opened(u64),
    /// An order for the service runs.
    InProgress,
    /// The exposure of this order changed.
    Stepped(u64),
    /// This order ended.
    Ended(u64, State),
    /// The exposure and the state of all orders are as before.
    Unchanged,
}

/// An order with its progress.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    /// The order.
    pub order: Order,
    /// The part of the requests that the new version gets.
    pub exposure: Exposure,
    /// The time from the order to its deadline, in milliseconds.
    pub duration_ms: u64,
    /// The time since the order when its last step was decided, in milliseconds.
    pub elapsed_ms: u64,
    /// The time from the order to the last change of the exposure, in milliseconds.
    pub stepped_ms: u64,
    /// What the leaders knew at its steps.
    #[serde(default)]
    pub seen: Seen,
}

impl Progress {
    /// The time from the order to its deadline.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// Whether the order runs.
    pub fn running(&self) -> bool {
        !self.order.state.ended()
    }
}

/// The newest order of each service.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Orders {
    /// Incremented by each change of a [`Stage`].
    version: u64,
    last_id: u64,
    list: BTreeMap<String, Progress>,
}

impl Orders {
    /// The version of the stages: initially 0, incremented by each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The newest order of each service.
    pub fn list(&self) -> impl Iterator<Item = &Progress> {
        self.list.values()
    }

    /// The newest order of a service.
    pub fn of_service(&self, service: &str) -> Option<&Progress> {
        self.list.get(service)
    }

    /// An order, if it is the newest one of its service.
    pub fn get(&self, id: u64) -> Option<&Progress> {
        self.list().find(|progress| progress.order.id == id)
    }

    /// Applies a change. A change of an order that has ended, or was replaced, has no effect.
    pub fn apply(&mut self, change: Change) -> Effect {
        match change {
            Change::Open {
                service,
                version,
                duration_ms,
            } => self.open(service, version, duration_ms),
            Change::Step {
                id,
                exposure,
                elapsed_ms,
                seen,
            } => self.step(id, exposure, elapsed_ms, seen),
            Change::End { id, done } => self.end(id, done),
        }
    }

    fn open(&mut self, service: String, version: String, duration_ms: u64) -> Effect {
        if self.of_service(&service).is_some_and(Progress::running) {
            return Effect::InProgress;
        }
        self.last_id += 1;
        self.version += 1;
        let order = Order {
            id: self.last_id,
            service: service.clone(),
            version,
            state: State::Running,
        };
        let progress = Progress {
            order,
            exposure: Exposure::None,
            duration_ms,
            elapsed_ms: 0,
            stepped_ms: 0,
            seen: Seen::default(),
        };
        self.list.insert(service, progress);
        if self.list.len() > MAX_ORDERS {
            let ended = self.list().filter(|progress| !progress.running());
            let oldest = ended.min_by_key(|progress| progress.order.id);
            let oldest = oldest.map(|progress| progress.order.service.clone());
            oldest.and_then(|service| self.list.remove(&service));
        }
        Effect::Opened(self.last_id)
    }

    fn step(&mut self, id: u64, exposure: Exposure, elapsed_ms: u64, seen: Seen) -> Effect {
        let Some(progress) = self.running(id) else {
            return Effect::Unchanged;
        };
        progress.elapsed_ms = progress.elapsed_ms.max(elapsed_ms);
        progress.seen = progress.seen.or(seen);
        if progress.exposure == exposure {
            return Effect::Unchanged;
        }
        progress.exposure = exposure;
        progress.stepped_ms = progress.elapsed_ms;
        self.version += 1;
        Effect::Stepped(id)
    }

    fn end(&mut self, id: u64, done: bool) -> Effect {
        let Some(progress) = self.running(id) else {
            return Effect::Unchanged;
        };
        let (state, exposure) = match done {
            true => (State::Done, Exposure::All),
            false => (State::RolledBack, Exposure::None),
        };
        progress.order.state = state;
        progress.exposure = exposure;
        self.version += 1;
        Effect::Ended(id, state)
    }

    fn running(&mut self, id: u64) -> Option<&mut Progress> {
        let mut list = self.list.values_mut();
        list.find(|progress| progress.order.id == id && progress.running())
    }

    /// What fronts need of the orders.
    pub fn stages(&self) -> Stages {
        let stage = |progress: &Progress| Stage {
            id: progress.order.id,
            service: progress.order.service.clone(),
            version: progress.order.version.clone(),
            exposure: progress.exposure,
        };
        Stages {
            version: self.version,
            stages: self.list().map(stage).collect(),
        }
    }
}
