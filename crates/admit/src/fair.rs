//! The tiered queueing policy: strict priority between tiers, a bounded reserve of starts for each
//! class, and weighted fair queueing between the accounts of a class.

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

/// Credit spent by one start from the reserve. With every start at the endpoint, each backlogged
/// class earns its reserve in percent as credit, so it gets that share of all starts.
const RESERVED_START_COST: u32 = 100;
/// Maximum credit that a class accumulates: two starts.
const MAX_CREDIT: u32 = 200;
/// Scale of the served counters, so that division by weights loses little precision.
const SERVED_SCALE: u64 = 1000;

/// The queue of one account within a class.
#[derive(Clone, Debug, Default)]
struct AccountQueue {
    /// Tokens served divided by the account's weight, times [`SERVED_SCALE`]. The account with the
    /// lowest value starts a request next.
    served: u64,
    requests: VecDeque<QueuedRequest>,
}

/// The queue of one class.
#[derive(Clone, Debug, Default)]
struct ClassQueue {
    /// Credit for starts ahead of higher tiers.
    credit: u32,
    /// The class's reserve, in percent of all starts.
    reserve: u8,
    accounts: BTreeMap<AccountId, AccountQueue>,
}

impl ClassQueue {
    /// The accounts that have queued requests.
    fn backlogged(&self) -> impl Iterator<Item = (&AccountId, &AccountQueue)> {
        self.accounts
            .iter()
            .filter(|(_, queue)| !queue.requests.is_empty())
    }

    fn items(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.accounts
            .values()
            .flat_map(|queue| queue.requests.iter())
    }

    fn is_empty(&self) -> bool {
        self.accounts
            .values()
            .all(|queue| queue.requests.is_empty())
    }

    fn push(&mut self, item: QueuedRequest) {
        let floor = self.backlogged().map(|(_, queue)| queue.served).min();
        let queue = self.accounts.entry(item.account).or_default();
        // An account that was idle starts level with the least served one, so that it does not
        // accumulate credit while idle.
        if queue.requests.is_empty() {
            queue.served = queue.served.max(floor.unwrap_or(0));
        }
        self.reserve = item.reserve;
        queue.requests.push_back(item);
    }

    /// Dequeues the next request of the least served account. Requests that can still meet their
    /// target are dequeued before late ones.
    fn pop(&mut self, now: Tick) -> Option<QueuedRequest> {
        let on_time = |item: &QueuedRequest| item.target > now;
        let least = self
            .backlogged()
            .min_by_key(|(_, queue)| (!queue.requests.iter().any(on_time), queue.served));
        let account = least.map(|(account, _)| *account)?;
        let queue = self.accounts.get_mut(&account)?;
        let at = queue.requests.iter().position(on_time).unwrap_or(0);
        let item = queue.requests.remove(at)?;
        queue.served += charge(item.cost, item.weight);
        Some(item)
    }

    /// Removes the newest request of the most served account.
    fn shed(&mut self) -> Option<QueuedRequest> {
        let most = self.backlogged().max_by_key(|(_, queue)| queue.served);
        let account = most.map(|(account, _)| *account)?;
        self.accounts.get_mut(&account)?.requests.pop_back()
    }

    /// Removes the requests for which the predicate holds.
    fn remove_where(
        &mut self,
        mut predicate: impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut removed = Vec::new();
        for queue in self.accounts.values_mut() {
            let (matching, kept): (Vec<_>, Vec<_>) =
                queue.requests.drain(..).partition(&mut predicate);
            removed.extend(matching);
            queue.requests = kept.into();
        }
        removed
    }
}

/// The amount that a request of this cost adds to its account's served counter.
fn charge(cost: Tokens, weight: u32) -> u64 {
    cost.0 * SERVED_SCALE / u64::from(weight.max(1))
}

/// The queueing policy used in production.
#[derive(Clone, Debug, Default)]
pub struct Tiered {
    classes: BTreeMap<(Tier, ClassId), ClassQueue>,
}

