//! Elections: preliminary votes, votes, and the handover of a term.

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
    Grounds,
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
    /// Gives the leadership to the most advanced voter. The term is given up for good before the
    /// successor is told, so a delayed message cannot make two leaders.
    ///
    /// Returns whether there was a leadership to give and somebody to take it.
    pub fn transfer_leadership(&mut self, now: Tick, out: &mut Outbox<Output>) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let voters = member::voters(&self.group).filter(|id| *id != self.id);
        let ready = voters.max_by_key(|id| leader.peers.get(id).map(|peer| peer.matched));
        let Some(successor) = ready else {
            return false;
        };
        let term = self.term;
        self.follow(now, None);
        out.push(Output::Send(successor, Message::Handover { term }));
        true
    }

    /// Stands for election: first asks whether enough voters would vote.
    pub(crate) fn stand_up(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let started = !self.led && now.since(self.heard) < self.timing.election;
        let grounds = if started {
            self.reset_poll(now);
            Grounds::Restart
        } else {
            self.reset_stand(now);
            Grounds::Silence
        };
        if !self.is_voter() {
            return;
        }
        self.leader = None;
        self.role = Role::Candidate {
            pre: true,
            grounds,
            votes: BTreeSet::from([self.id]),
        };
        self.ask_votes(self.term.next(), true, grounds, out);
        self.count_votes(now, out);
    }

    pub(crate) fn on_handover(
        &mut self,
        now: Tick,
        from: MemberId,
        term: Term,
        out: &mut Outbox<Output>,
    ) {
        let known = self.leader.is_none_or(|leader| leader == from);
        if term == self.term && known && self.is_voter() && !self.leads() {
            self.campaign(now, Grounds::Handover, out);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        now: Tick,
        from: MemberId,
        asked: (Term, Index, Term),
        pre: bool,
        grounds: Grounds,
        out: &mut Outbox<Output>,
    ) {
        let (term, last, last_term) = asked;
        let lease_may_run = match grounds {
            Grounds::Silence => self.keeps_leader(now),
            Grounds::Handover => false,
            Grounds::Restart => self.led && self.keeps_leader(now),
        };
        if lease_may_run {
            return;
        }
        if !pre && term > self.term {
            self.enter_term(now, term, out);
        }
        let current = (self.log.last_term(), self.log.last());
        let up_to_date = (last_term, last) >= current;
        let free = self.voted.is_none_or(|voted| voted == from);
        // All voters must agree on one of them: among equals, on the smallest identity.
        let equal = (last_term, last) == current;
        let preferred = grounds != Grounds::Restart || !equal || from < self.id;
        let granted = if pre {
            term > self.term && up_to_date && preferred
        } else {
            term == self.term && up_to_date && free && !self.leads()
        };
        if granted && !pre {
            self.reset_stand(now);
            if self.voted.is_none() {
                self.voted = Some(from);
                self.persist_vote(out);
            }
        }
        let term = if granted { term } else { self.term };
        self.send_synced(from, Message::Voted { term, granted, pre }, out);
    }

    pub(crate) fn on_voted(
        &mut self,
        now: Tick,
        from: MemberId,
        term: Term,
        granted: bool,
        pre: bool,
        out: &mut Outbox<Output>,
    ) {
        if !granted && term > self.term {
            self.enter_term(now, term, out);
            return;
        }
        let Role::Candidate {
            pre: asked_pre,
            votes,
            ..
        } = &mut self.role
        else {
            return;
        };
        let expected = if *asked_pre {
            self.term.next()
        } else {
            self.term
        };
        if granted && pre == *asked_pre && term == expected {
            votes.insert(from);
            self.count_votes(now, out);
        }
    }

    /// Counts the candidate's own vote once it is synced.
    pub(crate) fn count_own_vote(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let synced = self.synced >= self.seq;
        let me = self.id;
        if let Role::Candidate {
            pre: false, votes, ..
        } = &mut self.role
            && synced
            && votes.insert(me)
        {
            self.count_votes(now, out);
        }
    }

    /// Whether a leader was heard so lately that its lease may still run.
    fn keeps_leader(&self, now: Tick) -> bool {
        if self.leads() {
            return self.unconfirmed_for(now) < self.timing.election;
        }
        now.since(self.heard) < self.timing.election
    }

    fn campaign(&mut self, now: Tick, grounds: Grounds, out: &mut Outbox<Output>) {
        self.term = self.term.next();
        self.voted = Some(self.id);
        self.leader = None;
        self.role = Role::Candidate {
            pre: false,
            grounds,
            votes: BTreeSet::new(),
        };
        self.reset_stand(now);
        self.persist_vote(out);
        self.ask_votes(self.term, false, grounds, out);
    }

    fn ask_votes(&mut self, term: Term, pre: bool, grounds: Grounds, out: &mut Outbox<Output>) {
        let message = Message::Vote {
            term,
            last: self.log.last(),
            last_term: self.log.last_term(),
            pre,
            grounds,
        };
        let voters: Vec<_> = member::voters(&self.group)
            .filter(|id| *id != self.id)
            .collect();
        for voter in voters {
            self.send_synced(voter, message.clone(), out);
        }
    }

    fn count_votes(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let Role::Candidate {
            pre,
            grounds,
            votes,
        } = &self.role
        else {
            return;
        };
        let (pre, grounds) = (*pre, *grounds);
        let count = member::voters(&self.group)
            .filter(|id| votes.contains(id))
            .count();
        let needed = match grounds {
            Grounds::Silence | Grounds::Handover => member::quorum(&self.group),
            // A voter that is not heard may hold a lease.
            Grounds::Restart => member::voters(&self.group).count(),
        };
        if count < needed {
            return;
        }
        if pre {
            self.campaign(now, grounds, out);
        } else {
            self.take_lead(now, out);
        }
    }

    fn take_lead(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let next = self.log.last().next();
        let others = self.group.iter().filter(|m| m.id != self.id);
        self.role = Role::Leader(Leader {
            peers: others.map(|m| (m.id, Peer::new(next))).collect(),
            beat: now,
            since: now,
            barrier: next,
        });
        self.leader = Some(self.id);
        self.led = true;
        self.lead_append(now, crate::log::Body::Noop, out);
    }
}
