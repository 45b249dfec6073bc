//! Retry budgets, which limit an account's retries to a share of its requests.

use std::collections::BTreeMap;

use ids::AccountId;

/// Credit spent by one retry.
const RETRY_COST: u32 = 100;
/// Credit earned by one request, so that five requests pay for one retry.
const REQUEST_CREDIT: u32 = 20;
/// Initial and maximum credit of an account: ten retries.
const MAX_CREDIT: u32 = 1000;

/// The retry budgets of all accounts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budgets(BTreeMap<AccountId, u32>);

impl Budgets {
    /// Credits an account for a new request.
    pub(crate) fn earn(&mut self, account: AccountId) {
        let credit = self.0.entry(account).or_insert(MAX_CREDIT);
        *credit = (*credit + REQUEST_CREDIT).min(MAX_CREDIT);
    }

    /// Charges an account for a retry. Returns `false`, without charging, if its credit does not
    /// cover the retry.
    pub(crate) fn spend(&mut self, account: AccountId) -> bool {
        let credit = self.0.entry(account).or_insert(MAX_CREDIT);
        let allowed = *credit >= RETRY_COST;
        if allowed {
            *credit -= RETRY_COST;
        }
        allowed
    }
}
