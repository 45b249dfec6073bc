//! Retry budgets: retries may only be a share of an account's requests.

use std::collections::BTreeMap;

use ids::AccountId;

/// Credit that one retry costs.
const RETRY_COST: u32 = 100;
/// Credit that one request earns: one retry for each five requests.
const REQUEST_EARNS: u32 = 20;
/// Most credit saved up, and what an account starts with: ten retries.
const MAX_CREDIT: u32 = 1000;

/// The retry budgets of all accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budgets(BTreeMap<AccountId, u32>);

impl Budgets {
    pub(crate) fn earn(&mut self, account: AccountId) {
        let credit = self.0.entry(account).or_insert(MAX_CREDIT);
        *credit = (*credit + REQUEST_EARNS).min(MAX_CREDIT);
    }

    /// Pays for a retry. Returns whether the budget allowed it.
    pub(crate) fn spend(&mut self, account: AccountId) -> bool {
        let credit = self.0.entry(account).or_insert(MAX_CREDIT);
        let allowed = *credit >= RETRY_COST;
        if allowed {
            *credit -= RETRY_COST;
        }
        allowed
    }
}
