//! Authorization: which client account a request is billed to, and whether it may use a route.

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

/// The account, grant and class of an authorized request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The account that the request is billed to.
    pub account: AccountId,
    /// The grant of the request's key; `None` for a request without a key on an open route.
    pub grant: Option<GrantId>,
    /// The class of the request, unless the caller requests one of a lower or equal tier.
    pub class: ClassId,
}

/// Why a request is not authorized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// The route requires a key and the request carries none.
    KeyMissing,
    /// The key is unknown or withdrawn, or its account is closed.
    KeyInvalid,
    /// The account may not use the route.
    Forbidden,
    /// The route does not exist.
    RouteMissing,
}

impl Config {
    /// Authorizes a request with this key, or without a key, on a route.
    ///
    /// # Errors
    ///
    /// Returns an [`AccessError`] if the request may not use the route.
    pub fn authorize(&self, key: Option<Digest>, route: RouteId) -> Result<Permit, AccessError> {
        let grant = key.map(|key| self.live_grant(key)).transpose()?;
        self.permit(grant, route)
    }

    /// Authorizes a request again whose grant and account an entry has already authorized, possibly
    /// at another revision.
    ///
    /// # Errors
    ///
    /// Returns an [`AccessError`] if this configuration does not allow the request.
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

    /// Returns the class that the caller requested, or `class` if the requested class does not exist
    /// or has a higher tier.
    pub fn lower_class(&self, class: ClassId, requested: &ClassName) -> ClassId {
        match self.find_class(requested) {
            Some(lower) if !self.tier_of(lower).outranks(self.tier_of(class)) => lower,
            _ => class,
        }
    }

    /// Returns the grant of a valid key.
    ///
    /// # Errors
    ///
    /// Returns [`AccessError::KeyInvalid`] if the key is unknown or withdrawn, or if its account is
    /// closed.
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
