//! Replication of the log: the leader's side and the follower's.

use ids::{
    Index,
    Term,
    Tick, //
};
use step::Outbox;

use crate::log::{
    Body,
    Entry, //
};
use crate::member::{
    self,
    MemberId, //
};
use crate::message::Message;
use crate::node::{
    Node,
    Role, //
};
use crate::output::Output;
use crate::peer::Ack;
use crate::record::Record;

/// Most bytes of entries in one message.
const BATCH_BYTES: usize = 256 * 1024;

impl Node {
    /// Appends an entry as leader and starts to replicate it.
    pub(crate) fn lead_append(&mut self, now: Tick, body: Body, out: &mut Outbox<Output>) -> Index {
        let entry = Entry {
            index: self.log.last().next(),
            term: self.term,
            body,
        };
        let index = entry.index;
        let regroup = matches!(entry.body, Body::Members(_));
        self.log.push(entry.clone());
        if regroup {
            self.refresh_group();
        }
        let record = Record {
            entries: vec![entry],
            ..Record::default()
        };
        self.persist(record, out);
        for peer in self.peer_ids() {
            self.replicate(now, peer, out);
        }
        index
    }

    /// Sends heartbeats, and steps down if no majority answered for a whole election timeout.
    pub(crate) fn beat(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if self.unconfirmed_for(now) >= self.timing.election {
            self.follow(now, None);
            return;
        }
        let next = now + self.timing.heartbeat;
        let patience = self.timing.election;
        if let Role::Leader(leader) = &mut self.role {
            leader.beat = next;
            for peer in leader.peers.values_mut() {
                if peer.flight.is_some_and(|sent| now.since(sent) >= patience) {
                    peer.flight = None;
                }
            }
        }
        for peer in self.peer_ids() {
            if !self.replicate(now, peer, out) {
                self.send_append(now, peer, Vec::new(), out);
            }
        }
    }

