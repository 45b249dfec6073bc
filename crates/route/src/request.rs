//! Types for one request: its arrival, its attempts and the core's decisions.

use std::net::SocketAddr;
use std::time::Duration;

use conf::Method;
use fault::Kind;
use ids::{
    AccountName,
    AttemptId,
    ClassName,
    Digest,
    EndpointName,
    GrantName,
    ModelName,
    RequestId,
    Revision,
    RouteName,
    Ticket,
    Tokens, //
};
use ledger::{
    Fingerprint,
    RequestKey, //
};

use crate::health::LoadReport;

/// The model or path that a request addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model call.
    Model(ModelName),
    /// A call of a plain HTTP service: method and path.
    Path(Method, String),
}

/// A request that arrived at the entry.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identifies the request in the core's decisions.
    pub ticket: Ticket,
    /// The digest of the request's API key, if it has one.
    pub key: Option<Digest>,
    /// The model or path that the request addresses.
    pub target: RequestTarget,
    /// The class that the caller requests, used unless it ranks above the permitted class.
    pub class: Option<ClassName>,
    /// Estimated number of input tokens.
    pub input_tokens: Tokens,
    /// A hash of the prompt's beginning, used for prefix cache affinity.
    pub prefix_hash: Option<u64>,
    /// The caller's idempotency key.
    pub request_key: Option<RequestKey>,
    /// A digest of the request's content.
    pub fingerprint: Fingerprint,
}

/// One attempt at a request: its endpoint, its identifiers and its time limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSpec {
    /// The entry's key of the request, for [`Input::Ended`](crate::Input::Ended).
    pub id: RequestId,
    /// The id of the attempt, unique among all attempts of this entry.
    pub attempt: AttemptId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The address at which the endpoint's agent listens.
    pub agent: SocketAddr,
    /// The client account that is billed.
    pub account: AccountName,
    /// The grant behind the request's key, if it has one.
    pub grant: Option<GrantName>,
    /// The route.
    pub route: RouteName,
    /// The class.
    pub class: ClassName,
    /// The configuration revision behind this decision.
    pub revision: Revision,
    /// How long the request may be queued at this endpoint.
    pub remaining: Duration,
    /// The time left until the request misses its class's first-token target.
    pub target_remaining: Duration,
    /// How long the first token may take, once `remaining` has passed, before the attempt counts
    /// as failed.
    pub first_timeout: Duration,
    /// The longest pause within the response before the attempt counts as failed.
    pub stall_timeout: Duration,
    /// Estimated number of input tokens.
    pub input_tokens: Tokens,
    /// Whether the request is not idempotent and must be executed at most once.
    pub once: bool,
}

/// A claim on a non-idempotent request, to be granted by the control group before its first
/// attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The entry's key of the request, for [`Input::Claimed`](crate::Input::Claimed).
    pub id: RequestId,
    /// The client account.
    pub account: AccountName,
    /// The caller's idempotency key, or one generated for this request.
    pub key: RequestKey,
    /// A digest of the request's content.
    pub fingerprint: Fingerprint,
    /// The id under which the claim is held; the ids of the attempts are derived from it.
    pub attempt: AttemptId,
}

/// The next step for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Respond with an error: the request is rejected or has failed.
    Fail(Kind),
    /// Make this attempt.
    Attempt(Box<AttemptSpec>),
    /// Claim the request before its first attempt.
    Claim(Claim),
    /// Respond with the response that is recorded with the request's claim.
    Replay(Vec<u8>),
    /// The models that the key may use.
    Models(Vec<ModelName>),
    /// The whole response was forwarded, or the entry is ready; nothing is left to do.
    Done,
}

/// The control group's result for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The attempt may be made.
    Granted,
    /// The request must not be executed now, for this reason.
    Rejected(Kind),
    /// An earlier attempt completed with this response.
    Completed(Vec<u8>),
}

/// How an attempt ended. `Unreached`, `Lost` and `Broken` are logged under these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No connection to the agent was made, so the request was not sent.
    Unreached,
    /// The agent rejected the attempt without executing it.
    Rejected(Kind, LoadReport),
    /// The attempt failed and may have been executed; none of its response was forwarded to the
    /// caller.
    Lost(Kind),
    /// The response broke off after a part of it was forwarded to the caller.
    Broken,
    /// As [`AttemptOutcome::Broken`], because the endpoint crashed.
    Crashed,
    /// The whole response was received and, if it is streamed, forwarded to the caller.
    Served(LoadReport),
    /// The caller closed its connection.
    Cancelled,
}
