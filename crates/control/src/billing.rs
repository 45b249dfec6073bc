//! Delivers sealed usage windows and statements to the billing interface under the leader's lease.

use std::net::SocketAddr;
use std::time::Duration;

use agree::Lease;
use crossbeam::channel::{
    Receiver,
    Sender,
    bounded, //
};
use edge::Client;
use govern::Input;
use ids::{
    Clock,
    Monotonic, //
};
use obs::{
    Logger,
    event, //
};
use serde_json::json;
use step::Worker;
use usage::{
    Statement,
    Window, //
};

use crate::effects::ControlInbox;
use crate::platform::{
    BillingRequest,
    PlatformCodec, //
};

/// Time that the lease must still be valid when a delivery starts. The timeout of the delivery is
/// half of the remaining time, and at most 500 ms, so that the delivery ends before the lease does.
const MIN_LEASE_REMAINING: Duration = Duration::from_millis(150);

/// Usage to be delivered, and the lease that permits it.
pub(crate) enum Job {
    /// A usage window, which sums up the reports of agents.
    Window(Window, Lease),
    /// A statement, which sums up the reports of fronts for a wall-clock window.
    Statement(Statement, Lease),
}

/// The channel to the delivery thread. The core has at most one delivery of each kind in flight.
pub(crate) fn channel() -> (Sender<Job>, Receiver<Job>) {
    bounded(2)
}

/// Sends usage to the billing interface. `holder` is the host that the platform records as the
/// holder of the lease.
pub(crate) struct Deliverer<C> {
    pub(crate) codec: C,
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) holder: String,
    pub(crate) inbox: ControlInbox,
    pub(crate) clock: Monotonic,
    pub(crate) log: Logger,
}

/// Starts the delivery thread. It ends when all senders are dropped.
pub(crate) fn start<C: PlatformCodec>(
    deliverer: Deliverer<C>,
    jobs: Receiver<Job>,
) -> std::io::Result<Worker> {
    Worker::start("control-report", move || {
        let job = jobs.recv().ok()?;
        deliverer.inbox.send(deliverer.run(job)).ok()
    })
}

impl<C: PlatformCodec> Deliverer<C> {
    /// Carries out a delivery and returns its result as an input for the core.
    fn run(&self, job: Job) -> Input {
        match job {
            Job::Window(window, lease) => {
                let (number, request) = (window.number, encode_window(&window, lease));
                Input::WindowDelivered(number, self.deliver(number, &request, lease))
            }
            Job::Statement(statement, lease) => {
                let fence = lease.term.0;
                let request = self.codec.encode_statement(&statement, &self.holder, fence);
                let number = statement.window;
                let runs: u64 = statement.runs.values().sum();
                event!(self.log, WindowSent, "window" => number, "runs" => runs,
                    "sources" => statement.sources, "fence" => fence);
                Input::StatementDelivered(number, self.deliver(number, &request, lease))
            }
        }
    }

    fn deliver(&self, number: u64, request: &BillingRequest, lease: Lease) -> bool {
        let Some(platform) = self.platform else {
            return false;
        };
        let headers: Vec<_> = request
            .headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
            .collect();
        // The lease is checked again immediately before the request is written: it may have expired
        // while the process was suspended or the connection was opened.
        let remaining = || lease.expires_at.since(self.clock.now());
        let permitted = || remaining() >= MIN_LEASE_REMAINING;
        if !permitted() {
            event!(self.log, WindowDeferred, "window" => number, "fault" => "the lease has expired");
            return false;
        }
        let client = Client::new(remaining().min(Duration::from_secs(1)) / 2);
        let body = request.body.clone();
        match client.post_if(platform, &request.target, &headers, body, permitted) {
            Ok(response) if response.status == 200 => {
                event!(self.log, WindowDelivered, "window" => number);
                true
            }
            Ok(response) => {
                event!(self.log, WindowDeferred, "window" => number, "status" => response.status);
                false
            }
            Err(error) => {
                event!(self.log, WindowDeferred, "window" => number, "fault" => error.to_string());
                false
            }
        }
    }
}

/// Encodes a usage window for the billing interface.
fn encode_window(window: &Window, lease: Lease) -> BillingRequest {
    let lines: Vec<_> = window
        .lines
        .iter()
        .map(|(key, counts)| {
            json!({
                "account": key.account, "class": key.class, "runs": counts.runs,
                "input_tokens": counts.input, "output_tokens": counts.output,
            })
        })
        .collect();
    let body = json!({
        "window": window.number, "end": window.end, "fence": lease.term, "lines": lines,
    });
    BillingRequest {
        target: "/usage".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: body.to_string().into_bytes(),
    }
}
