//! The leader's lease: how long it may act without asking a majority again.

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

/// The right to act as the one leader, until a moment of the holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The term led; serves as fencing number.
    pub term: Term,
    /// When the right ends unless it is extended.
    pub expires_at: Tick,
}

impl Node {
    /// The leader's right to act; none if it does not lead, its term is not open yet, or its
    /// lease has run out.
    pub fn lease(&self, now: Tick) -> Option<Lease> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if self.commit < leader.barrier {
            return None;
        }
        let expires_at = self.lease_end()?;
        (now < expires_at).then_some(Lease {
            term: self.term,
            expires_at,
        })
    }

    /// Since when a majority has not confirmed this leader.
    pub(crate) fn unconfirmed_for(&self, now: Tick) -> Duration {
        match &self.role {
            Role::Leader(leader) => {
                let last = self.confirmed_at().unwrap_or_default().max(leader.since);
                now.since(last)
            }
            _ => Duration::ZERO,
        }
    }

    fn lease_end(&self) -> Option<Tick> {
        let at = self.confirmed_at()?;
        Some(if at == Tick(u64::MAX) {
            at
        } else {
            at + self.timing.lease
        })
    }

    /// When the latest heartbeat that a majority answered was sent. The far future for a group
    /// of one.
    fn confirmed_at(&self) -> Option<Tick> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let mut acked: Vec<_> = member::voters(&self.group)
            .map(|id| match leader.peers.get(&id) {
                None => Some(Tick(u64::MAX)),
                Some(peer) => peer.acked,
            })
            .collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked
            .get(member::quorum(&self.group) - 1)
            .copied()
            .flatten()
    }
}
