//! Effects of the agent's control thread: holds the queued attempts, passes started ones to the
//! traffic threads, and sends rejections.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use admit::{
    Event,
    Input,
    Load,
    Output, //
};
use crossbeam::channel::Sender;
use edge::Exchange;
use fault::Kind;
use ids::{
    Incarnation,
    Revision,
    Ticket,
    Tier, //
};
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use oxhttp::model::HeaderMap;
use step::{
    Effects,
    Inbox, //
};
use wire::{
    Attempt,
    Frame,
    LoadReport, //
};

/// The attempt, or the channel for the core's result, that is sent along with an input.
pub(crate) enum Attachment {
    /// An attempt that the core will start or reject.
    Attempt(Ticket, Exchange, Box<Attempt>),
    /// Receives the load after the end of the request with this ticket.
    Ended(Ticket, Sender<Load>),
    /// Receives the configuration revision in effect after the view is applied.
    View(Sender<Revision>),
    /// Is notified when the last running request has ended.
    Drained(Sender<()>),
}

/// Sends inputs to the core of the agent.
pub(crate) type AgentInbox = Inbox<Input, Attachment>;

/// A started request, for a traffic thread.
pub(crate) struct Job {
    pub(crate) ticket: Ticket,
    pub(crate) tier: Tier,
    pub(crate) exchange: Exchange,
    pub(crate) attempt: Attempt,
}

/// Carries out the outputs of the agent's core.
pub(crate) struct AgentEffects {
    pub(crate) incarnation: Incarnation,
    pub(crate) jobs: Sender<Job>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
    /// Attempts that the core has neither started nor rejected.
    pub(crate) pending: BTreeMap<Ticket, (Exchange, Box<Attempt>)>,
    pub(crate) ended: BTreeMap<Ticket, Sender<Load>>,
    /// Senders for views that the core has not applied, oldest first.
    pub(crate) revisions: VecDeque<Sender<Revision>>,
    pub(crate) drained: Option<Sender<()>>,
}

impl AgentEffects {
    pub(crate) fn new(
        incarnation: Incarnation,
        jobs: Sender<Job>,
        counters: Counters,
        log: Logger,
    ) -> Self {
        Self {
            incarnation,
            jobs,
            counters,
            log,
            pending: BTreeMap::new(),
            ended: BTreeMap::new(),
            revisions: VecDeque::new(),
            drained: None,
        }
    }

    fn start(&mut self, ticket: Ticket, tier: Tier) {
        let Some((exchange, attempt)) = self.pending.remove(&ticket) else {
            return;
        };
        self.counters.count(Counter::Admitted);
        let job = Job {
            ticket,
            tier,
            exchange,
            attempt: *attempt,
        };
        // Jobs queue in this channel while no traffic thread is idle. The number of threads should
        // therefore be at least the endpoint's slots plus the starts above the limit for preemption.
        let _ = self.jobs.send(job);
    }

    fn reject(&mut self, ticket: Ticket, kind: Kind, load: Load) {
        let Some((exchange, _)) = self.pending.remove(&ticket) else {
            return;
        };
        self.counters.count_error(kind);
        let frame = Frame::Rejected(kind, load_report(self.incarnation, load));
        match wire::encode(&frame) {
            Ok(bytes) => exchange.reply(200, HeaderMap::new(), bytes),
            Err(_) => drop(exchange),
        }
    }

    fn record_event(&self, event: Event) {
        match event {
            Event::Queued => self.counters.count(Counter::Queued),
            Event::ReserveUsed => self.counters.count(Counter::ReserveUsed),
            Event::Preempted => self.counters.count(Counter::Preempted),
            Event::ColdStart => {
                self.counters.count(Counter::ColdStarts);
                event!(self.log, EngineCold);
            }
            Event::RateLimited(rate) => {
                event!(self.log, EngineLimited, "rate" => rate.map(f64::from));
            }
        }
    }
}

impl Effects<Output> for AgentEffects {
    type Attachment = Attachment;

    fn attach(&mut self, attachment: Attachment) {
        match attachment {
            Attachment::Attempt(ticket, exchange, attempt) => {
                self.pending.insert(ticket, (exchange, attempt));
            }
            Attachment::Ended(ticket, sender) => {
                self.ended.insert(ticket, sender);
            }
            Attachment::View(sender) => self.revisions.push_back(sender),
            Attachment::Drained(sender) => self.drained = Some(sender),
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Start(ticket, tier) => self.start(ticket, tier),
            Output::Reject(ticket, kind, load) => self.reject(ticket, kind, load),
            Output::Ended(ticket, load) => {
                if let Some(sender) = self.ended.remove(&ticket) {
                    let _ = sender.send(load);
                }
            }
            Output::ViewApplied(revision) => {
                if let Some(sender) = self.revisions.pop_front() {
                    let _ = sender.send(revision);
                }
            }
            Output::Drained => {
                if let Some(sender) = self.drained.take() {
                    let _ = sender.send(());
                }
            }
            Output::Event(event) => self.record_event(event),
        }
    }
}

/// Returns the load in the form that is sent to entries.
pub(crate) fn load_report(incarnation: Incarnation, load: Load) -> LoadReport {
    LoadReport {
        incarnation,
        busy: load.busy,
        limit: load.limit,
    }
}
