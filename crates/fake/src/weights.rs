//! A weight store that gives only so many bytes a second.

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

/// A rate limit: tells how long a transfer of some bytes must wait.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: u64,
    free_at: Tick,
}

impl Bucket {
    /// A limit of `rate` bytes a second.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: rate.max(1),
            free_at: Tick::default(),
        }
    }

    /// Books a transfer; it is complete after the time returned.
    pub fn book(&mut self, now: Tick, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(1_000_000) / self.rate;
        self.free_at = self.free_at.max(now) + Duration::from_micros(micros);
        self.free_at.since(now)
    }
}

struct Front {
    bucket: Mutex<Bucket>,
    clock: Monotonic,
}

impl Handler for Front {
    fn handle(&self, exchange: Exchange) {
        let body: Value = serde_json::from_slice(&exchange.body).unwrap_or_default();
        let bytes = body["bytes"].as_u64().unwrap_or(0);
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = bucket.book(self.clock.now(), bytes);
        drop(bucket);
        let answer = json!({"ready_in_ms": millis(wait)});
        exchange.reply(200, HeaderMap::new(), answer.to_string().into_bytes());
    }

    fn reject(&self, exchange: Exchange, kind: fault::Kind) {
        exchange.reply(kind.response().status, HeaderMap::new(), Vec::new());
    }
}

/// A running weight store.
pub struct WeightHost(Server);

impl WeightHost {
    /// Starts a weight store that gives `rate` bytes a second.
    ///
    /// # Errors
    ///
    /// [`EdgeError`].
    pub fn start(listen: SocketAddr, rate: u64) -> Result<Self, EdgeError> {
        let front = Front {
            bucket: Mutex::new(Bucket::new(rate)),
            clock: Monotonic::start(),
        };
        Server::start("weights-edge", listen, Limits::default(), front).map(Self)
    }

    /// Where the store listens.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Ends the store.
    pub fn close(self) {
        self.0.close();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    case::cases! {
        transfers_queue_up: {
            let mut bucket = Bucket::new(1000);
            assert_eq!(bucket.book(Tick(0), 500), Duration::from_millis(500));
            assert_eq!(bucket.book(Tick(0), 500), Duration::from_millis(1000));
        };
        idle_time_is_not_saved_up: {
            let mut bucket = Bucket::new(1000);
            assert_eq!(bucket.book(Tick(5_000_000), 500), Duration::from_millis(500));
        };
    }
}
