//! The plan aggregate and its invariants.

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

/// Which invariant a plan violates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// A route refers to a service that the plan does not define: route, service.
    UnknownService(String, String),
    /// Two routes have the same host and path prefix: host, prefix.
    DuplicatePrefix(String, String),
    /// The weights of a route's services add up to 0: route.
    ZeroWeight(String),
    /// The timeout of a route is 0: route.
    ZeroTimeout(String),
    /// Two accounts have the same key: the accounts.
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
            Self::ZeroTimeout(route) => {
                write!(f, "the timeout of route {route:?} is 0")
            }
            Self::DuplicateKey(first, second) => {
                write!(f, "accounts {first:?} and {second:?} share a key")
            }
        }
    }
}

impl std::error::Error for PlanError {}

/// A service of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// Maximum number of connections that one endpoint accepts from all fronts together.
    pub connections: u32,
    /// Request rate limit of endpoints that started recently; `None` if there is no limit.
    pub cold_start: Option<ColdStart>,
    /// Limits of the service's model engines; `None` for a service without model engines.
    pub engine: Option<EngineLimits>,
}

/// A route of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name in logs.
    pub name: String,
    /// Whether requests may be retried, and whether responses are streams.
    pub retry: RetryPolicy,
    /// Maximum time from the request to the end of the response.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// Target for the time between two events of a stream.
    pub event_gap: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub rank: u8,
    /// The services that serve the route, with weights of at least 1.
    pub shares: Vec<(ServiceId, u32)>,
    /// Maximum number of endpoints on which one request is tried; at least 1.
    pub attempts: u32,
    /// Whether requests without a key are accepted.
    pub open: bool,
}

/// An account of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The account's name.
    pub name: String,
    /// Priority of the account's requests; overrides the route's.
    pub rank: Option<u8>,
}

/// A validated plan.
#[derive(Clone, Debug)]
pub struct Plan {
    version: u64,
    services: SlotMap<ServiceId, Service>,
    routes: SlotMap<RouteId, Route>,
    accounts: SlotMap<AccountId, Account>,
    /// The path prefixes of each host, longest first.
    prefixes: HashMap<String, Vec<(String, RouteId)>>,
    keys: HashMap<String, AccountId>,
    requires_key: bool,
    limits: Option<ClientLimits>,
}

impl Plan {
    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests, if the plan has any.
    pub fn limits(&self) -> Option<ClientLimits> {
        self.limits
    }

    /// Returns whether routes that are not open require a key.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Returns the route of the host with the longest prefix of `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteId> {
        let prefixes = self.prefixes.get(host)?;
        prefixes
            .iter()
            .find(|(prefix, _)| path.starts_with(prefix.as_str()))
            .map(|(_, route)| *route)
    }

    /// Returns the account to which a key belongs.
    pub fn account_for_key(&self, key: &str) -> Option<AccountId> {
        self.keys.get(key).copied()
    }

    /// Returns the route with this arena key.
    pub fn route(&self, id: RouteId) -> Option<&Route> {
        self.routes.get(id)
    }

    /// Returns the service with this arena key.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns the account with this arena key.
    pub fn account(&self, id: AccountId) -> Option<&Account> {
        self.accounts.get(id)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether the plan has no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    fn add_route(
        &mut self,
        spec: RouteSpec,
        services: &BTreeMap<String, ServiceId>,
    ) -> Result<(), PlanError> {
        if spec.timeout.is_zero() {
            return Err(PlanError::ZeroTimeout(spec.name));
        }
        let mut shares = Vec::with_capacity(spec.shares.len());
        for share in &spec.shares {
            let Some(id) = services.get(&share.service) else {
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
        let mut services = BTreeMap::new();
        for service in spec.services {
            let id = plan.services.insert(Service {
                name: service.name.clone(),
                connections: service.connections,
                cold_start: service.cold_start,
                engine: service.engine,
            });
            services.insert(service.name, id);
        }
        for route in spec.routes {
            plan.add_route(route, &services)?;
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
                    Some(first) if first != id => {
                        let first = plan.accounts[first].name.clone();
                        return Err(PlanError::DuplicateKey(first, account.name));
                    }
                    _ => {}
                }
            }
        }
        Ok(plan)
    }
}
