//! Effects of the entry's control thread: sends the core's decisions to the traffic threads and
//! counts its events.

use std::collections::BTreeMap;

use crossbeam::channel::Sender;
use ids::{
    Revision,
    Ticket, //
};
use obs::{
    Counter,
    Counters, //
};
use route::{
    Decision,
    Event,
    Input,
    Output, //
};
use step::{
    Effects,
    Inbox, //
};

/// The channel for the core's results that is sent along with an input.
pub(crate) enum Attachment {
    /// Receives the decisions on the request with this ticket.
    Request(Ticket, Sender<Decision>),
    /// Receives the configuration revision in effect after the view is applied.
    View(Sender<Revision>),
}

/// Sends inputs to the core of the entry.
pub(crate) type EntryInbox = Inbox<Input, Attachment>;

/// Carries out the outputs of the entry's core.
pub(crate) struct EntryEffects {
    decisions: BTreeMap<Ticket, Sender<Decision>>,
    /// Senders for views that the core has not applied, oldest first.
    revisions: std::collections::VecDeque<Sender<Revision>>,
    counters: Counters,
}

impl EntryEffects {
    pub(crate) fn new(counters: Counters) -> Self {
        Self {
            decisions: BTreeMap::new(),
            revisions: Default::default(),
            counters,
        }
    }

    fn send_decision(&mut self, ticket: Ticket, decision: Decision) {
        let is_final = !matches!(decision, Decision::Attempt(_) | Decision::Claim(_));
        if let Some(sender) = self.decisions.get(&ticket) {
            let _ = sender.send(decision);
        }
        if is_final {
            self.decisions.remove(&ticket);
        }
    }
}

impl Effects<Output> for EntryEffects {
    type Attachment = Attachment;

    fn attach(&mut self, attachment: Attachment) {
        match attachment {
            Attachment::Request(ticket, sender) => {
                self.decisions.insert(ticket, sender);
            }
            Attachment::View(sender) => self.revisions.push_back(sender),
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Decision(ticket, decision) => self.send_decision(ticket, decision),
            Output::ViewApplied(revision) => {
                if let Some(sender) = self.revisions.pop_front() {
                    let _ = sender.send(revision);
                }
            }
            Output::Event(event) => self.counters.count(match event {
                Event::RetriedRejected => Counter::RetriedRejected,
                Event::RetriedUnreached => Counter::RetriedUnreached,
                Event::RetriedFailed => Counter::RetriedFailed,
                Event::BudgetExhausted => Counter::RetryBudgetExhausted,
                Event::Ejected => Counter::Ejected,
            }),
        }
    }
}
