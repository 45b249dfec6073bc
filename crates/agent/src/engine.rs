//! Polls the engine's load report, which shows restarts and cache flushes.

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

/// Interval between two polls of the engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long one poll may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The fields of the engine's load report that the agent uses.
#[derive(Deserialize)]
struct Report {
    incarnation: u64,
    #[serde(default)]
    flushes: u64,
}

/// Starts a thread that polls an engine's status and sends it to the core. Logs only the first of
/// several failures in a row.
pub(crate) fn poll_status(
    engine: SocketAddr,
    inbox: AgentInbox,
    log: Logger,
) -> std::io::Result<Worker> {
    let mut reachable = true;
    Worker::start("agent-watch", move || {
        match fetch_status(engine) {
            Ok(status) => {
                reachable = true;
                inbox.send(Input::EngineStatus(status)).ok()?;
            }
            Err(error) => {
                if std::mem::replace(&mut reachable, false) {
                    event!(log, EngineFailed, "fault" => error);
                }
            }
        }
        thread::park_timeout(POLL_INTERVAL);
        Some(())
    })
}

fn fetch_status(engine: SocketAddr) -> Result<EngineStatus, String> {
    let response = Client::new(POLL_TIMEOUT).call(engine, "GET", "/load", &[], Vec::new());
    let response = response.map_err(|error| error.to_string())?;
    let report: Report =
        serde_json::from_slice(&response.body).map_err(|error| error.to_string())?;
    Ok(EngineStatus {
        incarnation: Incarnation(report.incarnation),
        cache_flushes: report.flushes,
    })
}
