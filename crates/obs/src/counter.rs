//! Counters, which are sent to StatsD with `cadence` and are also readable in the process.

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
        /// The counters of all processes. Errors are counted separately, by [`Kind`].
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Counter {
            $(#[doc = $text] $counter,)+
        }

        /// The name and description of each counter, in the order of [`Counter`].
        pub const COUNTERS: &[(Counter, &str, &str)] = &[
            $((Counter::$counter, $name, $text),)+
        ];
    };
}

counters! {
    Received "request.received" "requests received from callers";
    Answered "request.answered" "requests answered by an endpoint";
    QueuedInFront "request.waited" "requests queued until an endpoint's backlog was short enough";
    Replayed "request.replayed" "repeated requests answered with the stored response of their claim";
    UploadsStalled "request.stalled" "requests whose body arrived too slowly";
    Attempted "attempt.sent" "attempts sent to an agent or endpoint";
    RetriedRejected "retry.bounced" "attempts retried because an agent or endpoint lacked capacity";
    RetriedUnreached "retry.unreached" "attempts retried because an agent or endpoint could not be reached";
    RetriedMisdirected "retry.misdirected" "attempts retried because another instance had the address";
    RetriedBroken "retry.broken" "attempts retried because a connection broke";
    RetriedCrashed "retry.crashed" "attempts retried because an endpoint crashed";
    RetriedGarbled "retry.garbled" "attempts retried because a response was malformed";
    RetriedSilent "retry.silent" "attempts retried because the endpoint did not respond in time";
    RetriedFailed "retry.failed" "attempts retried because an endpoint failed before its response started";
    RetryBudgetExhausted "retry.budget" "retries not made because the retry budget was exhausted";
    EndpointConnected "endpoint.connected" "requests for which a connection to an endpoint was opened";
    Ejected "endpoint.ejected" "endpoints ejected after repeated failures";
    Exposed "rollout.exposed" "attempts sent to the new version of a rollout";
    Admitted "admit.started" "requests dispatched to the engine";
    Queued "admit.queued" "requests queued in the agent";
    Preempted "admit.preempted" "running requests preempted by a higher tier";
    ReserveUsed "admit.reserved" "requests started from their class's reserve";
    ColdStarts "admit.cooled" "times the engine became cold";
    StreamBytes "stream.bytes" "bytes of streamed responses";
    StreamAborted "stream.aborted" "streamed responses that were aborted";
    CallerDisconnected "stream.caller_gone" "streamed responses cancelled because the caller disconnected";
    ViewRequested "view.asked" "requests for a newer configuration or deployment";
    ViewAdvanced "view.advanced" "newer configurations or deployments applied";
    Proposed "control.proposed" "changes proposed by operators";
    Claimed "control.claimed" "claims granted";
    Committed "control.committed" "log entries committed";
    Compacted "control.compacted" "log snapshots taken";
    Elected "control.elected" "terms in which the host was elected leader";
    UsageMerged "usage.merged" "usage reports merged";
    UsageSealed "usage.sealed" "usage windows sealed";
    PartQuarantined "quarantine.imposed" "prompt parts put into quarantine";
    PartReleased "quarantine.lifted" "prompt parts released from quarantine";
    RolloutOrdered "rollout.ordered" "orders for rollouts accepted";
    RolloutDone "rollout.done" "rollouts ended with all requests at the new version";
    RolloutRolledBack "rollout.rolled_back" "rollouts ended with no requests at the new version";
}

/// The counters of one process. Clones share their values.
#[derive(Clone, Debug)]
pub struct Counters {
    client: Arc<StatsdClient>,
    /// One value for each [`Counter`], followed by one for each [`Kind`].
    counts: Arc<Vec<AtomicU64>>,
}

impl Counters {
    /// Creates counters that are sent to a StatsD address, or kept only in the process if there is
    /// none.
    ///
    /// # Errors
    ///
    /// A sentence that states why no socket could be opened for the address.
    pub fn new(prefix: &str, statsd: Option<SocketAddr>) -> Result<Self, String> {
        let client = match statsd {
            None => StatsdClient::from_sink(prefix, NopMetricSink),
            Some(address) => {
                let describe =
                    |error: &dyn std::fmt::Display| format!("statsd address {address}: {error}");
                let socket = UdpSocket::bind("0.0.0.0:0").map_err(|error| describe(&error))?;
                let sink =
                    UdpMetricSink::from(address, socket).map_err(|error| describe(&error))?;
                StatsdClient::from_sink(prefix, QueuingMetricSink::from(sink))
            }
        };
        let len = COUNTERS.len() + TABLE.len();
        Ok(Self {
            client: Arc::new(client),
            counts: Arc::new((0..len).map(|_| AtomicU64::new(0)).collect()),
        })
    }

    /// Creates counters that are kept only in the process.
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

    /// Counts `n` events at once.
    pub fn add(&self, counter: Counter, n: u64) {
        self.counts[counter as usize].fetch_add(n, Ordering::Relaxed);
        let _ = self.client.count(COUNTERS[counter as usize].1, n);
    }

    /// Counts an error by its kind.
    pub fn count_error(&self, kind: Kind) {
        self.counts[COUNTERS.len() + kind as usize].fetch_add(1, Ordering::Relaxed);
        let _ = self
            .client
            .incr(&format!("refused.{}", kind.response().code));
    }

    /// The value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }

    /// The number of errors of a kind.
    pub fn errors(&self, kind: Kind) -> u64 {
        self.counts[COUNTERS.len() + kind as usize].load(Ordering::Relaxed)
    }

    /// All counters with their names, in a fixed order.
    pub fn all(&self) -> Vec<(String, u64)> {
        let counters = COUNTERS
            .iter()
            .map(|(counter, name, _)| ((*name).to_owned(), self.get(*counter)));
        let errors = TABLE
            .iter()
            .map(|row| (format!("refused.{}", row.code), self.errors(row.kind)));
        counters.chain(errors).collect()
    }
}
