//! A plain service that counts the runs of each call.

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

/// Calls that the service handles at once.
const THREADS: usize = 16;

type Runs = Arc<Mutex<BTreeMap<String, u64>>>;

struct Front {
    jobs: crossbeam::channel::Sender<Exchange>,
    transcript: Transcript,
}

impl Handler for Front {
    fn handle(&self, exchange: Exchange) {
        self.transcript.note(&exchange);
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
    runs: Runs,
    transcript: Transcript,
}

impl ServiceHost {
    /// Starts a service that takes `takes` for each call.
    ///
    /// # Errors
    ///
    /// [`EdgeError`].
    pub fn start(listen: SocketAddr, takes: Duration) -> Result<Self, EdgeError> {
        let runs = Runs::default();
        let (jobs, waiting) = crossbeam::channel::unbounded();
        let pool = Pool::start("service-traffic", THREADS, waiting, || {
            let runs = Arc::clone(&runs);
            move |exchange| run(exchange, &runs, takes)
        });
        let pool = pool.map_err(EdgeError::Thread)?;
        let transcript = Transcript::default();
        let front = Front {
            jobs,
            transcript: transcript.clone(),
        };
        let server = Server::start("service-edge", listen, Limits::default(), front)?;
        Ok(Self {
            server,
            pool,
            runs,
            transcript,
        })
    }

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Everything the service saw.
    pub fn transcript(&self) -> &Transcript {
        &self.transcript
    }

    /// How often a call with this method, target and body ran.
    pub fn runs(&self, method: &str, target: &str, body: &str) -> u64 {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(&format!("{method} {target} {body}"))
            .copied()
            .unwrap_or(0)
    }

    /// Ends the service after its open calls.
    pub fn close(self) {
        self.server.close();
        self.pool.close();
    }
}

fn run(exchange: Exchange, runs: &Runs, takes: Duration) {
    std::thread::sleep(takes);
    let body = String::from_utf8_lossy(&exchange.body).into_owned();
    let call = format!("{} {} {body}", exchange.head.method, exchange.head.uri);
    let mut all = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let count = all.entry(call).or_insert(0);
    *count += 1;
    let answer = json!({"run": *count, "echo": body})
        .to_string()
        .into_bytes();
    drop(all);
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    exchange.reply(201, headers, answer);
}
