//! Delivers sealed usage windows to the billing interface, under the leader's lease.

use std::net::SocketAddr;
use std::thread::{
    self,
    JoinHandle, //
};
use std::time::Duration;

use agree::Authority;
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
use usage::Window;

use crate::effects::ControlInbox;

/// What must be left of the lease when a delivery begins; the delivery's time-out is half of it.
const LEAST_LEFT: Duration = Duration::from_millis(200);

/// A window to be delivered, and the right to do so.
pub(crate) type Due = (Window, Authority);

/// A running delivery thread.
pub(crate) struct Deliverer {
    thread: JoinHandle<()>,
}

/// The channel to a delivery thread; the core has one window on its way at most.
pub(crate) fn channel() -> (Sender<Due>, Receiver<Due>) {
    bounded(1)
}

impl Deliverer {
    /// Starts the thread; it ends when the sender is gone.
    pub(crate) fn start(
        platform: Option<SocketAddr>,
        windows: Receiver<Due>,
        inbox: ControlInbox,
        clock: Monotonic,
        log: Logger,
    ) -> std::io::Result<Self> {
        let deliver = move || {
            for (window, authority) in windows {
                let accepted = platform
                    .is_some_and(|platform| deliver(platform, &window, authority, clock, &log));
                let number = window.number;
                if accepted {
                    event!(log, WindowDelivered, "window" => number);
                }
                if inbox.send(Input::Delivered(number, accepted)).is_err() {
                    return;
                }
            }
        };
        let thread = thread::Builder::new()
            .name("control-report".to_owned())
            .spawn(deliver)?;
        Ok(Self { thread })
    }

    pub(crate) fn close(self) {
        let _ = self.thread.join();
    }
}

fn deliver(
    platform: SocketAddr,
    window: &Window,
    authority: Authority,
    clock: Monotonic,
    log: &Logger,
) -> bool {
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
    let body = body.to_string().into_bytes();
    // The last thing before the write: whoever was paused until now must not write.
    let left = authority.until.since(clock.now());
    if left < LEAST_LEFT {
        return false;
    }
    let client = Client::new(left.min(Duration::from_secs(1)) / 2);
    let headers = [("content-type", "application/json")];
    match client.call(platform, "POST", "/usage", &headers, body) {
        Ok(reply) if reply.status == 200 => true,
        Ok(reply) => {
            event!(log, WindowHeld, "window" => window.number, "status" => reply.status);
            false
        }
        Err(fault) => {
            event!(log, WindowHeld, "window" => window.number, "fault" => fault.to_string());
            false
        }
    }
}
