//! An in-flight request.

use std::sync::Arc;

use ids::{
    AccountId,
    EndpointId,
    PartId,
    RouteId,
    ServiceId,
    Tick,
    Ticket, //
};

use plan::Plan;

use crate::exposure::Trial;
use crate::message::Prompt;
use crate::speed::Speed;

/// Response bytes per token, including the framing of events.
const BYTES_PER_TOKEN: f64 = 12.0;

/// Number of route ranks that an endpoint distinguishes within one account rank.
const ROUTE_RANKS: u8 = 3;

/// A request's priority, 0 first: requests compare by account rank, then by route rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Priority {
    /// The account's rank, or the route's if the account has none.
    pub(crate) account: u8,
    /// The route's rank.
    pub(crate) route: u8,
}

impl Priority {
    /// Combines both ranks into one number, for endpoints.
    pub(crate) fn rank(self) -> u8 {
        let route = self.route.min(ROUTE_RANKS - 1);
        self.account
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route)
    }
}

/// An admitted request that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The ticket of the decision on the first attempt.
    pub(crate) ticket: Ticket,
    pub(crate) name: String,
    /// The plan under which the request was admitted; the keys below refer to this plan.
    pub(crate) plan: Arc<Plan>,
    pub(crate) route: RouteId,
    pub(crate) service: ServiceId,
    pub(crate) account: Option<AccountId>,
    pub(crate) prompt: Option<Prompt>,
    /// The shared parts of the prompt, and the request as a whole.
    pub(crate) parts: Vec<PartId>,
    pub(crate) body_bytes: usize,
    pub(crate) priority: Priority,
    pub(crate) deadline: Tick,
    /// Number of attempts that an endpoint may have executed.
    pub(crate) executions: u32,
    /// Number of attempts, executed or not.
    pub(crate) attempts: u32,
    /// Endpoints of failed attempts.
    pub(crate) tried: Vec<EndpointId>,
    /// Endpoint of the current attempt.
    pub(crate) endpoint: Option<EndpointId>,
    /// When the current attempt was dispatched.
    pub(crate) sent_at: Tick,
    /// When the current attempt exceeds its latency target.
    pub(crate) due_at: Tick,
    /// Prompt tokens of the current attempt that count as pending at the endpoint.
    pub(crate) pending_tokens: u64,
    /// Whether a response to the request has started.
    pub(crate) started: bool,
    /// When the response to the current attempt started; none if it has not.
    pub(crate) answering_since: Option<Tick>,
    /// Whether the request has been queued because of the engines' backlog.
    pub(crate) queued: bool,
    /// The request's part in a rollout.
    pub(crate) trial: Trial,
}

impl Request {
    /// Bytes of the request plus the largest expected response.
    pub(crate) fn transfer_bytes(&self) -> f64 {
        let output = self.prompt.as_ref().map_or(0, |prompt| prompt.max_output);
        self.body_bytes as f64 + output as f64 * BYTES_PER_TOKEN
    }

    /// How long the current attempt has waited, in milliseconds.
    pub(crate) fn elapsed_ms(&self, now: Tick) -> f64 {
        now.since(self.sent_at).as_secs_f64() * 1000.0
    }

    /// How long the current attempt has waited beyond what an idle endpoint needs, in milliseconds.
    pub(crate) fn delay(&self, now: Tick, speed: &Speed) -> f64 {
        let expected = speed.prefill_ms(self.pending_tokens) + speed.base_ms();
        (self.elapsed_ms(now) - expected).max(0.0)
    }
}
