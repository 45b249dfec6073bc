//! Processes that subscribe to the configuration or the deployment by long polling, and their
//! pending requests.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use ids::{
    HostName,
    Incarnation,
    Index,
    Revision,
    Tick,
    Ticket, //
};

/// Time after which a confirmation that no leader has given is requested again.
pub(crate) const CONFIRM_RETRY: Duration = Duration::from_millis(150);
/// How long a subscriber may use a view, counted from when it sent the request. With clocks that
/// drift by 5 percent, a withdrawn key is rejected everywhere within 2.7 s.
pub const VIEW_TTL: Duration = Duration::from_millis(2500);
/// Longest time that a request stays pending.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(1500);
/// Time without a request after which a subscriber is removed from the record.
const SUBSCRIBER_TTL: Duration = Duration::from_secs(60);

/// The kind of process that subscribes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SubscriberKind {
    /// An entry, or a front that serves a plan.
    Entry,
    /// An agent.
    Agent,
    /// A control process that distributes the deployment.
    Distributor,
}

/// Identifies a subscriber.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubscriberId {
    /// The subscriber's host.
    pub host: HostName,
    /// The kind of process.
    pub kind: SubscriberKind,
    /// The process's incarnation.
    pub incarnation: Incarnation,
}

/// A subscriber's last reported state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscriber {
    /// The subscriber.
    pub id: SubscriberId,
    /// The revision that it reported in its last request.
    pub revision: Revision,
    /// When the subscriber stops using that revision unless it receives another reply.
    pub expires_at: Tick,
}

#[derive(Clone, Debug)]
struct Pending<P> {
    held: P,
    deadline: Tick,
    /// The commit index confirmed after the request was received; none until then.
    confirmed: Option<Index>,
}

/// Pending requests of subscribers, and the confirmation round that covers them.
///
/// `P` is the position that a subscriber reports: the version that it holds.
#[derive(Clone, Debug)]
pub(crate) struct Subscribers<P> {
    pending: BTreeMap<Ticket, Pending<P>>,
    /// Each subscriber's position and the time of its last request.
    last_seen: BTreeMap<SubscriberId, (P, Tick)>,
    /// Requests that the confirmation round in progress covers.
    round: BTreeSet<Ticket>,
    /// Requests received since that round began.
    next: BTreeSet<Ticket>,
    /// Token and start of the round in progress.
    token: Option<(u64, Tick)>,
}

impl<P> Default for Subscribers<P> {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            round: BTreeSet::new(),
            next: BTreeSet::new(),
            token: None,
        }
    }
}

impl<P: Copy + PartialEq> Subscribers<P> {
    /// Adds a request from a subscriber that holds `held` and waits for at most `wait`.
    pub(crate) fn add(
        &mut self,
        now: Tick,
        ticket: Ticket,
        id: SubscriberId,
        held: P,
        wait: Duration,
    ) {
        self.last_seen
            .retain(|_, (_, requested_at)| now.since(*requested_at) < SUBSCRIBER_TTL);
        self.last_seen.insert(id, (held, now));
        let pending = Pending {
            held,
            deadline: now + wait.min(MAX_WAIT),
            confirmed: None,
        };
        self.pending.insert(ticket, pending);
        self.next.insert(ticket);
    }

    /// Whether a confirmation must be requested: for new requests, or again for a round that no
    /// leader confirmed in time.
    pub(crate) fn needs_round(&mut self, now: Tick) -> bool {
        if self.round.is_empty() {
            self.token = None;
        }
        match self.token {
            None => !self.next.is_empty(),
            Some((_, started_at)) => now.since(started_at) >= CONFIRM_RETRY,
        }
    }

    /// Begins a round: the confirmation with this token covers all requests received so far.
    pub(crate) fn begin_round(&mut self, now: Tick, token: u64) {
        self.round.append(&mut self.next);
        self.token = Some((token, now));
    }

    /// Records a confirmation. Returns whether it belongs to the round in progress.
    pub(crate) fn confirm(&mut self, token: u64, index: Index) -> bool {
        if self.token.is_none_or(|(expected, _)| expected != token) {
            return false;
        }
        self.token = None;
        for ticket in std::mem::take(&mut self.round) {
            if let Some(pending) = self.pending.get_mut(&ticket) {
                pending.confirmed = Some(index);
            }
        }
        true
    }

    /// Removes the requests that can be answered: confirmed and applied, and either with an update
    /// or past their deadline.
    pub(crate) fn take_ready(
        &mut self,
        now: Tick,
        applied: Index,
        has_update: impl Fn(&P) -> bool,
    ) -> Vec<(Ticket, P)> {
        let ready = |pending: &Pending<P>| {
            let confirmed = pending.confirmed.is_some_and(|index| index <= applied);
            confirmed && (has_update(&pending.held) || pending.deadline <= now)
        };
        self.take(ready)
    }

    /// Removes the requests that are past their deadline. Called after [`Subscribers::take_ready`],
    /// so the confirmation of these is missing or not yet applied.
    pub(crate) fn take_expired(&mut self, now: Tick) -> Vec<(Ticket, P)> {
        self.take(|pending| pending.deadline <= now)
    }

    /// The next time at which a request expires or a confirmation is due to be requested again.
    pub(crate) fn deadline(&self) -> Option<Tick> {
        let retry = self.token.map(|(_, started_at)| started_at + CONFIRM_RETRY);
        self.pending
            .values()
            .map(|pending| pending.deadline)
            .chain(retry)
            .min()
    }

    /// How many subscribers sent a request within the last `span`.
    pub(crate) fn active(&self, now: Tick, span: Duration) -> usize {
        let seen = self.last_seen.values();
        seen.filter(|(_, at)| now.since(*at) <= span).count()
    }

    fn take(&mut self, selects: impl Fn(&Pending<P>) -> bool) -> Vec<(Ticket, P)> {
        let tickets = self.pending.iter().filter(|(_, pending)| selects(pending));
        let tickets: Vec<_> = tickets
            .map(|(ticket, pending)| (*ticket, pending.held))
            .collect();
        for (ticket, _) in &tickets {
            self.pending.remove(ticket);
            self.round.remove(ticket);
            self.next.remove(ticket);
        }
        tickets
    }
}

impl Subscribers<Revision> {
    /// The subscribers on record.
    pub(crate) fn list(&self) -> impl Iterator<Item = Subscriber> + '_ {
        self.last_seen
            .iter()
            .map(|(id, (revision, requested_at))| Subscriber {
                id: id.clone(),
                revision: *revision,
                expires_at: *requested_at + VIEW_TTL,
            })
    }
}
