//! A weight store with a limited transfer rate.

use std::net::SocketAddr;
use std::sync::{
    Mutex,
    PoisonError, //
};
use std::time::Duration;

use edge::{
    EdgeError,
    Exchange,
    Handler,
    Limits,
    Server, //
};
use ids::{
    Clock,
    Monotonic,
    Tick,
    millis, //
};
use oxhttp::model::HeaderMap;
use serde_json::{
    Value,
    json, //
};

/// Limits the rate of transfers, which are served one after another.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    /// Bytes per second.
    rate: u64,
    /// When the transfers reserved so far are complete.
    free_at: Tick,
}

impl RateLimiter {
    /// Creates a limit of `rate` bytes per second.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: rate.max(1),
            free_at: Tick::default(),
        }
    }

    /// Reserves a transfer. Returns the time until the transfer is complete.
    pub fn reserve(&mut self, now: Tick, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(1_000_000) / self.rate;
        self.free_at = self.free_at.max(now) + Duration::from_micros(micros);
        self.free_at.since(now)
    }
}

struct WeightApi {
    limiter: Mutex<RateLimiter>,
    clock: Monotonic,
}

impl Handler for WeightApi {
    fn handle(&self, exchange: Exchange) {
        let body: Value = serde_json::from_slice(&exchange.body).unwrap_or_default();
        let bytes = body["bytes"].as_u64().unwrap_or(0);
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = limiter.reserve(self.clock.now(), bytes);
        drop(limiter);
        let response = json!({"ready_in_ms": millis(wait)});
        exchange.reply(200, HeaderMap::new(), response.to_string().into_bytes());
    }

    fn reject(&self, exchange: Exchange, kind: fault::Kind) {
        exchange.reply(kind.response().status, HeaderMap::new(), Vec::new());
    }
}

/// A running weight store.
pub struct WeightHost(Server);

impl WeightHost {
    /// Starts a weight store with a transfer rate of `rate` bytes per second.
    ///
    /// # Errors
    ///
    /// [`EdgeError`] if the address cannot be bound or a thread cannot be started.
    pub fn start(listen: SocketAddr, rate: u64) -> Result<Self, EdgeError> {
        let api = WeightApi {
            limiter: Mutex::new(RateLimiter::new(rate)),
            clock: Monotonic::start(),
        };
        Server::start("weights-edge", listen, Limits::default(), api).map(Self)
    }

    /// The address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Stops the store.
    pub fn close(self) {
        self.0.close();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    case::cases! {
        transfers_are_served_one_after_another: {
            let mut limiter = RateLimiter::new(1000);
            assert_eq!(limiter.reserve(Tick(0), 500), Duration::from_millis(500));
            assert_eq!(limiter.reserve(Tick(0), 500), Duration::from_millis(1000));
        };
        idle_time_earns_no_credit: {
            let mut limiter = RateLimiter::new(1000);
            assert_eq!(limiter.reserve(Tick(5_000_000), 500), Duration::from_millis(500));
        };
    }
}
