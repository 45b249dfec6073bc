//! Max-min fair sharing between the accounts of one class at the entry.
//!
//! Under overload an agent starts most requests at once or rejects them, and few are queued. Fair
//! queueing at the agent alone would then give more capacity to an account that sends more
//! requests. [`Shares`] tracks what each account recently offered and was served, and finds the
//! accounts above their max-min fair share.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{
    AccountId,
    Tick, //
};

/// Half-life of the offered and served amounts.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Half-life of the rejected amount. It is shorter, so that throttling ends soon after an overload
/// does.
const REJECTED_HALF_LIFE: Duration = Duration::from_secs(4);
/// The class is overloaded if the amount rejected for lack of capacity exceeds this percentage of
/// the amount served. Requests rejected for exceeding a fair share do not count, or an overload
/// would sustain itself.
const OVERLOAD_PERCENT: u64 = 60;
/// Upper limit for an account's served amount, in percent of its fair share.
const TOLERANCE_PERCENT: u64 = 105;
/// Interval at which the fair level is recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Scale of the amounts, so that division by weights and halving lose little precision.
const SCALE: u64 = 1024;

/// Recent demand and service of one account, in tokens times [`SCALE`].
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    offered: u64,
    served: u64,
    weight: u64,
}

/// Recent demand and service of the accounts of one class.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    accounts: BTreeMap<AccountId, Account>,
    /// The amount recently rejected for lack of capacity, in tokens times [`SCALE`].
    rejected: u64,
    halved_at: Tick,
    /// When `rejected` was last halved.
    rejected_halved: Tick,
    computed_at: Tick,
    /// The fair served amount for each unit of weight; none without overload.
    fair_level: Option<u64>,
}

impl Shares {
    /// Records a request. Returns whether its account is within its fair share.
    pub(crate) fn offer(&mut self, now: Tick, account: AccountId, weight: u32, cost: u64) -> bool {
        self.decay(now);
        let entry = self.accounts.entry(account).or_default();
        entry.weight = u64::from(weight.max(1));
        entry.offered += cost * SCALE;
        let served = entry.served / entry.weight;
        if now.since(self.computed_at) >= REFRESH_INTERVAL {
            self.computed_at = now;
            self.fair_level = self.compute_level();
        }
        self.fair_level
            .is_none_or(|level| served * 100 <= level * TOLERANCE_PERCENT)
    }

    /// Records a request that was rejected for lack of capacity.
    pub(crate) fn reject(&mut self, cost: u64) {
        self.rejected += cost * SCALE;
    }

    /// Records a request that was served.
    pub(crate) fn serve(&mut self, account: AccountId, cost: u64) {
        if let Some(entry) = self.accounts.get_mut(&account) {
            entry.served += cost * SCALE;
        }
    }

    /// Halves the recorded amounts whose half-life has passed.
    fn decay(&mut self, now: Tick) {
        if now.since(self.rejected_halved) >= REJECTED_HALF_LIFE {
            self.rejected_halved = now;
            self.rejected /= 2;
        }
        if now.since(self.halved_at) < HALF_LIFE {
            return;
        }
        self.halved_at = now;
        for account in self.accounts.values_mut() {
            account.offered /= 2;
            account.served /= 2;
        }
        self.accounts.retain(|_, account| account.offered > 0);
    }

    /// The level, for each unit of weight, of the max-min fair division of the served amount; none
    /// without overload. The unused part of an account that offers less than the
    /// level is divided among the others.
    fn compute_level(&self) -> Option<u64> {
        let served: u64 = self.accounts.values().map(|a| a.served).sum();
        // The rejected amount decays faster than the served one, by this factor.
        let decay_ratio = (HALF_LIFE.as_millis() / REJECTED_HALF_LIFE.as_millis()) as u64;
        if self.rejected * decay_ratio * 100 <= served * OVERLOAD_PERCENT {
            return None;
        }
        let mut order: Vec<_> = self.accounts.values().collect();
        order.sort_by_key(|a| a.offered / a.weight);
        let mut remaining = served;
        let mut weight: u64 = order.iter().map(|a| a.weight).sum();
        for account in order {
            let level = remaining / weight.max(1);
            if account.offered / account.weight > level {
                return Some(level);
            }
            remaining = remaining.saturating_sub(account.offered);
            weight -= account.weight;
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use slotmap::SlotMap;

    const SMALL: u64 = 10;

    /// Simulates an overloaded class in which one account offers ten times as much as each of four
    /// others, and half of all requests are served. Returns whether the large account and a small
    /// one are within their fair shares.
    fn overloaded() -> (bool, bool) {
        let mut arena: SlotMap<AccountId, ()> = SlotMap::with_key();
        let ids: Vec<_> = (0..5).map(|_| arena.insert(())).collect();
        let mut shares = Shares::default();
        for round in 0..20u64 {
            let now = Tick(round * 300_000);
            for (n, id) in ids.iter().enumerate() {
                let cost = if n == 0 { 10 * SMALL } else { SMALL };
                shares.offer(now, *id, 1, cost);
                shares.serve(*id, cost / 2);
                shares.reject(cost / 2);
            }
        }
        let now = Tick(20 * 300_000);
        (
            shares.offer(now, ids[0], 1, SMALL),
            shares.offer(now, ids[1], 1, SMALL),
        )
    }

    /// Simulates a class in which all requests are served. Returns whether its account always is
    /// within its fair share.
    fn without_overload() -> bool {
        let mut arena: SlotMap<AccountId, ()> = SlotMap::with_key();
        let id = arena.insert(());
        let mut shares = Shares::default();
        (0..20u64).all(|round| {
            let allowed = shares.offer(Tick(round * 300_000), id, 1, SMALL);
            shares.serve(id, SMALL);
            allowed
        })
    }

    case::cases! {
        large_account_is_throttled_under_overload: assert_eq!(overloaded(), (false, true));
        no_account_is_throttled_without_overload: assert!(without_overload());
    }
}
