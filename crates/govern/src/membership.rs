//! Keeps the control group at full strength: hosts that request to join are added, failed members
//! are replaced.

use std::collections::BTreeMap;
use std::time::Duration;

use agree::{
    MAX_MEMBERS,
    Member,
    MemberChange,
    MemberId,
    Node,
    Stage, //
};
use ids::Tick;

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
/// Silence after which a learner is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(5);

/// Join requests from other hosts and the timing of this host's own.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    /// Pending requests, with the time of the last repeat.
    join_requests: BTreeMap<MemberId, (Member, Tick)>,
    /// When this host last requested to join.
    requested_at: Option<Tick>,
    /// When this leader first saw each member in the group.
    first_seen: BTreeMap<MemberId, Tick>,
}

impl Membership {
    /// Records another host's request to join.
    pub(crate) fn record_join(&mut self, now: Tick, member: Member) {
        self.join_requests.insert(member.id, (member, now));
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
        if node.leads() || !due || !leaderless {
            return None;
        }
        self.requested_at = Some(now);
        Some(member.clone())
    }

    /// When the next [`Membership::join_request`] is due.
    pub(crate) fn deadline(&self, node: &Node) -> Option<Tick> {
        if node.leads() {
            return None;
        }
        let due = |at: Tick| (at + JOIN_INTERVAL).max(node.last_leader_contact() + LEADER_TIMEOUT);
        Some(self.requested_at.map_or_else(Tick::default, due))
    }

    /// Returns the next change that the leader makes to the group. Hosts that request to join come
    /// first, then failed learners, then failed voters that a learner can replace.
    pub(crate) fn next_change(&mut self, now: Tick, node: &Node) -> Option<MemberChange> {
        self.join_requests
            .retain(|_, (_, received_at)| now.since(*received_at) < JOIN_REQUEST_TTL);
        let group = node.group();
        self.first_seen
            .retain(|id, _| group.iter().any(|member| member.id == *id));
        for member in group {
            self.first_seen.entry(member.id).or_insert(now);
        }
        // A member's silence counts from the time at which this leader first saw it in the group.
        let silent = |member: &Member, span: Duration| {
            let present = self.first_seen.get(&member.id).map(|at| now.since(*at));
            let silence = node.peer_silent_for(now, member.id);
            silence.zip(present).is_some_and(|(a, b)| a.min(b) >= span)
        };
        let outside = |id: MemberId| group.iter().all(|member| member.id != id);
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
            .find(|member| silent(member, LEARNER_TIMEOUT));
        if let Some(failed) = failed_learner {
            return Some(MemberChange::Remove(failed.id));
        }
        let can_replace =
            |member: &Member| node.caught_up(member) && !silent(member, LEADER_TIMEOUT);
        if !group.iter().any(can_replace) {
            return None;
        }
        let voters = group.iter().filter(|member| member.stage == Stage::Voter);
        let mut failed = voters.filter(|member| silent(member, VOTER_TIMEOUT));
        failed.next().map(|member| MemberChange::Remove(member.id))
    }
}
