//! Log output: for people at a terminal, or JSON lines for programs.

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

/// Log lines that may wait for the output; more are dropped and counted.
const QUEUE_LINES: usize = 4096;

/// How long the last lines may take at the end of a process. A reader that takes none for this long
/// has stalled.
const LAST_LINES: Duration = Duration::from_millis(500);

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Starts a logger that writes to standard output from a thread of its own.
pub fn logger(format: LogFormat, role: &'static str, host: &str) -> Logger {
    let fields = o!("role" => role, "host" => host.to_owned());
    match format {
        LogFormat::Terminal => {
            let plain = slog_term::PlainSyncDecorator::new(io::stdout());
            let drain = slog_term::FullFormat::new(plain).build().fuse();
            Logger::root(spool(drain), fields)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(io::stdout()).fuse();
            Logger::root(spool(std::sync::Mutex::new(drain).map(slog::Fuse)), fields)
        }
    }
}

/// A logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Ends a process's logger. Lines that the reader does not take in time are lost.
pub fn close(log: Logger) {
    let (done, written) = bounded(1);
    // The last handle of a logger waits for its lines, however long the reader takes.
    thread::spawn(move || {
        drop(log);
        let _ = done.send(());
    });
    let _ = written.recv_timeout(LAST_LINES);
}

fn spool<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse()
}

/// Logs an event with its fields. Use [`event!`](crate::event!) instead.
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
