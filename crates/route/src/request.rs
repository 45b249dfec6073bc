//! What goes in and out of the entry's core for one request.

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

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model call.
    Model(ModelName),
    /// A call of a plain service: method and path.
    Path(Method, String),
}

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Pairs the first verdict with this arrival.
    pub ticket: Ticket,
    /// The digest of the key that came, if one came.
    pub key: Option<Digest>,
    /// What is asked for.
    pub target: RequestTarget,
    /// A lower class that the caller wishes.
    pub class: Option<ClassName>,
    /// Estimate of the tokens to be read.
    pub input_tokens: Tokens,
    /// A hash of the prompt's beginning, for engines that cache it.
    pub prefix_hash: Option<u64>,
    /// The caller's request key.
    pub request_key: Option<RequestKey>,
    /// A digest of the request.
    pub fingerprint: Fingerprint,
}

/// One attempt to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSpec {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint.
    pub endpoint: EndpointName,
    /// Where its agent listens.
    pub agent: SocketAddr,
    /// The account billed.
    pub account: AccountName,
    /// The grant behind the key, if one came.
    pub grant: Option<GrantName>,
    /// The route.
    pub route: RouteName,
    /// The class.
    pub class: ClassName,
    /// The revision decided by.
    pub revision: Revision,
    /// How long the request may wait for its start at this endpoint.
    pub remaining: Duration,
    /// How long it may wait before its class's target is missed.
    pub target_remaining: Duration,
    /// How long the first token may take after that before the endpoint counts as failed.
    pub first_timeout: Duration,
    /// Longest pause within the answer before the endpoint counts as failed.
    pub stall_timeout: Duration,
    /// Estimate of the tokens to be read.
    pub input_tokens: Tokens,
    /// Whether the request must not run a second time.
    pub once: bool,
}

/// A claim to be made before the request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The request.
    pub id: RequestId,
    /// The account.
    pub account: AccountName,
    /// The request key: the caller's, or one made for this receipt.
    pub key: RequestKey,
    /// A digest of the request.
    pub fingerprint: Fingerprint,
    /// The attempt that the claim is for.
    pub attempt: AttemptId,
}

/// What becomes of a request next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is refused or has failed.
    Fail(Kind),
    /// Make this attempt.
    Attempt(Box<AttemptSpec>),
    /// Claim it first.
    Claim(Claim),
    /// Give the answer recorded by its claim.
    Replay(Vec<u8>),
    /// These models may be used.
    Models(Vec<ModelName>),
    /// The answer was passed on whole; nothing is left to do.
    Done,
}

/// What the control group said to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The attempt may run.
    Granted,
    /// It does not run now, for this reason.
    Rejected(Kind),
    /// An earlier attempt ran; this is its answer.
    Completed(Vec<u8>),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The agent could not be reached; nothing was sent.
    Unreached,
    /// The agent said that it did not run.
    Rejected(Kind, LoadReport),
    /// It may have run; nothing of its answer was passed to the caller.
    Lost(Kind),
    /// Its answer broke off after some of it was passed to the caller.
    Broken,
    /// Its whole answer was passed to the caller.
    Served(LoadReport),
    /// The caller went away.
    Cancelled,
}
