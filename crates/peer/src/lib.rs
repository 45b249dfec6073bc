//! Clients of the control group and of the platform's listing: calls that find the leader, a
//! subscription to the configuration by long poll, and a fetch of the paginated listing.

mod call;
mod distribute;
mod listing;
mod subscribe;

pub use call::{
    ControlClient,
    PeerError, //
};
pub use distribute::distributor_order;
pub use listing::{
    Listing,
    ListingFormat,
    fetch_listing, //
};
pub use subscribe::{
    Subscriber,
    SubscriberIdentity,
    ViewUpdate, //
};
