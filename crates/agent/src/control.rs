//! The agent's control thread: holds what waits and hands what starts to the traffic threads.

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
    Advert,
    Attempt,
    Frame, //
};

/// What a thread hands over with an input.
pub(crate) enum Attachment {
    /// An attempt that waits for its start.
    Attempt(Ticket, Exchange, Box<Attempt>),
    /// Where the load after a request's end goes.
    Ended(Ticket, Sender<Load>),
    /// Where the revision held after a view goes.
    View(Sender<Revision>),
    /// Who wants to know when the last request has ended.
    Drained(Sender<()>),
}

/// Sends inputs to the agent's core.
pub(crate) type AgentInbox = Inbox<Input, Attachment>;

/// A request that starts.
pub(crate) struct Job {
    pub(crate) ticket: Ticket,
    pub(crate) tier: Tier,
    pub(crate) exchange: Exchange,
    pub(crate) attempt: Attempt,
}

pub(crate) struct AgentEffects {
    pub(crate) run: Incarnation,
    pub(crate) jobs: Sender<Job>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
    pub(crate) waiting: BTreeMap<Ticket, (Exchange, Box<Attempt>)>,
    pub(crate) ended: BTreeMap<Ticket, Sender<Load>>,
    pub(crate) viewers: VecDeque<Sender<Revision>>,
    pub(crate) drained: Option<Sender<()>>,
}

impl AgentEffects {
    pub(crate) fn new(
        run: Incarnation,
        jobs: Sender<Job>,
        counters: Counters,
        log: Logger,
    ) -> Self {
        Self {
            run,
            jobs,
            counters,
            log,
            waiting: BTreeMap::new(),
            ended: BTreeMap::new(),
            viewers: VecDeque::new(),
            drained: None,
        }
    }

    fn start(&mut self, ticket: Ticket, tier: Tier) {
        let Some((exchange, attempt)) = self.waiting.remove(&ticket) else {
            return;
        };
        self.counters.count(Counter::Admitted);
        let job = Job {
            ticket,
            tier,
            exchange,
            attempt: *attempt,
        };
        // There are at least as many threads as an endpoint has slots, with overdrafts.
        let _ = self.jobs.send(job);
    }

    fn bounce(&mut self, ticket: Ticket, kind: Kind, load: Load) {
        let Some((exchange, _)) = self.waiting.remove(&ticket) else {
            return;
        };
        self.counters.refuse(kind);
        let frame = Frame::Bounced(kind, advert(self.run, load));
        match wire::encode(&frame) {
            Ok(bytes) => exchange.reply(200, HeaderMap::new(), bytes),
            Err(_) => drop(exchange),
        }
    }

    fn trace(&self, trace: Event) {
        match trace {
            Event::Queued => self.counters.count(Counter::Queued),
            Event::ReserveUsed => self.counters.count(Counter::Reserved),
            Event::Preempted => self.counters.count(Counter::Preempted),
            Event::ColdStart => {
                self.counters.count(Counter::Cooled);
                event!(self.log, EngineCold);
            }
        }
    }
}

impl Effects<Output> for AgentEffects {
    type Attachment = Attachment;

    fn attach(&mut self, attachment: Attachment) {
        match attachment {
            Attachment::Attempt(ticket, exchange, attempt) => {
                self.waiting.insert(ticket, (exchange, attempt));
            }
            Attachment::Ended(ticket, load) => {
                self.ended.insert(ticket, load);
            }
            Attachment::View(revisions) => self.viewers.push_back(revisions),
            Attachment::Drained(drained) => self.drained = Some(drained),
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Start(ticket, tier) => self.start(ticket, tier),
            Output::Reject(ticket, kind, load) => self.bounce(ticket, kind, load),
            Output::Ended(ticket, load) => {
                if let Some(waiting) = self.ended.remove(&ticket) {
                    let _ = waiting.send(load);
                }
            }
            Output::ViewApplied(revision) => {
                if let Some(viewer) = self.viewers.pop_front() {
                    let _ = viewer.send(revision);
                }
            }
            Output::Drained => {
                if let Some(drained) = self.drained.take() {
                    let _ = drained.send(());
                }
            }
            Output::Event(trace) => self.trace(trace),
        }
    }
}

/// The load as entries get it.
pub(crate) fn advert(run: Incarnation, load: Load) -> Advert {
    Advert {
        run,
        busy: load.busy,
        limit: load.limit,
    }
}
