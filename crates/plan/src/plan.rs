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
    ClientLimits,
    ColdStart,
    EngineLimits,
    PlanSpec,
    RetryPolicy,
    RouteSpec, //
};

/// Why a plan breaks its rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// A route sends to a service that the plan does not have: route, service.
    UnknownService(String, String),
    /// Two routes have the same host and prefix: host, prefix.
    DuplicatePrefix(String, String),
    /// A route's weights add up to nothing: route.
    ZeroWeight(String),
    /// A route's timeout is zero: route.
    ZeroTimeout(String),
    /// Two accounts share a key: the accounts.
    DuplicateKey(String, String),
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
            Self::DuplicatePrefix(host, prefix) => {
                write!(f, "two routes have host {host:?} and prefix {prefix:?}")
            }
            Self::ZeroWeight(route) => write!(f, "the weights of route {route:?} add up to 0"),
            Self::ZeroTimeout(route) => write!(f, "the timeout of route {route:?} is 0"),
            Self::DuplicateKey(one, other) => {
                write!(f, "accounts {one:?} and {other:?} share a key")
            }
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
    pub cold_start: Option<ColdStart>,
    /// Its model engines.
    pub engine: Option<EngineLimits>,
}

/// A route of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// What may be done twice.
    pub retry: RetryPolicy,
    /// The longest time that a request may be kept waiting for its whole answer.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub latency_target: Duration,
    /// The longest pause between events that is on time.
    pub event_gap: Duration,
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
    prefixes: HashMap<String, Vec<(String, RouteId)>>,
    keys: HashMap<String, AccountId>,
    requires_key: bool,
    limits: Option<ClientLimits>,
}

impl Plan {
    /// The version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send, if the plan says so.
    pub fn limits(&self) -> Option<ClientLimits> {
        self.limits
    }

    /// Whether routes that are not open need a key.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// The route of a request: the longest prefix among the host's routes.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteId> {
        let prefixes = self.prefixes.get(host)?;
        prefixes
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix.as_str()))
            .map(|(_, route)| *route)
    }

    /// The account that a key stands for.
    pub fn account_for_key(&self, key: &str) -> Option<AccountId> {
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
            return Err(PlanError::ZeroTimeout(spec.name));
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
            return Err(PlanError::ZeroWeight(spec.name));
        }
        let prefixes = self.prefixes.entry(spec.host.clone()).or_default();
        if prefixes.iter().any(|(prefix, _)| *prefix == spec.prefix) {
            return Err(PlanError::DuplicatePrefix(spec.host, spec.prefix));
        }
        let id = self.routes.insert(Route {
            name: spec.name,
            retry: spec.retry,
            timeout: spec.timeout,
            latency_target: spec.latency_target,
            event_gap: spec.event_gap,
            rank: spec.rank,
            shares,
            attempts: spec.attempts.max(1),
            open: spec.open,
        });
        prefixes.push((spec.prefix, id));
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
            prefixes: HashMap::new(),
            keys: HashMap::new(),
            requires_key: spec.accounts.is_some(),
            limits: spec.limits,
        };
        let mut names = BTreeMap::new();
        for service in spec.services {
            let id = plan.services.insert(Service {
                name: service.name.clone(),
                connections: service.connections,
                cold_start: service.cold_start,
                engine: service.engine,
            });
            names.insert(service.name, id);
        }
        for route in spec.routes {
            plan.add_route(route, &names)?;
        }
        for prefixes in plan.prefixes.values_mut() {
            prefixes.sort_by(|(a, _), (b, _)| b.len().cmp(&a.len()).then_with(|| a.cmp(b)));
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
                        return Err(PlanError::DuplicateKey(other, account.name));
                    }
                    _ => {}
                }
            }
        }
        Ok(plan)
    }
}
