//! Calls to the control group, and the followers of the configuration.

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
use crate::world::{
    CALL_PATIENCE,
    CALL_TRIES,
    Call,
    Event,
    HOP,
    PAUSE,
    POLL_PATIENCE,
    POLL_WAIT,
    SETTLE_TRIES,
    Waiter,
    World, //
};

impl World {
    pub(crate) fn ask(
        &mut self,
        waiter: Waiter,
        question: Request,
        host: usize,
        patience: u64,
    ) -> u64 {
        self.serial += 1;
        let call = self.serial;
        let from = match &waiter {
            Waiter::View(node, _) => Some(*node),
            Waiter::Claim(n, _) => Some(Node::Entry(*n)),
            Waiter::Settle | Waiter::Change(_) => None,
        };
        let new = Call {
            waiter,
            question: question.clone(),
            host,
            tries: 1,
        };
        self.calls.insert(call, new);
        if from.is_none_or(|from| self.connected(from, Node::Control(host))) {
            self.post(HOP, Event::Ask(host, call, question));
        }
        self.post(patience, Event::Late(call));
        call
    }

    /// Tries a call again at the next control host.
    pub(crate) fn late(&mut self, call: u64) {
        let Some(old) = self.calls.remove(&call) else {
            return;
        };
        match old.waiter {
            Waiter::View(node, _) => {
                if let Some((_, host)) = self.follows.get_mut(&node) {
                    *host = (*host + 1) % self.hosts.len();
                }
                self.post(100_000, Event::Poll(node));
            }
            Waiter::Claim(n, id) if old.tries >= CALL_TRIES => {
                let refused = ClaimResult::Rejected(Kind::ControlUnavailable);
                self.entry(n, Input::Claimed(id, refused));
            }
            Waiter::Change(label) if old.tries >= CALL_TRIES => {
                self.log.push(format!("{label}: no answer"));
            }
            Waiter::Settle if old.tries >= SETTLE_TRIES => {}
            waiter => {
                let host = (old.host + 1) % self.hosts.len();
                let next = self.ask(waiter, old.question, host, CALL_PATIENCE);
                if let Some(call) = self.calls.get_mut(&next) {
                    call.tries = old.tries + 1;
                }
            }
        }
    }

    pub(crate) fn answered(&mut self, call: u64, reply: Reply) {
        let Some(known) = self.calls.get(&call).cloned() else {
            return;
        };
        let moves_on = !matches!(known.waiter, Waiter::View(..));
        match reply {
            Reply::NotLeader(Some(_)) if moves_on => return self.late(call),
            Reply::NotLeader(None) if moves_on => return self.post(PAUSE, Event::Late(call)),
            _ => {}
        }
        if matches!(reply, Reply::NotLeader(_) | Reply::Unavailable) {
            return;
        }
        self.calls.remove(&call);
        match (known.waiter, reply) {
            (Waiter::View(node, asked), Reply::View(update, _)) => {
                let fresh = ids::Tick(asked) + VIEW_TTL;
                self.view(node, update, fresh);
                self.post(HOP, Event::Poll(node));
            }
            (Waiter::Claim(n, id), Reply::Outcome(govern::Outcome::Claimed(claimed))) => {
                self.entry(n, Input::Claimed(id, claim_result(claimed)));
            }
            (Waiter::Settle, Reply::Outcome(govern::Outcome::Settled(false)))
                if known.tries < SETTLE_TRIES =>
            {
                // A claim that nobody answered may still be on its way.
                let again = self.ask(Waiter::Settle, known.question, known.host, 1_000_000);
                if let Some(call) = self.calls.get_mut(&again) {
                    call.tries = known.tries + 20;
                }
            }
            (Waiter::Change(label), Reply::Outcome(govern::Outcome::Verdict(verdict))) => {
                self.log
                    .push(format!("{label}: {}", verdict_text(&verdict)));
            }
            _ => {}
        }
    }

    pub(crate) fn follow(&mut self, node: Node) {
        self.follows.insert(node, (Revision(0), 0));
        self.post(HOP, Event::Poll(node));
    }

    pub(crate) fn poll(&mut self, node: Node) {
        let Some((revision, host)) = self.follows.get(&node).copied() else {
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
        let asked = self.clock(node).at(self.now).0;
        let question = Request::View(id, revision, POLL_WAIT);
        self.ask(Waiter::View(node, asked), question, host, POLL_PATIENCE);
    }

    pub(crate) fn view(&mut self, node: Node, update: conf::Update, fresh: ids::Tick) {
        let before = self
            .follows
            .get(&node)
            .map_or(Revision(0), |follow| follow.0);
        let held = match node {
            Node::Entry(n) => {
                self.entry(n, Input::View(update, fresh));
                self.entries[n].config().revision()
            }
            Node::Agent(n) => {
                self.agent(n, admit::Input::View(update, fresh));
                self.agents[n].config().revision()
            }
            Node::Control(_) => before,
        };
        if held < before {
            self.violations
                .push(format!("{node} went back from {before} to {held}"));
        }
        if let Some(follow) = self.follows.get_mut(&node) {
            follow.0 = held;
        }
    }
}
