//! Reads and followers' questions, answered once a leader has confirmed how far the log is
//! committed.

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
    Wanted, //
};
use crate::subscribers::{
    ASK_AGAIN,
    VIEW_TTL, //
};

impl<K: Codec> Govern<K> {
    /// Asks a leader to confirm how far the log is committed, for a read of what is in force.
    pub(crate) fn read(
        &mut self,
        now: Tick,
        ticket: Ticket,
        wanted: Wanted,
        out: &mut Outbox<Output>,
    ) {
        let mut inner = Outbox::default();
        let token = self.node.ask(now, &mut inner);
        self.reads.push(Read {
            wanted,
            token,
            ticket,
            asked: now,
            until: now + VIEW_TTL,
            confirmed: None,
        });
        for output in inner.drain() {
            self.carry_one(output, out);
        }
    }

    pub(crate) fn confirmed(&mut self, token: u64, index: Index) {
        self.viewers.confirm(token, index);
        self.deployments.confirm(token, index);
        for read in self.reads.iter_mut().filter(|read| read.token == token) {
            read.confirmed = Some(index);
        }
    }

    /// Asks again for the reads that no leader has confirmed, since there may be one by now.
    pub(crate) fn ask_reads_again(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let due = |read: &Read| read.confirmed.is_none() && now.since(read.asked) >= ASK_AGAIN;
        if !self.reads.iter().any(due) {
            return;
        }
        let mut inner = Outbox::default();
        let token = self.node.ask(now, &mut inner);
        for read in self.reads.iter_mut().filter(|read| due(read)) {
            read.token = token;
            read.asked = now;
        }
        self.carry(now, inner, out);
    }

    pub(crate) fn answer_reads(&mut self, out: &mut Outbox<Output>) {
        let applied = self.applied;
        let config = self.machine.registry.config();
        let document = self.machine.deployment.document();
        self.reads.retain(|read| {
            let ready = read.confirmed.is_some_and(|index| index <= applied);
            if ready {
                let reply = match read.wanted {
                    Wanted::Config => Reply::Config(config.revision(), config.export()),
                    Wanted::Document => Reply::Document(document.cloned()),
                };
                out.push(Output::Reply(read.ticket, reply));
            }
            !ready
        });
    }

    /// Asks a leader to confirm how far the log is committed, for the followers' questions that
    /// came since it was asked last. One round covers both kinds.
    pub(crate) fn confirm_questions(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let views = self.viewers.wants_round(now);
        let deployments = self.deployments.wants_round(now);
        if !views && !deployments {
            return;
        }
        let mut inner = Outbox::default();
        let token = self.node.ask(now, &mut inner);
        if views {
            self.viewers.begin_round(now, token);
        }
        if deployments {
            self.deployments.begin_round(now, token);
        }
        for output in inner.drain() {
            self.carry_one(output, out);
        }
    }

    pub(crate) fn answer_views(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let hosts = self.hosts();
        let registry = &self.machine.registry;
        let revision = registry.config().revision();
        let news = |held: &Revision| *held != revision;
        for (ticket, held) in self.viewers.take_ready(now, self.applied, news) {
            let update = registry.update_since(held);
            out.push(Output::Reply(ticket, Reply::View(update, hosts.clone())));
        }
        for (ticket, _) in self.viewers.take_late(now) {
            out.push(Output::Reply(ticket, Reply::Unavailable));
        }
    }
}