    /// Sends what a peer lacks, unless something is on its way. Returns whether anything left.
    pub(crate) fn replicate(&mut self, now: Tick, to: MemberId, out: &mut Outbox<Output>) -> bool {
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return false;
        };
        if peer.flight.is_some() || peer.next > self.log.last() {
            return false;
        }
        peer.flight = Some(now);
        if peer.next <= self.log.base() {
            self.send_chunk(now, to, out);
        } else {
            let entries = self.log.batch(peer.next, BATCH_BYTES);
            self.send_append(now, to, entries, out);
        }
        true
    }

    pub(crate) fn on_appended(
        &mut self,
        now: Tick,
        from: MemberId,
        ack: Ack,
        matched: Option<Index>,
        last: Index,
        out: &mut Outbox<Output>,
    ) {
        if !self.heard_peer(now, from, ack, out) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        if peer.flight.is_some_and(|flight| flight.0 <= ack.sent) {
            peer.flight = None;
        }
        let before = peer.matched;
        match matched {
            Some(index) => {
                peer.matched = peer.matched.max(index);
                peer.next = peer.next.max(index.next());
                peer.offset = 0;
            }
            None => peer.next = last.next().min(peer.next).max(Index(1)),
        }
        let committed = self.commit;
        self.advance_commit(now, out);
        if self.commit == committed {
            self.tell_commit(now, from, before, out);
        }
        self.promote_caught_up(now, out);
        self.replicate(now, from, out);
    }

    /// Notes a peer's answer. Returns whether it belongs to this leader's term.
    pub(crate) fn heard_peer(
        &mut self,
        now: Tick,
        from: MemberId,
        ack: Ack,
        out: &mut Outbox<Output>,
    ) -> bool {
        let Ack { term, sent } = ack;
        if term > self.term {
            self.enter_term(now, term, out);
            return false;
        }
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return false;
        };
        if term < self.term || sent > now.0 {
            return false;
        }
        peer.acked = peer.acked.max(Some(Tick(sent)));
        true
    }

    /// Commits what a majority has synced in this term.
    pub(crate) fn advance_commit(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let matched = |id| {
            leader
                .peers
                .get(&id)
                .map_or(self.durable, |peer| peer.matched)
        };
        let mut ends: Vec<_> = member::voters(&self.group).map(matched).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        let Some(end) = ends.get(member::quorum(&self.group) - 1).copied() else {
            return;
        };
        if end > self.commit && self.log.term(end) == Some(self.term) {
            self.commit_to(end, out);
            self.promote_caught_up(now, out);
            for peer in self.peer_ids() {
                self.tell_commit(now, peer, Index::default(), out);
            }
        }
    }

    /// Tells a peer at once of a commit that it holds and held only up to `before`, so that it can
    /// answer reads without waiting for the next heartbeat.
    fn tell_commit(&mut self, now: Tick, to: MemberId, before: Index, out: &mut Outbox<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let matched = leader.peers.get(&to).map(|peer| peer.matched);
        if matched >= Some(self.commit) && before < self.commit {
            self.send_append(now, to, Vec::new(), out);
        }
    }

    /// Decides whether a message comes from the leader of its term, and follows that leader.
    pub(crate) fn accept_leader(
        &mut self,
        now: Tick,
        from: MemberId,
        term: Term,
        sent: u64,
        out: &mut Outbox<Output>,
    ) -> bool {
        if term < self.term {
            let refusal = Message::Appended {
                term: self.term,
                matched: None,
                last: self.log.last(),
                sent,
            };
            self.send_synced(from, refusal, out);
            return false;
        }
        if term > self.term {
            self.enter_term(now, term, out);
        }
        self.follow(now, Some(from));
        self.heard = now;
        self.led = true;
        self.reset_stand(now);
        true
    }

    pub(crate) fn on_append(
        &mut self,
        from: MemberId,
        prev: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        sent: u64,
        out: &mut Outbox<Output>,
    ) {
        let (prev, prev_term) = prev;
        // Entries up to the base are committed, so they match whatever the leader sends.
        let agrees = prev < self.log.base() || self.log.term(prev) == Some(prev_term);
        if !agrees {
            let refusal = Message::Appended {
                term: self.term,
                matched: None,
                last: self.log.last().min(Index(prev.0.saturating_sub(1))),
                sent,
            };
            self.send_synced(from, refusal, out);
            return;
        }
        let end = Index(prev.0 + entries.len() as u64);
        self.take_entries(entries, out);
        self.commit_to(commit.min(end), out);
        let matched = end.max(self.log.base().min(self.commit));
        let answer = Message::Appended {
            term: self.term,
            matched: Some(matched),
            last: self.log.last(),
            sent,
        };
        self.send_synced(from, answer, out);
    }

    fn take_entries(&mut self, entries: Vec<Entry>, out: &mut Outbox<Output>) {
        let known = |entry: &Entry| {
            entry.index <= self.log.base() || self.log.term(entry.index) == Some(entry.term)
        };
        let fresh: Vec<_> = entries.into_iter().skip_while(known).collect();
        let Some(first) = fresh.first().map(|entry| entry.index) else {
            return;
        };
        let truncate = (first <= self.log.last()).then_some(first);
        if let Some(from) = truncate {
            self.log.truncate(from);
            self.marks.retain(|(_, index)| *index < from);
            self.durable = self.durable.min(Index(from.0 - 1));
        }
        fresh.iter().for_each(|entry| self.log.push(entry.clone()));
        self.refresh_group();
        let record = Record {
            vote: None,
            truncate,
            entries: fresh,
        };
        self.persist(record, out);
    }

    pub(crate) fn commit_to(&mut self, end: Index, out: &mut Outbox<Output>) {
        let end = end.min(self.log.last());
        while self.commit < end {
            self.commit = self.commit.next();
            if let Some(entry) = self.log.get(self.commit) {
                out.push(Output::Apply(entry.clone()));
            }
        }
    }

    pub(crate) fn peer_ids(&self) -> Vec<MemberId> {
        match &self.role {
            Role::Leader(leader) => leader.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    fn send_append(
        &mut self,
        now: Tick,
        to: MemberId,
        entries: Vec<Entry>,
        out: &mut Outbox<Output>,
    ) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(peer) = leader.peers.get(&to) else {
            return;
        };
        // A heartbeat to a peer that lags behind the base says only what is known to match.
        let prev = if peer.next > self.log.base() {
            Index(peer.next.0 - 1)
        } else {
            self.log.base()
        };
        let message = Message::Append {
            term: self.term,
            prev,
            prev_term: self.log.term(prev).unwrap_or_default(),
            entries,
            commit: self.commit,
            sent: now.0,
        };
        out.push(Output::Send(to, message));
    }
}
