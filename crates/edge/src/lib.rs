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
    Chunk,
    Disconnected,
    ResponseWriter, //
};
pub use client::{
    CallError,
    Client,
    Response, //
};
pub use exchange::{
    Exchange,
    Head, //
};
pub use link::{
    HOP_BY_HOP_HEADERS,
    ResponseReader,
    Target,
    build_request, //
};
pub use pool::Pool;
pub use reserve::reserve_address;
pub use server::{
    EdgeError,
    EventLoop,
    Handler,
    Limits,
    ListenerId,
    NoResponse,
    Server,
    Service,
    read_body, //
};