impl Tiered {
    /// The class whose reserve allows a start ahead of higher tiers: the class with the most
    /// credit, provided that waiting for one more start makes no queued request of a higher tier
    /// miss a target that it can still meet.
    fn reserved_class(
        &self,
        now: Tick,
        turnover: &[Duration; Tier::COUNT],
    ) -> Option<(Tier, ClassId)> {
        let eligible = self
            .classes
            .iter()
            .filter(|(_, class)| class.credit >= RESERVED_START_COST && !class.is_empty());
        let (key, _) = eligible.max_by_key(|(_, class)| class.credit)?;
        let higher = self
            .classes
            .iter()
            .take_while(|((tier, _), _)| tier.outranks(key.0));
        let mut queued = higher.flat_map(|(_, class)| class.items());
        let can_wait = |item: &QueuedRequest| item.target.since(now) > turnover[item.tier.index()];
        let none_late = queued.all(|item| item.target <= now || can_wait(item));
        none_late.then_some(*key)
    }

    /// Credits every backlogged class with its reserve, once for each start.
    fn earn_credit(&mut self) {
        for class in self.classes.values_mut().filter(|class| !class.is_empty()) {
            class.credit = (class.credit + u32::from(class.reserve)).min(MAX_CREDIT);
        }
    }
}

impl QueuePolicy for Tiered {
    fn push(&mut self, item: QueuedRequest) {
        self.classes
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
            .classes
            .iter()
            .find(|(_, class)| !class.is_empty())
            .map(|(key, _)| *key)?;
        let reserved = self
            .reserved_class(now, turnover)
            .filter(|key| *key != first);
        self.earn_credit();
        let class = self.classes.get_mut(&reserved.unwrap_or(first))?;
        if reserved.is_some() {
            class.credit -= RESERVED_START_COST;
        }
        class.pop(now).map(|item| (item, reserved.is_some()))
    }

    fn shed(&mut self, tier: Tier) -> Option<QueuedRequest> {
        let below = self
            .classes
            .iter_mut()
            .rev()
            .take_while(|((queued_tier, _), _)| tier.outranks(*queued_tier));
        below.into_iter().find_map(|(_, class)| class.shed())
    }

    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let mut classes = self.classes.values_mut();
        classes.find_map(|class| class.remove_where(|item| item.ticket == ticket).pop())
    }

    fn expire(&mut self, now: Tick) -> Vec<QueuedRequest> {
        let classes = self.classes.values_mut();
        classes
            .flat_map(|class| class.remove_where(|item| item.deadline <= now))
            .collect()
    }

    fn clear(&mut self) -> Vec<QueuedRequest> {
        self.classes
            .values_mut()
            .flat_map(|class| class.remove_where(|_| true))
            .collect()
    }

    fn next_deadline(&self) -> Option<Tick> {
        self.classes
            .values()
            .flat_map(ClassQueue::items)
            .map(|item| item.deadline)
            .min()
    }

    fn len(&self) -> usize {
        self.classes
            .values()
            .map(|class| class.items().count())
            .sum()
    }

    fn class_len(&self, class: ClassId) -> usize {
        let classes = self.classes.iter().filter(|((_, id), _)| *id == class);
        classes.map(|(_, class)| class.items().count()).sum()
    }

    fn tier_counts(&self) -> [u32; Tier::COUNT] {
        let mut counts = [0; Tier::COUNT];
        let items = self.classes.values().flat_map(ClassQueue::items);
        items.for_each(|item| counts[item.tier.index()] += 1);
        counts
    }

    fn ahead_of(&self, tier: Tier) -> usize {
        let ahead = self
            .classes
            .iter()
            .take_while(|((queued_tier, _), _)| !tier.outranks(*queued_tier));
        ahead.map(|(_, class)| class.items().count()).sum()
    }

    fn adjust_charge(
        &mut self,
        class: ClassId,
        account: AccountId,
        weight: u32,
        charged: Tokens,
        used: Tokens,
    ) {
        let classes = self.classes.iter_mut().filter(|((_, id), _)| *id == class);
        for queue in classes.filter_map(|(_, class)| class.accounts.get_mut(&account)) {
            let uncharged = queue.served.saturating_sub(charge(charged, weight));
            queue.served = uncharged + charge(used, weight);
        }
    }
}
