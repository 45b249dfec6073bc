//! First come, first served: a baseline for benchmarks, without tiers, fair queueing or deadlines.

use std::collections::VecDeque;
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

/// A first-come, first-served queue.
#[derive(Clone, Debug, Default)]
pub struct Fcfs(VecDeque<QueuedRequest>);

impl QueuePolicy for Fcfs {
    fn push(&mut self, item: QueuedRequest) {
        self.0.push_back(item);
    }

    fn pop(&mut self, _: Tick, _: &[Duration; Tier::COUNT]) -> Option<(QueuedRequest, bool)> {
        self.0.pop_front().map(|item| (item, false))
    }

    fn shed(&mut self, _: Tier) -> Option<QueuedRequest> {
        None
    }

    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let at = self.0.iter().position(|item| item.ticket == ticket)?;
        self.0.remove(at)
    }

    fn expire(&mut self, _: Tick) -> Vec<QueuedRequest> {
        Vec::new()
    }

    fn clear(&mut self) -> Vec<QueuedRequest> {
        self.0.drain(..).collect()
    }

    fn next_deadline(&self) -> Option<Tick> {
        None
    }

    fn len(&self) -> usize {
        self.0.len()
    }

    fn class_len(&self, _: ClassId) -> usize {
        self.0.len()
    }

    fn tier_counts(&self) -> [u32; Tier::COUNT] {
        let mut counts = [0; Tier::COUNT];
        self.0
            .iter()
            .for_each(|item| counts[item.tier.index()] += 1);
        counts
    }

    fn ahead_of(&self, _: Tier) -> usize {
        usize::from(!self.0.is_empty())
    }

    fn adjust_charge(&mut self, _: ClassId, _: AccountId, _: u32, _: Tokens, _: Tokens) {}
}
