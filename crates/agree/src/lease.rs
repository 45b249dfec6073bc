//! The leader's lease: how long it may act as leader without another acknowledgement by a quorum.

use std::time::Duration;

use ids::{
    Term,
    Tick, //
};

use crate::member;
use crate::node::{
    Node,
    Role, //
};

/// The exclusive right to act as leader, valid until a time on the holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The holder's term; serves as fencing token.
    pub term: Term,
    /// When the lease expires unless another quorum of acknowledgements extends it.
    pub expires_at: Tick,
}

impl Node {
    /// The node's lease; none if the node is not the leader, the no-op entry of its term is not
    /// committed yet, or the lease has expired.
    pub fn lease(&self, now: Tick) -> Option<Lease> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if self.commit < leader.noop_index {
            return None;
        }
        let expires_at = self.lease_expiry()?;
        (now < expires_at).then_some(Lease {
            term: self.term,
            expires_at,
        })
    }

    /// The time since the last heartbeat that a quorum acknowledged, or since the election if that
    /// is later. Zero if the node is not the leader.
    pub(crate) fn quorum_silent_for(&self, now: Tick) -> Duration {
        match &self.role {
            Role::Leader(leader) => {
                let last = self
                    .quorum_acked_at()
                    .unwrap_or_default()
                    .max(leader.elected_at);
                now.since(last)
            }
            _ => Duration::ZERO,
        }
    }

    /// When the lease expires; [`Tick`]'s maximum in a group of one voter, whose lease never
    /// expires.
    fn lease_expiry(&self) -> Option<Tick> {
        let at = self.quorum_acked_at()?;
        Some(if at == Tick(u64::MAX) {
            at
        } else {
            at + self.timing.lease
        })
    }

    /// When the leader sent the latest heartbeat that a quorum acknowledged; [`Tick`]'s maximum in
    /// a group of one voter. None if the node is not the leader or no quorum has acknowledged yet.
    fn quorum_acked_at(&self) -> Option<Tick> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let mut acked: Vec<_> = member::voters(&self.group)
            .map(|id| match leader.peers.get(&id) {
                None => Some(Tick(u64::MAX)),
                Some(peer) => peer.acked_at,
            })
            .collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked
            .get(member::quorum(&self.group) - 1)
            .copied()
            .flatten()
    }
}
