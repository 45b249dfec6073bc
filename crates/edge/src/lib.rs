//! The HTTP edges: a server whose answers may stream, and a client.
//!
//! Connections live on an event loop, so an idle one costs no thread. Blocking work runs on a
//! [`Pool`] of traffic threads. Nothing here knows what is being served.

mod body;
mod client;
mod exchange;
mod link;
mod pool;
mod reserve;
mod server;

pub use body::{
    Aborted,
    Body,
    Gone,
    Piece,
    Stream, //
};
pub use client::{
    CallError,
    Client,
    Reply, //
};
pub use exchange::{
    Exchange,
    Head, //
};
pub use link::{
    HOP_FIELDS,
    Link,
    Target,
    request, //
};
pub use pool::Pool;
pub use reserve::reserve;
pub use server::{
    EdgeError,
    Handler,
    Limits,
    ListenerId,
    Loop,
    Server,
    Service,
    Unanswered,
    read_body, //
};
