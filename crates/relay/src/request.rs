//! A request on its way.

use std::sync::Arc;

use ids::{
    AccountId,
    EndpointId,
    RouteId,
    ServiceId,
    Tick, //
};

use plan::Plan;

use crate::lanes::PREFILL_TOKENS_PER_MS;
use crate::message::Prompt;

/// Time to the first event of a short prompt at an idle engine, in milliseconds, as measured on a
/// calm day.
const FIRST_TOKEN_MS: f64 = 80.0;
/// Bytes of an answer for each token, with what frames its events.
const TOKEN_BYTES: f64 = 12.0;

/// Ranks of routes that are told apart under one rank of an account.
const ROUTE_RANKS: u8 = 3;

/// How urgent a request is: the account's rank goes before the route's, 0 first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    /// The account's rank, or the route's where the account has none.
    pub(crate) account: u8,
    /// The route's rank.
    pub(crate) route: u8,
}

impl Urgency {
    /// Both ranks as one number, for endpoints.
    pub(crate) fn rank(self) -> u8 {
        let route = self.route.min(ROUTE_RANKS - 1);
        self.account
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route)
    }
}

/// A request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) name: String,
    /// The plan that it was admitted under; the keys below are of this plan.
    pub(crate) plan: Arc<Plan>,
    pub(crate) route: RouteId,
    pub(crate) service: ServiceId,
    pub(crate) account: Option<AccountId>,
    pub(crate) prompt: Option<Prompt>,
    /// Bytes of the body.
    pub(crate) size: usize,
    pub(crate) urgency: Urgency,
    pub(crate) until: Tick,
    /// Endpoints that may have run it.
    pub(crate) runs: u32,
    /// Attempts made, whether they ran or not.
    pub(crate) attempts: u32,
    pub(crate) tried: Vec<EndpointId>,
    pub(crate) at: Option<EndpointId>,
    /// When the current attempt was sent.
    pub(crate) sent: Tick,
    /// When the current attempt is past its target.
    pub(crate) due: Tick,
    /// Prompt tokens counted as unread at the endpoint.
    pub(crate) unread: u64,
    pub(crate) began: bool,
    /// Whether it had to wait for engines with less to read.
    pub(crate) waited: bool,
}

impl Request {
    /// Bytes of the request and, as far as can be told, of its answer.
    pub(crate) fn bytes(&self) -> f64 {
        let answer = self.prompt.as_ref().map_or(0, |prompt| prompt.max_output);
        self.size as f64 + answer as f64 * TOKEN_BYTES
    }

    /// How long the current attempt has waited beyond the reading of its prompt, in milliseconds.
    pub(crate) fn delay(&self, now: Tick) -> f64 {
        let waited = now.since(self.sent).as_secs_f64() * 1000.0;
        (waited - self.unread as f64 / PREFILL_TOKENS_PER_MS - FIRST_TOKEN_MS).max(0.0)
    }
}
