//! A plain service that counts how often each request was executed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};
use std::time::Duration;

use edge::{
    EdgeError,
    Exchange,
    Handler,
    Limits,
    Pool,
    Server, //
};
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{
    HeaderMap,
    HeaderValue, //
};
use serde_json::json;

use crate::transcript::Transcript;

/// Requests that the service executes concurrently.
const THREADS: usize = 16;

/// Number of executions of each request, by method, target and body.
type Executions = Arc<Mutex<BTreeMap<String, u64>>>;

struct ServiceApi {
    jobs: crossbeam::channel::Sender<Exchange>,
    transcript: Transcript,
}

impl Handler for ServiceApi {
    fn handle(&self, exchange: Exchange) {
        self.transcript.record(&exchange);
        let _ = self.jobs.send(exchange);
    }

    fn reject(&self, exchange: Exchange, kind: fault::Kind) {
        exchange.reply(kind.response().status, HeaderMap::new(), Vec::new());
    }
}

/// A running plain service.
pub struct ServiceHost {
    server: Server,
    pool: Pool,
    executions: Executions,
    transcript: Transcript,
}

impl ServiceHost {
    /// Starts a service that takes `latency` for each request.
    ///
    /// # Errors
    ///
    /// [`EdgeError`] if the address cannot be bound or a thread cannot be started.
    pub fn start(listen: SocketAddr, latency: Duration) -> Result<Self, EdgeError> {
        let executions = Executions::default();
        let (jobs, queue) = crossbeam::channel::unbounded();
        let pool = Pool::start("service-traffic", THREADS, queue, || {
            let executions = Arc::clone(&executions);
            move |exchange| execute(exchange, &executions, latency)
        });
        let pool = pool.map_err(EdgeError::Thread)?;
        let transcript = Transcript::default();
        let api = ServiceApi {
            jobs,
            transcript: transcript.clone(),
        };
        let server = Server::start("service-edge", listen, Limits::default(), api)?;
        Ok(Self {
            server,
            pool,
            executions,
            transcript,
        })
    }

    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The transcript of all received requests.
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// Returns how often a request with this method, target and body was executed.
    pub fn executions(&self, method: &str, target: &str, body: &str) -> u64 {
        let counts = self
            .executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        counts
            .get(&format!("{method} {target} {body}"))
            .copied()
            .unwrap_or(0)
    }

    /// Stops the service after its open requests have completed.
    pub fn close(self) {
        self.server.close();
        self.pool.close();
    }
}

fn execute(exchange: Exchange, executions: &Executions, latency: Duration) {
    std::thread::sleep(latency);
    let body = String::from_utf8_lossy(&exchange.body).into_owned();
    let key = format!("{} {} {body}", exchange.head.method, exchange.head.uri);
    let mut counts = executions.lock().unwrap_or_else(PoisonError::into_inner);
    let count = counts.entry(key).or_insert(0);
    *count += 1;
    let response = json!({"run": *count, "echo": body})
        .to_string()
        .into_bytes();
    drop(counts);
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    exchange.reply(201, headers, response);
}
