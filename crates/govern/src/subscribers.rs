//! The processes that follow the configuration, and the questions they have open.

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

/// A question that no leader confirmed in this time is asked again.
pub(crate) const ASK_AGAIN: Duration = Duration::from_millis(150);
/// How long a follower may go by a view, counted from the moment it asked. With clocks that drift
/// by 5 percent, a withdrawn key is refused everywhere within 2.7 s.
pub const VIEW_TTL: Duration = Duration::from_millis(2500);
/// Longest time that a question stays open.
const MAX_WAIT: Duration = Duration::from_millis(1500);
/// A follower that has not asked for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What a follower is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SubscriberKind {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// Who follows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SubscriberId {
    /// The follower's host.
    pub host: HostName,
    /// What it is.
    pub kind: SubscriberKind,
    /// Its run.
    pub incarnation: Incarnation,
}

/// What is known of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Subscriber {
    /// Who follows.
    pub id: SubscriberId,
    /// The revision it said it holds.
    pub revision: Revision,
    /// When it stops going by that revision.
    pub expires_at: Tick,
}

#[derive(Clone, Debug)]
struct Open<M> {
    held: M,
    deadline: Tick,
    /// The commit index confirmed after the question came; none until then.
    confirmed: Option<Index>,
}

/// All open questions, and the round in which a leader is asked to confirm them.
///
/// `M` marks how far a follower is.
#[derive(Clone, Debug)]
pub(crate) struct Subscribers<M> {
    open: BTreeMap<Ticket, Open<M>>,
    known: BTreeMap<SubscriberId, (M, Tick)>,
    /// Questions that the confirmation under way covers.
    round: BTreeSet<Ticket>,
    /// Questions that came later.
    next: BTreeSet<Ticket>,
    token: Option<(u64, Tick)>,
}

impl<M> Default for Subscribers<M> {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
            known: BTreeMap::new(),
            round: BTreeSet::new(),
            next: BTreeSet::new(),
            token: None,
        }
    }
}

impl<M: Copy + PartialEq> Subscribers<M> {
    pub(crate) fn ask(
        &mut self,
        now: Tick,
        ticket: Ticket,
        id: SubscriberId,
        held: M,
        wait: Duration,
    ) {
        self.known
            .retain(|_, (_, asked)| now.since(*asked) < FORGET_AFTER);
        self.known.insert(id, (held, now));
        let open = Open {
            held,
            deadline: now + wait.min(MAX_WAIT),
            confirmed: None,
        };
        self.open.insert(ticket, open);
        self.next.insert(ticket);
    }

    /// Whether a new confirmation should be asked for.
    pub(crate) fn wants_round(&mut self, now: Tick) -> bool {
        if self.round.is_empty() {
            self.token = None;
        }
        match self.token {
            None => !self.next.is_empty(),
            Some((_, asked)) => now.since(asked) >= ASK_AGAIN,
        }
    }

    /// Begins a round: the confirmation with this token covers all questions so far.
    pub(crate) fn begin_round(&mut self, now: Tick, token: u64) {
        self.round.append(&mut self.next);
        self.token = Some((token, now));
    }

    /// Notes a confirmation. Returns whether it belongs to the round.
    pub(crate) fn confirm(&mut self, token: u64, index: Index) -> bool {
        if self.token.is_none_or(|(expected, _)| expected != token) {
            return false;
        }
        self.token = None;
        for ticket in std::mem::take(&mut self.round) {
            if let Some(open) = self.open.get_mut(&ticket) {
                open.confirmed = Some(index);
            }
        }
        true
    }

    /// Takes the questions that can be answered: confirmed, and with news or out of time.
    pub(crate) fn take_ready(
        &mut self,
        now: Tick,
        applied: Index,
        news: impl Fn(&M) -> bool,
    ) -> Vec<(Ticket, M)> {
        let ready = |open: &Open<M>| {
            let confirmed = open.confirmed.is_some_and(|index| index <= applied);
            confirmed && (news(&open.held) || open.deadline <= now)
        };
        self.take(ready)
    }

    /// Takes the questions that are out of time and unconfirmed.
    pub(crate) fn take_late(&mut self, now: Tick) -> Vec<(Ticket, M)> {
        self.take(|open| open.deadline <= now)
    }

    pub(crate) fn deadline(&self) -> Option<Tick> {
        let ask = self.token.map(|(_, asked)| asked + ASK_AGAIN);
        self.open
            .values()
            .map(|open| open.deadline)
            .chain(ask)
            .min()
    }

    /// How many followers asked within a span.
    pub(crate) fn live(&self, now: Tick, span: Duration) -> usize {
        let asked = self.known.values();
        asked.filter(|(_, at)| now.since(*at) <= span).count()
    }

    fn take(&mut self, wanted: impl Fn(&Open<M>) -> bool) -> Vec<(Ticket, M)> {
        let tickets = self.open.iter().filter(|(_, open)| wanted(open));
        let tickets: Vec<_> = tickets.map(|(ticket, open)| (*ticket, open.held)).collect();
        for (ticket, _) in &tickets {
            self.open.remove(ticket);
            self.round.remove(ticket);
            self.next.remove(ticket);
        }
        tickets
    }
}

impl Subscribers<Revision> {
    pub(crate) fn known(&self) -> impl Iterator<Item = Subscriber> + '_ {
        self.known.iter().map(|(id, (revision, asked))| Subscriber {
            id: id.clone(),
            revision: *revision,
            expires_at: *asked + VIEW_TTL,
        })
    }
}
