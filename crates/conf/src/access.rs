//! Who may run what: the rules that bind a request to a client account.

use ids::{
    AccountId,
    AccountName,
    ClassId,
    ClassName,
    Digest,
    GrantId,
    GrantName,
    RouteId, //
};

use crate::config::{
    Config,
    RouteAccess, //
};

/// What a request may run as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The account billed.
    pub account: AccountId,
    /// The grant behind the key; none on a route open to all used without a key.
    pub grant: Option<GrantId>,
    /// The class the request has unless the caller lowers it.
    pub class: ClassId,
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// The route needs a key and none came.
    KeyMissing,
    /// The key is unknown or withdrawn, or its account is closed.
    KeyInvalid,
    /// The account may not use the route.
    Forbidden,
    /// The route is gone.
    RouteMissing,
}

impl Config {
    /// Decides what a request with this key may run as on a route.
    ///
    /// # Errors
    ///
    /// [`AccessError`], with the reason.
    pub fn authorize(&self, key: Option<Digest>, route: RouteId) -> Result<Permit, AccessError> {
        let grant = key.map(|key| self.live_grant(key)).transpose()?;
        self.permit(grant, route)
    }

    /// Repeats the decision for a grant and account that an entry already authorized.
    ///
    /// # Errors
    ///
    /// [`AccessError`], with the reason, if this configuration no longer allows it.
    pub fn reauthorize(
        &self,
        grant: Option<&GrantName>,
        account: &AccountName,
        route: RouteId,
    ) -> Result<Permit, AccessError> {
        let find = |name| self.find_grant(name).ok_or(AccessError::KeyInvalid);
        let grant = grant.map(find).transpose()?;
        if grant.is_some_and(|id| !self.grant_is_live(id)) {
            return Err(AccessError::KeyInvalid);
        }
        let permit = self.permit(grant, route)?;
        if self.find_account(account) != Some(permit.account) {
            return Err(AccessError::Forbidden);
        }
        Ok(permit)
    }

    /// Lowers a class at the caller's wish; never raises it.
    pub fn lower_class(&self, class: ClassId, wish: &ClassName) -> ClassId {
        match self.find_class(wish) {
            Some(other) if !self.tier_of(other).outranks(self.tier_of(class)) => other,
            _ => class,
        }
    }

    /// The account behind a valid key.
    ///
    /// # Errors
    ///
    /// [`AccessError::KeyInvalid`] if the key is unknown or withdrawn.
    pub fn live_grant(&self, key: Digest) -> Result<GrantId, AccessError> {
        let id = self
            .digests
            .get(&key)
            .copied()
            .ok_or(AccessError::KeyInvalid)?;
        if self.grant_is_live(id) {
            Ok(id)
        } else {
            Err(AccessError::KeyInvalid)
        }
    }

    fn grant_is_live(&self, id: GrantId) -> bool {
        let Some(grant) = self.grants.get(id) else {
            return false;
        };
        grant.live
            && self
                .accounts
                .get(grant.account)
                .is_some_and(|account| account.open)
    }

    fn permit(&self, grant: Option<GrantId>, route: RouteId) -> Result<Permit, AccessError> {
        let route = self.routes.get(route).ok_or(AccessError::RouteMissing)?;
        let grant = grant.and_then(|id| self.grants.get(id).map(|grant| (id, grant)));
        let account = match (&route.access, grant) {
            (_, Some((_, grant))) => grant.account,
            (RouteAccess::Open(account), None) => *account,
            (_, None) => return Err(AccessError::KeyMissing),
        };
        if !self
            .accounts
            .get(account)
            .is_some_and(|account| account.open)
        {
            return Err(AccessError::Forbidden);
        }
        if matches!(&route.access, RouteAccess::Only(accounts) if !accounts.contains(&account)) {
            return Err(AccessError::Forbidden);
        }
        Ok(Permit {
            account,
            grant: grant.map(|(id, _)| id),
            class: grant
                .and_then(|(_, grant)| grant.class)
                .unwrap_or(route.class),
        })
    }
}
