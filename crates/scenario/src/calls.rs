//! Calls to the control group, with timeouts and retries, and configuration polls of subscribers.

use fault::Kind;
use govern::{
    Reply,
    Request,
    SubscriberId,
    SubscriberKind,
    VIEW_TTL, //
};
use ids::{
    Incarnation,
    Revision, //
};

use route::{
    ClaimResult,
    Input, //
};

use crate::node::Node;
use crate::setup::{
    claim_result,
    verdict_text, //
};
use crate::simulation::{
    CALL_MAX_ATTEMPTS,
    CALL_TIMEOUT_US,
    Call,
    Caller,
    Event,
    NETWORK_DELAY_US,
    NO_LEADER_RETRY_US,
    POLL_TIMEOUT_US,
    POLL_WAIT,
    SETTLE_MAX_ATTEMPTS,
    Simulation, //
};

impl Simulation {
    /// Sends a request to a control host and schedules its timeout; returns the number of the call.
    pub(crate) fn send_request(
        &mut self,
        caller: Caller,
        request: Request,
        host: usize,
        timeout: u64,
    ) -> u64 {
        self.last_id += 1;
        let call = self.last_id;
        let from = match &caller {
            Caller::View(node, _) => Some(*node),
            Caller::Claim(n, _) => Some(Node::Entry(*n)),
            Caller::Settle | Caller::Change(_) => None,
        };
        let pending = Call {
            caller,
            request: request.clone(),
            host,
            attempts: 1,
        };
        self.calls.insert(call, pending);
        if from.is_none_or(|from| self.connected(from, Node::Control(host))) {
            self.schedule_event(NETWORK_DELAY_US, Event::Request(host, call, request));
        }
        self.schedule_event(timeout, Event::CallTimeout(call));
        call
    }

    /// Retries a call at the next control host, or ends it after the last attempt.
    pub(crate) fn retry_call(&mut self, call: u64) {
        let Some(expired) = self.calls.remove(&call) else {
            return;
        };
        match expired.caller {
            // A subscriber sends a new poll, for its current revision.
            Caller::View(node, _) => {
                if let Some((_, host)) = self.subscriptions.get_mut(&node) {
                    *host = (*host + 1) % self.hosts.len();
                }
                self.schedule_event(100_000, Event::Poll(node));
            }
            Caller::Claim(n, id) if expired.attempts >= CALL_MAX_ATTEMPTS => {
                let rejected = ClaimResult::Rejected(Kind::ControlUnavailable);
                self.step_entry(n, Input::Claimed(id, rejected));
            }
            Caller::Change(label) if expired.attempts >= CALL_MAX_ATTEMPTS => {
                self.log.push(format!("{label}: no response"));
            }
            Caller::Settle if expired.attempts >= SETTLE_MAX_ATTEMPTS => {}
            caller => {
                let host = (expired.host + 1) % self.hosts.len();
                let next = self.send_request(caller, expired.request, host, CALL_TIMEOUT_US);
                if let Some(call) = self.calls.get_mut(&next) {
                    call.attempts = expired.attempts + 1;
                }
            }
        }
    }

    /// Handles the reply to a call. Without a leader or a majority the call stays open until its
    /// timeout, except that calls other than polls are retried early.
    pub(crate) fn handle_reply(&mut self, call: u64, reply: Reply) {
        let Some(pending) = self.calls.get(&call).cloned() else {
            return;
        };
        let retry_early = !matches!(pending.caller, Caller::View(..));
        match reply {
            Reply::NotLeader(Some(_)) if retry_early => return self.retry_call(call),
            Reply::NotLeader(None) if retry_early => {
                return self.schedule_event(NO_LEADER_RETRY_US, Event::CallTimeout(call));
            }
            _ => {}
        }
        if matches!(reply, Reply::NotLeader(_) | Reply::Unavailable) {
            return;
        }
        self.calls.remove(&call);
        match (pending.caller, reply) {
            (Caller::View(node, sent_at), Reply::View(update, _)) => {
                let valid_until = ids::Tick(sent_at) + VIEW_TTL;
                self.apply_view(node, update, valid_until);
                self.schedule_event(NETWORK_DELAY_US, Event::Poll(node));
            }
            (Caller::Claim(n, id), Reply::Outcome(govern::Outcome::Claimed(claimed))) => {
                self.step_entry(n, Input::Claimed(id, claim_result(claimed)));
            }
            (Caller::Settle, Reply::Outcome(govern::Outcome::Settled(false)))
                if pending.attempts < SETTLE_MAX_ATTEMPTS =>
            {
                // The attempt holds no running claim. A claim whose call timed out may still be in
                // transit, so the settlement is retried. Each of these retries counts for 20
                // attempts.
                let retry =
                    self.send_request(Caller::Settle, pending.request, pending.host, 1_000_000);
                if let Some(call) = self.calls.get_mut(&retry) {
                    call.attempts = pending.attempts + 20;
                }
            }
            (Caller::Change(label), Reply::Outcome(govern::Outcome::Verdict(verdict))) => {
                self.log
                    .push(format!("{label}: {}", verdict_text(&verdict)));
            }
            _ => {}
        }
    }

    /// Starts the configuration polls of a node.
    pub(crate) fn subscribe(&mut self, node: Node) {
        self.subscriptions.insert(node, (Revision(0), 0));
        self.schedule_event(NETWORK_DELAY_US, Event::Poll(node));
    }

    /// Sends a configuration poll. The returned view is valid for [`VIEW_TTL`] from the time of
    /// sending, by the clock of the subscriber.
    pub(crate) fn poll(&mut self, node: Node) {
        let Some((revision, host)) = self.subscriptions.get(&node).copied() else {
            return;
        };
        let (kind, number) = match node {
            Node::Entry(n) => (SubscriberKind::Entry, n),
            Node::Agent(n) | Node::Control(n) => (SubscriberKind::Agent, n),
        };
        let Ok(name) = node.to_string().parse() else {
            return;
        };
        let id = SubscriberId {
            host: name,
            kind,
            incarnation: Incarnation(number as u64),
        };
        let sent_at = self.clock_rate(node).local_time(self.now).0;
        let request = Request::View(id, revision, POLL_WAIT);
        self.send_request(Caller::View(node, sent_at), request, host, POLL_TIMEOUT_US);
    }

    /// Passes a configuration update to a subscriber and records a violation if the subscriber then
    /// has an older revision than before.
    pub(crate) fn apply_view(&mut self, node: Node, update: conf::Update, valid_until: ids::Tick) {
        let before = self
            .subscriptions
            .get(&node)
            .map_or(Revision(0), |subscription| subscription.0);
        let after = match node {
            Node::Entry(n) => {
                self.step_entry(n, Input::View(update, valid_until));
                self.entries[n].config().revision()
            }
            Node::Agent(n) => {
                self.step_agent(n, admit::Input::View(update, valid_until));
                self.agents[n].config().revision()
            }
            Node::Control(_) => before,
        };
        if after < before {
            self.violations.push(format!(
                "{node}: revision went back from {before} to {after}"
            ));
        }
        if let Some(subscription) = self.subscriptions.get_mut(&node) {
            subscription.0 = after;
        }
    }
}
