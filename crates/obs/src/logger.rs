//! Log output on standard output: text for a terminal, or one JSON object per line for programs.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam::channel::bounded;
use serde::{
    Deserialize,
    Serialize, //
};
use slog::{
    Drain,
    Logger,
    OwnedKV,
    SendSyncRefUnwindSafeKV,
    error,
    info,
    o,
    warn, //
};

use crate::event::{
    Event,
    Severity, //
};

/// Capacity of the queue of log lines. When the queue is full, further lines are dropped and
/// counted.
const QUEUE_LINES: usize = 4096;

/// How long a process waits at its end until the remaining log lines are written. If the reader of
/// standard output has stalled, the process ends without them.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Starts a logger that writes to standard output on a dedicated thread.
pub fn logger(format: LogFormat, role: &'static str, host: &str) -> Logger {
    let fields = o!("role" => role, "host" => host.to_owned());
    match format {
        LogFormat::Terminal => {
            let plain = slog_term::PlainSyncDecorator::new(io::stdout());
            let drain = slog_term::FullFormat::new(plain).build().fuse();
            Logger::root(queued(drain), fields)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(io::stdout()).fuse();
            Logger::root(queued(std::sync::Mutex::new(drain).map(slog::Fuse)), fields)
        }
    }
}

/// Creates a logger that drops all lines.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Closes a process's logger. Lines that cannot be written in time are lost.
pub fn close(log: Logger) {
    let (done, written) = bounded(1);
    // Dropping the last handle of a logger blocks until all lines are written, without a time
    // limit, so a separate thread drops it.
    thread::spawn(move || {
        drop(log);
        let _ = done.send(());
    });
    let _ = written.recv_timeout(FLUSH_TIMEOUT);
}

/// Queues lines for a dedicated thread, which writes them to the drain.
fn queued<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse()
}

/// Logs an event with its fields. The macro [`event!`](crate::event!) calls this function.
pub fn emit<T>(log: &Logger, event: Event, fields: OwnedKV<T>)
where
    T: SendSyncRefUnwindSafeKV + 'static,
{
    let row = event.row();
    let log = log.new(fields);
    match row.severity {
        Severity::Info => info!(log, "{}", row.text; "event" => row.number),
        Severity::Warning => warn!(log, "{}", row.text; "event" => row.number),
        Severity::Error => error!(log, "{}", row.text; "event" => row.number),
    }
}

/// Logs a numbered event: `event!(log, Started, "listen" => address.to_string())`.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:ident $(, $key:literal => $value:expr)* $(,)?) => {
        $crate::emit(&$log, $crate::Event::$event, ::slog::o!($($key => $value),*))
    };
}
