//! Tiers first, a bounded reserve for each class, fair shares between the accounts of a class.

use std::collections::{
    BTreeMap,
    VecDeque, //
};
use std::time::Duration;

use ids::{
    AccountId,
    ClassId,
    Tick,
    Ticket,
    Tier,
    Tokens, //
};

use crate::queue::{
    QueuePolicy,
    QueuedRequest, //
};

/// Credit that one start from the reserve costs. A backlogged class earns its reserve in percent
/// with every start, so it gets that share of all starts.
const START_CREDIT: u32 = 100;
/// Most credit a class saves up.
const MAX_CREDIT: u32 = 200;
/// Scale of the served counters, so that weights divide without loss.
const SERVED_SCALE: u64 = 1000;

#[derive(Clone, Debug, Default)]
struct Share {
    /// Tokens served by weight; the account with the least starts next.
    served: u64,
    waiting: VecDeque<QueuedRequest>,
}

#[derive(Clone, Debug, Default)]
struct Lane {
    credit: u32,
    reserve: u8,
    shares: BTreeMap<AccountId, Share>,
}

impl Lane {
    fn backlog(&self) -> impl Iterator<Item = (&AccountId, &Share)> {
        self.shares
            .iter()
            .filter(|(_, share)| !share.waiting.is_empty())
    }

    fn items(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.shares.values().flat_map(|share| share.waiting.iter())
    }

    fn is_empty(&self) -> bool {
        self.shares.values().all(|share| share.waiting.is_empty())
    }

    fn push(&mut self, item: QueuedRequest) {
        let floor = self.backlog().map(|(_, share)| share.served).min();
        let share = self.shares.entry(item.account).or_default();
        // An account that was idle does not get back what it did not use.
        if share.waiting.is_empty() {
            share.served = share.served.max(floor.unwrap_or(0));
        }
        self.reserve = item.reserve;
        share.waiting.push_back(item);
    }

    /// Takes the next request of the account that has had least; requests that can still meet
    /// their target go before late ones.
    fn pop(&mut self, now: Tick) -> Option<QueuedRequest> {
        let on_time = |item: &QueuedRequest| item.target > now;
        let least = self
            .backlog()
            .min_by_key(|(_, share)| (!share.waiting.iter().any(on_time), share.served));
        let account = least.map(|(account, _)| *account)?;
        let share = self.shares.get_mut(&account)?;
        let at = share.waiting.iter().position(on_time).unwrap_or(0);
        let item = share.waiting.remove(at)?;
        share.served += charge(item.cost, item.weight);
        Some(item)
    }

    /// Takes the youngest request of the account that has had most.
    fn give_way(&mut self) -> Option<QueuedRequest> {
        let most = self.backlog().max_by_key(|(_, share)| share.served);
        let account = most.map(|(account, _)| *account)?;
        self.shares.get_mut(&account)?.waiting.pop_back()
    }

    fn take(&mut self, mut wanted: impl FnMut(&QueuedRequest) -> bool) -> Vec<QueuedRequest> {
        let mut taken = Vec::new();
        for share in self.shares.values_mut() {
            let (out, keep): (Vec<_>, Vec<_>) = share.waiting.drain(..).partition(&mut wanted);
            taken.extend(out);
            share.waiting = keep.into();
        }
        taken
    }
}

fn charge(cost: Tokens, weight: u32) -> u64 {
    cost.0 * SERVED_SCALE / u64::from(weight.max(1))
}

/// The product's queue.
#[derive(Clone, Debug, Default)]
pub struct Tiered {
    lanes: BTreeMap<(Tier, ClassId), Lane>,
}

