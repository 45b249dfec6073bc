//! Message types and codecs: messages between the router's own processes, and the JSON bodies of
//! the operators' HTTP interface.
//!
//! Decision cores do not depend on this crate. The processes convert between these types and those
//! of the cores.

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
    compress,
    decode,
    decompress,
    encode,
    read_frame, //
};
pub use machine_codec::MessagePack;
pub use peer::{
    ClaimRequest,
    DeploymentRequest,
    DeploymentResponse,
    Envelope,
    EvidenceRequest,
    FeedRequest,
    FeedResponse,
    PeerResponse,
    QuarantineReport,
    RolloutReport,
    RolloutRequest,
    SettleRequest,
    SubscriberKind,
    TallyRequest,
    ViewRequest,
    ViewResponse,
    paths, //
};
