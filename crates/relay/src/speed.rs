//! The speed of a service's endpoints, learned from the responses.
//!
//! The time to the start of a response is at least a base time plus the time to prefill the prompt
//! part that no cache can hold. Queueing, cache misses and concurrent requests add to it. The lower
//! envelope of the observed times is therefore an estimate of both, found by quantile regression:
//! each observation moves the estimate by a bounded step, whatever its size.

/// The share of observations that lie below the estimate.
const QUANTILE: f64 = 0.05;
/// Factor on the steps towards slower endpoints while requests queue there, so that the estimate
/// does not take a burst for the endpoints' own speed.
const CONGESTED_FACTOR: f64 = 0.1;
/// Step of the base time for one observation, as a share of the base time.
const BASE_STEP: f64 = 0.04;
/// Step of the prefill time for one observation at a prompt of [`LONG_TOKENS`], as a share of it.
const PREFILL_STEP: f64 = 0.04;
/// Prompt length at which the prefill time adapts at its full step.
const LONG_TOKENS: f64 = 4000.0;
/// Estimate of the base time before the first observation, in milliseconds.
const INITIAL_BASE_MS: f64 = 60.0;
/// Shortest and longest base time, in milliseconds.
const BASE_MS: (f64, f64) = (2.0, 1000.0);
/// Estimate of the prefill time before the first observation, in milliseconds per token.
const INITIAL_TOKEN_MS: f64 = 0.01;
/// Shortest and longest prefill time, in milliseconds per token.
const TOKEN_MS: (f64, f64) = (0.0002, 0.2);
/// Share of the base time by which each request in a batch delays the first token of another one.
const REQUEST_SHARE: f64 = 0.03;

/// What a service's endpoints need for one request while they are idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Speed {
    base_ms: f64,
    token_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            base_ms: INITIAL_BASE_MS,
            token_ms: INITIAL_TOKEN_MS,
        }
    }
}

impl Speed {
    /// Records that a response started `elapsed_ms` after its request was sent. `tokens` of its
    /// prompt cannot have been cached. `queue_ms` is the typical delay of such responses.
    pub(crate) fn record(&mut self, tokens: u64, elapsed_ms: f64, queue_ms: f64) {
        let tokens = tokens as f64;
        let direction = if elapsed_ms < self.base_ms + tokens * self.token_ms {
            QUANTILE - 1.0
        } else if queue_ms > self.base_ms {
            QUANTILE * CONGESTED_FACTOR
        } else {
            QUANTILE
        };
        // A long prompt tells more about the prefill, a short one more about the base time.
        let weight = (tokens / LONG_TOKENS).min(1.0);
        let base_ms = self.base_ms * (1.0 + direction * BASE_STEP * (1.0 - weight));
        let token_ms = self.token_ms * (1.0 + direction * PREFILL_STEP * weight);
        self.base_ms = base_ms.clamp(BASE_MS.0, BASE_MS.1);
        self.token_ms = token_ms.clamp(TOKEN_MS.0, TOKEN_MS.1);
    }

    /// Time to the start of a response without a prompt to prefill, in milliseconds.
    pub(crate) fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Time to prefill a number of tokens, in milliseconds.
    pub(crate) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.token_ms
    }

    /// Time by which each concurrent request delays the start of a response, in milliseconds.
    pub(crate) fn request_ms(&self) -> f64 {
        self.base_ms * REQUEST_SHARE
    }
}
