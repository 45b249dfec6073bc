//! The effects of the control thread: passes the core's outputs to the other threads, and sends
//! responses to pending requests.

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
use rollout::{
    Decision,
    Exposure,
    Progress,
    State, //
};
use step::{
    Effects,
    Inbox, //
};

use crate::admin;
use crate::api::{
    Responder,
    ResponseFormat, //
};
use crate::billing;
use crate::command;
use crate::disk;
use crate::feed::FeedJob;
use crate::join::JoinRequest;
use crate::leave::LeaveRequest;
use crate::transport::Transport;

/// A request that the core has not replied to yet, and the format of its response.
pub(crate) struct PendingRequest {
    pub(crate) ticket: Ticket,
    pub(crate) exchange: Exchange,
    pub(crate) format: ResponseFormat,
}

/// The input channel of the control host's core.
pub(crate) type ControlInbox = Inbox<Input, PendingRequest>;

/// Carries out the outputs of the control host's core.
pub(crate) struct ControlEffects {
    pub(crate) disk: Sender<disk::Job>,
    pub(crate) billing: Sender<billing::Job>,
    pub(crate) join: Sender<JoinRequest>,
    pub(crate) leave: Sender<LeaveRequest>,
    pub(crate) listing: Sender<()>,
    pub(crate) feed: Sender<FeedJob>,
    pub(crate) transport: Transport,
    pub(crate) responder: Responder,
    pub(crate) pending: BTreeMap<Ticket, (Exchange, ResponseFormat)>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
    pub(crate) failed: Sender<String>,
}

impl ControlEffects {
    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        let Some((exchange, format)) = self.pending.remove(&ticket) else {
            return;
        };
        match format {
            ResponseFormat::Peer(kind) => self.responder.respond(exchange, kind, reply),
            ResponseFormat::Admin(kind) => admin::reply(exchange, kind, reply, &self.responder),
            ResponseFormat::Command(kind) => {
                command::reply(exchange, kind, reply, self.responder.port)
            }
        }
    }

    fn report(&self, event: Event) {
        match event {
            Event::Elected(term) => {
                self.counters.count(Counter::Elected);
                event!(self.log, Elected, "term" => term.0);
            }
            Event::SteppedDown(term) => event!(self.log, SteppedDown, "term" => term.0),
            Event::Committed => self.counters.count(Counter::Committed),
            Event::ProposalDecided(Some(revision)) => {
                self.counters.count(Counter::Proposed);
                event!(self.log, ProposalAccepted, "revision" => revision.0);
            }
            Event::ProposalDecided(None) => {
                self.counters.count(Counter::Proposed);
                event!(self.log, ProposalRejected);
            }
            Event::ClaimGranted => self.counters.count(Counter::Claimed),
            Event::Compacted(index, log_bytes, bytes) => {
                self.counters.count(Counter::Compacted);
                event!(self.log, Compacted, "index" => index.0, "log_bytes" => log_bytes,
                    "bytes" => bytes);
            }
            Event::CommandDeferred => event!(self.log, CommandDeferred),
            Event::SnapshotRejected(size) => event!(self.log, SnapshotRejected, "bytes" => size),
            Event::MembersChanged(size) => event!(self.log, MembersChanged, "members" => size),
            Event::WindowSealed(number) => {
                self.counters.count(Counter::UsageSealed);
                event!(self.log, WindowSealed, "window" => number);
            }
            Event::PartQuarantined(part) => {
                self.counters.count(Counter::PartQuarantined);
                event!(self.log, PartQuarantined, "part" => format!("{:016x}", part.0));
            }
            Event::PartReleased(part) => {
                self.counters.count(Counter::PartReleased);
                event!(self.log, PartReleased, "part" => format!("{:016x}", part.0));
            }
            Event::CrashesRecorded(crashes) => {
                event!(self.log, CrashesRecorded, "crashes" => crashes);
            }
            Event::RolloutChanged(progress, decision) => {
                self.report_rollout(&progress, decision.as_deref());
            }
            Event::CodecFailed(error) => {
                event!(self.log, DiskFailed, "fault" => error.clone());
                let _ = self.failed.send(error);
            }
        }
    }
}

impl ControlEffects {
    /// Logs and counts a change of an order, with the evidence on which it was decided.
    fn report_rollout(&self, progress: &Progress, decision: Option<&Decision>) {
        let order = &progress.order;
        let seen = decision.map(|decision| decision.seen).unwrap_or_default();
        let (old, new) = (seen.outcomes.old, seen.outcomes.new);
        match order.state {
            State::Running if decision.is_none() && progress.exposure == Exposure::None => {
                self.counters.count(Counter::RolloutOrdered);
                event!(self.log, RolloutOrdered, "order" => order.id,
                    "service" => order.service.clone(), "to" => order.version.clone(),
                    "duration_ms" => progress.duration_ms);
            }
            State::Running => {
                event!(self.log, RolloutStepped, "order" => order.id,
                    "service" => order.service.clone(), "to" => order.version.clone(),
                    "exposure" => format!("{:?}", progress.exposure),
                    "elapsed_ms" => progress.elapsed_ms,
                    "old_sent" => old.sent, "new_sent" => new.sent);
            }
            State::Done | State::RolledBack => {
                self.counters.count(match order.state {
                    State::Done => Counter::RolloutDone,
                    _ => Counter::RolloutRolledBack,
                });
                event!(self.log, RolloutEnded, "order" => order.id,
                    "service" => order.service.clone(), "to" => order.version.clone(),
                    "state" => format!("{:?}", order.state),
                    "reason" => decision.map(|decision| format!("{:?}", decision.reason)),
                    "old_sent" => old.sent, "old_failed" => old.failed, "old_slow" => old.slow,
                    "old_start" => old.mean_start(),
                    "new_sent" => new.sent, "new_failed" => new.failed, "new_slow" => new.slow,
                    "new_start" => new.mean_start());
            }
        }
    }
}

impl Effects<Output> for ControlEffects {
    type Attachment = PendingRequest;

    fn attach(&mut self, request: PendingRequest) {
        self.pending
            .insert(request.ticket, (request.exchange, request.format));
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Persist(seq, record) => {
                let _ = self.disk.send(disk::Job::Append(seq, record));
            }
            Output::Rotate(seq, meta, state, record) => {
                let _ = self.disk.send(disk::Job::Rotate(seq, meta, state, record));
            }
            Output::Send(to, address, message) => self.transport.send(to, address, message),
            Output::Reply(ticket, reply) => self.reply(ticket, reply),
            Output::DeliverWindow(window, lease) => {
                let _ = self.billing.try_send(billing::Job::Window(window, lease));
            }
            Output::DeliverStatement(statement, lease) => {
                let _ = self
                    .billing
                    .try_send(billing::Job::Statement(statement, lease));
            }
            Output::FetchListing => {
                let _ = self.listing.try_send(());
            }
            Output::RequestFeed(host, request) => {
                // The thread has received the previous request: its result came first.
                let _ = self.feed.send((host, request));
            }
            Output::RequestJoin(member, hosts) => {
                if self.join.try_send((member, hosts)).is_ok() {
                    event!(self.log, JoinRequested);
                }
            }
            Output::RequestLeave(id, hosts) => {
                // The channel holds one request, and a host leaves once.
                let _ = self.leave.try_send((id, hosts));
            }
            Output::Event(event) => self.report(event),
        }
    }
}
