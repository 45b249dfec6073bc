//! Keeps the control group at full strength: hosts that request to join are added, hosts that stop
//! leave, failed members are replaced, and voters that are gone are removed.
//!
//! A voter leaves without a successor only if the voters that respond are enough to tolerate, on
//! their own, as many failures as required. So no series of failures or pauses makes the group
//! smaller than that.

use std::collections::BTreeMap;
use std::time::Duration;

use agree::{
    MAX_MEMBERS,
    Member,
    MemberChange,
    MemberError,
    MemberId,
    Node,
    Stage, //
};
use ids::{
    Tick,
    Ticket, //
};

/// Interval between join requests of a host without a leader.
const JOIN_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a leader's message after which a host requests to join: five heartbeats.
const LEADER_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the leader keeps a join request. The requester repeats it several times in this span.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(2);
/// Silence, of two and a half heartbeats, after which a member is removed if another identity
/// requests to join from its address: the host has lost its disk and has a new identity.
const DISPLACED_TIMEOUT: Duration = Duration::from_millis(300);
/// Silence after which a voter is removed if a caught-up learner can replace it. Longer than an
/// election.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which a learner is removed, and a voter without a successor even if the group
/// tolerates as many failures with it.
const DEPARTED_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the leader keeps a request to leave. The requester waits about as long.
const LEAVE_REQUEST_TTL: Duration = Duration::from_secs(1);
/// Time after its request to leave for which a member is not added again: a request to join that it
/// sent before may arrive later.
const REJOIN_DELAY: Duration = Duration::from_secs(1);

/// A member's request to leave the group, as the leader keeps it.
#[derive(Clone, Copy, Debug)]
struct Leaver {
    requested_at: Tick,
    /// The request to reply to; none once the leader has replied.
    ticket: Option<Ticket>,
}

/// Join requests from other hosts and the timing of this host's own.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    /// Pending requests, with the time of the last repeat.
    join_requests: BTreeMap<MemberId, (Member, Tick)>,
    /// When this host last requested to join.
    requested_at: Option<Tick>,
    /// Members that asked to leave.
    leavers: BTreeMap<MemberId, Leaver>,
    /// Whether this host is stopping, so that it does not request to join any more.
    stopping: bool,
    /// When this leader first saw each member in the group.
    first_seen: BTreeMap<MemberId, Tick>,
}

impl Membership {
    /// Records another host's request to join.
    pub(crate) fn record_join(&mut self, now: Tick, member: Member) {
        self.join_requests.insert(member.id, (member, now));
    }

    /// Records a member's request to leave. Returns the earlier request of this member that it
    /// replaces, if there was no reply to it.
    pub(crate) fn record_leave(
        &mut self,
        now: Tick,
        id: MemberId,
        ticket: Ticket,
    ) -> Option<Ticket> {
        self.join_requests.remove(&id);
        let leaver = Leaver {
            requested_at: now,
            ticket: Some(ticket),
        };
        let earlier = self.leavers.insert(id, leaver);
        earlier.and_then(|leaver| leaver.ticket)
    }

    /// Notes that this host is stopping.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Removes all requests to leave, and returns those without a reply.
    pub(crate) fn take_leavers(&mut self) -> Vec<Ticket> {
        let leavers = std::mem::take(&mut self.leavers).into_values();
        leavers.filter_map(|leaver| leaver.ticket).collect()
    }

    /// The replies that are due to requests to leave, on a leader whose group is settled: whether the
    /// member has left, or has to stay because the group needs its vote. None for a request that has
    /// expired.
    pub(crate) fn leave_replies(
        &mut self,
        now: Tick,
        node: &Node,
        tolerated: usize,
    ) -> Vec<(Ticket, Option<Result<(), MemberError>>)> {
        let mut replies = Vec::new();
        for (id, mut leaver) in std::mem::take(&mut self.leavers) {
            let since = now.since(leaver.requested_at);
            let member = node.group().iter().find(|member| member.id == id);
            let result = match member {
                None => Some(Some(Ok(()))),
                Some(member) if !self.may_leave(now, node, member, tolerated) => {
                    Some(Some(Err(MemberError::Required)))
                }
                Some(_) => (since >= LEAVE_REQUEST_TTL).then_some(None),
            };
            let ticket = leaver.ticket.take_if(|_| result.is_some());
            replies.extend(ticket.zip(result));
            if since < LEAVE_REQUEST_TTL.max(REJOIN_DELAY) {
                self.leavers.insert(id, leaver);
            }
        }
        replies
    }

    /// Returns this host's own request to join, if one is due: the first right after the start, then
    /// one per [`JOIN_INTERVAL`] while the host has no leader.
    pub(crate) fn join_request(
        &mut self,
        now: Tick,
        node: &Node,
        member: &Member,
    ) -> Option<Member> {
        let due = self
            .requested_at
            .is_none_or(|at| now.since(at) >= JOIN_INTERVAL);
        let leaderless = self.requested_at.is_none() || node.leaderless_for(now) >= LEADER_TIMEOUT;
        if self.stopping || node.leads() || !due || !leaderless {
            return None;
        }
        self.requested_at = Some(now);
        Some(member.clone())
    }

