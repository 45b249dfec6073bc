//! Log compaction, and the transfer of a snapshot in bounded pieces.

use ids::{
    Index,
    Tick, //
};
use step::Outbox;

use crate::log::Log;
use crate::member::MemberId;
use crate::message::Message;
use crate::node::{
    Node,
    Role, //
};
use crate::output::Output;
use crate::peer::{
    Ack,
    Incoming, //
};
use crate::record::{
    Record,
    SnapshotMeta, //
};

/// Most bytes of a snapshot in one message.
const CHUNK_BYTES: usize = 128 * 1024;

/// Entries kept in memory behind a snapshot, so that a member that lags a little needs no
/// snapshot.
const KEPT_ENTRIES: u64 = 512;

impl Node {
    /// Replaces the log up to the last committed entry by a snapshot of the state machine.
    pub fn compact(&mut self, state: Vec<u8>, out: &mut Outbox<Output>) {
        let index = self.commit;
        let Some(term) = self.log.term(index) else {
            return;
        };
        self.meta = SnapshotMeta {
            index,
            term,
            members: self.group_as_of(index),
        };
        self.state = state;
        self.log
            .compact(Index(index.0.saturating_sub(KEPT_ENTRIES)).max(self.log.base()));
        self.rotate(out);
    }

    pub(crate) fn send_chunk(&mut self, now: Tick, to: MemberId, out: &mut Outbox<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(peer) = leader.peers.get(&to) else {
            return;
        };
        let start = usize::try_from(peer.offset)
            .unwrap_or(usize::MAX)
            .min(self.state.len());
        let end = (start + CHUNK_BYTES).min(self.state.len());
        let message = Message::Chunk {
            term: self.term,
            meta: self.meta.clone(),
            offset: start as u64,
            total: self.state.len() as u64,
            bytes: self.state[start..end].to_vec(),
            sent: now.0,
        };
        out.push(Output::Send(to, message));
    }

    pub(crate) fn on_chunk(
        &mut self,
        from: MemberId,
        meta: SnapshotMeta,
        place: (u64, u64),
        bytes: &[u8],
        sent: u64,
        out: &mut Outbox<Output>,
    ) {
        let (offset, total) = place;
        if meta.index <= self.commit {
            self.incoming = None;
            self.answer_snapshot(from, self.commit, sent, out);
            return;
        }
        if offset == 0 || self.incoming.as_ref().is_none_or(|held| held.meta != meta) {
            self.incoming = Some(Incoming {
                meta: meta.clone(),
                bytes: Vec::new(),
            });
        }
        let Some(held) = &mut self.incoming else {
            return;
        };
        if held.bytes.len() as u64 == offset {
            held.bytes.extend_from_slice(bytes);
        }
        let have = held.bytes.len() as u64;
        if have < total {
            let answer = Message::Chunked {
                term: self.term,
                index: meta.index,
                offset: have,
                sent,
            };
            self.send_synced(from, answer, out);
            return;
        }
        if let Some(held) = self.incoming.take() {
            self.install(held, out);
        }
        self.answer_snapshot(from, meta.index, sent, out);
    }

    pub(crate) fn on_chunked(
        &mut self,
        now: Tick,
        from: MemberId,
        ack: Ack,
        index: Index,
        offset: u64,
        out: &mut Outbox<Output>,
    ) {
        if !self.heard_peer(now, from, ack, out) {
            return;
        }
        let current = self.meta.index;
        if let Role::Leader(leader) = &mut self.role
            && let Some(peer) = leader.peers.get_mut(&from)
        {
            peer.offset = if index == current { offset } else { 0 };
            peer.flight = None;
        }
        self.replicate(now, from, out);
    }

    fn answer_snapshot(
        &mut self,
        to: MemberId,
        matched: Index,
        sent: u64,
        out: &mut Outbox<Output>,
    ) {
        let answer = Message::Appended {
            term: self.term,
            matched: Some(matched),
            last: self.log.last(),
            sent,
        };
        self.send_synced(to, answer, out);
    }

    fn install(&mut self, held: Incoming, out: &mut Outbox<Output>) {
        self.meta = held.meta;
        self.state = held.bytes;
        if self.log.term(self.meta.index) == Some(self.meta.term) {
            self.log.compact(self.meta.index);
        } else {
            self.log = Log::new(self.meta.index, self.meta.term);
            self.marks.clear();
            self.durable = self.meta.index;
        }
        self.commit = self.meta.index;
        self.refresh_group();
        out.push(Output::Restore(self.meta.clone(), self.state.clone()));
        self.rotate(out);
    }

    /// Puts the snapshot and everything after it on its way to the disk, in one step.
    fn rotate(&mut self, out: &mut Outbox<Output>) {
        let after = |entry: &&crate::log::Entry| entry.index > self.meta.index;
        let record = Record {
            vote: Some((self.term, self.voted)),
            truncate: None,
            entries: self.log.entries().filter(after).cloned().collect(),
        };
        self.seq += 1;
        self.marks.push_back((self.seq, self.log.last()));
        out.push(Output::Rotate(
            self.seq,
            self.meta.clone(),
            self.state.clone(),
            record,
        ));
    }

    /// The group in force at a committed index.
    fn group_as_of(&self, index: Index) -> Vec<crate::member::Member> {
        let groups = self.log.entries().filter(|entry| entry.index <= index);
        let newest = groups.filter_map(|entry| match &entry.body {
            crate::log::Body::Members(members) => Some(members),
            _ => None,
        });
        newest.last().unwrap_or(&self.meta.members).clone()
    }
}
