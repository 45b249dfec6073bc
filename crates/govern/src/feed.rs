//! Distribution of the deployment, the directory, the quarantine and the stages of
//! rollouts over two levels: the leader feeds
//! the other control processes, and each control process serves the fronts that poll it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ids::Tick;
use plan::Distributor;
use step::Outbox;
use usage::{
    Reporter,
    Runs,
    Tally, //
};

use crate::evidence::Reports;
use crate::message::{
    FeedReply,
    FeedRequest,
    Output, //
};
use crate::rollout::FrontCounts;
use crate::subscribers::SubscriberId;

/// How long the leader holds a distributor's request without an update. A front's directory is at
/// most this much older than it would be if the front polled the leader.
pub(crate) const FEED_WAIT: Duration = Duration::from_millis(400);
/// Delay before the next request after a failed one.
const FEED_RETRY: Duration = Duration::from_millis(100);
/// Time since the last successful request after which a distributor has lost touch with the leader:
/// two requests that were held as long as possible.
const FEED_TIMEOUT: Duration = Duration::from_secs(1);
/// Time since its last request after which the leader no longer counts a distributor.
const DISTRIBUTOR_TTL: Duration = Duration::from_secs(3);

/// The versions of the deployment, the directory, the quarantine and the stages of rollouts that a
/// distributor holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FeedPosition {
    /// The deployment's generation; none if the distributor does not get it from the feed.
    pub(crate) generation: Option<u64>,
    /// The directory's version.
    pub(crate) directory: u64,
    /// The quarantine's version; none if the distributor does not get it from the feed.
    pub(crate) quarantine: Option<u64>,
    /// The version of the stages; none if the distributor does not get them from the feed.
    pub(crate) rollouts: Option<u64>,
}

/// What the leader knows of a control process that it feeds.
#[derive(Debug)]
struct Fed {
    zone: String,
    /// How many fronts poll the process.
    subscribers: usize,
    /// When it last sent a request.
    seen_at: Tick,
}

/// The leader's record of the control processes that it feeds, by address.
#[derive(Debug, Default)]
pub(crate) struct Distributors(BTreeMap<SocketAddr, Fed>);

impl Distributors {
    /// Records a distributor's request.
    pub(crate) fn record(&mut self, now: Tick, distributor: &Distributor, subscribers: usize) {
        self.0
            .retain(|_, fed| now.since(fed.seen_at) < DISTRIBUTOR_TTL);
        let fed = Fed {
            zone: distributor.zone.clone(),
            subscribers,
            seen_at: now,
        };
        self.0.insert(distributor.address, fed);
    }

    /// How many fronts poll the distributors.
    pub(crate) fn subscribers(&self, now: Tick) -> usize {
        self.current(now).map(|(_, fed)| fed.subscribers).sum()
    }

    /// The distributors that have sent a request recently.
    pub(crate) fn list(&self, now: Tick) -> Vec<Distributor> {
        let distributor = |(address, fed): (&SocketAddr, &Fed)| Distributor {
            address: *address,
            zone: fed.zone.clone(),
        };
        self.current(now).map(distributor).collect()
    }

    fn current(&self, now: Tick) -> impl Iterator<Item = (&SocketAddr, &Fed)> {
        let current = move |fed: &Fed| now.since(fed.seen_at) < DISTRIBUTOR_TTL;
        self.0.iter().filter(move |(_, fed)| current(fed))
    }
}

/// A distributor's requests to the leader.
#[derive(Debug)]
pub(crate) struct Uplink {
    id: SubscriberId,
    own: Distributor,
    /// When the request in progress was sent; none if there is none.
    sent_at: Option<Tick>,
    /// When the next request may be sent.
    retry_at: Tick,
    /// When the last successful request was sent; none before the first.
    pub(crate) refreshed_at: Option<Tick>,
    /// The control processes that fronts may poll, as the leader reported.
    pub(crate) distributors: Vec<Distributor>,
    /// The number of fronts, as the leader reported.
    pub(crate) subscribers: usize,
    /// The last sealed usage window.
    pub(crate) last_sealed: Option<u64>,
    /// Usage to report with the next request.
    tallies: BTreeMap<Reporter, Vec<(u64, Runs)>>,
    /// Evidence to report with the next request.
    pub(crate) reports: Reports,
    /// Fronts' counts for rollouts, to report with the next request.
    pub(crate) counts: FrontCounts,
}

impl Uplink {
    /// The uplink of the process `id`, which fronts reach at `own`.
    pub(crate) fn new(id: SubscriberId, own: Distributor) -> Self {
        Self {
            id,
            own,
            sent_at: None,
            retry_at: Tick::default(),
            refreshed_at: None,
            distributors: Vec::new(),
            subscribers: 0,
            last_sealed: None,
            tallies: BTreeMap::new(),
            reports: Reports::default(),
            counts: FrontCounts::default(),
        }
    }

    /// Where fronts reach this process.
    pub(crate) fn own(&self) -> &Distributor {
        &self.own
    }

    /// Whether the leader replied recently.
    pub(crate) fn in_touch(&self, now: Tick) -> bool {
        self.refreshed_at
            .is_some_and(|at| now.since(at) <= FEED_TIMEOUT)
    }

    /// Keeps a front's usage for the next request. A later report of the front replaces it, and the
    /// front repeats its report until the window is sealed, so nothing is lost with this process.
    pub(crate) fn add_tally(&mut self, tally: Tally) {
        let (reporter, mut windows) = tally;
        usage::trim(&mut windows, self.last_sealed);
        self.tallies.insert(reporter, windows);
    }

    /// When the next request is due; none while one is in progress.
    pub(crate) fn deadline(&self) -> Option<Tick> {
        self.sent_at.is_none().then_some(self.retry_at)
    }

    /// Sends the next request to `host` if it is due. `subscribers` is the number of fronts that
    /// poll this process.
    pub(crate) fn request(
        &mut self,
        now: Tick,
        host: SocketAddr,
        held: FeedPosition,
        subscribers: usize,
        out: &mut Outbox<Output>,
    ) {
        if self.sent_at.is_some() || now < self.retry_at {
            return;
        }
        self.sent_at = Some(now);
        let request = FeedRequest {
            id: self.id.clone(),
            distributor: self.own.clone(),
            subscribers,
            generation: held.generation,
            directory: held.directory,
            quarantine: held.quarantine,
            rollouts: held.rollouts,
            tallies: std::mem::take(&mut self.tallies).into_iter().collect(),
            evidence: self.reports.send(now),
            counts: self.counts.send(now),
            max_wait: FEED_WAIT,
        };
        out.push(Output::RequestFeed(host, Box::new(request)));
    }

    /// Records a reply. Returns when its request was sent.
    pub(crate) fn replied(&mut self, now: Tick, reply: &FeedReply) -> Tick {
        let sent_at = self.sent_at.take().unwrap_or(now);
        self.retry_at = now;
        self.refreshed_at = Some(sent_at);
        self.distributors.clone_from(&reply.deployment.distributors);
        self.subscribers = reply.deployment.subscribers;
        self.last_sealed = self.last_sealed.max(reply.last_sealed);
        self.reports.sent();
        self.counts.sent();
        sent_at
    }

    /// Records that a request failed. The next one waits for `FEED_RETRY`.
    pub(crate) fn failed(&mut self, now: Tick) {
        self.sent_at = None;
        self.retry_at = now + FEED_RETRY;
        self.reports.unsent();
        self.counts.repeat();
    }
}
