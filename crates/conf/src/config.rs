//! The aggregate root: records in arenas that refer to each other by `Copy` keys. Only [`Change`]s
//! modify it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ids::{
    AccountId,
    AccountName,
    ClassId,
    ClassName,
    Digest,
    EndpointId,
    EndpointName,
    GrantId,
    GrantName,
    ModelName,
    RegionName,
    Revision,
    RouteId,
    RouteName,
    Tier,
    ZoneId,
    ZoneName, //
};
use slotmap::SlotMap;

use crate::change::{
    Change,
    ChangeError, //
};
use crate::record::{
    Access,
    AccountSpec,
    ClassSpec,
    EndpointSpec,
    GrantSpec,
    RouteSpec,
    Serves,
    ZoneSpec, //
};

/// An availability zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// The record as the operator wrote it.
    pub spec: ZoneSpec,
}

/// A client account.
#[derive(Clone, Debug)]
pub struct Account {
    /// The record as the operator wrote it.
    pub spec: AccountSpec,
    /// Whether requests of the account are accepted. A closed account never opens again.
    pub open: bool,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// The record as the operator wrote it.
    pub spec: ClassSpec,
}

/// Who may use a route: [`Access`] with account names resolved to arena keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteAccess {
    /// Every account; requests must carry a key.
    Keyed,
    /// These accounts; requests must carry a key.
    Only(Vec<AccountId>),
    /// Anyone; requests without a key are billed to this account.
    Open(AccountId),
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {
    /// The record as the operator wrote it.
    pub spec: RouteSpec,
    /// The class of requests for which neither the key nor the caller selects another class.
    pub class: ClassId,
    /// Who may use the route.
    pub access: RouteAccess,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The record as the operator wrote it.
    pub spec: EndpointSpec,
    /// The zone that the endpoint runs in.
    pub zone: ZoneId,
    /// The routes that the endpoint serves.
    pub routes: Vec<RouteId>,
}

impl Endpoint {
    /// Returns the address on which the endpoint's agent listens.
    pub fn agent(&self) -> SocketAddr {
        self.spec.agent
    }
}

/// The record of one caller key.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The record as the operator wrote it.
    pub spec: GrantSpec,
    /// The account that requests with this key are billed to.
    pub account: AccountId,
    /// The class of requests with this key; `None` for the route's class.
    pub class: Option<ClassId>,
    /// Whether the key is accepted. Once false, it never becomes true again.
    pub live: bool,
}

/// The complete configuration at one revision.
#[derive(Clone, Debug, Default)]
pub struct Config {
    pub(crate) revision: Revision,
    pub(crate) zones: SlotMap<ZoneId, Zone>,
    pub(crate) accounts: SlotMap<AccountId, Account>,
    pub(crate) classes: SlotMap<ClassId, Class>,
    pub(crate) routes: SlotMap<RouteId, Route>,
    pub(crate) endpoints: SlotMap<EndpointId, Endpoint>,
    pub(crate) grants: SlotMap<GrantId, Grant>,
    zone_names: BTreeMap<ZoneName, ZoneId>,
    account_names: BTreeMap<AccountName, AccountId>,
    class_names: BTreeMap<ClassName, ClassId>,
    route_names: BTreeMap<RouteName, RouteId>,
    endpoint_names: BTreeMap<EndpointName, EndpointId>,
    grant_names: BTreeMap<GrantName, GrantId>,
    pub(crate) digests: BTreeMap<Digest, GrantId>,
    pub(crate) models: BTreeMap<ModelName, RouteId>,
}

impl Config {
    /// Returns the revision of this configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies the changes of one proposal atomically and advances to the next revision.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant; the configuration is then unchanged.
    pub fn apply_all(&mut self, changes: &[Change]) -> Result<Revision, ChangeError> {
        let mut next = self.clone();
        changes.iter().try_for_each(|change| next.apply(change))?;
        next.check_reserves()?;
        next.revision = self.revision.next();
        *self = next;
        Ok(self.revision)
    }

    /// Returns the changes that rebuild this configuration from an empty one, in a deterministic
    /// order.
    pub fn export(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        let zones = self.zone_names.values();
        changes.extend(zones.map(|id| Change::PutZone(self.zones[*id].spec.clone())));
        let classes = self.class_names.values();
        changes.extend(classes.map(|id| Change::PutClass(self.classes[*id].spec.clone())));
        let accounts = self.account_names.values();
        changes.extend(accounts.map(|id| Change::PutAccount(self.accounts[*id].spec.clone())));
        let routes = self.route_names.values();
        changes.extend(routes.map(|id| Change::PutRoute(self.routes[*id].spec.clone())));
        let endpoints = self.endpoint_names.values();
        changes.extend(endpoints.map(|id| Change::PutEndpoint(self.endpoints[*id].spec.clone())));
        for grant in self.grants() {
            changes.push(Change::PutGrant(grant.spec.clone()));
            if !grant.live {
                changes.push(Change::WithdrawGrant(grant.spec.name.clone()));
            }
        }
        let closed = self.accounts().filter(|account| !account.open);
        changes.extend(closed.map(|account| Change::CloseAccount(account.spec.name.clone())));
        changes
    }

