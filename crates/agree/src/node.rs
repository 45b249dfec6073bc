//! One member of the group: its state, its public interface, and the dispatch of messages.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};
use std::time::Duration;

use bytes::Bytes;
use ids::{
    Index,
    Term,
    Tick, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use step::Outbox;

use crate::config::{
    Limits,
    NodeConfig,
    PromotionPolicy,
    Timing, //
};
use crate::log::{
    Body,
    Log, //
};
use crate::member::{
    self,
    MAX_VOTERS,
    Member,
    MemberChange,
    MemberError,
    MemberId,
    Stage, //
};
use crate::message::{
    ElectionReason,
    Message, //
};
use crate::output::{
    NodeStatus,
    NotLeader,
    Output,
    ProposeError, //
};
use crate::peer::{
    Ack,
    Incoming,
    Peer, //
};
use crate::record::{
    DurableState,
    Record,
    SnapshotMeta, //
};

/// The node's role in its current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    Candidate {
        /// Whether the election is in its pre-vote round.
        pre_vote: bool,
        reason: ElectionReason,
        /// The voters that have granted their vote in this round.
        votes: BTreeSet<MemberId>,
    },
    Leader(Leader),
}

/// The state that only a leader keeps.
#[derive(Debug)]
pub(crate) struct Leader {
    /// Replication progress of the other members.
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_at: Tick,
    pub(crate) elected_at: Tick,
    /// The no-op entry of this term. Until it is committed, the leader's commit index may be lower
    /// than its predecessor's, so the leader neither uses its lease nor changes the membership.
    pub(crate) noop_index: Index,
}

/// One member of the group.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    promotion: PromotionPolicy,
    pub(crate) limits: Limits,
    rng: Pcg32,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<MemberId>,
    pub(crate) log: Log,
    /// Which entries the latest snapshot covers.
    pub(crate) meta: SnapshotMeta,
    /// The latest snapshot of the state machine.
    pub(crate) state: Bytes,
    /// The size of the journal in bytes, by estimate.
    pub(crate) journal: usize,
    /// The latest record that replaces the journal; zero before the first.
    pub(crate) rotation_seq: u64,
    /// The members of the latest membership entry, whether committed or not.
    pub(crate) group: Vec<Member>,
    /// The index of that membership entry.
    pub(crate) group_index: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    /// When the last message from a leader arrived, or when the node started.
    pub(crate) leader_contact: Tick,
    /// Whether the node received a message from a leader, or was leader, since it started.
    pub(crate) had_leader: bool,
    /// When the node starts an election unless a leader's message arrives before.
    pub(crate) election_at: Tick,
    pub(crate) commit: Index,
    /// The sequence number of the last record that the node has output.
    pub(crate) last_seq: u64,
    /// The sequence number of the last record known to be synced.
    pub(crate) synced_seq: u64,
    /// For each unsynced record with entries: its sequence number, and the last index that is
    /// durable once it is synced.
    pub(crate) pending_ends: VecDeque<(u64, Index)>,
    /// The records that are not synced: their sequence numbers and sizes.
    unsynced: VecDeque<(u64, usize)>,
    /// The size of all records that are not synced, in bytes by estimate.
    unsynced_bytes: usize,
    /// The last log index known to be synced to the local disk.
    pub(crate) durable: Index,
    /// Messages with their receivers, and for each the sequence number of the record that must be
    /// synced before it is sent.
    awaiting_sync: VecDeque<(u64, MemberId, Message)>,
    /// A snapshot being received from the leader.
    pub(crate) incoming: Option<Incoming>,
    /// The token of the last read-index request.
    token: u64,
}

impl Node {
    /// Starts a node from its durable state.
    pub fn new(now: Tick, config: NodeConfig, saved: DurableState) -> Self {
        let mut log = Log::new(saved.meta.index, saved.meta.term);
        saved.entries.into_iter().for_each(|entry| log.push(entry));
        let durable = log.last();
        let mut node = Self {
            id: config.id,
            timing: config.timing,
            promotion: config.promotion,
            limits: config.limits,
            rng: Pcg32::seed_from_u64(config.rng_seed),
            term: saved.term,
            voted_for: saved.voted_for,
            commit: saved.meta.index,
            log,
            meta: saved.meta,
            state: saved.state,
            journal: saved.journal,
            rotation_seq: 0,
            group: Vec::new(),
            group_index: Index::default(),
            role: Role::Follower,
            leader: None,
            leader_contact: now,
            had_leader: false,
            election_at: now,
            last_seq: 0,
            synced_seq: 0,
            pending_ends: VecDeque::new(),
            unsynced: VecDeque::new(),
            unsynced_bytes: 0,
            durable,
            awaiting_sync: VecDeque::new(),
            incoming: None,
            // Late responses to requests of an earlier process must not match a new request.
            token: config.rng_seed,
        };
        node.refresh_group();
        // Starts an election at once: if the other voters were restarted too, no lease is valid and
        // they need not wait for an election timeout.
        node.election_at = now;
        node
    }

