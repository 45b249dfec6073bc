//! An attempt sent from an entry to an agent, and the frames that come back.

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

/// What an agent decides by.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AttemptHead {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint it is meant for.
    pub endpoint: EndpointName,
    /// The account billed.
    pub account: AccountName,
    /// The grant behind the caller's key, if one came.
    pub grant: Option<GrantName>,
    /// The route.
    pub route: RouteName,
    /// The class.
    pub class: ClassName,
    /// The revision that the entry decided by.
    pub revision: Revision,
    /// How long the request may wait for its start here.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// How long it may wait before its class's target is missed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub target_remaining: Duration,
    /// Estimate of the tokens to be read.
    pub input_tokens: Tokens,
    /// Whether the request must not run a second time.
    pub at_most_once: bool,
}

/// The request as the endpoint gets it; no caller key is in it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The header fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// What the agent decides by.
    pub head: AttemptHead,
    /// The request.
    pub request: EndpointRequest,
}

/// What an agent says of its load with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The run of the agent.
    pub incarnation: Incarnation,
    /// Requests at the engine and waiting in the agent, by tier.
    pub busy: [u32; Tier::COUNT],
    /// Requests the engine may have at once now.
    pub limit: u32,
}

/// What an attempt consumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens read.
    pub input: Tokens,
    /// Tokens generated.
    pub output: Tokens,
}

/// A frame of the answer to an attempt. An answer without [`Frame::Ended`] or
/// [`Frame::Failed`] broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Frame {
    /// The attempt did not run.
    #[serde(rename = "Bounced")]
    Rejected(Kind, LoadReport),
    /// The endpoint began its answer.
    Started {
        /// The attempt answered.
        attempt: AttemptId,
        /// The endpoint's status.
        status: u16,
        /// The endpoint's header fields.
        headers: Vec<(String, String)>,
    },
    /// A piece of the body.
    Data {
        /// Where the piece begins.
        offset: u64,
        /// The piece.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The body is complete.
    Ended(TokenUsage, LoadReport),
    /// The endpoint failed.
    Failed(Kind, LoadReport),
}
