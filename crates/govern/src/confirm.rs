//! Replies to reads and to subscribers' requests, sent once a leader has confirmed how far the log
//! is committed, so that each reply reflects all commands acknowledged before its request.

use ids::{
    Index,
    Revision,
    Tick,
    Ticket, //
};
use step::Outbox;

use crate::command::Codec;
use crate::govern::Govern;
use crate::message::{
    Output,
    Reply, //
};
use crate::read::{
    Read,
    ReadKind, //
};
use crate::subscribers::{
    CONFIRM_RETRY,
    VIEW_TTL, //
};

impl<K: Codec> Govern<K> {
    /// Starts a read: requests a leader's confirmation of how far the log is committed.
    pub(crate) fn start_read(
        &mut self,
        now: Tick,
        ticket: Ticket,
        kind: ReadKind,
        out: &mut Outbox<Output>,
    ) {
        let mut node_out = Outbox::default();
        let token = self.node.read_index(now, &mut node_out);
        self.reads.push(Read {
            kind,
            token,
            ticket,
            requested_at: now,
            deadline: now + VIEW_TTL,
            confirmed: None,
        });
        for output in node_out.drain() {
            self.handle_node_output(output, out);
        }
    }

    /// Handles a leader's confirmation that the log is committed up to `index`.
    pub(crate) fn confirmed(&mut self, token: u64, index: Index) {
        self.views.confirm(token, index);
        self.deployments.confirm(token, index);
        self.feeds.confirm(token, index);
        for read in self.reads.iter_mut().filter(|read| read.token == token) {
            read.confirmed = Some(index);
        }
    }

    /// Requests a new confirmation for reads that no leader has confirmed within [`CONFIRM_RETRY`];
    /// a leader may have been elected since.
    pub(crate) fn retry_reads(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let due =
            |read: &Read| read.confirmed.is_none() && now.since(read.requested_at) >= CONFIRM_RETRY;
        if !self.reads.iter().any(due) {
            return;
        }
        let mut node_out = Outbox::default();
        let token = self.node.read_index(now, &mut node_out);
        for read in self.reads.iter_mut().filter(|read| due(read)) {
            read.token = token;
            read.requested_at = now;
        }
        self.handle_node_outputs(now, node_out, out);
    }

    /// Replies to the reads whose confirmed index is applied.
    pub(crate) fn reply_to_reads(&mut self, out: &mut Outbox<Output>) {
        let applied = self.applied;
        let config = self.machine.registry.config();
        let document = self.machine.deployment.document();
        let orders = self.machine.rollouts.list();
        let orders: Vec<_> = orders.map(|progress| progress.order.clone()).collect();
        self.reads.retain(|read| {
            let ready = read.confirmed.is_some_and(|index| index <= applied);
            if ready {
                let reply = match read.kind {
                    ReadKind::Config => Reply::Config(config.revision(), config.export()),
                    ReadKind::Document => Reply::Document(document.cloned()),
                    ReadKind::Orders => Reply::Orders(orders.clone()),
                };
                out.push(Output::Reply(read.ticket, reply));
            }
            !ready
        });
    }

    /// Requests a leader's confirmation for the subscribers' requests received since the last round
    /// began. One round covers all kinds of subscriber.
    pub(crate) fn confirm_requests(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let views = self.views.needs_round(now);
        let deployments = self.deployments.needs_round(now);
        let feeds = self.feeds.needs_round(now);
        if !views && !deployments && !feeds {
            return;
        }
        let mut node_out = Outbox::default();
        let token = self.node.read_index(now, &mut node_out);
        if views {
            self.views.begin_round(now, token);
        }
        if deployments {
            self.deployments.begin_round(now, token);
        }
        if feeds {
            self.feeds.begin_round(now, token);
        }
        for output in node_out.drain() {
            self.handle_node_output(output, out);
        }
    }

    /// Replies to the configuration's subscribers whose requests are confirmed and have an update or
    /// have reached their deadline.
    pub(crate) fn reply_to_views(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let hosts = self.hosts();
        let registry = &self.machine.registry;
        let revision = registry.config().revision();
        let has_update = |held: &Revision| *held != revision;
        for (ticket, held) in self.views.take_ready(now, self.applied, has_update) {
            let update = registry.update_since(held);
            out.push(Output::Reply(ticket, Reply::View(update, hosts.clone())));
        }
        for (ticket, _) in self.views.take_expired(now) {
            out.push(Output::Reply(ticket, Reply::Unavailable));
        }
    }
}
