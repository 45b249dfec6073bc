//! How entries and agents talk to the control group: calls that find the leader, and the follower
//! of the configuration.

mod call;
mod follow;
mod list;

pub use call::{
    Control,
    PeerError, //
};
pub use follow::{
    Follower,
    Identity,
    Viewed, //
};
pub use list::{
    Pages,
    read_list, //
};
