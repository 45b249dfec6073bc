//! One member of the group: its state, its public face, and the dispatch of messages.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};
use std::time::Duration;

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
    Grounds,
    Message, //
};
use crate::output::{
    NodeStatus,
    NotLeader,
    Output, //
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
use crate::setup::{
    NodeConfig,
    PromotionPolicy,
    Timing, //
};

#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    Candidate {
        pre: bool,
        grounds: Grounds,
        votes: BTreeSet<MemberId>,
    },
    Leader(Leader),
}

#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    pub(crate) beat: Tick,
    pub(crate) since: Tick,
    pub(crate) barrier: Index,
}

/// One member of the group.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    promotion: PromotionPolicy,
    rng: Pcg32,
    pub(crate) term: Term,
    pub(crate) voted: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) meta: SnapshotMeta,
    pub(crate) state: Vec<u8>,
    pub(crate) group: Vec<Member>,
    pub(crate) group_at: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    /// When a leader was heard last, or the node started.
    pub(crate) heard: Tick,
    /// Whether a leader was heard, or this node led, since the node started.
    pub(crate) led: bool,
    /// When the node stands for election unless a leader is heard.
    pub(crate) stand: Tick,
    pub(crate) commit: Index,
    pub(crate) seq: u64,
    pub(crate) synced: u64,
    /// Log ends by the number of the record that made them durable.
    pub(crate) marks: VecDeque<(u64, Index)>,
    pub(crate) durable: Index,
    /// Messages that may leave only after the record with that number is synced.
    held: VecDeque<(u64, MemberId, Message)>,
    pub(crate) incoming: Option<Incoming>,
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
            rng: Pcg32::seed_from_u64(config.rng_seed),
            term: saved.term,
            voted: saved.voted,
            commit: saved.meta.index,
            log,
            meta: saved.meta,
            state: saved.state,
            group: Vec::new(),
            group_at: Index::default(),
            role: Role::Follower,
            leader: None,
            heard: now,
            led: false,
            stand: now,
            seq: 0,
            synced: 0,
            marks: VecDeque::new(),
            durable,
            held: VecDeque::new(),
            incoming: None,
            // Answers to questions of an earlier run must not match a new question.
            token: config.rng_seed,
        };
        node.refresh_group();
        // The other voters may have been started at the same moment.
        node.stand = now;
        node
    }

    /// This member's identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Where the node stands.
    pub fn status(&self) -> NodeStatus {
        NodeStatus {
            term: self.term,
            leader: self.leader,
            commit: self.commit,
            last: self.log.last(),
        }
    }

    /// The group in force.
    pub fn group(&self) -> &[Member] {
        &self.group
    }

    /// How many entries the log holds in memory.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Whether the node leads the group, with or without a valid lease.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this member votes.
    pub fn votes(&self) -> bool {
        self.is_voter()
    }

    /// How long ago a leader was heard, or the node started. Zero for a leader.
    pub fn leaderless_for(&self, now: Tick) -> Duration {
        if self.leads() {
            Duration::ZERO
        } else {
            now.since(self.heard)
        }
    }

    /// When a leader was heard last, or the node started.
    pub fn last_leader_contact(&self) -> Tick {
        self.heard
    }

    /// How long a leader has not heard another member; none if this node does not lead it.
    pub fn peer_silent_for(&self, now: Tick, id: MemberId) -> Option<Duration> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let peer = leader.peers.get(&id)?;
        Some(now.since(peer.acked.unwrap_or_default().max(leader.since)))
    }

    /// Whether a learner holds everything committed, as its leader knows.
    pub fn caught_up(&self, member: &Member) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let matched = leader.peers.get(&member.id).map(|peer| peer.matched);
        member.stage == Stage::Learner && matched >= Some(self.commit)
    }

    /// Adds a command to the log.
    ///
    /// # Errors
    ///
    /// [`NotLeader`]; the command is not in the log then.
    pub fn propose(
        &mut self,
        now: Tick,
        data: Vec<u8>,
        out: &mut Outbox<Output>,
    ) -> Result<Index, NotLeader> {
        if !self.leads() {
            return Err(NotLeader {
                leader: self.leader,
            });
        }
        Ok(self.lead_append(now, Body::Data(data), out))
    }

    /// Changes the group by one member.
    ///
    /// # Errors
    ///
    /// [`MemberError`], with the reason.
    pub fn change_group(
        &mut self,
        now: Tick,
        change: &MemberChange,
        out: &mut Outbox<Output>,
    ) -> Result<Index, MemberError> {
        let Role::Leader(leader) = &self.role else {
            return Err(MemberError::NotLeader);
        };
        if self.commit < leader.barrier || self.commit < self.group_at {
            return Err(MemberError::Pending);
        }
        if *change == MemberChange::Remove(self.id) {
            return Err(MemberError::Leading);
        }
        let group = member::apply(&self.group, change)?;
        Ok(self.lead_append(now, Body::Members(group), out))
    }

    /// Asks for the current commit index, confirmed by a leader under its lease. The answer is
    /// [`Output::ReadIndex`] with the token returned, or nothing.
    pub fn read_index(&mut self, now: Tick, out: &mut Outbox<Output>) -> u64 {
        self.token = self.token.wrapping_add(1);
        if self.lease(now).is_some() {
            out.push(Output::ReadIndex(self.token, self.commit));
        } else if let Some(leader) = self.leader.filter(|id| *id != self.id) {
            let token = self.token;
            out.push(Output::Send(leader, Message::Ask { token }));
        }
        self.token
    }

    /// Handles a message.
    pub fn receive(
        &mut self,
        now: Tick,
        from: MemberId,
        message: Message,
        out: &mut Outbox<Output>,
    ) {
        match message {
            Message::Vote {
                term,
                last,
                last_term,
                pre,
                grounds,
            } => self.on_vote(now, from, (term, last, last_term), pre, grounds, out),
            Message::Voted { term, granted, pre } => {
                self.on_voted(now, from, term, granted, pre, out);
            }
            Message::Append {
                term,
                prev,
                prev_term,
                entries,
                commit,
                sent,
            } => {
                if self.accept_leader(now, from, term, sent, out) {
                    self.on_append(from, (prev, prev_term), entries, commit, sent, out);
                }
            }
            Message::Appended {
                term,
                matched,
                last,
                sent,
            } => self.on_appended(now, from, Ack { term, sent }, matched, last, out),
            Message::Chunk {
                term,
                meta,
                offset,
                total,
                bytes,
                sent,
            } => {
                if self.accept_leader(now, from, term, sent, out) {
                    self.on_chunk(from, meta, (offset, total), &bytes, sent, out);
                }
            }
            Message::Chunked {
                term,
                index,
                offset,
                sent,
            } => self.on_chunked(now, from, Ack { term, sent }, index, offset, out),
            Message::Handover { term } => self.on_handover(now, from, term, out),
            Message::Ask { token } => {
                if self.lease(now).is_some() {
                    let commit = self.commit;
                    out.push(Output::Send(from, Message::Confirm { token, commit }));
                }
            }
            Message::Confirm { token, commit } => out.push(Output::ReadIndex(token, commit)),
        }
    }

    /// Notes that the record with this number, and all before it, are synced.
    pub fn synced(&mut self, now: Tick, seq: u64, out: &mut Outbox<Output>) {
        self.synced = self.synced.max(seq);
        while let Some((mark, index)) = self.marks.front().copied() {
            if mark > self.synced {
                break;
            }
            self.marks.pop_front();
            self.durable = self.durable.max(index);
        }
        while let Some((mark, ..)) = self.held.front() {
            if *mark > self.synced {
                break;
            }
            if let Some((_, to, message)) = self.held.pop_front() {
                out.push(Output::Send(to, message));
            }
        }
        self.count_own_vote(now, out);
        self.advance_commit(now, out);
    }

    /// Handles the passing of [`Node::deadline`].
    pub fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        match &self.role {
            Role::Leader(leader) if now >= leader.beat => self.beat(now, out),
            Role::Leader(_) => {}
            _ if now >= self.stand => self.stand_up(now, out),
            _ => {}
        }
    }

    /// When the node wants to be woken next.
    pub fn deadline(&self) -> Option<Tick> {
        match &self.role {
            Role::Leader(leader) => Some(leader.beat),
            _ if self.is_voter() => Some(self.stand),
            _ => None,
        }
    }

    pub(crate) fn is_voter(&self) -> bool {
        member::voters(&self.group).any(|id| id == self.id)
    }

    /// Draws the next moment to stand for election.
    pub(crate) fn reset_stand(&mut self, now: Tick) {
        self.stand_after(now, self.timing.election);
    }

    /// Draws the next moment to ask again whether all voters have just started: several times
    /// before an election timeout.
    pub(crate) fn reset_poll(&mut self, now: Tick) {
        self.stand_after(now, self.timing.heartbeat / 2);
    }

    /// Stands for election after once to twice this time.
    fn stand_after(&mut self, now: Tick, pause: Duration) {
        let spread = u64::try_from(pause.as_micros()).unwrap_or(u64::MAX).max(1);
        let jitter = Duration::from_micros(self.rng.random_range(0..spread));
        self.stand = now + pause + jitter;
    }

    /// Puts a record on its way to the disk.
    pub(crate) fn persist(&mut self, record: Record, out: &mut Outbox<Output>) {
        self.seq += 1;
        if let Some(last) = record.entries.last() {
            self.marks.push_back((self.seq, last.index));
        }
        out.push(Output::Persist(self.seq, record));
    }

    pub(crate) fn persist_vote(&mut self, out: &mut Outbox<Output>) {
        let record = Record {
            vote: Some((self.term, self.voted)),
            ..Record::default()
        };
        self.persist(record, out);
    }

    /// Sends a message once everything persisted so far is synced.
    pub(crate) fn send_synced(&mut self, to: MemberId, message: Message, out: &mut Outbox<Output>) {
        if self.synced >= self.seq {
            out.push(Output::Send(to, message));
        } else {
            self.held.push_back((self.seq, to, message));
        }
    }

    /// Moves to a higher term as follower.
    pub(crate) fn enter_term(&mut self, now: Tick, term: Term, out: &mut Outbox<Output>) {
        self.term = term;
        self.voted = None;
        self.follow(now, None);
        self.persist_vote(out);
    }

    pub(crate) fn follow(&mut self, now: Tick, leader: Option<MemberId>) {
        if !matches!(self.role, Role::Follower) {
            self.role = Role::Follower;
            self.reset_stand(now);
        }
        self.leader = leader;
    }

    /// Takes the group from the newest entry that holds one, else from the snapshot.
    pub(crate) fn refresh_group(&mut self) {
        let newest = self.log.newest_group();
        let (at, group) = newest.unwrap_or((self.meta.index, self.meta.members.as_slice()));
        self.group_at = at;
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

    /// Promotes a learner that has caught up, if no other change is pending.
    pub(crate) fn promote_caught_up(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if self.commit < leader.barrier || self.commit < self.group_at {
            return;
        }
        let ready: Vec<_> = (0..self.group.len())
            .filter(|at| self.caught_up(&self.group[*at]))
            .collect();
        let Some(at) = ready.first().copied() else {
            return;
        };
        let voters = member::voters(&self.group).count();
        let even_then =
            self.promotion == PromotionPolicy::KeepOdd && voters % 2 == 1 && ready.len() < 2;
        if even_then || voters >= MAX_VOTERS {
            return;
        }
        let mut group = self.group.clone();
        group[at].stage = Stage::Voter;
        self.lead_append(now, Body::Members(group), out);
    }
}
