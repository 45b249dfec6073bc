//! Keys into arenas: small and `Copy`, valid only inside the process that made them.

use slotmap::new_key_type;

new_key_type! {
    /// Refers to a client account.
    pub struct AccountId;
    /// Refers to a grant: the record of one caller key.
    pub struct GrantId;
    /// Refers to a request class.
    pub struct ClassId;
    /// Refers to an availability zone.
    pub struct ZoneId;
    /// Refers to a route.
    pub struct RouteId;
    /// Refers to a service.
    pub struct ServiceId;
    /// Refers to an endpoint.
    pub struct EndpointId;
    /// Refers to a request that has not been answered yet.
    pub struct RequestId;
    /// Refers to one attempt at a request.
    pub struct AttemptKey;
}
