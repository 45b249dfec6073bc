//! Every reason for which a request is rejected or fails, and the response that the caller gets.

use std::fmt;
use std::str::FromStr;

use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

/// Whether an endpoint may have executed a request that was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// No endpoint received the request.
    NotExecuted,
    /// An endpoint may have received the request.
    Unknown,
}

impl ExecutionState {
    /// Returns the value of the `berg-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotExecuted => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The error response for a [`Kind`].
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// The kind of the error.
    pub kind: Kind,
    /// The error code used in the error object, in counter names and in messages between processes.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What the caller may assume about the execution of the request.
    pub execution: ExecutionState,
    /// Value of the `Retry-After` header, in seconds; 0 if the response has none.
    pub retry_after: u16,
    /// The error message for the caller.
    pub text: &'static str,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident, $code:literal, $status:literal, $execution:ident, $retry_after:literal, $text:literal;)+) => {
        /// Every reason for which a request is rejected or fails.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(SerializeDisplay, DeserializeFromStr)]
        pub enum Kind {
            $($(#[$doc])* $kind,)+
        }

        /// The response of each kind, in the order of [`Kind`]'s variants.
        pub const TABLE: &[Response] = &[
            $(Response {
                kind: Kind::$kind,
                code: $code,
                status: $status,
                execution: ExecutionState::$execution,
                retry_after: $retry_after,
                text: $text,
            },)+
        ];
    };
}

kinds! {
    /// The request carries no key, and the route requires one.
    KeyMissing, "key_missing", 401, NotExecuted, 0, "no key came with the request";
    /// The key is unknown or withdrawn.
    KeyInvalid, "key_invalid", 401, NotExecuted, 0, "the key is not valid";
    /// The account may not use this route.
    AccountForbidden, "account_forbidden", 403, NotExecuted, 0, "the account may not use this route";
    /// A part of the request that is forwarded to an endpoint contains the text of a key.
    KeyInBody, "key_in_body", 400, NotExecuted, 0, "the request carries a key outside the credential headers";
    /// The request is malformed.
    BodyInvalid, "body_invalid", 400, NotExecuted, 0, "the request body is not valid for this call";
    /// The body exceeds the size limit.
    BodyTooLarge, "body_too_large", 413, NotExecuted, 0, "the request body is too large";
    /// The prompt exceeds the memory of every engine of the service.
    PromptTooLarge, "prompt_too_large", 413, NotExecuted, 0, "the prompt is larger than the memory of any endpoint";
    /// A part of the prompt is in quarantine because it crashes engines.
    PromptQuarantined, "prompt_quarantined", 503, NotExecuted, 60, "a part of the prompt crashes engines";
    /// The request is in quarantine because its earlier repetitions crashed endpoints.
    RequestQuarantined, "request_quarantined", 503, NotExecuted, 60, "this request crashes endpoints";
    /// The headers exceed the size limit.
    HeadTooLarge, "head_too_large", 431, NotExecuted, 0, "the request headers are too large";
    /// No route serves the model or path.
    RouteUnknown, "route_unknown", 404, NotExecuted, 0, "no route serves this model or path";
    /// The route does not support this method.
    MethodUnsupported, "method_unsupported", 405, NotExecuted, 0, "the route does not take this method";
    /// No endpoint of the route is available.
    EndpointMissing, "endpoint_missing", 503, NotExecuted, 2, "no endpoint of the route is available";
    /// Every endpoint that was tried is at capacity.
    Overloaded, "overloaded", 429, NotExecuted, 1, "the endpoints of the route are full";
    /// The account has used its fair share while requests of other accounts of the class are queued.
    ShareSpent, "share_spent", 429, NotExecuted, 2, "the account has had its share of a class that is full";
    /// A request of a higher tier displaced this request from the queue.
    Shed, "shed", 429, NotExecuted, 2, "the request gave way to a higher tier";
    /// The request can no longer meet the latency target of its class.
    DeadlinePassed, "deadline_passed", 503, NotExecuted, 1, "the request can no longer be served in time";
    /// This host's copy of the configuration is older than the freshness limit.
    ViewStale, "view_stale", 503, NotExecuted, 2, "the configuration may be out of date here";
    /// The process is shutting down and accepts no new requests.
    Draining, "draining", 503, NotExecuted, 1, "this host is stopping";
    /// The process has no memory for the request.
    MemoryShort, "memory_short", 503, NotExecuted, 1, "this host has no memory for the request at the moment";
    /// The availability zone is closed to new requests.
    ZoneClosed, "zone_closed", 503, NotExecuted, 1, "the availability zone takes no new work";
    /// A message from another process failed authentication or belongs to another cluster.
    PeerInvalid, "peer_invalid", 403, NotExecuted, 0, "the message is not from this cluster";
    /// The control group has no confirmed leader or did not respond.
    ControlUnavailable, "control_unavailable", 503, NotExecuted, 2, "the control group did not answer";
    /// The first request with this request key is still in progress.
    ClaimRunning, "claim_running", 409, Unknown, 1, "the first request under this request key has not been answered yet";
    /// The first request with this request key may have been executed; its response is lost.
    ClaimUnknown, "claim_unknown", 409, Unknown, 0, "the first request under this request key may have run and its answer is lost";
    /// The request key was already used for a different request.
    ClaimConflict, "claim_conflict", 422, NotExecuted, 0, "the request key was used with another request";
    /// The endpoint failed after it may have started to execute the request.
    EndpointFailed, "endpoint_failed", 502, Unknown, 1, "the endpoint failed";
    /// The endpoint crashed while the request was in progress.
    EndpointCrashed, "endpoint_crashed", 502, Unknown, 1, "the endpoint crashed";
    /// The endpoint did not respond in time.
    EndpointTimeout, "endpoint_timeout", 504, Unknown, 1, "the endpoint did not answer in time";
    /// The response ended before it was complete.
    StreamBroken, "stream_broken", 502, Unknown, 1, "the answer broke off before its end";
    /// The caller closed the connection.
    CallerGone, "caller_gone", 499, Unknown, 0, "the caller went away";
    /// The router encountered an internal error.
    Internal, "internal", 500, Unknown, 1, "the router failed";
}

impl Kind {
    /// Returns the response for this kind.
    pub fn response(self) -> &'static Response {
        &TABLE[self as usize]
    }

    /// Returns whether the request is known not to have been executed.
    pub fn not_executed(self) -> bool {
        self.response().execution == ExecutionState::NotExecuted
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.response().code)
    }
}

/// The string is not the error code of any [`Kind`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownCode(pub String);

impl fmt::Display for UnknownCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown error code {:?}", self.0)
    }
}

impl FromStr for Kind {
    type Err = UnknownCode;

    fn from_str(code: &str) -> Result<Self, UnknownCode> {
        let row = TABLE.iter().find(|row| row.code == code);
        row.map(|row| row.kind)
            .ok_or_else(|| UnknownCode(code.to_owned()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    case::cases! {
        table_follows_kind_order: for (i, row) in TABLE.iter().enumerate() {
            assert_eq!(row.kind as usize, i, "{}", row.code);
        };
        codes_are_unique: for row in TABLE {
            assert_eq!(row.code.parse(), Ok(row.kind));
        };
        statuses_below_409_are_not_executed: for row in TABLE.iter().filter(|r| r.status < 409) {
            assert_eq!(row.execution, ExecutionState::NotExecuted, "{}", row.code);
        };
    }
}
