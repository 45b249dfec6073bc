//! How entries and agents talk to the control group: calls that find the leader, and the follower
//! of the configuration.

mod call;
mod follow;
mod list;

pub use call::{
    ControlClient,
    PeerError, //
};
pub use follow::{
    Subscriber,
    SubscriberIdentity,
    ViewUpdate, //
};
pub use list::{
    ListingFormat,
    fetch_listing, //
};
