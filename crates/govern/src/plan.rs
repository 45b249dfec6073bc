//! What a control host does for the processes that follow the plan.

use std::time::Duration;

use agree::Member;
use ids::{
    Tick,
    Ticket, //
};
use serde_bytes::ByteBuf;
use step::Outbox;
use usage::Tally;

use crate::bill::Due;
use crate::command::{
    Codec,
    Command, //
};
use crate::govern::Govern;
use crate::message::{
    DeploymentReply,
    Held,
    Output,
    Reply, //
};

/// A process that asked for the deployment within this time follows it.
const FOLLOWING: Duration = Duration::from_secs(3);

impl<K: Codec> Govern<K> {
    /// Notes a host that asks to be taken in; the leader acts on it with its next heartbeat.
    pub(crate) fn join(
        &mut self,
        now: Tick,
        ticket: Ticket,
        member: Member,
        out: &mut Outbox<Output>,
    ) {
        if !self.node.leads() {
            out.push(Output::Reply(ticket, Reply::Elsewhere(self.leader())));
            return;
        }
        self.roster.note(now, member);
        out.push(Output::Reply(ticket, Reply::Member(Ok(()))));
    }

    pub(crate) fn tally(
        &mut self,
        now: Tick,
        ticket: Ticket,
        tally: Tally,
        out: &mut Outbox<Output>,
    ) {
        if self.node.authority(now).is_none() {
            let leader = self.leader().filter(|_| !self.node.leads());
            out.push(Output::Reply(ticket, Reply::Elsewhere(leader)));
            return;
        }
        let last = self.machine.statements.last();
        self.biller.report(tally);
        out.push(Output::Reply(ticket, Reply::Tallied(last)));
    }

    /// Keeps the group whole and the usage reported, as leader under a valid lease. A leader wakes
    /// for every heartbeat, so this needs no timer of its own.
    pub(crate) fn govern_plan(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let Some(plan) = self.seed.plan.clone() else {
            return;
        };
        if let Some(member) = self.roster.seek(now, &self.node, &plan.member) {
            let group = self.node.group().iter();
            let hosts = group.map(|member| member.address).collect();
            out.push(Output::Seek(member, hosts));
        }
        let Some(authority) = self.node.authority(now) else {
            return;
        };
        if self.reading.due(now) {
            out.push(Output::ReadList);
        }
        if let Some(change) = self.roster.next(now, &self.node) {
            let mut inner = Outbox::default();
            // Refused while an earlier change is pending; asked again at the next heartbeat.
            if self.node.change_group(now, &change, &mut inner).is_ok() {
                self.carry(now, inner, out);
            }
        }
        let wall = self.wall(now);
        let statements = &self.machine.statements;
        match self.biller.next(now, wall, &plan, statements) {
            Some(Due::Note(tallies)) => {
                self.propose(now, None, &Command::Tally(tallies), out);
            }
            Some(Due::Seal(window)) => self.propose(now, None, &Command::State(window), out),
            Some(Due::Report(statement)) => out.push(Output::Bill(statement, authority)),
            None => {}
        }
    }

    pub(crate) fn billed(
        &mut self,
        now: Tick,
        window: u64,
        accepted: bool,
        out: &mut Outbox<Output>,
    ) {
        self.biller.answered(now, accepted);
        if accepted {
            self.propose(now, None, &Command::Stated(window), out);
        }
    }

    pub(crate) fn answer_deployments(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let held = Held {
            edition: self.machine.deployment.generation(),
            directory: self.reading.directory().map_or(0, |list| list.version),
        };
        let leads = self.node.leads();
        let news = |other: &Held| {
            other.edition != held.edition || (leads && other.directory < held.directory)
        };
        for (ticket, other) in self.deployments.take_ready(now, self.applied, news) {
            let reply = self.deployment_reply(now, other);
            out.push(Output::Reply(ticket, Reply::Deployment(Box::new(reply))));
        }
        for (ticket, _) in self.deployments.take_late(now) {
            out.push(Output::Reply(ticket, Reply::Unavailable));
        }
    }

    fn deployment_reply(&self, now: Tick, held: Held) -> DeploymentReply {
        let deployment = &self.machine.deployment;
        let newer = |list: &&::plan::Directory| list.version > held.directory;
        // Followers ask any host, so one host sees a part of them; all of them report usage.
        let here = self.deployments.live(now, FOLLOWING);
        DeploymentReply {
            copy: (held.edition != deployment.generation()).then(|| deployment.snapshot()),
            directory: self.reading.directory().filter(newer).cloned(),
            age: self.reading.age(now),
            leader: self.leader(),
            hosts: self.hosts(),
            followers: here.max(self.machine.statements.sources()),
            wall: self.wall(now),
        }
    }

    /// Takes the list of endpoints that this host read as leader.
    pub(crate) fn listed(&mut self, now: Tick, pages: Vec<ByteBuf>) {
        if self.node.leads() {
            self.reading.take(now, self.node.standing().term, pages);
        }
    }
}
