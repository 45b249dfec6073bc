//! The control thread: hands the core's outputs to disk, links and waiting exchanges.

use std::collections::BTreeMap;

use crossbeam::channel::Sender;
use edge::Exchange;
use govern::{
    Event,
    Input,
    Output,
    Reply, //
};
use ids::Ticket;
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use step::{
    Effects,
    Inbox, //
};

use crate::admin;
use crate::disk::Job;
use crate::front::{
    self,
    Form, //
};
use crate::join::Seeking;
use crate::order;
use crate::post::Post;
use crate::report::Due;

/// An exchange that waits for its answer, and the form the answer takes.
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) exchange: Exchange,
    pub(crate) form: Form,
}

/// Sends inputs to the control host's core.
pub(crate) type ControlInbox = Inbox<Input, Waiting>;

pub(crate) struct ControlEffects {
    pub(crate) disk: Sender<Job>,
    pub(crate) deliver: Sender<Due>,
    pub(crate) seek: Sender<Seeking>,
    pub(crate) list: Sender<()>,
    pub(crate) post: Post,
    pub(crate) replies: front::Replies,
    pub(crate) waiting: BTreeMap<Ticket, (Exchange, Form)>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
    pub(crate) failed: Sender<String>,
}

impl ControlEffects {
    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        let Some((exchange, form)) = self.waiting.remove(&ticket) else {
            return;
        };
        match form {
            Form::Peer(kind) => self.replies.peer(exchange, kind, reply),
            Form::Admin(kind) => admin::reply(exchange, kind, reply, &self.replies),
            Form::Order(kind) => order::reply(exchange, kind, reply, self.replies.port),
        }
    }

    fn trace(&self, trace: Event) {
        match trace {
            Event::Elected(term) => {
                self.counters.count(Counter::Elected);
                event!(self.log, Elected, "term" => term.0);
            }
            Event::SteppedDown(term) => event!(self.log, Deposed, "term" => term.0),
            Event::Committed => self.counters.count(Counter::Committed),
            Event::ProposalDecided(Some(revision)) => {
                self.counters.count(Counter::Proposed);
                event!(self.log, ProposalAccepted, "revision" => revision.0);
            }
            Event::ProposalDecided(None) => {
                self.counters.count(Counter::Proposed);
                event!(self.log, ProposalRefused);
            }
            Event::ClaimGranted => self.counters.count(Counter::Claimed),
            Event::Compacted(index) => {
                self.counters.count(Counter::Compacted);
                event!(self.log, Compacted, "index" => index.0);
            }
            Event::MembersChanged(size) => event!(self.log, GroupChanged, "members" => size),
            Event::WindowSealed(number) => {
                self.counters.count(Counter::UsageSealed);
                event!(self.log, WindowSealed, "window" => number);
            }
            Event::CodecFailed(fault) => {
                event!(self.log, DiskFailed, "fault" => fault.clone());
                let _ = self.failed.send(fault);
            }
        }
    }
}

impl Effects<Output> for ControlEffects {
    type Attachment = Waiting;

    fn attach(&mut self, waiting: Waiting) {
        self.waiting
            .insert(waiting.ticket, (waiting.exchange, waiting.form));
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Persist(seq, record) => {
                let _ = self.disk.send(Job::Append(seq, record));
            }
            Output::Rotate(seq, meta, state, record) => {
                let _ = self.disk.send(Job::Rotate(seq, meta, state, record));
            }
            Output::Send(to, address, message) => self.post.send(to, address, message),
            Output::Reply(ticket, reply) => self.reply(ticket, reply),
            Output::DeliverWindow(window, authority) => {
                let _ = self.deliver.try_send(Due::Window(window, authority));
            }
            Output::DeliverStatement(statement, authority) => {
                let _ = self.deliver.try_send(Due::Statement(statement, authority));
            }
            Output::FetchListing => {
                let _ = self.list.try_send(());
            }
            Output::RequestJoin(member, hosts) => {
                if self.seek.try_send((member, hosts)).is_ok() {
                    event!(self.log, Seeking);
                }
            }
            Output::Event(trace) => self.trace(trace),
        }
    }
}
