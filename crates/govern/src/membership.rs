//! Keeps the control group whole: hosts that ask are taken in, lost ones are replaced.

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

/// How often a host that is not led asks to be taken in.
const SEEK_EVERY: Duration = Duration::from_millis(400);
/// A host that heard no leader for this long asks to be taken in; four heartbeats.
const UNLED: Duration = Duration::from_millis(600);
/// A request to join counts for this long; several repeats of it.
const ASK_LIFE: Duration = Duration::from_secs(2);
/// A member at whose address another identity asks has lost its disk, once it was silent for two
/// heartbeats.
const DISPLACED: Duration = Duration::from_millis(300);
/// A voter silent for this long is replaced if a learner stands by; longer than an election.
const LOST_VOTER: Duration = Duration::from_millis(1500);
/// A learner silent for this long is dropped.
const LOST_LEARNER: Duration = Duration::from_secs(5);

/// The requests to join, and this host's own.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    asks: BTreeMap<MemberId, (Member, Tick)>,
    sought: Option<Tick>,
    /// Since when each member is in the group, as far as this leader saw.
    known: BTreeMap<MemberId, Tick>,
}

impl Roster {
    /// Notes a request to join.
    pub(crate) fn note(&mut self, now: Tick, member: Member) {
        self.asks.insert(member.id, (member, now));
    }

    /// This host's own request to join, if it is time for one.
    pub(crate) fn seek(&mut self, now: Tick, node: &Node, member: &Member) -> Option<Member> {
        let due = self.sought.is_none_or(|at| now.since(at) >= SEEK_EVERY);
        let unled = self.sought.is_none() || node.unled_for(now) >= UNLED;
        if node.leads() || !due || !unled {
            return None;
        }
        self.sought = Some(now);
        Some(member.clone())
    }

    /// When [`Roster::seek`] is due next.
    pub(crate) fn deadline(&self, node: &Node) -> Option<Tick> {
        if node.leads() {
            return None;
        }
        let due = |at: Tick| (at + SEEK_EVERY).max(node.heard_at() + UNLED);
        Some(self.sought.map_or_else(Tick::default, due))
    }

    /// The leader's next change of the group.
    pub(crate) fn next(&mut self, now: Tick, node: &Node) -> Option<MemberChange> {
        self.asks
            .retain(|_, (_, asked)| now.since(*asked) < ASK_LIFE);
        let group = node.group();
        self.known
            .retain(|id, _| group.iter().any(|member| member.id == *id));
        for member in group {
            self.known.entry(member.id).or_insert(now);
        }
        // A member that was added a moment ago has not been silent for longer.
        let silent = |member: &Member, span: Duration| {
            let known = self.known.get(&member.id).map(|at| now.since(*at));
            let silence = node.silence(now, member.id);
            silence.zip(known).is_some_and(|(a, b)| a.min(b) >= span)
        };
        let outside = |id: MemberId| group.iter().all(|member| member.id != id);
        for (ask, _) in self.asks.values().filter(|(ask, _)| outside(ask.id)) {
            match group.iter().find(|member| member.address == ask.address) {
                Some(old) if silent(old, DISPLACED) => {
                    return Some(MemberChange::Remove(old.id));
                }
                Some(_) => {}
                None if group.len() < MAX_MEMBERS => {
                    return Some(MemberChange::Add(ask.clone()));
                }
                None => {}
            }
        }
        let is_learner = |member: &&Member| member.stage == Stage::Learner;
        let lost_learner = group
            .iter()
            .filter(is_learner)
            .find(|member| silent(member, LOST_LEARNER));
        if let Some(lost) = lost_learner {
            return Some(MemberChange::Remove(lost.id));
        }
        let stands_by = |member: &Member| node.caught_up(member) && !silent(member, UNLED);
        if !group.iter().any(stands_by) {
            return None;
        }
        let voters = group.iter().filter(|member| member.stage == Stage::Voter);
        let mut lost = voters.filter(|member| silent(member, LOST_VOTER));
        lost.next().map(|lost| MemberChange::Remove(lost.id))
    }
}
