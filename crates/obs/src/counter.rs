//! Counters, sent by `cadence` and readable in the process.

use std::net::{
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use cadence::{
    Counted,
    CountedExt,
    NopMetricSink,
    QueuingMetricSink,
    StatsdClient,
    UdpMetricSink, //
};
use fault::{
    Kind,
    TABLE, //
};

macro_rules! counters {
    ($($counter:ident $name:literal $text:literal;)+) => {
        /// Everything that is counted, apart from refusals, which are counted by kind.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $(#[doc = $text] $counter,)+
        }

        /// Name and meaning of each counter, in the order of [`Counter`].
        pub const COUNTERS: &[(Counter, &str, &str)] = &[
            $((Counter::$counter, $name, $text),)+
        ];
    };
}

counters! {
    Received "request.received" "requests received from callers";
    Answered "request.answered" "requests answered by an endpoint";
    QueuedInFront "request.waited" "requests that waited for engines with less to read";
    Replayed "request.replayed" "resent requests answered from their claim";
    Attempted "attempt.sent" "attempts sent to an agent";
    RetriedRejected "retry.bounced" "attempts repeated because an agent had no room";
    RetriedUnreached "retry.unreached" "attempts repeated because an agent could not be reached";
    RetriedMisdirected "retry.misdirected" "attempts repeated because another instance had the address";
    RetriedBroken "retry.broken" "attempts repeated because a connection broke";
    RetriedGarbled "retry.garbled" "attempts repeated because what came was no answer";
    RetriedSilent "retry.silent" "attempts repeated because nothing came in time";
    RetriedFailed "retry.failed" "attempts repeated because an endpoint failed before its answer began";
    RetryBudgetExhausted "retry.budget" "retries not made because the account's retry budget was spent";
    EndpointConnected "endpoint.connected" "requests for which a connection to an endpoint was opened";
    Ejected "endpoint.ejected" "endpoints left out after repeated failures";
    Admitted "admit.started" "requests handed to the engine";
    Queued "admit.queued" "requests that waited in the agent";
    Preempted "admit.preempted" "running requests stopped for a higher tier";
    ReserveUsed "admit.reserved" "requests started from their class's reserve";
    ColdStarts "admit.cooled" "times the engine turned cold";
    StreamBytes "stream.bytes" "bytes of streamed answers";
    StreamAborted "stream.aborted" "streamed answers that broke off";
    CallerDisconnected "stream.caller_gone" "streamed answers stopped because the caller went away";
    ViewRequested "view.asked" "questions for a newer configuration";
    ViewAdvanced "view.advanced" "newer configurations taken";
    Proposed "control.proposed" "changes proposed by operators";
    Claimed "control.claimed" "claims granted";
    Committed "control.committed" "log entries committed";
    Compacted "control.compacted" "snapshots made";
    Elected "control.elected" "terms led";
    UsageMerged "usage.merged" "usage reports merged";
    UsageSealed "usage.sealed" "usage windows sealed";
}

/// Counts events of one process. Clones count together.
#[derive(Clone, Debug)]
pub struct Counters {
    client: Arc<StatsdClient>,
    counts: Arc<Vec<AtomicU64>>,
}

impl Counters {
    /// Counters that are sent to a StatsD address, or kept in the process only.
    ///
    /// # Errors
    ///
    /// A sentence, if no socket can be opened for the address.
    pub fn new(prefix: &str, statsd: Option<SocketAddr>) -> Result<Self, String> {
        let client = match statsd {
            None => StatsdClient::from_sink(prefix, NopMetricSink),
            Some(address) => {
                let fault = |f: &dyn std::fmt::Display| format!("statsd address {address}: {f}");
                let socket = UdpSocket::bind("0.0.0.0:0").map_err(|f| fault(&f))?;
                let sink = UdpMetricSink::from(address, socket).map_err(|f| fault(&f))?;
                StatsdClient::from_sink(prefix, QueuingMetricSink::from(sink))
            }
        };
        let cells = COUNTERS.len() + TABLE.len();
        Ok(Self {
            client: Arc::new(client),
            counts: Arc::new((0..cells).map(|_| AtomicU64::new(0)).collect()),
        })
    }

    /// Counters kept in the process only.
    pub fn local() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink("", NopMetricSink)),
            counts: Arc::new(
                (0..COUNTERS.len() + TABLE.len())
                    .map(|_| AtomicU64::new(0))
                    .collect(),
            ),
        }
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Counts several events at once.
    pub fn add(&self, counter: Counter, n: u64) {
        self.counts[counter as usize].fetch_add(n, Ordering::Relaxed);
        let _ = self.client.count(COUNTERS[counter as usize].1, n);
    }

    /// Counts a refusal or failure by its kind.
    pub fn count_error(&self, kind: Kind) {
        self.counts[COUNTERS.len() + kind as usize].fetch_add(1, Ordering::Relaxed);
        let _ = self
            .client
            .incr(&format!("refused.{}", kind.response().code));
    }

    /// How often a counter was counted.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }

    /// How often a kind was counted.
    pub fn errors(&self, kind: Kind) -> u64 {
        self.counts[COUNTERS.len() + kind as usize].load(Ordering::Relaxed)
    }

    /// Every counter with its name, in a fixed order.
    pub fn all(&self) -> Vec<(String, u64)> {
        let plain = COUNTERS
            .iter()
            .map(|(counter, name, _)| ((*name).to_owned(), self.get(*counter)));
        let refused = TABLE
            .iter()
            .map(|row| (format!("refused.{}", row.code), self.errors(row.kind)));
        plain.chain(refused).collect()
    }
}