impl Tiered {
    /// The lane that has earned a start although a higher tier waits: the one with most credit,
    /// if no request above it that is still in time would become late by one more turn.
    fn reserved(&self, now: Tick, turnover: &[Duration; Tier::COUNT]) -> Option<(Tier, ClassId)> {
        let earned = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.credit >= START_CREDIT && !lane.is_empty());
        let (key, _) = earned.max_by_key(|(_, lane)| lane.credit)?;
        let above = self
            .lanes
            .iter()
            .take_while(|((tier, _), _)| tier.outranks(key.0));
        let mut waiting = above.flat_map(|(_, lane)| lane.items());
        let spared = |item: &QueuedRequest| item.target.since(now) > turnover[item.tier.index()];
        let harmless = waiting.all(|item| item.target <= now || spared(item));
        harmless.then_some(*key)
    }

    fn earn(&mut self) {
        for lane in self.lanes.values_mut().filter(|lane| !lane.is_empty()) {
            lane.credit = (lane.credit + u32::from(lane.reserve)).min(MAX_CREDIT);
        }
    }
}

impl QueuePolicy for Tiered {
    fn push(&mut self, item: QueuedRequest) {
        self.lanes
            .entry((item.tier, item.class))
            .or_default()
            .push(item);
    }

    fn pop(
        &mut self,
        now: Tick,
        turnover: &[Duration; Tier::COUNT],
    ) -> Option<(QueuedRequest, bool)> {
        let first = self
            .lanes
            .iter()
            .find(|(_, lane)| !lane.is_empty())
            .map(|(key, _)| *key)?;
        let reserved = self.reserved(now, turnover).filter(|key| *key != first);
        self.earn();
        let lane = self.lanes.get_mut(&reserved.unwrap_or(first))?;
        if reserved.is_some() {
            lane.credit -= START_CREDIT;
        }
        lane.pop(now).map(|item| (item, reserved.is_some()))
    }

    fn give_way(&mut self, tier: Tier) -> Option<QueuedRequest> {
        let below = self
            .lanes
            .iter_mut()
            .rev()
            .take_while(|((low, _), _)| tier.outranks(*low));
        below.into_iter().find_map(|(_, lane)| lane.give_way())
    }

    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let mut lanes = self.lanes.values_mut();
        lanes.find_map(|lane| lane.take(|item| item.ticket == ticket).pop())
    }

    fn expire(&mut self, now: Tick) -> Vec<QueuedRequest> {
        let lanes = self.lanes.values_mut();
        lanes
            .flat_map(|lane| lane.take(|item| item.due <= now))
            .collect()
    }

    fn clear(&mut self) -> Vec<QueuedRequest> {
        self.lanes
            .values_mut()
            .flat_map(|lane| lane.take(|_| true))
            .collect()
    }

    fn next_due(&self) -> Option<Tick> {
        self.lanes
            .values()
            .flat_map(Lane::items)
            .map(|item| item.due)
            .min()
    }

    fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.items().count()).sum()
    }

    fn of_class(&self, class: ClassId) -> usize {
        let lanes = self.lanes.iter().filter(|((_, id), _)| *id == class);
        lanes.map(|(_, lane)| lane.items().count()).sum()
    }

    fn by_tier(&self) -> [u32; Tier::COUNT] {
        let mut counts = [0; Tier::COUNT];
        let items = self.lanes.values().flat_map(Lane::items);
        items.for_each(|item| counts[item.tier.index()] += 1);
        counts
    }

    fn ahead_of(&self, tier: Tier) -> usize {
        let ahead = self
            .lanes
            .iter()
            .take_while(|((other, _), _)| !tier.outranks(*other));
        ahead.map(|(_, lane)| lane.items().count()).sum()
    }

    fn settle(
        &mut self,
        class: ClassId,
        account: AccountId,
        weight: u32,
        charged: Tokens,
        real: Tokens,
    ) {
        let lanes = self.lanes.iter_mut().filter(|((_, id), _)| *id == class);
        for share in lanes.filter_map(|(_, lane)| lane.shares.get_mut(&account)) {
            let without = share.served.saturating_sub(charge(charged, weight));
            share.served = without + charge(real, weight);
        }
    }
}
