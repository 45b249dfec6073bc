//! The plan aggregate and its rules.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::fmt;
use std::time::Duration;

use ids::{
    AccountId,
    RouteId,
    ServiceId, //
};
use slotmap::SlotMap;

use crate::spec::{
    Bounds,
    Cold,
    Model,
    PlanSpec,
    Repeat,
    RouteSpec, //
};

/// Why a plan breaks its rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// A route sends to a service that the plan does not have: route, service.
    UnknownService(String, String),
    /// Two routes have the same host and prefix: host, prefix.
    SamePlace(String, String),
    /// A route's weights add up to nothing: route.
    NoWeight(String),
    /// A route's timeout is zero: route.
    NoTimeout(String),
    /// Two accounts share a key: the accounts.
    SharedKey(String, String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownService(route, service) => {
                write!(
                    f,
                    "route {route:?} sends to service {service:?}, which the plan does not have"
                )
            }
            Self::SamePlace(host, prefix) => {
                write!(f, "two routes have host {host:?} and prefix {prefix:?}")
            }
            Self::NoWeight(route) => write!(f, "the weights of route {route:?} add up to 0"),
            Self::NoTimeout(route) => write!(f, "the timeout of route {route:?} is 0"),
            Self::SharedKey(one, other) => write!(f, "accounts {one:?} and {other:?} share a key"),
        }
    }
}

impl std::error::Error for PlanError {}

/// A service of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one endpoint accepts from all callers together.
    pub connections: u32,
    /// What a cold endpoint bears.
    pub cold: Option<Cold>,
    /// Its model engines.
    pub model: Option<Model>,
}

/// A route of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// What may be done twice.
    pub repeat: Repeat,
    /// The longest time that a request may be kept waiting for its whole answer.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub target: Duration,
    /// The longest pause between events that is on time.
    pub pause: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// The services that answer, with weights of at least 1.
    pub shares: Vec<(ServiceId, u32)>,
    /// Endpoints that one request may run on.
    pub attempts: u32,
    /// Whether no key is needed.
    pub open: bool,
}

/// An account of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
}

/// A plan whose rules hold.
#[derive(Clone, Debug)]
pub struct Plan {
    version: u64,
    services: SlotMap<ServiceId, Service>,
    routes: SlotMap<RouteId, Route>,
    accounts: SlotMap<AccountId, Account>,
    /// Routes of a host, longest prefix first.
    places: HashMap<String, Vec<(String, RouteId)>>,
    keys: HashMap<String, AccountId>,
    keyed: bool,
    bounds: Option<Bounds>,
}

impl Plan {
    /// The version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send, if the plan says so.
    pub fn bounds(&self) -> Option<Bounds> {
        self.bounds
    }

    /// Whether routes that are not open need a key.
    pub fn keyed(&self) -> bool {
        self.keyed
    }

    /// The route of a request: the longest prefix among the host's routes.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteId> {
        let places = self.places.get(host)?;
        places
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix.as_str()))
            .map(|(_, route)| *route)
    }

    /// The account that a key stands for.
    pub fn holder(&self, key: &str) -> Option<AccountId> {
        self.keys.get(key).copied()
    }

    /// A route of this plan.
    pub fn route(&self, id: RouteId) -> Option<&Route> {
        self.routes.get(id)
    }

    /// A service of this plan.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// An account of this plan.
    pub fn account(&self, id: AccountId) -> Option<&Account> {
        self.accounts.get(id)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    fn add_route(
        &mut self,
        spec: RouteSpec,
        names: &BTreeMap<String, ServiceId>,
    ) -> Result<(), PlanError> {
        if spec.timeout.is_zero() {
            return Err(PlanError::NoTimeout(spec.name));
        }
        let mut shares = Vec::with_capacity(spec.shares.len());
        for share in &spec.shares {
            let Some(id) = names.get(&share.service) else {
                return Err(PlanError::UnknownService(spec.name, share.service.clone()));
            };
            if share.weight > 0 {
                shares.push((*id, share.weight));
            }
        }
        if shares.is_empty() {
            return Err(PlanError::NoWeight(spec.name));
        }
        let places = self.places.entry(spec.host.clone()).or_default();
        if places.iter().any(|(prefix, _)| *prefix == spec.prefix) {
            return Err(PlanError::SamePlace(spec.host, spec.prefix));
        }
        let id = self.routes.insert(Route {
            name: spec.name,
            repeat: spec.repeat,
            timeout: spec.timeout,
            target: spec.target,
            pause: spec.pause,
            rank: spec.rank,
            shares,
            attempts: spec.attempts.max(1),
            open: spec.open,
        });
        places.push((spec.prefix, id));
        Ok(())
    }
}

impl TryFrom<PlanSpec> for Plan {
    type Error = PlanError;

    fn try_from(spec: PlanSpec) -> Result<Self, PlanError> {
        let mut plan = Self {
            version: spec.version,
            services: SlotMap::with_key(),
            routes: SlotMap::with_key(),
            accounts: SlotMap::with_key(),
            places: HashMap::new(),
            keys: HashMap::new(),
            keyed: spec.accounts.is_some(),
            bounds: spec.bounds,
        };
        let mut names = BTreeMap::new();
        for service in spec.services {
            let id = plan.services.insert(Service {
                name: service.name.clone(),
                connections: service.connections,
                cold: service.cold,
                model: service.model,
            });
            names.insert(service.name, id);
        }
        for route in spec.routes {
            plan.add_route(route, &names)?;
        }
        for places in plan.places.values_mut() {
            places.sort_by(|(a, _), (b, _)| b.len().cmp(&a.len()).then_with(|| a.cmp(b)));
        }
        for account in spec.accounts.unwrap_or_default() {
            let id = plan.accounts.insert(Account {
                name: account.name.clone(),
                rank: account.rank,
            });
            for key in account.keys {
                match plan.keys.insert(key, id) {
                    Some(other) if other != id => {
                        let other = plan.accounts[other].name.clone();
                        return Err(PlanError::SharedKey(other, account.name));
                    }
                    _ => {}
                }
            }
        }
        Ok(plan)
    }
}
