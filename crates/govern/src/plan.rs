//! Requests and duties that a control host has only where it serves a plan: membership, the
//! directory of endpoints, the deployment's subscribers and the fronts' usage.

use std::time::Duration;

use agree::Member;
use ids::{
    Tick,
    Ticket, //
};
use serde_bytes::ByteBuf;
use step::Outbox;
use usage::Tally;

use crate::billing::Action;
use crate::command::{
    Codec,
    Command, //
};
use crate::govern::Govern;
use crate::message::{
    DeploymentReply,
    DeploymentVersions,
    Output,
    Reply, //
};

/// A process that requested the deployment within this time counts as a subscriber.
const SUBSCRIBER_ACTIVE: Duration = Duration::from_secs(3);

impl<K: Codec> Govern<K> {
    /// Records a host's request to join the group. The leader acts on it at its next heartbeat.
    pub(crate) fn join(
        &mut self,
        now: Tick,
        ticket: Ticket,
        member: Member,
        out: &mut Outbox<Output>,
    ) {
        if !self.node.leads() {
            out.push(Output::Reply(ticket, Reply::NotLeader(self.leader())));
            return;
        }
        self.membership.record_join(now, member);
        out.push(Output::Reply(ticket, Reply::Member(Ok(()))));
    }

    /// Records a process's usage. Only a leader with a valid lease accepts it.
    pub(crate) fn tally(
        &mut self,
        now: Tick,
        ticket: Ticket,
        tally: Tally,
        out: &mut Outbox<Output>,
    ) {
        if self.node.lease(now).is_none() {
            let leader = self.leader().filter(|_| !self.node.leads());
            out.push(Output::Reply(ticket, Reply::NotLeader(leader)));
            return;
        }
        let last = self.machine.statements.last_sealed();
        self.billing.add(tally);
        out.push(Output::Reply(ticket, Reply::LastSealed(last)));
    }

    /// Requests to join the group if this host has no leader. As leader under a valid lease, reads
    /// the listing of endpoints, changes the group, and seals and reports usage. A leader wakes for
    /// every heartbeat, so these duties need no timer.
    pub(crate) fn advance_plan(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let Some(plan) = self.options.plan.clone() else {
            return;
        };
        if let Some(member) = self.membership.join_request(now, &self.node, &plan.member) {
            let group = self.node.group().iter();
            let hosts = group.map(|member| member.address).collect();
            out.push(Output::RequestJoin(member, hosts));
        }
        let Some(lease) = self.node.lease(now) else {
            return;
        };
        if self.reader.start_if_due(now) {
            out.push(Output::FetchListing);
        }
        if let Some(change) = self.membership.next_change(now, &self.node) {
            let mut node_out = Outbox::default();
            // The node rejects a change while an earlier one is pending; the next heartbeat
            // retries.
            if self.node.change_group(now, &change, &mut node_out).is_ok() {
                self.handle_node_outputs(now, node_out, out);
            }
        }
        let unix_ms = self.unix_ms(now);
        let statements = &self.machine.statements;
        match self.billing.next_action(now, unix_ms, &plan, statements) {
            Some(Action::Record(tallies)) => {
                self.propose(now, None, &Command::RecordTallies(tallies), out);
            }
            Some(Action::Seal(window)) => {
                self.propose(now, None, &Command::SealStatement(window), out)
            }
            Some(Action::Report(statement)) => out.push(Output::DeliverStatement(statement, lease)),
            None => {}
        }
    }

    /// Handles the billing interface's response to a statement.
    pub(crate) fn statement_delivered(
        &mut self,
        now: Tick,
        window: u64,
        accepted: bool,
        out: &mut Outbox<Output>,
    ) {
        self.billing.response_received(now, accepted);
        if accepted {
            self.propose(now, None, &Command::AcceptStatement(window), out);
        }
    }

    /// Replies to the deployment's subscribers whose requests are confirmed and have an update or
    /// have reached their deadline.
    pub(crate) fn reply_to_deployments(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let current = DeploymentVersions {
            generation: self.machine.deployment.generation(),
            directory: self
                .reader
                .directory()
                .map_or(0, |directory| directory.version),
        };
        let leads = self.node.leads();
        let has_update = |held: &DeploymentVersions| {
            held.generation != current.generation || (leads && held.directory < current.directory)
        };
        for (ticket, held) in self.deployments.take_ready(now, self.applied, has_update) {
            let reply = self.deployment_reply(now, held);
            out.push(Output::Reply(ticket, Reply::Deployment(Box::new(reply))));
        }
        for (ticket, _) in self.deployments.take_expired(now) {
            out.push(Output::Reply(ticket, Reply::Unavailable));
        }
    }

    fn deployment_reply(&self, now: Tick, held: DeploymentVersions) -> DeploymentReply {
        let deployment = &self.machine.deployment;
        let newer = |directory: &&::plan::Directory| directory.version > held.directory;
        // Subscribers poll any host, so this host serves only some of them. All of them report
        // usage to the leader, so the number of sources of the last statement is a second estimate.
        let polling_here = self.deployments.active(now, SUBSCRIBER_ACTIVE);
        DeploymentReply {
            snapshot: (held.generation != deployment.generation()).then(|| deployment.snapshot()),
            directory: self.reader.directory().filter(newer).cloned(),
            directory_age: self.reader.age(now),
            leader: self.leader(),
            hosts: self.hosts(),
            subscribers: polling_here.max(self.machine.statements.sources()),
            unix_ms: self.unix_ms(now),
        }
    }

    /// Stores the platform's listing if this host still leads.
    pub(crate) fn listing_received(&mut self, now: Tick, pages: Vec<ByteBuf>) {
        if self.node.leads() {
            self.reader.store(now, self.node.status().term, pages);
        }
    }
}