    /// This member's identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The node's term, leader and log position.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            term: self.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last(),
        }
    }

    /// The members of the group by the latest membership entry in the log, whether committed or
    /// not.
    pub fn group(&self) -> &[Member] {
        &self.group
    }

    /// The number of log entries in memory.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// The size of the log entries in memory in bytes, by estimate.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// The size of the journal in bytes, by estimate.
    pub fn journal_bytes(&self) -> usize {
        self.journal
    }

    /// Whether the node is the leader of its term, with or without a valid lease.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this member is a voter.
    pub fn votes(&self) -> bool {
        self.is_voter()
    }

    /// The time since the last message from a leader, or since the node started. Zero for a leader.
    pub fn leaderless_for(&self, now: Tick) -> Duration {
        if self.leads() {
            Duration::ZERO
        } else {
            now.since(self.leader_contact)
        }
    }

    /// When the last message from a leader arrived, or when the node started.
    pub fn last_leader_contact(&self) -> Tick {
        self.leader_contact
    }

    /// The time since the leader sent the latest message that a peer acknowledged, or since the
    /// election if that is later. None if this node is not the leader or the peer is not a member.
    pub fn peer_silent_for(&self, now: Tick, id: MemberId) -> Option<Duration> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let peer = leader.peers.get(&id)?;
        Some(now.since(peer.acked_at.unwrap_or_default().max(leader.elected_at)))
    }

    /// Whether a member has acknowledged a message that was sent within an election timeout. True for
    /// the leader itself; false unless this node is the leader.
    pub(crate) fn responds(&self, now: Tick, id: MemberId) -> bool {
        let silence = self.peer_silent_for(now, id);
        self.leads() && (id == self.id || silence.is_some_and(|span| span < self.timing.election))
    }

    /// Whether the latest membership change is committed, and the leader may make another one.
    pub fn group_settled(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => self.commit >= leader.noop_index.max(self.group_index),
            _ => false,
        }
    }

    /// Whether a learner has acknowledged all committed entries. False unless this node is the
    /// leader.
    pub fn caught_up(&self, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let matched = leader.peers.get(&member.id).map(|peer| peer.match_index);
        member.stage == Stage::Learner && matched >= Some(self.commit)
    }

    /// Appends a command to the log and starts to replicate it.
    ///
    /// # Errors
    ///
    /// [`ProposeError`] if this node is not the leader or has too many entries under way; the
    /// command is not in the log then.
    pub fn propose(
        &mut self,
        now: Tick,
        data: Vec<u8>,
        out: &mut Outbox<Output>,
    ) -> Result<Index, ProposeError> {
        if !self.leads() {
            return Err(ProposeError::NotLeader(NotLeader {
                leader: self.leader,
            }));
        }
        let pending = self.pending_bytes();
        if pending > 0 && pending + data.len() > self.limits.pending {
            return Err(ProposeError::Full);
        }
        // The entry keeps no spare capacity of the encoder's buffer.
        let data = data.into_boxed_slice();
        Ok(self.append_as_leader(now, Body::Data(data.into()), out))
    }

    /// Appends a membership change to the log and starts to replicate it.
    ///
    /// # Errors
    ///
    /// [`MemberError`] if the node is not the leader or the change is not allowed now.
    pub fn change_group(
        &mut self,
        now: Tick,
        change: &MemberChange,
        out: &mut Outbox<Output>,
    ) -> Result<Index, MemberError> {
        let Role::Leader(leader) = &self.role else {
            return Err(MemberError::NotLeader);
        };
        if self.commit < leader.noop_index.max(self.group_index) {
            return Err(MemberError::Pending);
        }
        if *change == MemberChange::Remove(self.id) {
            return Err(MemberError::RemovesLeader);
        }
        let group = member::apply(&self.group, change)?;
        Ok(self.append_as_leader(now, Body::Members(group), out))
    }

    /// Requests the commit index of a leader with a valid lease, for a linearizable read. The
    /// result is an [`Output::ReadIndex`] with the token returned here, or no output if there is no
    /// such leader or a message is lost.
    pub fn read_index(&mut self, now: Tick, out: &mut Outbox<Output>) -> u64 {
        self.token = self.token.wrapping_add(1);
        if self.lease(now).is_some() {
            out.push(Output::ReadIndex(self.token, self.commit));
        } else if let Some(leader) = self.leader.filter(|id| *id != self.id) {
            let token = self.token;
            out.push(Output::Send(leader, Message::ReadIndexRequest { token }));
        }
        self.token
    }

    /// Handles a message from another member.
    pub fn receive(
        &mut self,
        now: Tick,
        from: MemberId,
        message: Message,
        out: &mut Outbox<Output>,
    ) {
        match message {
            Message::VoteRequest {
                term,
                last,
                last_term,
                pre_vote,
                reason,
            } => self.on_vote_request(now, from, (term, last, last_term), pre_vote, reason, out),
            Message::VoteResponse {
                term,
                granted,
                pre_vote,
            } => {
                self.on_vote_response(now, from, term, granted, pre_vote, out);
            }
            Message::AppendEntries {
                term,
                prev,
                prev_term,
                entries,
                commit,
                sent,
            } => {
                if self.accept_leader(now, from, term, sent, out) {
                    self.on_append_entries(from, (prev, prev_term), entries, commit, sent, out);
                }
            }
            Message::AppendResponse {
                term,
                matched,
                last,
                sent,
            } => self.on_append_response(now, from, Ack { term, sent }, matched, last, out),
            Message::SnapshotChunk {
                term,
                meta,
                offset,
                total,
                bytes,
                sent,
            } => {
                if self.accept_leader(now, from, term, sent, out) {
                    self.on_snapshot_chunk(from, meta, (offset, total), &bytes, sent, out);
                }
            }
            Message::ChunkResponse {
                term,
                index,
                offset,
                sent,
            } => self.on_chunk_response(now, from, Ack { term, sent }, index, offset, out),
            Message::TransferLeadership { term } => {
                self.on_transfer_leadership(now, from, term, out);
            }
            Message::ReadIndexRequest { token } => {
                if self.lease(now).is_some() {
                    let commit = self.commit;
                    out.push(Output::Send(
                        from,
                        Message::ReadIndexResponse { token, commit },
                    ));
                }
            }
            Message::ReadIndexResponse { token, commit } => {
                out.push(Output::ReadIndex(token, commit));
            }
        }
    }

    /// Notes that all records up to this sequence number are synced: sends the messages that waited
    /// for them, and counts this node's own vote and its own copies of entries.
    pub fn synced(&mut self, now: Tick, seq: u64, out: &mut Outbox<Output>) {
        self.synced_seq = self.synced_seq.max(seq);
        while let Some((end_seq, index)) = self.pending_ends.front().copied() {
            if end_seq > self.synced_seq {
                break;
            }
            self.pending_ends.pop_front();
            self.durable = self.durable.max(index);
        }
        while let Some((_, bytes)) = self.unsynced.pop_front_if(|(at, _)| *at <= seq) {
            self.unsynced_bytes -= bytes;
        }
        while let Some((needed_seq, ..)) = self.awaiting_sync.front() {
            if *needed_seq > self.synced_seq {
                break;
            }
            if let Some((_, to, message)) = self.awaiting_sync.pop_front() {
                out.push(Output::Send(to, message));
            }
        }
        self.count_own_vote(now, out);
        self.advance_commit(now, out);
    }

    /// Sends heartbeats or starts an election if [`Node::deadline`] has passed.
    pub fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        match &self.role {
            Role::Leader(leader) if now >= leader.heartbeat_at => self.send_heartbeats(now, out),
            Role::Leader(_) => {}
            _ if now >= self.election_at => self.start_pre_vote(now, out),
            _ => {}
        }
    }

    /// When [`Node::wake`] is due next; none for a learner.
    pub fn deadline(&self) -> Option<Tick> {
        match &self.role {
            Role::Leader(leader) => Some(leader.heartbeat_at),
            _ if self.is_voter() => Some(self.election_at),
            _ => None,
        }
    }

    pub(crate) fn is_voter(&self) -> bool {
        member::voters(&self.group).any(|id| id == self.id)
    }

    /// Sets the election timer to a random time of one to two election timeouts.
    pub(crate) fn reset_election_timer(&mut self, now: Tick) {
        self.set_election_timer(now, self.timing.election);
    }

    /// Sets the election timer so that a restart election is retried several times within an
    /// election timeout.
    pub(crate) fn reset_restart_timer(&mut self, now: Tick) {
        self.set_election_timer(now, self.timing.heartbeat / 2);
    }

    /// Sets the election timer to a random time of once to twice `delay`.
    fn set_election_timer(&mut self, now: Tick, delay: Duration) {
        let spread = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX).max(1);
        let jitter = Duration::from_micros(self.rng.random_range(0..spread));
        self.election_at = now + delay + jitter;
    }

    /// Outputs a record to be written to the journal.
    pub(crate) fn persist(&mut self, record: Record, out: &mut Outbox<Output>) {
        self.last_seq += 1;
        if let Some(last) = record.entries.last() {
            self.pending_ends.push_back((self.last_seq, last.index));
        }
        self.journal += record.size();
        self.await_sync(record.size());
        out.push(Output::Persist(self.last_seq, record));
    }

    /// Notes the size of the last record, which is not synced yet.
    pub(crate) fn await_sync(&mut self, bytes: usize) {
        self.unsynced.push_back((self.last_seq, bytes));
        self.unsynced_bytes += bytes;
    }

    /// The size in bytes, by estimate, of the entries that are not committed or of the records that
    /// are not synced, whichever is larger.
    fn pending_bytes(&self) -> usize {
        self.log.bytes_after(self.commit).max(self.unsynced_bytes)
    }

    /// Outputs a record of the current term and vote.
    pub(crate) fn persist_vote(&mut self, out: &mut Outbox<Output>) {
        let record = Record {
            vote: Some((self.term, self.voted_for)),
            ..Record::default()
        };
        self.persist(record, out);
    }

    /// Sends a message once all records output so far are synced.
    pub(crate) fn send_after_sync(
        &mut self,
        to: MemberId,
        message: Message,
        out: &mut Outbox<Output>,
    ) {
        if self.synced_seq >= self.last_seq {
            out.push(Output::Send(to, message));
        } else {
            self.awaiting_sync.push_back((self.last_seq, to, message));
        }
    }

    /// Moves to a higher term as a follower that has not voted in it.
    pub(crate) fn enter_term(&mut self, now: Tick, term: Term, out: &mut Outbox<Output>) {
        self.term = term;
        self.voted_for = None;
        self.become_follower(now, None);
        self.persist_vote(out);
    }

    /// Becomes, or remains, a follower of this leader in the current term.
    pub(crate) fn become_follower(&mut self, now: Tick, leader: Option<MemberId>) {
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.reset_election_timer(now);
        }
        self.leader = leader;
    }

    /// Updates the group from the latest membership entry in the log, or else from the snapshot,
    /// and the leader's peers with it.
    pub(crate) fn refresh_group(&mut self) {
        let newest = self.log.newest_group();
        let (at, group) = newest.unwrap_or((self.meta.index, self.meta.members.as_slice()));
        self.group_index = at;
        self.group = group.to_vec();
        let me = self.id;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let others: Vec<_> = self
            .group
            .iter()
            .map(|m| m.id)
            .filter(|id| *id != me)
            .collect();
        leader.peers.retain(|id, _| others.contains(id));
        let next = self.log.last().next();
        for id in others {
            leader.peers.entry(id).or_insert_with(|| Peer::new(next));
        }
    }

    /// Promotes a caught-up learner that responds to voter, if no membership change is pending and
    /// the promotion policy and [`MAX_VOTERS`] allow it.
    pub(crate) fn promote_caught_up(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if !self.group_settled() {
            return;
        }
        let is_ready = |member: &Member| self.caught_up(member) && self.responds(now, member.id);
        let ready: Vec<_> = (0..self.group.len())
            .filter(|at| is_ready(&self.group[*at]))
            .collect();
        let Some(at) = ready.first().copied() else {
            return;
        };
        let voters = member::voters(&self.group).count();
        // An odd group grows by two voters, and only while all voters respond: otherwise the group
        // with one more voter might not survive the loss of that one.
        let all_respond = member::voters(&self.group).all(|id| self.responds(now, id));
        let would_be_even = voters % 2 == 1 && (ready.len() < 2 || !all_respond);
        if self.promotion == PromotionPolicy::KeepOdd && would_be_even || voters >= MAX_VOTERS {
            return;
        }
        let mut group = self.group.clone();
        group[at].stage = Stage::Voter;
        self.append_as_leader(now, Body::Members(group), out);
    }
}
