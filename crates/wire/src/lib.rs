//! Messages between the system's own processes, and the operators' interface, with their codecs.
//!
//! Decision cores do not depend on this crate; front ends convert between the two.

mod admin;
mod attempt;
mod codec;
mod machine_codec;
mod peer;

pub use admin::{
    ConfigResponse,
    ErrorResponse,
    KeyResponse,
    MemberRow,
    NewKey,
    NewMember,
    Operator,
    ProposeRequest,
    ProposeResponse,
    StatusResponse,
    SubscriberRow,
    UsageResponse,
    UsageRow,
    UsageWindowRow, //
};
pub use attempt::{
    Attempt,
    AttemptHead,
    EndpointRequest,
    Frame,
    LoadReport,
    TokenUsage, //
};
pub use codec::{
    FrameError,
    Sealer,
    WireError,
    decode,
    encode,
    read_frame, //
};
pub use machine_codec::MessagePack;
pub use peer::{
    ClaimRequest,
    DeploymentRequest,
    DeploymentResponse,
    Envelope,
    PeerResponse,
    SettleRequest,
    SubscriberRole,
    TallyRequest,
    ViewRequest,
    ViewResponse,
    paths, //
};
