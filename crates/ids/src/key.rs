//! Arena keys: small, `Copy`, and valid only in the process that created them.

use slotmap::new_key_type;

new_key_type! {
    /// Arena key of a client account.
    pub struct AccountId;
    /// Arena key of a grant, the record of one caller key.
    pub struct GrantId;
    /// Arena key of a request class.
    pub struct ClassId;
    /// Arena key of an availability zone.
    pub struct ZoneId;
    /// Arena key of a route.
    pub struct RouteId;
    /// Arena key of a service.
    pub struct ServiceId;
    /// Arena key of an endpoint.
    pub struct EndpointId;
    /// Arena key of a request in flight.
    pub struct RequestId;
    /// Arena key of one attempt to serve a request.
    pub struct AttemptKey;
}