    /// When the next [`Membership::join_request`] is due.
    pub(crate) fn deadline(&self, node: &Node) -> Option<Tick> {
        if self.stopping || node.leads() {
            return None;
        }
        let due = |at: Tick| (at + JOIN_INTERVAL).max(node.last_leader_contact() + LEADER_TIMEOUT);
        Some(self.requested_at.map_or_else(Tick::default, due))
    }

    /// Returns the next change that the leader makes to the group, which has to tolerate the failure
    /// of `tolerated` voters. Members that ask to leave come first, then hosts that request to join,
    /// failed learners, failed voters that a learner can replace, and voters that are gone.
    pub(crate) fn next_change(
        &mut self,
        now: Tick,
        node: &Node,
        tolerated: usize,
    ) -> Option<MemberChange> {
        self.join_requests
            .retain(|_, (_, received_at)| now.since(*received_at) < JOIN_REQUEST_TTL);
        let group = node.group();
        self.first_seen
            .retain(|id, _| group.iter().any(|member| member.id == *id));
        for member in group {
            self.first_seen.entry(member.id).or_insert(now);
        }
        let silent = |member: &Member, span| self.silent(now, node, member, span);
        let leaver = group.iter().find(|member| {
            self.leavers.contains_key(&member.id) && self.may_leave(now, node, member, tolerated)
        });
        if let Some(leaver) = leaver {
            return Some(MemberChange::Remove(leaver.id));
        }
        let outside = |id: MemberId| {
            group.iter().all(|member| member.id != id) && !self.leavers.contains_key(&id)
        };
        for (joiner, _) in self
            .join_requests
            .values()
            .filter(|(joiner, _)| outside(joiner.id))
        {
            match group.iter().find(|member| member.address == joiner.address) {
                Some(old) if silent(old, DISPLACED_TIMEOUT) => {
                    return Some(MemberChange::Remove(old.id));
                }
                Some(_) => {}
                None if group.len() < MAX_MEMBERS => {
                    return Some(MemberChange::Add(joiner.clone()));
                }
                None => {}
            }
        }
        let is_learner = |member: &&Member| member.stage == Stage::Learner;
        let failed_learner = group
            .iter()
            .filter(is_learner)
            .find(|member| silent(member, DEPARTED_TIMEOUT));
        if let Some(failed) = failed_learner {
            return Some(MemberChange::Remove(failed.id));
        }
        let voters = || group.iter().filter(|member| member.stage == Stage::Voter);
        let failed: Vec<_> = voters()
            .filter(|member| silent(member, VOTER_TIMEOUT))
            .collect();
        let first = failed.first()?;
        if self.has_successor(now, node) {
            return Some(MemberChange::Remove(first.id));
        }
        if self.other_voters(now, node, first.id) < needed(tolerated) {
            return None;
        }
        // Without one of several failed voters, or as an odd group, the group tolerates one more
        // failure; otherwise as many as with it, so it is removed only once it is gone for long.
        let helps = failed.len() > 1 || voters().count() % 2 == 0;
        let mut departed = failed.iter();
        departed
            .find(|member| helps || silent(member, DEPARTED_TIMEOUT))
            .map(|member| MemberChange::Remove(member.id))
    }

    /// Whether a member has been silent for this long. Its silence counts from the time at which this
    /// leader first saw it in the group. The leader itself is never silent.
    fn silent(&self, now: Tick, node: &Node, member: &Member, span: Duration) -> bool {
        let present = self.first_seen.get(&member.id).map(|at| now.since(*at));
        let silence = node.peer_silent_for(now, member.id);
        silence.zip(present).is_some_and(|(a, b)| a.min(b) >= span)
    }

    /// Whether a learner could take the place of a voter.
    fn has_successor(&self, now: Tick, node: &Node) -> bool {
        node.group().iter().any(|member| {
            node.caught_up(member)
                && !self.leavers.contains_key(&member.id)
                && !self.silent(now, node, member, LEADER_TIMEOUT)
        })
    }

    /// How many voters respond and do not leave, without the member `id`.
    fn other_voters(&self, now: Tick, node: &Node, id: MemberId) -> usize {
        let voters = node
            .group()
            .iter()
            .filter(|member| member.stage == Stage::Voter);
        let others = voters.filter(|member| {
            member.id != id
                && !self.leavers.contains_key(&member.id)
                && !self.silent(now, node, member, LEADER_TIMEOUT)
        });
        others.count()
    }

    /// Whether the group can do without a member that responds: it does not vote, or a learner can
    /// take its place, or enough voters are left.
    fn may_leave(&self, now: Tick, node: &Node, member: &Member, tolerated: usize) -> bool {
        member.stage == Stage::Learner
            || self.has_successor(now, node)
            || self.other_voters(now, node, member.id) >= needed(tolerated)
    }
}

/// The number of voters that tolerate the failure of `tolerated` of them.
fn needed(tolerated: usize) -> usize {
    2 * tolerated + 1
}
