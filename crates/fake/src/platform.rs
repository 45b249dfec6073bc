//! The platform: accepts usage reports and orders that start or stop endpoints, and lists hosts with
//! a delay.

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

/// Delay until the list of hosts shows the effect of an order.
const LIST_LAG: Duration = Duration::from_millis(500);

/// An order to start or stop an endpoint, as the platform accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Identifies the order; another order with the same identifier has no effect.
    pub id: String,
    /// The zone.
    pub zone: String,
    /// Whether the endpoint is started; otherwise it is stopped.
    pub start: bool,
    /// The endpoint.
    pub endpoint: String,
    /// The fencing token of the control group's leader.
    pub fence: u64,
}

/// The report of a usage window, as the platform accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedWindow {
    /// The window's number.
    pub window: u64,
    /// The fencing token of the control group's leader.
    pub fence: u64,
    /// The rows of usage figures.
    pub lines: Value,
}

#[derive(Default)]
struct State {
    /// The highest fencing token accepted; requests with a lower one are rejected.
    fence: u64,
    orders: Vec<Order>,
    windows: Vec<ReportedWindow>,
    /// Whether each endpoint is live, and since when.
    hosts: BTreeMap<String, (bool, Instant)>,
}

type Shared = Arc<Mutex<State>>;

struct PlatformApi(Shared);

impl Handler for PlatformApi {
    fn handle(&self, exchange: Exchange) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (status, response) = match exchange.head.uri.path() {
            "/orders" => state.order(&exchange.body),
            "/usage" => state.usage(&exchange.body),
            "/hosts" => (200, state.list()),
            _ => (404, Value::Null),
        };
        drop(state);
        exchange.reply(status, HeaderMap::new(), response.to_string().into_bytes());
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
        if !self.orders.iter().any(|accepted| accepted.id == order.id) {
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
        let visible = self
            .hosts
            .iter()
            .filter(|(_, (_, at))| at.elapsed() >= LIST_LAG);
        let rows = visible.map(|(name, (live, _))| {
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
    /// [`EdgeError`] if the address cannot be bound or a thread cannot be started.
    pub fn start(listen: SocketAddr) -> Result<Self, EdgeError> {
        let state = Shared::default();
        let api = PlatformApi(Arc::clone(&state));
        let server = Server::start("platform-edge", listen, Limits::default(), api)?;
        Ok(Self { server, state })
    }

    /// The address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the accepted orders.
    pub fn orders(&self) -> Vec<Order> {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .orders
            .clone()
    }

    /// Returns the accepted usage reports, in order of arrival.
    pub fn windows(&self) -> Vec<ReportedWindow> {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .windows
            .clone()
    }

    /// Stops the platform.
    pub fn close(self) {
        self.server.close();
    }
}
