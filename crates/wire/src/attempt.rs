//! An attempt that an entry sends to an agent, and the frames of the agent's response.

use std::time::Duration;

use conf::Method;
use fault::Kind;
use ids::{
    AccountName,
    AttemptId,
    ClassName,
    EndpointName,
    GrantName,
    Incarnation,
    Revision,
    RouteName,
    Tier,
    Tokens, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};

/// The fields of an attempt that the agent's decisions depend on.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptHead {
    /// The attempt's identifier.
    pub attempt: AttemptId,
    /// The endpoint that the attempt is sent to.
    pub endpoint: EndpointName,
    /// The account that is billed.
    pub account: AccountName,
    /// The grant of the caller's key; `None` if the request carries no key.
    pub grant: Option<GrantName>,
    /// The route of the request.
    pub route: RouteName,
    /// The class of the request.
    pub class: ClassName,
    /// The revision of the configuration that the entry's decision used.
    pub revision: Revision,
    /// How long the request may wait in the agent before it starts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// How long the request may wait before it misses the latency target of its class.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target_remaining: Duration,
    /// Estimated number of input tokens.
    pub input_tokens: Tokens,
    /// Whether the request must be executed at most once.
    pub once: bool,
}

/// The request as the endpoint receives it, without the caller's key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The header fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// An attempt with its request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// The fields that the agent's decisions depend on.
    pub head: AttemptHead,
    /// The request to forward to the endpoint.
    pub request: EndpointRequest,
}

/// The load that an agent reports with every response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The agent's incarnation: one life of its process.
    pub incarnation: Incarnation,
    /// Requests that the engine executes or that wait in the agent, by tier.
    pub busy: [u32; Tier::COUNT],
    /// Current limit of concurrent requests at the engine.
    pub limit: u32,
}

/// The tokens that an attempt consumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TokenUsage {
    /// Input tokens.
    pub input: Tokens,
    /// Generated tokens.
    pub output: Tokens,
}

/// A frame of an agent's response to an attempt. A response that ends without [`Frame::Ended`],
/// [`Frame::Failed`] or [`Frame::Rejected`] was aborted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The agent rejected the attempt; it was not executed.
    #[serde(rename = "Bounced")]
    Rejected(Kind, LoadReport),
    /// The endpoint started its response.
    Started {
        /// The attempt that the response belongs to.
        attempt: AttemptId,
        /// The endpoint's HTTP status.
        status: u16,
        /// The endpoint's header fields.
        headers: Vec<(String, String)>,
    },
    /// A chunk of the body.
    Data {
        /// The position of the chunk in the body, in bytes.
        offset: u64,
        /// The bytes of the chunk.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The body is complete.
    Ended(TokenUsage, LoadReport),
    /// The attempt failed, and the endpoint may have executed the request.
    Failed(Kind, LoadReport),
}
