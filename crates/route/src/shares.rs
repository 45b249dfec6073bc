//! Fair shares between the accounts of one class, also where nothing queues.
//!
//! Under overload agents start most requests at once or send them elsewhere, so an order among
//! those that wait there is not enough: an account that sends more would get more. [`Shares`] remembers what
//! each account offered and got lately, and tells which ones are above their max-min fair share.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{
    AccountId,
    Tick, //
};

/// After this time, what was offered and served counts half.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// After this time, what was lost counts half: an overload that has passed is soon forgotten.
const LOST_HALF_LIFE: Duration = Duration::from_secs(4);
/// The class counts as overloaded once this much was lost for want of room, in percent of what
/// was served. What is refused for an account's share does not count, or it would go on for ever.
const OVERLOAD_PERCENT: u64 = 60;
/// An account may be this much above its fair share, in percent.
const LENIENCE_PERCENT: u64 = 105;
/// How often the level is computed anew.
const REFRESH: Duration = Duration::from_millis(250);
/// Scale of the amounts, so that weights divide and halves remain without loss.
const SCALE: u64 = 1024;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    offered: u64,
    served: u64,
    weight: u64,
}

/// What the accounts of one class offered and got.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shares {
    accounts: BTreeMap<AccountId, Account>,
    /// What was lost for want of room, lately.
    lost: u64,
    halved: Tick,
    forgotten: Tick,
    computed: Tick,
    /// Most that an account may have got by weight; none while there is enough for all.
    level: Option<u64>,
}

impl Shares {
    /// Notes a request. Returns whether its account may have a start now.
    pub(crate) fn offer(&mut self, now: Tick, account: AccountId, weight: u32, cost: u64) -> bool {
        self.age(now);
        let entry = self.accounts.entry(account).or_default();
        entry.weight = u64::from(weight.max(1));
        entry.offered += cost * SCALE;
        let served = entry.served / entry.weight;
        if now.since(self.computed) >= REFRESH {
            self.computed = now;
            self.level = self.compute();
        }
        self.level
            .is_none_or(|level| served * 100 <= level * LENIENCE_PERCENT)
    }

    /// Notes a request that found no room anywhere.
    pub(crate) fn lose(&mut self, cost: u64) {
        self.lost += cost * SCALE;
    }

    /// Notes a start.
    pub(crate) fn serve(&mut self, account: AccountId, cost: u64) {
        if let Some(entry) = self.accounts.get_mut(&account) {
            entry.served += cost * SCALE;
        }
    }

    fn age(&mut self, now: Tick) {
        if now.since(self.forgotten) >= LOST_HALF_LIFE {
            self.forgotten = now;
            self.lost /= 2;
        }
        if now.since(self.halved) < HALF_LIFE {
            return;
        }
        self.halved = now;
        for account in self.accounts.values_mut() {
            account.offered /= 2;
            account.served /= 2;
        }
        self.accounts.retain(|_, account| account.offered > 0);
    }

    /// The level of the max-min fair division of what was served; none without overload.
    fn compute(&self) -> Option<u64> {
        let served: u64 = self.accounts.values().map(|a| a.served).sum();
        let spans = (HALF_LIFE.as_millis() / LOST_HALF_LIFE.as_millis()) as u64;
        if self.lost * spans * 100 <= served * OVERLOAD_PERCENT {
            return None;
        }
        let mut order: Vec<_> = self.accounts.values().collect();
        order.sort_by_key(|a| a.offered / a.weight);
        let mut left = served;
        let mut weight: u64 = order.iter().map(|a| a.weight).sum();
        for account in order {
            let level = left / weight.max(1);
            if account.offered / account.weight > level {
                return Some(level);
            }
            left = left.saturating_sub(account.offered);
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

    /// A class in which one account offers ten times what each of four others does, and half of
    /// everything is served. Returns who may go on: the large one, a small one.
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
                shares.lose(cost / 2);
            }
        }
        let now = Tick(20 * 300_000);
        (
            shares.offer(now, ids[0], 1, SMALL),
            shares.offer(now, ids[1], 1, SMALL),
        )
    }

    fn enough() -> bool {
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
        large_account_waits_for_small_ones: assert_eq!(overloaded(), (false, true));
        nobody_waits_while_there_is_enough: assert!(enough());
    }
}
