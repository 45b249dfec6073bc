//! Delivers sealed usage windows to the billing interface, under the leader's lease.

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
use crate::protocol::{
    BillingRequest,
    PlatformCodec, //
};

/// What must be left of the lease when a delivery begins; the delivery's time-out is half of it.
const LEAST_LEFT: Duration = Duration::from_millis(150);

/// Figures to be delivered, and the right to do so.
pub(crate) enum Due {
    /// A window of the book.
    Window(Window, Lease),
    /// A window of the wall clock.
    Statement(Statement, Lease),
}

/// The channel to a delivery thread; the core has one window of each kind on its way at most.
pub(crate) fn channel() -> (Sender<Due>, Receiver<Due>) {
    bounded(2)
}

/// Where and as whom windows are delivered.
pub(crate) struct Delivery<D> {
    pub(crate) protocol: D,
    pub(crate) platform: Option<SocketAddr>,
    pub(crate) holder: String,
    pub(crate) inbox: ControlInbox,
    pub(crate) clock: Monotonic,
    pub(crate) log: Logger,
}

/// Starts the delivery thread; it is over when the sender is gone.
pub(crate) fn start<D: PlatformCodec>(
    delivery: Delivery<D>,
    windows: Receiver<Due>,
) -> std::io::Result<Worker> {
    Worker::start("control-report", move || {
        let due = windows.recv().ok()?;
        delivery.inbox.send(delivery.carry(due)).ok()
    })
}

impl<D: PlatformCodec> Delivery<D> {
    /// Delivers figures and says what became of them.
    fn carry(&self, due: Due) -> Input {
        match due {
            Due::Window(window, authority) => {
                let (number, call) = (window.number, plain(&window, authority));
                Input::WindowDelivered(number, self.deliver(number, &call, authority))
            }
            Due::Statement(statement, authority) => {
                let fence = authority.term.0;
                let call = self
                    .protocol
                    .encode_statement(&statement, &self.holder, fence);
                let number = statement.window;
                let runs: u64 = statement.runs.values().sum();
                event!(self.log, WindowReported, "window" => number, "runs" => runs,
                    "sources" => statement.sources, "fence" => fence);
                Input::StatementDelivered(number, self.deliver(number, &call, authority))
            }
        }
    }

    fn deliver(&self, number: u64, call: &BillingRequest, authority: Lease) -> bool {
        let Some(platform) = self.platform else {
            return false;
        };
        let headers: Vec<_> = call
            .headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
            .collect();
        // The last thing before the write: whoever was paused until now must not write.
        let left = authority.expires_at.since(self.clock.now());
        if left < LEAST_LEFT {
            return false;
        }
        let client = Client::new(left.min(Duration::from_secs(1)) / 2);
        let body = call.body.clone();
        match client.call(platform, "POST", &call.target, &headers, body) {
            Ok(reply) if reply.status == 200 => {
                event!(self.log, WindowDelivered, "window" => number);
                true
            }
            Ok(reply) => {
                event!(self.log, WindowHeld, "window" => number, "status" => reply.status);
                false
            }
            Err(fault) => {
                event!(self.log, WindowHeld, "window" => number, "fault" => fault.to_string());
                false
            }
        }
    }
}

/// The report of a window of the book.
fn plain(window: &Window, authority: Lease) -> BillingRequest {
    let lines: Vec<_> = window
        .lines
        .iter()
        .map(|(line, counts)| {
            json!({
                "account": line.account, "class": line.class, "runs": counts.runs,
                "input_tokens": counts.input, "output_tokens": counts.output,
            })
        })
        .collect();
    let body = json!({
        "window": window.number, "end": window.end, "fence": authority.term, "lines": lines,
    });
    BillingRequest {
        target: "/usage".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: body.to_string().into_bytes(),
    }
}
