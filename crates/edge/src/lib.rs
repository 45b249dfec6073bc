//! HTTP/1.1 servers and clients: a server whose responses may be streamed, a client for short
//! calls, and a client that reads a response while it arrives.
//!
//! The connections of a server share one event loop, so that an idle connection occupies no thread.
//! Blocking work runs on a [`Pool`] of traffic threads. This crate does not depend on what is
//! served.

mod body;
mod client;
mod exchange;
mod framing;
mod memory;
mod payload;
mod pool;
mod reader;
mod receive;
mod reserve;
mod server;
mod socket;

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
pub use framing::{
    Framing,
    is_final, //
};
pub use memory::{
    Memory,
    OutOfMemory,
    Share, //
};
pub use payload::{
    Charged,
    Payload, //
};
pub use pool::Pool;
pub use reader::{
    HOP_BY_HOP_HEADERS,
    ResponseReader,
    Target,
    build_request, //
};
pub use receive::{
    Refusal,
    receive, //
};
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
pub use socket::{
    ClientSocket,
    LARGE_SOCKET_BUFFER_BYTES,
    Linger,
    SOCKET_BUFFER_BYTES, //
};
