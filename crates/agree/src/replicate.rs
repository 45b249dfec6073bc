//! Log replication, on the leader and on followers.

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

/// Most bytes of entries in one append-entries message, by estimate; a single larger entry is sent
/// alone.
const BATCH_BYTES: usize = 256 * 1024;

impl Node {
    /// Appends an entry to the leader's log and starts to replicate it.
    pub(crate) fn append_as_leader(
        &mut self,
        now: Tick,
        body: Body,
        out: &mut Outbox<Output>,
    ) -> Index {
        let entry = Entry {
            index: self.log.last().next(),
            term: self.term,
            body,
        };
        let index = entry.index;
        let changes_group = matches!(entry.body, Body::Members(_));
        self.log.push(entry.clone());
        if changes_group {
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

    /// Sends heartbeats, or steps down if no quorum has responded for an election timeout. Entries
    /// and chunks without a response for that long count as lost and are retransmitted.
    pub(crate) fn send_heartbeats(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if self.quorum_silent_for(now) >= self.timing.election {
            self.become_follower(now, None);
            return;
        }
        let next = now + self.timing.heartbeat;
        let timeout = self.timing.election;
        if let Role::Leader(leader) = &mut self.role {
            leader.heartbeat_at = next;
            for peer in leader.peers.values_mut() {
                if peer
                    .in_flight
                    .is_some_and(|sent| now.since(sent) >= timeout)
                {
                    peer.in_flight = None;
                }
            }
        }
        for peer in self.peer_ids() {
            if !self.replicate(now, peer, out) {
                self.send_append(now, peer, Vec::new(), out);
            }
        }
    }

    /// Sends the next entries or the next snapshot chunk to a peer, unless some are in flight.
    /// Returns whether a message was sent.
    pub(crate) fn replicate(&mut self, now: Tick, to: MemberId, out: &mut Outbox<Output>) -> bool {
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(peer) = leader.peers.get_mut(&to) else {
            return false;
        };
        if peer.in_flight.is_some() || peer.next_index > self.log.last() {
            return false;
        }
        peer.in_flight = Some(now);
        if peer.next_index <= self.log.base() {
            self.send_chunk(now, to, out);
        } else {
            let entries = self.log.batch(peer.next_index, BATCH_BYTES);
            self.send_append(now, to, entries, out);
        }
        true
    }

    /// Updates a peer's progress, commits the entries that a quorum has now synced, and sends the
    /// next entries.
    pub(crate) fn on_append_response(
        &mut self,
        now: Tick,
        from: MemberId,
        ack: Ack,
        matched: Option<Index>,
        last: Index,
        out: &mut Outbox<Output>,
    ) {
        if !self.record_ack(now, from, ack, out) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        if peer.in_flight.is_some_and(|sent_at| sent_at.0 <= ack.sent) {
            peer.in_flight = None;
        }
        let before = peer.match_index;
        match matched {
            Some(index) => {
                peer.match_index = peer.match_index.max(index);
                peer.next_index = peer.next_index.max(index.next());
                peer.chunk_offset = 0;
            }
            None => peer.next_index = last.next().min(peer.next_index).max(Index(1)),
        }
        let committed = self.commit;
        self.advance_commit(now, out);
        if self.commit == committed {
            self.notify_commit(now, from, before, out);
        }
        self.promote_caught_up(now, out);
        self.replicate(now, from, out);
    }

    /// Records the time of an acknowledged message, which extends the lease. Returns whether the
    /// response belongs to this leader's term.
    pub(crate) fn record_ack(
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
        peer.acked_at = peer.acked_at.max(Some(Tick(sent)));
        true
    }

    /// Commits the entries that a quorum has synced. Entries of earlier terms commit only together
    /// with one of the current term, since a later leader could still replace them otherwise.
    pub(crate) fn advance_commit(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let matched = |id| {
            leader
                .peers
                .get(&id)
                .map_or(self.durable, |peer| peer.match_index)
        };
        let mut synced_ends: Vec<_> = member::voters(&self.group).map(matched).collect();
        synced_ends.sort_unstable_by(|a, b| b.cmp(a));
        let Some(end) = synced_ends.get(member::quorum(&self.group) - 1).copied() else {
            return;
        };
        if end > self.commit && self.log.term(end) == Some(self.term) {
            self.commit_to(end, out);
            self.promote_caught_up(now, out);
            for peer in self.peer_ids() {
                self.notify_commit(now, peer, Index::default(), out);
            }
        }
    }

    /// Sends the commit index to a peer that holds all committed entries but had acknowledged only
    /// those up to `before`, so that the peer can serve reads before the next heartbeat.
    fn notify_commit(&mut self, now: Tick, to: MemberId, before: Index, out: &mut Outbox<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let matched = leader.peers.get(&to).map(|peer| peer.match_index);
        if matched >= Some(self.commit) && before < self.commit {
            self.send_append(now, to, Vec::new(), out);
        }
    }

    /// Follows the sender as the leader of its term, or rejects a leader of an earlier term.
    /// Returns whether the message was accepted.
    pub(crate) fn accept_leader(
        &mut self,
        now: Tick,
        from: MemberId,
        term: Term,
        sent: u64,
        out: &mut Outbox<Output>,
    ) -> bool {
        if term < self.term {
            let rejection = Message::AppendResponse {
                term: self.term,
                matched: None,
                last: self.log.last(),
                sent,
            };
            self.send_after_sync(from, rejection, out);
            return false;
        }
        if term > self.term {
            self.enter_term(now, term, out);
        }
        self.become_follower(now, Some(from));
        self.leader_contact = now;
        self.had_leader = true;
        self.reset_election_timer(now);
        true
    }

    /// Appends the leader's entries if the entry before them matches, and responds once they are
    /// synced.
    pub(crate) fn on_append_entries(
        &mut self,
        from: MemberId,
        prev: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        sent: u64,
        out: &mut Outbox<Output>,
    ) {
        let (prev, prev_term) = prev;
        // Compacted entries are committed, so they match the leader's log.
        let prev_matches = prev < self.log.base() || self.log.term(prev) == Some(prev_term);
        if !prev_matches {
            let rejection = Message::AppendResponse {
                term: self.term,
                matched: None,
                last: self.log.last().min(Index(prev.0.saturating_sub(1))),
                sent,
            };
            self.send_after_sync(from, rejection, out);
            return;
        }
        let end = Index(prev.0 + entries.len() as u64);
        self.append_missing(entries, out);
        self.commit_to(commit.min(end), out);
        let matched = end.max(self.log.base().min(self.commit));
        let response = Message::AppendResponse {
            term: self.term,
            matched: Some(matched),
            last: self.log.last(),
            sent,
        };
        self.send_after_sync(from, response, out);
    }

    /// Appends the entries that the log lacks, and removes conflicting ones first.
    fn append_missing(&mut self, entries: Vec<Entry>, out: &mut Outbox<Output>) {
        let already_held = |entry: &Entry| {
            entry.index <= self.log.base() || self.log.term(entry.index) == Some(entry.term)
        };
        let missing: Vec<_> = entries.into_iter().skip_while(already_held).collect();
        let Some(first) = missing.first().map(|entry| entry.index) else {
            return;
        };
        let truncate = (first <= self.log.last()).then_some(first);
        if let Some(from) = truncate {
            self.log.truncate(from);
            self.pending_ends.retain(|(_, index)| *index < from);
            self.durable = self.durable.min(Index(from.0 - 1));
        }
        missing
            .iter()
            .for_each(|entry| self.log.push(entry.clone()));
        self.refresh_group();
        let record = Record {
            vote: None,
            truncate,
            entries: missing,
        };
        self.persist(record, out);
    }

    /// Advances the commit index to `end` and outputs the newly committed entries.
    pub(crate) fn commit_to(&mut self, end: Index, out: &mut Outbox<Output>) {
        let end = end.min(self.log.last());
        while self.commit < end {
            self.commit = self.commit.next();
            if let Some(entry) = self.log.get(self.commit) {
                out.push(Output::Apply(entry.clone()));
            }
        }
    }

    /// The identities of the leader's peers; empty if the node is not the leader.
    pub(crate) fn peer_ids(&self) -> Vec<MemberId> {
        match &self.role {
            Role::Leader(leader) => leader.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Sends an append-entries message; with no entries, a heartbeat.
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
        // The entry before a peer's next one may be compacted; the base is used instead then. If
        // the peer rejects the message, its response still acknowledges the heartbeat.
        let prev = if peer.next_index > self.log.base() {
            Index(peer.next_index.0 - 1)
        } else {
            self.log.base()
        };
        let message = Message::AppendEntries {
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
