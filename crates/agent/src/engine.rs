//! The engine's side interface: what it says of itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::thread::{
    self,
    JoinHandle, //
};
use std::time::Duration;

use admit::{
    Engine,
    Input, //
};
use edge::Client;
use ids::Incarnation;
use obs::{
    Logger,
    event, //
};
use serde::Deserialize;

use crate::control::AgentInbox;

/// How often the engine is asked.
const ASK_EVERY: Duration = Duration::from_millis(500);
/// How long one answer may take.
const PATIENCE: Duration = Duration::from_secs(1);

/// The engine's load report, as far as the agent uses it.
#[derive(Deserialize)]
struct Report {
    incarnation: u64,
    #[serde(default)]
    flushes: u64,
}

/// Watches an engine from a thread of its own.
pub(crate) struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Watch {
    pub(crate) fn start(
        engine: SocketAddr,
        inbox: AgentInbox,
        log: Logger,
    ) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::Builder::new()
            .name("agent-watch".to_owned())
            .spawn(move || {
                let mut heard = true;
                while !stopped.load(Ordering::Acquire) {
                    match ask(engine) {
                        Ok(report) => {
                            heard = true;
                            if inbox.send(Input::Engine(report)).is_err() {
                                return;
                            }
                        }
                        Err(fault) => {
                            if std::mem::replace(&mut heard, false) {
                                event!(log, EngineFailed, "fault" => fault);
                            }
                        }
                    }
                    thread::park_timeout(ASK_EVERY);
                }
            })?;
        Ok(Self { stop, thread })
    }

    pub(crate) fn close(self) {
        self.stop.store(true, Ordering::Release);
        self.thread.thread().unpark();
        let _ = self.thread.join();
    }
}

fn ask(engine: SocketAddr) -> Result<Engine, String> {
    let reply = Client::new(PATIENCE).call(engine, "GET", "/load", &[], Vec::new());
    let reply = reply.map_err(|fault| fault.to_string())?;
    let report: Report = serde_json::from_slice(&reply.body).map_err(|fault| fault.to_string())?;
    Ok(Engine {
        run: Incarnation(report.incarnation),
        flushes: report.flushes,
    })
}
