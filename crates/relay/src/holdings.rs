//! What the core keeps on behalf of requests in progress.

use crate::balance::Balancer;
use crate::relay::Relay;

/// What the core keeps on behalf of requests in progress. Everything is zero once each request has
/// ended, however it ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// Requests that wait for a valid view.
    pub held: usize,
    /// Requests in the backlog queue.
    pub queued: usize,
    /// Admitted requests, queued ones included.
    pub requests: usize,
    /// Attempts that count as in flight at endpoints.
    pub attempts: u64,
    /// Prompt tokens that count as pending at endpoints.
    pub pending_tokens: u64,
}

impl<B: Balancer> Relay<B> {
    pub(crate) fn holdings(&self) -> Holdings {
        let endpoints = || self.endpoints.iter();
        Holdings {
            held: self.view_wait.len(),
            queued: self.backlog_queue.len(),
            requests: self.requests.len(),
            attempts: endpoints().map(|e| u64::from(e.inflight)).sum(),
            pending_tokens: endpoints().map(|e| e.pending_tokens).sum(),
        }
    }
}