    /// Rebuilds a configuration from an [`export`](Self::export).
    ///
    /// # Errors
    ///
    /// Returns the invariant that the first invalid change violates.
    pub fn import(revision: Revision, changes: &[Change]) -> Result<Self, ChangeError> {
        let mut config = Self::default();
        changes.iter().try_for_each(|change| config.apply(change))?;
        config.revision = revision;
        Ok(config)
    }

    /// Iterates over the zones in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.zone_names.values().map(|id| &self.zones[*id])
    }

    /// Iterates over the accounts in the order of their names.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.account_names.values().map(|id| &self.accounts[*id])
    }

    /// Iterates over the classes in the order of their names.
    pub fn classes(&self) -> impl Iterator<Item = (ClassId, &Class)> {
        self.class_names
            .values()
            .map(|id| (*id, &self.classes[*id]))
    }

    /// Iterates over the routes in the order of their names.
    pub fn routes(&self) -> impl Iterator<Item = (RouteId, &Route)> {
        self.route_names.values().map(|id| (*id, &self.routes[*id]))
    }

    /// Iterates over the endpoints in the order of their names.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.endpoint_names
            .values()
            .map(|id| (*id, &self.endpoints[*id]))
    }

    /// Iterates over the grants, including tombstones, in the order of their names.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.grant_names.values().map(|id| &self.grants[*id])
    }

    /// Returns the zone with this arena key.
    pub fn zone(&self, id: ZoneId) -> Option<&Zone> {
        self.zones.get(id)
    }

    /// Returns the account with this arena key.
    pub fn account(&self, id: AccountId) -> Option<&Account> {
        self.accounts.get(id)
    }

    /// Returns the class with this arena key.
    pub fn class(&self, id: ClassId) -> Option<&Class> {
        self.classes.get(id)
    }

    /// Returns the route with this arena key.
    pub fn route(&self, id: RouteId) -> Option<&Route> {
        self.routes.get(id)
    }

    /// Returns the endpoint with this arena key.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Returns the grant with this arena key.
    pub fn grant(&self, id: GrantId) -> Option<&Grant> {
        self.grants.get(id)
    }

    /// Finds an account by name.
    pub fn find_account(&self, name: &AccountName) -> Option<AccountId> {
        self.account_names.get(name).copied()
    }

    /// Finds a class by name.
    pub fn find_class(&self, name: &ClassName) -> Option<ClassId> {
        self.class_names.get(name).copied()
    }

    /// Finds a grant by name.
    pub fn find_grant(&self, name: &GrantName) -> Option<GrantId> {
        self.grant_names.get(name).copied()
    }

    /// Finds a route by name.
    pub fn find_route(&self, name: &RouteName) -> Option<RouteId> {
        self.route_names.get(name).copied()
    }

    /// Finds an endpoint by name.
    pub fn find_endpoint(&self, name: &EndpointName) -> Option<EndpointId> {
        self.endpoint_names.get(name).copied()
    }

    /// Finds a zone by name.
    pub fn find_zone(&self, name: &ZoneName) -> Option<ZoneId> {
        self.zone_names.get(name).copied()
    }

    /// Returns the region that a zone belongs to.
    pub fn region_of(&self, zone: ZoneId) -> Option<&RegionName> {
        self.zones.get(zone).map(|zone| &zone.spec.region)
    }

    /// Returns the route that serves a model.
    pub fn route_for_model(&self, model: &ModelName) -> Option<RouteId> {
        self.models.get(model).copied()
    }

    /// Returns the route with the longest prefix that covers `path`.
    pub fn route_for_path(&self, path: &str) -> Option<RouteId> {
        let covering = self
            .routes()
            .filter_map(|(id, route)| match &route.spec.serves {
                Serves::Service { prefix, .. } if prefix.covers(path) => Some((prefix.len(), id)),
                _ => None,
            });
        covering.max_by_key(|(len, _)| *len).map(|(_, id)| id)
    }

    /// Returns whether the configuration allows new requests on an endpoint: the endpoint exists, is
    /// not draining, and its zone is open.
    pub fn accepts_requests(&self, id: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let zone_open = self
            .zones
            .get(endpoint.zone)
            .is_some_and(|zone| zone.spec.open);
        zone_open && !endpoint.spec.draining
    }

    /// Returns the tier of a class, or the lowest tier if the class does not exist.
    pub fn tier_of(&self, class: ClassId) -> Tier {
        self.classes
            .get(class)
            .map_or(Tier::LOWEST, |class| class.spec.tier)
    }

    fn apply(&mut self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::PutZone(spec) => self.put_zone(spec),
            Change::DropZone(name) => self.drop_zone(name),
            Change::PutAccount(spec) => self.put_account(spec),
            Change::CloseAccount(name) => self.close_account(name),
            Change::PutClass(spec) => self.put_class(spec),
            Change::DropClass(name) => self.drop_class(name),
            Change::PutRoute(spec) => self.put_route(spec),
            Change::DropRoute(name) => self.drop_route(name),
            Change::PutEndpoint(spec) => self.put_endpoint(spec),
            Change::DropEndpoint(name) => self.drop_endpoint(name),
            Change::PutGrant(spec) => self.put_grant(spec),
            Change::WithdrawGrant(name) => self.withdraw_grant(name),
        }
    }

    fn put_zone(&mut self, spec: &ZoneSpec) -> Result<(), ChangeError> {
        let zone = Zone { spec: spec.clone() };
        match self.zone_names.get(&spec.name) {
            Some(id) => self.zones[*id] = zone,
            None => {
                let id = self.zones.insert(zone);
                self.zone_names.insert(spec.name.clone(), id);
            }
        }
        Ok(())
    }

    fn drop_zone(&mut self, name: &ZoneName) -> Result<(), ChangeError> {
        let id = self.zone_id(name)?;
        if let Some(endpoint) = self.endpoints.values().find(|e| e.zone == id) {
            return Err(ChangeError::in_use("zone", name, &endpoint.spec.name));
        }
        self.zones.remove(id);
        self.zone_names.remove(name);
        Ok(())
    }

    fn put_account(&mut self, spec: &AccountSpec) -> Result<(), ChangeError> {
        if spec.weight == 0 {
            return Err(ChangeError::zero("account", &spec.name, "weight"));
        }
        match self.account_names.get(&spec.name) {
            Some(id) if !self.accounts[*id].open => {
                return Err(ChangeError::AccountClosed(spec.name.clone()));
            }
            Some(id) => self.accounts[*id].spec = spec.clone(),
            None => {
                let account = Account {
                    spec: spec.clone(),
                    open: true,
                };
                let id = self.accounts.insert(account);
                self.account_names.insert(spec.name.clone(), id);
            }
        }
        Ok(())
    }

    fn close_account(&mut self, name: &AccountName) -> Result<(), ChangeError> {
        let id = self.account_id(name)?;
        self.accounts[id].open = false;
        for grant in self.grants.values_mut().filter(|grant| grant.account == id) {
            grant.live = false;
        }
        Ok(())
    }

    fn put_class(&mut self, spec: &ClassSpec) -> Result<(), ChangeError> {
        if spec.first_token.is_zero() {
            return Err(ChangeError::zero("class", &spec.name, "first_ms"));
        }
        if spec.token_gap.is_zero() {
            return Err(ChangeError::zero("class", &spec.name, "gap_ms"));
        }
        let class = Class { spec: spec.clone() };
        match self.class_names.get(&spec.name) {
            Some(id) => self.classes[*id] = class,
            None => {
                let id = self.classes.insert(class);
                self.class_names.insert(spec.name.clone(), id);
            }
        }
        Ok(())
    }

    fn drop_class(&mut self, name: &ClassName) -> Result<(), ChangeError> {
        let id = self.class_id(name)?;
        if let Some(route) = self.routes.values().find(|route| route.class == id) {
            return Err(ChangeError::in_use("class", name, &route.spec.name));
        }
        if let Some(grant) = self.grants.values().find(|grant| grant.class == Some(id)) {
            return Err(ChangeError::in_use("class", name, &grant.spec.name));
        }
        self.classes.remove(id);
        self.class_names.remove(name);
        Ok(())
    }

    fn put_route(&mut self, spec: &RouteSpec) -> Result<(), ChangeError> {
        let route = Route {
            spec: spec.clone(),
            class: self.class_id(&spec.class)?,
            access: self.resolve_access(&spec.access)?,
        };
        let duplicate = self.routes().find(|(_, other)| {
            other.spec.name != spec.name && serves_same(&other.spec.serves, &spec.serves)
        });
        if let Some((_, existing)) = duplicate {
            let existing = existing.spec.name.clone();
            return Err(ChangeError::RouteTaken(spec.name.clone(), existing));
        }
        let id = match self.route_names.get(&spec.name) {
            Some(id) => {
                let id = *id;
                self.models.retain(|_, route| *route != id);
                self.routes[id] = route;
                id
            }
            None => {
                let id = self.routes.insert(route);
                self.route_names.insert(spec.name.clone(), id);
                id
            }
        };
        if let Serves::Model(model) = &spec.serves {
            self.models.insert(model.clone(), id);
        }
        Ok(())
    }

    fn drop_route(&mut self, name: &RouteName) -> Result<(), ChangeError> {
        let id = self.route_id(name)?;
        if let Some(endpoint) = self.endpoints.values().find(|e| e.routes.contains(&id)) {
            return Err(ChangeError::in_use("route", name, &endpoint.spec.name));
        }
        self.routes.remove(id);
        self.route_names.remove(name);
        self.models.retain(|_, route| *route != id);
        Ok(())
    }

    fn put_endpoint(&mut self, spec: &EndpointSpec) -> Result<(), ChangeError> {
        if spec.slots == 0 {
            return Err(ChangeError::zero("endpoint", &spec.name, "slots"));
        }
        let routes = spec.routes.iter().map(|name| self.route_id(name));
        let endpoint = Endpoint {
            spec: spec.clone(),
            zone: self.zone_id(&spec.zone)?,
            routes: routes.collect::<Result<_, _>>()?,
        };
        match self.endpoint_names.get(&spec.name) {
            Some(id) => self.endpoints[*id] = endpoint,
            None => {
                let id = self.endpoints.insert(endpoint);
                self.endpoint_names.insert(spec.name.clone(), id);
            }
        }
        Ok(())
    }

    fn drop_endpoint(&mut self, name: &EndpointName) -> Result<(), ChangeError> {
        let missing = || ChangeError::missing("endpoint", name);
        let id = self.endpoint_names.remove(name).ok_or_else(missing)?;
        self.endpoints.remove(id);
        Ok(())
    }

    fn put_grant(&mut self, spec: &GrantSpec) -> Result<(), ChangeError> {
        if self.grant_names.contains_key(&spec.name) {
            return Err(ChangeError::GrantExists(spec.name.clone()));
        }
        if let Some(id) = self.digests.get(&spec.digest) {
            return Err(ChangeError::DigestTaken(self.grants[*id].spec.name.clone()));
        }
        let account = self.account_id(&spec.account)?;
        if !self.accounts[account].open {
            return Err(ChangeError::AccountClosed(spec.account.clone()));
        }
        let class = spec
            .class
            .as_ref()
            .map(|name| self.class_id(name))
            .transpose()?;
        let id = self.grants.insert(Grant {
            spec: spec.clone(),
            account,
            class,
            live: true,
        });
        self.grant_names.insert(spec.name.clone(), id);
        self.digests.insert(spec.digest, id);
        Ok(())
    }

    fn withdraw_grant(&mut self, name: &GrantName) -> Result<(), ChangeError> {
        let id = self
            .find_grant(name)
            .ok_or_else(|| ChangeError::missing("key", name))?;
        self.grants[id].live = false;
        Ok(())
    }

    fn resolve_access(&self, access: &Access) -> Result<RouteAccess, ChangeError> {
        match access {
            Access::Keyed => Ok(RouteAccess::Keyed),
            Access::Open(name) => self.account_id(name).map(RouteAccess::Open),
            Access::Only(names) => {
                let accounts = names.iter().map(|name| self.account_id(name));
                accounts.collect::<Result<_, _>>().map(RouteAccess::Only)
            }
        }
    }

    fn check_reserves(&self) -> Result<(), ChangeError> {
        let sum = self
            .classes
            .values()
            .map(|class| u32::from(u8::from(class.spec.reserve)))
            .sum();
        if sum > 100 {
            return Err(ChangeError::ReserveExceeded(sum));
        }
        Ok(())
    }

    fn zone_id(&self, name: &ZoneName) -> Result<ZoneId, ChangeError> {
        self.find_zone(name)
            .ok_or_else(|| ChangeError::missing("zone", name))
    }

    fn account_id(&self, name: &AccountName) -> Result<AccountId, ChangeError> {
        self.find_account(name)
            .ok_or_else(|| ChangeError::missing("account", name))
    }

    fn class_id(&self, name: &ClassName) -> Result<ClassId, ChangeError> {
        self.find_class(name)
            .ok_or_else(|| ChangeError::missing("class", name))
    }

    fn route_id(&self, name: &RouteName) -> Result<RouteId, ChangeError> {
        self.find_route(name)
            .ok_or_else(|| ChangeError::missing("route", name))
    }
}

fn serves_same(a: &Serves, b: &Serves) -> bool {
    match (a, b) {
        (Serves::Model(a), Serves::Model(b)) => a == b,
        (Serves::Service { prefix: a, .. }, Serves::Service { prefix: b, .. }) => a == b,
        _ => false,
    }
}
