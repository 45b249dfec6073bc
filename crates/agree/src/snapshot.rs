//! Log compaction, and the transfer of snapshots in bounded chunks.

use bytes::Bytes;
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

/// Most bytes of a snapshot in one message; bounds the size of messages.
const CHUNK_BYTES: usize = 128 * 1024;

/// Committed entries in memory above which a snapshot replaces them.
const MAX_ENTRIES: u64 = 8192;
/// Most entries kept in memory although the snapshot covers them, so that a slightly lagging member
/// needs no snapshot.
const RETAINED_ENTRIES: u64 = 512;

impl Node {
    /// Whether the committed entries in memory, or the journal, have reached their bound, so that
    /// [`Node::compact`] is due. Not while an earlier snapshot is still being written.
    pub fn compaction_due(&self) -> bool {
        if self.rotation_seq > self.synced_seq {
            return false;
        }
        if self.commit.0 - self.log.base().0 > MAX_ENTRIES {
            return true;
        }
        let limit = self.limits.compaction(self.sends_snapshot());
        let held = self.log.bytes().max(self.journal);
        held > limit && held - self.log.bytes_after(self.commit) > limit
    }

    /// Whether a peer has received a part of the latest snapshot. A newer one would make it start
    /// again.
    fn sends_snapshot(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.peers.values().any(|peer| peer.chunk_offset > 0),
            _ => false,
        }
    }

    /// Compacts the log: stores a snapshot of the state machine as of the commit index, and removes
    /// the entries that it covers except the latest ones.
    pub fn compact(&mut self, state: impl Into<Bytes>, out: &mut Outbox<Output>) {
        let index = self.commit;
        let Some(term) = self.log.term(index) else {
            return;
        };
        self.meta = SnapshotMeta {
            index,
            term,
            members: self.group_at(index),
        };
        self.state = state.into();
        let retained = self.limits.retained();
        let base = self.log.suffix_start(index, RETAINED_ENTRIES, retained);
        self.log.compact(base);
        self.rotate(out);
    }

    /// Sends a peer the next chunk of the latest snapshot.
    pub(crate) fn send_chunk(&mut self, now: Tick, to: MemberId, out: &mut Outbox<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let Some(peer) = leader.peers.get(&to) else {
            return;
        };
        let start = usize::try_from(peer.chunk_offset)
            .unwrap_or(usize::MAX)
            .min(self.state.len());
        let end = (start + CHUNK_BYTES).min(self.state.len());
        let message = Message::SnapshotChunk {
            term: self.term,
            meta: self.meta.clone(),
            offset: start as u64,
            total: self.state.len() as u64,
            bytes: self.state.slice(start..end),
            sent: now.0,
        };
        out.push(Output::Send(to, message));
    }

    /// Adds a chunk to the incoming snapshot, and installs the snapshot once it is complete.
    ///
    /// `position` is the chunk's byte offset and the snapshot's length.
    pub(crate) fn on_snapshot_chunk(
        &mut self,
        from: MemberId,
        meta: SnapshotMeta,
        position: (u64, u64),
        bytes: &[u8],
        sent: u64,
        out: &mut Outbox<Output>,
    ) {
        let (offset, total) = position;
        if meta.index <= self.commit {
            self.incoming = None;
            self.respond_installed(from, self.commit, sent, out);
            return;
        }
        if total > self.limits.snapshot as u64 {
            self.incoming = None;
            out.push(Output::SnapshotRejected(total));
            return;
        }
        if offset == 0
            || self
                .incoming
                .as_ref()
                .is_none_or(|partial| partial.meta != meta)
        {
            self.incoming = Some(Incoming {
                meta: meta.clone(),
                bytes: Vec::new(),
            });
        }
        let Some(partial) = &mut self.incoming else {
            return;
        };
        let fits = offset + bytes.len() as u64 <= total;
        if partial.bytes.len() as u64 == offset && fits {
            partial.bytes.extend_from_slice(bytes);
        }
        let received = partial.bytes.len() as u64;
        if received < total {
            let response = Message::ChunkResponse {
                term: self.term,
                index: meta.index,
                offset: received,
                sent,
            };
            self.send_after_sync(from, response, out);
            return;
        }
        if let Some(complete) = self.incoming.take() {
            self.install(complete, out);
        }
        self.respond_installed(from, meta.index, sent, out);
    }

    /// Sends the next chunk, from the start if the response is for an earlier snapshot.
    pub(crate) fn on_chunk_response(
        &mut self,
        now: Tick,
        from: MemberId,
        ack: Ack,
        index: Index,
        offset: u64,
        out: &mut Outbox<Output>,
    ) {
        if !self.record_ack(now, from, ack, out) {
            return;
        }
        let current = self.meta.index;
        if let Role::Leader(leader) = &mut self.role
            && let Some(peer) = leader.peers.get_mut(&from)
        {
            peer.chunk_offset = if index == current { offset } else { 0 };
            peer.in_flight = None;
        }
        self.replicate(now, from, out);
    }

    /// Responds, once all records are synced, that the log matches up to `matched`.
    fn respond_installed(
        &mut self,
        to: MemberId,
        matched: Index,
        sent: u64,
        out: &mut Outbox<Output>,
    ) {
        let response = Message::AppendResponse {
            term: self.term,
            matched: Some(matched),
            last: self.log.last(),
            sent,
        };
        self.send_after_sync(to, response, out);
    }

    /// Replaces the state machine by a received snapshot, and the log unless it holds the entry at
    /// which the snapshot ends.
    fn install(&mut self, snapshot: Incoming, out: &mut Outbox<Output>) {
        self.meta = snapshot.meta;
        self.state = snapshot.bytes.into();
        if self.log.term(self.meta.index) == Some(self.meta.term) {
            self.log.compact(self.meta.index);
        } else {
            self.log = Log::new(self.meta.index, self.meta.term);
            self.pending_ends.clear();
            self.durable = self.meta.index;
        }
        self.commit = self.meta.index;
        self.refresh_group();
        out.push(Output::Restore(self.meta.clone(), self.state.clone()));
        self.rotate(out);
    }

    /// Outputs the snapshot, the vote and the entries after the snapshot, to replace the durable
    /// state atomically.
    fn rotate(&mut self, out: &mut Outbox<Output>) {
        let after = |entry: &&crate::log::Entry| entry.index > self.meta.index;
        let record = Record {
            vote: Some((self.term, self.voted_for)),
            truncate: None,
            entries: self.log.entries().filter(after).cloned().collect(),
        };
        self.last_seq += 1;
        self.rotation_seq = self.last_seq;
        self.journal = record.size();
        self.await_sync(self.state.len() + record.size());
        self.pending_ends
            .push_back((self.last_seq, self.log.last()));
        out.push(Output::Rotate(
            self.last_seq,
            self.meta.clone(),
            self.state.clone(),
            record,
        ));
    }

    /// The members of the group as of a committed index.
    fn group_at(&self, index: Index) -> Vec<crate::member::Member> {
        let groups = self.log.entries().filter(|entry| entry.index <= index);
        let newest = groups.filter_map(|entry| match &entry.body {
            crate::log::Body::Members(members) => Some(members),
            _ => None,
        });
        newest.last().unwrap_or(&self.meta.members).clone()
    }
}
