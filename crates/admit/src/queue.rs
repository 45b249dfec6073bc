//! Queued requests, and the interface of the policies that order them.

use std::time::Duration;

use ids::{
    AccountId,
    ClassId,
    Tick,
    Ticket,
    Tier,
    Tokens, //
};

/// A request that is queued at the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request in the core's inputs and outputs.
    pub ticket: Ticket,
    /// The request's tier.
    pub tier: Tier,
    /// The request's class.
    pub class: ClassId,
    /// The request's client account.
    pub account: AccountId,
    /// The account's weight in fair queueing.
    pub weight: u32,
    /// The class's reserve, in percent of all starts at the endpoint.
    pub reserve: u8,
    /// Estimated number of input and output tokens.
    pub cost: Tokens,
    /// When the request arrived.
    pub queued_at: Tick,
    /// The time after which a start can no longer meet the class's first-token target.
    pub target: Tick,
    /// The time at which the request is rejected if it has not started.
    pub deadline: Tick,
}

/// A queueing policy: the order in which queued requests start, and which one is shed first.
pub trait QueuePolicy {
    /// Enqueues a request.
    fn push(&mut self, item: QueuedRequest);

    /// Dequeues the request that starts next, and returns whether it starts from its class's
    /// reserve. `turnover` is, for each tier, the average time until the next slot is free.
    fn pop(
        &mut self,
        now: Tick,
        turnover: &[Duration; Tier::COUNT],
    ) -> Option<(QueuedRequest, bool)>;

    /// Removes the queued request of a lower tier that the policy sheds in favour of an arrival of
    /// this tier, if there is one.
    fn shed(&mut self, tier: Tier) -> Option<QueuedRequest>;

    /// Removes a request.
    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest>;

    /// Removes the requests whose deadline has passed.
    fn expire(&mut self, now: Tick) -> Vec<QueuedRequest>;

    /// Removes all requests.
    fn clear(&mut self) -> Vec<QueuedRequest>;

    /// The earliest deadline of the queued requests.
    fn next_deadline(&self) -> Option<Tick>;

    /// The number of queued requests.
    fn len(&self) -> usize;

    /// Whether no request is queued.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of queued requests of a class.
    fn class_len(&self, class: ClassId) -> usize;

    /// The number of queued requests of each tier.
    fn tier_counts(&self) -> [u32; Tier::COUNT];

    /// The number of queued requests that would start before an arrival of this tier.
    fn ahead_of(&self, tier: Tier) -> usize;

    /// Replaces the estimated tokens that an account was charged for a request by the tokens that
    /// the request used.
    fn adjust_charge(
        &mut self,
        class: ClassId,
        account: AccountId,
        weight: u32,
        charged: Tokens,
        used: Tokens,
    );
}
