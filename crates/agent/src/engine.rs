//! The engine's side interface: what it says of itself.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use admit::{
    EngineStatus,
    Input, //
};
use edge::Client;
use ids::Incarnation;
use obs::{
    Logger,
    event, //
};
use serde::Deserialize;
use step::Worker;

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
pub(crate) fn watch(engine: SocketAddr, inbox: AgentInbox, log: Logger) -> std::io::Result<Worker> {
    let mut heard = true;
    Worker::start("agent-watch", move || {
        match ask(engine) {
            Ok(report) => {
                heard = true;
                inbox.send(Input::EngineStatus(report)).ok()?;
            }
            Err(fault) => {
                if std::mem::replace(&mut heard, false) {
                    event!(log, EngineFailed, "fault" => fault);
                }
            }
        }
        thread::park_timeout(ASK_EVERY);
        Some(())
    })
}

fn ask(engine: SocketAddr) -> Result<EngineStatus, String> {
    let reply = Client::new(PATIENCE).call(engine, "GET", "/load", &[], Vec::new());
    let reply = reply.map_err(|fault| fault.to_string())?;
    let report: Report = serde_json::from_slice(&reply.body).map_err(|fault| fault.to_string())?;
    Ok(EngineStatus {
        incarnation: Incarnation(report.incarnation),
        cache_flushes: report.flushes,
    })
}
