//! The entry's control thread: carries the core's verdicts to the traffic threads.

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

/// What a thread hands over with an input.
pub(crate) enum Attachment {
    /// Where the verdicts on a request go.
    Request(Ticket, Sender<Decision>),
    /// Where the revision held after a view goes.
    View(Sender<Revision>),
}

/// Sends inputs to the entry's core.
pub(crate) type EntryInbox = Inbox<Input, Attachment>;

pub(crate) struct EntryEffects {
    waiting: BTreeMap<Ticket, Sender<Decision>>,
    viewers: std::collections::VecDeque<Sender<Revision>>,
    counters: Counters,
}

impl EntryEffects {
    pub(crate) fn new(counters: Counters) -> Self {
        Self {
            waiting: BTreeMap::new(),
            viewers: Default::default(),
            counters,
        }
    }

    fn verdict(&mut self, ticket: Ticket, verdict: Decision) {
        let last = !matches!(verdict, Decision::Attempt(_) | Decision::Claim(_));
        if let Some(waiting) = self.waiting.get(&ticket) {
            let _ = waiting.send(verdict);
        }
        if last {
            self.waiting.remove(&ticket);
        }
    }
}

impl Effects<Output> for EntryEffects {
    type Attachment = Attachment;

    fn attach(&mut self, attachment: Attachment) {
        match attachment {
            Attachment::Request(ticket, verdicts) => {
                self.waiting.insert(ticket, verdicts);
            }
            Attachment::View(revisions) => self.viewers.push_back(revisions),
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Decision(ticket, verdict) => self.verdict(ticket, verdict),
            Output::ViewApplied(revision) => {
                if let Some(viewer) = self.viewers.pop_front() {
                    let _ = viewer.send(revision);
                }
            }
            Output::Event(trace) => self.counters.count(match trace {
                Event::RetriedRejected => Counter::RetriedBounced,
                Event::RetriedUnreached => Counter::RetriedUnreached,
                Event::RetriedFailed => Counter::RetriedFailed,
                Event::BudgetExhausted => Counter::RetryBudget,
                Event::Ejected => Counter::Ejected,
            }),
        }
    }
}
