//! The platform: orders of endpoints by zone, a lagging list of hosts, and the intake of usage
//! reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::time::{
    Duration,
    Instant, //
};

use edge::{
    EdgeError,
    Exchange,
    Handler,
    Limits,
    Server, //
};
use oxhttp::model::HeaderMap;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};

/// How far the list of hosts lags behind.
const LIST_LAG: Duration = Duration::from_millis(500);

/// An order as the platform took it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Names the order; a second one with the same name changes nothing.
    pub id: String,
    /// The zone.
    pub zone: String,
    /// Whether an endpoint is started, or stopped.
    pub start: bool,
    /// The endpoint.
    pub endpoint: String,
    /// The fencing number.
    pub fence: u64,
}

/// A usage window as the platform took it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedWindow {
    /// The window's number.
    pub window: u64,
    /// The fencing number.
    pub fence: u64,
    /// The figures.
    pub lines: Value,
}

#[derive(Default)]
struct State {
    fence: u64,
    orders: Vec<Order>,
    windows: Vec<ReportedWindow>,
    hosts: BTreeMap<String, (bool, Instant)>,
}

type Shared = Arc<Mutex<State>>;

struct Front(Shared);

impl Handler for Front {
    fn handle(&self, exchange: Exchange) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (status, answer) = match exchange.head.uri.path() {
            "/orders" => state.order(&exchange.body),
            "/usage" => state.usage(&exchange.body),
            "/hosts" => (200, state.list()),
            _ => (404, Value::Null),
        };
        drop(state);
        exchange.reply(status, HeaderMap::new(), answer.to_string().into_bytes());
    }

    fn reject(&self, exchange: Exchange, kind: fault::Kind) {
        exchange.reply(kind.response().status, HeaderMap::new(), Vec::new());
    }
}

impl State {
    fn order(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(order) = serde_json::from_slice::<Order>(body) else {
            return (400, json!({"error": "not an order"}));
        };
        if order.fence < self.fence {
            return (409, json!({"error": "stale fence"}));
        }
        self.fence = order.fence;
        if !self.orders.iter().any(|known| known.id == order.id) {
            self.hosts
                .insert(order.endpoint.clone(), (order.start, Instant::now()));
            self.orders.push(order);
        }
        (200, json!({"done": true}))
    }

    fn usage(&mut self, body: &[u8]) -> (u16, Value) {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({"error": "not a report"}));
        };
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < self.fence {
            return (409, json!({"error": "stale fence"}));
        }
        self.fence = fence;
        self.windows.push(ReportedWindow {
            window: body["window"].as_u64().unwrap_or(u64::MAX),
            fence,
            lines: body["lines"].clone(),
        });
        (200, json!({"accepted": true}))
    }

    fn list(&self) -> Value {
        let seen = self
            .hosts
            .iter()
            .filter(|(_, (_, at))| at.elapsed() >= LIST_LAG);
        let rows = seen.map(|(name, (live, _))| {
            json!({"endpoint": name, "state": if *live { "live" } else { "leaving" }})
        });
        json!({"hosts": rows.collect::<Vec<_>>()})
    }
}

/// A running platform stand-in.
pub struct PlatformHost {
    server: Server,
    state: Shared,
}

impl PlatformHost {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// [`EdgeError`].
    pub fn start(listen: SocketAddr) -> Result<Self, EdgeError> {
        let state = Shared::default();
        let front = Front(Arc::clone(&state));
        let server = Server::start("platform-edge", listen, Limits::default(), front)?;
        Ok(Self { server, state })
    }

    /// Where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The orders taken.
    pub fn orders(&self) -> Vec<Order> {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .orders
            .clone()
    }

    /// The usage reports taken, in the order in which they came.
    pub fn windows(&self) -> Vec<ReportedWindow> {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .windows
            .clone()
    }

    /// Ends the platform.
    pub fn close(self) {
        self.server.close();
    }
}
