//! Leader election: pre-votes, votes, and leadership transfer.

use std::collections::BTreeSet;

use ids::{
    Index,
    Term,
    Tick, //
};
use step::Outbox;

use crate::member::{
    self,
    MemberId, //
};
use crate::message::{
    ElectionReason,
    Message, //
};
use crate::node::{
    Leader,
    Node,
    Role, //
};
use crate::output::Output;
use crate::peer::Peer;

impl Node {
    /// Transfers the leadership to another voter: to the one with the longest acknowledged log, of
    /// those that respond if there are any. The node steps down, which ends its lease, before the
    /// message to the successor is sent; so a delayed message cannot make two leaders.
    ///
    /// Returns whether the node was the leader and there is another voter.
    pub fn transfer_leadership(&mut self, now: Tick, out: &mut Outbox<Output>) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let voters = member::voters(&self.group).filter(|id| *id != self.id);
        let most_advanced = voters.max_by_key(|id| {
            let matched = leader.peers.get(id).map(|peer| peer.match_index);
            (self.responds(now, *id), matched)
        });
        let Some(successor) = most_advanced else {
            return false;
        };
        let term = self.term;
        self.become_follower(now, None);
        out.push(Output::Send(
            successor,
            Message::TransferLeadership { term },
        ));
        true
    }

    /// Resets the election timer, and starts the pre-vote round of an election if this node is a
    /// voter.
    pub(crate) fn start_pre_vote(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let just_started =
            !self.had_leader && now.since(self.leader_contact) < self.timing.election;
        let reason = if just_started {
            self.reset_restart_timer(now);
            ElectionReason::Restart
        } else {
            self.reset_election_timer(now);
            ElectionReason::Timeout
        };
        if !self.is_voter() {
            return;
        }
        self.leader = None;
        self.role = Role::Candidate {
            pre_vote: true,
            reason,
            votes: BTreeSet::from([self.id]),
        };
        self.request_votes(self.term.next(), true, reason, out);
        self.count_votes(now, out);
    }

    /// Starts an election without a pre-vote, if the sender may have been the leader of the current
    /// term.
    pub(crate) fn on_transfer_leadership(
        &mut self,
        now: Tick,
        from: MemberId,
        term: Term,
        out: &mut Outbox<Output>,
    ) {
        let sender_may_lead = self.leader.is_none_or(|leader| leader == from);
        if term == self.term && sender_may_lead && self.is_voter() && !self.leads() {
            self.campaign(now, ElectionReason::LeadershipTransfer, out);
        }
    }

    /// Grants or rejects a vote. Sends no response while an earlier leader's lease may be valid.
    pub(crate) fn on_vote_request(
        &mut self,
        now: Tick,
        from: MemberId,
        request: (Term, Index, Term),
        pre_vote: bool,
        reason: ElectionReason,
        out: &mut Outbox<Output>,
    ) {
        let (term, last, last_term) = request;
        let lease_may_be_valid = match reason {
            ElectionReason::Timeout => self.has_recent_leader(now),
            ElectionReason::LeadershipTransfer => false,
            ElectionReason::Restart => self.had_leader && self.has_recent_leader(now),
        };
        if lease_may_be_valid {
            return;
        }
        if !pre_vote && term > self.term {
            self.enter_term(now, term, out);
        }
        let current = (self.log.last_term(), self.log.last());
        let up_to_date = (last_term, last) >= current;
        let vote_available = self.voted_for.is_none_or(|voted| voted == from);
        // A restart election needs every vote, so candidates with equal logs must not split the
        // pre-votes: only the one with the smaller identity gets them.
        let same_log = (last_term, last) == current;
        let preferred = reason != ElectionReason::Restart || !same_log || from < self.id;
        let granted = if pre_vote {
            term > self.term && up_to_date && preferred
        } else {
            term == self.term && up_to_date && vote_available && !self.leads()
        };
        if granted && !pre_vote {
            self.reset_election_timer(now);
            if self.voted_for.is_none() {
                self.voted_for = Some(from);
                self.persist_vote(out);
            }
        }
        let term = if granted { term } else { self.term };
        self.send_after_sync(
            from,
            Message::VoteResponse {
                term,
                granted,
                pre_vote,
            },
            out,
        );
    }

    /// Counts a vote or pre-vote of the current round; after a rejection, moves to the voter's term
    /// if that is higher.
    pub(crate) fn on_vote_response(
        &mut self,
        now: Tick,
        from: MemberId,
        term: Term,
        granted: bool,
        pre_vote: bool,
        out: &mut Outbox<Output>,
    ) {
        if !granted && term > self.term {
            self.enter_term(now, term, out);
            return;
        }
        let Role::Candidate {
            pre_vote: current_round,
            votes,
            ..
        } = &mut self.role
        else {
            return;
        };
        let expected = if *current_round {
            self.term.next()
        } else {
            self.term
        };
        if granted && pre_vote == *current_round && term == expected {
            votes.insert(from);
            self.count_votes(now, out);
        }
    }

    /// Counts the candidate's own vote once the record of it is synced.
    pub(crate) fn count_own_vote(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let synced = self.synced_seq >= self.last_seq;
        let me = self.id;
        if let Role::Candidate {
            pre_vote: false,
            votes,
            ..
        } = &mut self.role
            && synced
            && votes.insert(me)
        {
            self.count_votes(now, out);
        }
    }

    /// Whether the last contact with a leader is so recent that its lease may still be valid; for
    /// the leader itself, whether a quorum acknowledged it within an election timeout.
    fn has_recent_leader(&self, now: Tick) -> bool {
        if self.leads() {
            return self.quorum_silent_for(now) < self.timing.election;
        }
        now.since(self.leader_contact) < self.timing.election
    }

    /// Starts the vote round of an election in a new term.
    fn campaign(&mut self, now: Tick, reason: ElectionReason, out: &mut Outbox<Output>) {
        self.term = self.term.next();
        self.voted_for = Some(self.id);
        self.leader = None;
        self.role = Role::Candidate {
            pre_vote: false,
            reason,
            votes: BTreeSet::new(),
        };
        self.reset_election_timer(now);
        self.persist_vote(out);
        self.request_votes(self.term, false, reason, out);
    }

    /// Sends a vote request to every other voter, once the records written so far are synced.
    fn request_votes(
        &mut self,
        term: Term,
        pre_vote: bool,
        reason: ElectionReason,
        out: &mut Outbox<Output>,
    ) {
        let message = Message::VoteRequest {
            term,
            last: self.log.last(),
            last_term: self.log.last_term(),
            pre_vote,
            reason,
        };
        let voters: Vec<_> = member::voters(&self.group)
            .filter(|id| *id != self.id)
            .collect();
        for voter in voters {
            self.send_after_sync(voter, message.clone(), out);
        }
    }

    /// Ends the current round if it has enough votes: after a pre-vote round starts the vote round,
    /// after a vote round becomes leader.
    fn count_votes(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let Role::Candidate {
            pre_vote,
            reason,
            votes,
        } = &self.role
        else {
            return;
        };
        let (pre_vote, reason) = (*pre_vote, *reason);
        let count = member::voters(&self.group)
            .filter(|id| votes.contains(id))
            .count();
        let needed = match reason {
            ElectionReason::Timeout | ElectionReason::LeadershipTransfer => {
                member::quorum(&self.group)
            }
            // A voter that has not responded may hold a lease.
            ElectionReason::Restart => member::voters(&self.group).count(),
        };
        if count < needed {
            return;
        }
        if pre_vote {
            self.campaign(now, reason, out);
        } else {
            self.become_leader(now, out);
        }
    }

    /// Becomes leader and appends the no-op entry of the term.
    fn become_leader(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let next = self.log.last().next();
        let others = self.group.iter().filter(|m| m.id != self.id);
        self.role = Role::Leader(Leader {
            peers: others.map(|m| (m.id, Peer::new(next))).collect(),
            heartbeat_at: now,
            elected_at: now,
            noop_index: next,
        });
        self.leader = Some(self.id);
        self.had_leader = true;
        self.append_as_leader(now, crate::log::Body::Noop, out);
    }
}
