//! What waits at an endpoint, and the interface of the policies that order it.

use std::time::Duration;

use ids::{
    AccountId,
    ClassId,
    Tick,
    Ticket,
    Tier,
    Tokens, //
};

/// A request that waits for its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub ticket: Ticket,
    /// Its tier.
    pub tier: Tier,
    /// Its class.
    pub class: ClassId,
    /// The account it runs for.
    pub account: AccountId,
    /// The account's weight.
    pub weight: u32,
    /// The class's reserve, in percent of all starts.
    pub reserve: u8,
    /// Estimate of the tokens it will take.
    pub cost: Tokens,
    /// When it came.
    pub since: Tick,
    /// When its start is late: the class's target can no longer be met.
    pub target: Tick,
    /// When its start is too late, so that it is sent away.
    pub due: Tick,
}

/// The order in which waiting requests start, and who gives way.
pub trait QueuePolicy {
    /// Adds a request.
    fn push(&mut self, item: QueuedRequest);

    /// Takes the request that starts next. `turnover` is the usual time until another slot is free
    /// for each tier. Returns whether it starts from its class's reserve.
    fn pop(
        &mut self,
        now: Tick,
        turnover: &[Duration; Tier::COUNT],
    ) -> Option<(QueuedRequest, bool)>;

    /// Takes the request that gives way to an arrival of this tier, if one ranks below it.
    fn give_way(&mut self, tier: Tier) -> Option<QueuedRequest>;

    /// Takes a request out.
    fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest>;

    /// Takes out the requests whose start is too late.
    fn expire(&mut self, now: Tick) -> Vec<QueuedRequest>;

    /// Takes everything out.
    fn clear(&mut self) -> Vec<QueuedRequest>;

    /// The next moment at which a request expires.
    fn next_due(&self) -> Option<Tick>;

    /// How many requests wait.
    fn len(&self) -> usize;

    /// Whether none waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many requests of a class wait.
    fn of_class(&self, class: ClassId) -> usize;

    /// How many requests wait, by tier.
    fn by_tier(&self) -> [u32; Tier::COUNT];

    /// How many requests would start before an arrival of this tier.
    fn ahead_of(&self, tier: Tier) -> usize;

    /// Corrects the tokens an account was charged for a finished request.
    fn settle(
        &mut self,
        class: ClassId,
        account: AccountId,
        weight: u32,
        charged: Tokens,
        real: Tokens,
    );
}
