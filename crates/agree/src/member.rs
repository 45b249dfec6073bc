//! Members of the group, and membership changes.

use std::fmt;
use std::net::SocketAddr;

use ids::HostName;
use serde::{
    Deserialize,
    Serialize, //
};

/// The identity of a member. It is stored on the member's disk: a member whose disk was wiped must
/// join under a new identity, because its earlier votes and acknowledged entries are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Whether a member has a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Receives the log but does not vote or count towards a quorum.
    Learner,
    /// Votes and counts towards a quorum.
    Voter,
}

/// A member of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The member's identity.
    pub id: MemberId,
    /// The host that the member runs on.
    pub host: HostName,
    /// The address at which the other members connect to it.
    pub address: SocketAddr,
    /// Whether the member has a vote.
    pub stage: Stage,
}

/// A membership change of a single member.
///
/// With one member added or removed at a time, any quorum of the old group and any quorum of the
/// new group share a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a learner. The leader promotes it once it has caught up, as its
    /// [`PromotionPolicy`](crate::PromotionPolicy) allows.
    Add(Member),
    /// Removes a learner or a voter.
    Remove(MemberId),
}

/// Why a leader rejected a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberError {
    /// This member is not the leader.
    NotLeader,
    /// An earlier membership change, or the no-op entry of the leader's term, is not committed yet.
    Pending,
    /// The member to add is in the group already.
    AlreadyMember,
    /// The member to remove is not in the group.
    NotMember,
    /// The member to remove is the leader; the leadership has to be transferred first.
    RemovesLeader,
    /// The group has [`MAX_MEMBERS`] members.
    Full,
    /// The group needs the vote of the member that asked to leave.
    Required,
}

impl fmt::Display for MemberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotLeader => "this host does not lead the control group",
            Self::Pending => "an earlier change of the group is not finished",
            Self::AlreadyMember => "the member is in the group already",
            Self::NotMember => "the member is not in the group",
            Self::RemovesLeader => {
                "the leader cannot remove itself; hand over the leadership first"
            }
            Self::Full => "the group has fourteen members already",
            Self::Required => "the group needs the vote of this member",
        })
    }
}

impl std::error::Error for MemberError {}

/// Most voters of a group. Seven voters tolerate the loss of three; each further voter would slow
/// down every commit.
pub const MAX_VOTERS: usize = 7;
/// Most members of a group. Besides the voters it leaves room for as many learners that are
/// catching up, are ready to replace a failed voter, or have failed and are not removed yet.
pub const MAX_MEMBERS: usize = 2 * MAX_VOTERS;

/// The group after a membership change; a new member starts as a learner.
pub(crate) fn apply(group: &[Member], change: &MemberChange) -> Result<Vec<Member>, MemberError> {
    let mut next = group.to_vec();
    match change {
        MemberChange::Add(member) if next.iter().any(|m| m.id == member.id) => {
            return Err(MemberError::AlreadyMember);
        }
        MemberChange::Add(_) if next.len() >= MAX_MEMBERS => return Err(MemberError::Full),
        MemberChange::Add(member) => next.push(Member {
            stage: Stage::Learner,
            ..member.clone()
        }),
        MemberChange::Remove(id) => {
            next.retain(|m| m.id != *id);
            if next.len() == group.len() {
                return Err(MemberError::NotMember);
            }
        }
    }
    Ok(next)
}

/// The identities of a group's voters.
pub(crate) fn voters(group: &[Member]) -> impl Iterator<Item = MemberId> + '_ {
    group
        .iter()
        .filter(|m| m.stage == Stage::Voter)
        .map(|m| m.id)
}

/// The number of voters that make a quorum: a strict majority.
pub(crate) fn quorum(group: &[Member]) -> usize {
    voters(group).count() / 2 + 1
}
