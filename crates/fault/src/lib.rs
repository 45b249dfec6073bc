//! The closed list of refusal and failure kinds, with the table from kind to answer.

use std::fmt;
use std::str::FromStr;

use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

/// What is known of the execution of a request that did not get a regular answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// No attempt reached an endpoint.
    NotExecuted,
    /// An attempt may have reached an endpoint.
    Unknown,
}

impl ExecutionState {
    /// The value of the `berg-run` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotExecuted => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The answer that belongs to a [`Kind`].
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// The kind answered.
    pub kind: Kind,
    /// The code in the error object, in the counters and between processes.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What the caller may rely on.
    pub execution: ExecutionState,
    /// Seconds after which a retry makes sense; 0 where it does not.
    pub retry_after_s: u16,
    /// One sentence for the caller.
    pub text: &'static str,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident, $code:literal, $status:literal, $execution:ident, $retry_after_s:literal, $text:literal;)+) => {
        /// Every reason for which a request is refused or fails.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(SerializeDisplay, DeserializeFromStr)]
        pub enum Kind {
            $($(#[$doc])* $kind,)+
        }

        /// The table from kind to answer, in the order of [`Kind`].
        pub const TABLE: &[Response] = &[
            $(Response {
                kind: Kind::$kind,
                code: $code,
                status: $status,
                execution: ExecutionState::$execution,
                retry_after_s: $retry_after_s,
                text: $text,
            },)+
        ];
    };
}

kinds! {
    /// No key came with the request, and the route is not open to all.
    KeyMissing, "key_missing", 401, NotExecuted, 0, "no key came with the request";
    /// The key is unknown or was withdrawn.
    KeyInvalid, "key_invalid", 401, NotExecuted, 0, "the key is not valid";
    /// The account may not use this route.
    AccountForbidden, "account_forbidden", 403, NotExecuted, 0, "the account may not use this route";
    /// A key's text stands in a part of the request that an endpoint would see.
    KeyInBody, "key_in_body", 400, NotExecuted, 0, "the request carries a key outside the credential headers";
    /// The request is malformed.
    BodyInvalid, "body_invalid", 400, NotExecuted, 0, "the request body is not valid for this call";
    /// The body exceeds the limit.
    BodyTooLarge, "body_too_large", 413, NotExecuted, 0, "the request body is too large";
    /// The headers exceed the limit.
    HeadTooLarge, "head_too_large", 431, NotExecuted, 0, "the request headers are too large";
    /// No route serves the model or path.
    RouteUnknown, "route_unknown", 404, NotExecuted, 0, "no route serves this model or path";
    /// The route does not take this method.
    MethodUnsupported, "method_unsupported", 405, NotExecuted, 0, "the route does not take this method";
    /// No endpoint of the route is available.
    EndpointMissing, "endpoint_missing", 503, NotExecuted, 2, "no endpoint of the route is available";
    /// Every endpoint tried was full.
    Overloaded, "overloaded", 429, NotExecuted, 1, "the endpoints of the route are full";
    /// The account has had its fair share while others of the class wait.
    ShareSpent, "share_spent", 429, NotExecuted, 2, "the account has had its share of a class that is full";
    /// Work of a higher tier took the place in the queue.
    Shed, "shed", 429, NotExecuted, 2, "the request gave way to a higher tier";
    /// The class target can no longer be met.
    DeadlinePassed, "deadline_passed", 503, NotExecuted, 1, "the request can no longer be served in time";
    /// The view of the configuration is older than its freshness bound.
    ViewStale, "view_stale", 503, NotExecuted, 2, "the configuration may be out of date here";
    /// The process is stopping and takes no new work.
    Draining, "draining", 503, NotExecuted, 1, "this host is stopping";
    /// The availability zone takes no new work.
    ZoneClosed, "zone_closed", 503, NotExecuted, 1, "the availability zone takes no new work";
    /// The message between processes was not authentic or not of this cluster.
    PeerInvalid, "peer_invalid", 403, NotExecuted, 0, "the message is not from this cluster";
    /// The control group has no confirmed leader or did not answer.
    ControlUnavailable, "control_unavailable", 503, NotExecuted, 2, "the control group did not answer";
    /// The first request under this request key is still running.
    ClaimRunning, "claim_running", 409, Unknown, 1, "the first request under this request key has not been answered yet";
    /// The first request under this request key may have run; its answer is lost.
    ClaimUnknown, "claim_unknown", 409, Unknown, 0, "the first request under this request key may have run and its answer is lost";
    /// The request key was used with another request.
    ClaimConflict, "claim_conflict", 422, NotExecuted, 0, "the request key was used with another request";
    /// The endpoint failed after it may have started.
    EndpointFailed, "endpoint_failed", 502, Unknown, 1, "the endpoint failed";
    /// The endpoint did not answer in time.
    EndpointTimeout, "endpoint_timeout", 504, Unknown, 1, "the endpoint did not answer in time";
    /// The answer broke off.
    StreamBroken, "stream_broken", 502, Unknown, 1, "the answer broke off before its end";
    /// The caller went away.
    CallerGone, "caller_gone", 499, Unknown, 0, "the caller went away";
    /// A fault of the router itself.
    Internal, "internal", 500, Unknown, 1, "the router failed";
}

impl Kind {
    /// The answer that belongs to this kind.
    pub fn response(self) -> &'static Response {
        &TABLE[self as usize]
    }

    /// Whether it is certain that nothing ran.
    pub fn not_executed(self) -> bool {
        self.response().execution == ExecutionState::NotExecuted
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.response().code)
    }
}

/// The text is not the code of a [`Kind`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownCode(pub String);

impl fmt::Display for UnknownCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not the code of an error kind", self.0)
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
        table_is_in_the_order_of_the_kinds: for (i, row) in TABLE.iter().enumerate() {
            assert_eq!(row.kind as usize, i, "{}", row.code);
        };
        codes_are_unique: for row in TABLE {
            assert_eq!(row.code.parse(), Ok(row.kind));
        };
        refusals_before_dispatch_say_not_run: for row in TABLE.iter().filter(|r| r.status < 409) {
            assert_eq!(row.execution, ExecutionState::NotExecuted, "{}", row.code);
        };
    }
}
