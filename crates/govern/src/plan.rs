//! Requests and duties that a control host has only where it serves a plan: membership, the
//! directory of endpoints, the deployment's subscribers, the fronts' usage, the quarantine of
//! prompt parts and the stages of rollouts.

use std::time::Duration;

use ::plan::Distributor;
use agree::{
    Member,
    MemberId, //
};
use ids::{
    PartId,
    Tick,
    Ticket, //
};
use quarantine::{
    Evidence,
    Sentence, //
};
use serde_bytes::ByteBuf;
use step::Outbox;
use usage::Tally;

use crate::billing::Action;
use crate::command::{
    Codec,
    Command, //
};
use crate::feed::FeedPosition;
use crate::govern::Govern;
use crate::message::{
    DeploymentReply,
    DeploymentVersions,
    Event,
    FeedError,
    FeedReply,
    FeedRequest,
    Output,
    Reply, //
};
use crate::subscribers::SubscriberId;

/// A process that requested the deployment within this time counts as a subscriber.
pub(crate) const SUBSCRIBER_ACTIVE: Duration = Duration::from_secs(3);

/// Share of the bound on a command's size that statements may take before they are accepted, as a
/// divisor.
const STATEMENT_SHARE: usize = 4;

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

    /// Records a member's request to leave the group. The leader replies once the member has left or
    /// has to stay.
    pub(crate) fn leave(
        &mut self,
        now: Tick,
        ticket: Ticket,
        id: MemberId,
        out: &mut Outbox<Output>,
    ) {
        if !self.node.leads() {
            out.push(Output::Reply(ticket, Reply::NotLeader(self.leader())));
            return;
        }
        if let Some(earlier) = self.membership.record_leave(now, id, ticket) {
            out.push(Output::Reply(earlier, Reply::Unavailable));
        }
    }

    /// Requests to leave the group, because this host is about to stop. A leader hands over first,
    /// since only another leader can remove it.
    pub(crate) fn request_leave(
        &mut self,
        now: Tick,
        node_out: &mut Outbox<agree::Output>,
        out: &mut Outbox<Output>,
    ) {
        self.membership.stop();
        let leader = self.leader().filter(|_| !self.node.leads());
        self.node.transfer_leadership(now, node_out);
        let id = self.node.id();
        let others = self.node.group().iter().filter(|member| member.id != id);
        let others = others.map(|member| member.address);
        let mut hosts: Vec<_> = leader.into_iter().collect();
        hosts.extend(others.filter(|host| Some(*host) != leader));
        out.push(Output::RequestLeave(id, hosts));
    }

    /// Replies to the requests to leave that are decided, once no change of the group is pending.
    fn reply_to_leavers(&mut self, now: Tick, tolerated: usize, out: &mut Outbox<Output>) {
        if !self.node.group_settled() {
            return;
        }
        let replies = self.membership.leave_replies(now, &self.node, tolerated);
        for (ticket, result) in replies {
            let reply = result.map_or(Reply::Unavailable, Reply::Member);
            out.push(Output::Reply(ticket, reply));
        }
    }

    /// Records a process's usage as leader with a valid lease. Another host passes it on to the
    /// leader, or refers the process to the leader while it has lost touch with it.
    pub(crate) fn tally(
        &mut self,
        now: Tick,
        ticket: Ticket,
        tally: Tally,
        out: &mut Outbox<Output>,
    ) {
        let leads = self.node.leads();
        let uplink = self.uplink.as_mut();
        if self.node.lease(now).is_some() {
            self.billing
                .add(tally, self.machine.statements.last_sealed());
        } else if let Some(uplink) = uplink.filter(|uplink| !leads && uplink.in_touch(now)) {
            uplink.add_tally(tally);
        } else {
            return self.refer_to_leader(ticket, out);
        }
        let last = self.machine.statements.last_sealed();
        out.push(Output::Reply(ticket, Reply::LastSealed(last)));
    }

    /// Records a front's evidence as leader with a valid lease. Another host passes it on to the
    /// leader, or refers the front to the leader while it has lost touch with it.
    pub(crate) fn evidence(
        &mut self,
        now: Tick,
        ticket: Ticket,
        (front, evidence): (SubscriberId, Evidence),
        out: &mut Outbox<Output>,
    ) {
        let leads = self.node.leads();
        let uplink = self.uplink.as_mut();
        if self.node.lease(now).is_some() {
            self.judge.record(now, &evidence);
        } else if let Some(uplink) = uplink.filter(|uplink| !leads && uplink.in_touch(now)) {
            uplink.reports.add(now, front, evidence);
        } else {
            return self.refer_to_leader(ticket, out);
        }
        out.push(Output::Reply(ticket, Reply::Recorded));
    }

    /// Refers a requester to the leader, unless this host leads without a valid lease.
    pub(crate) fn refer_to_leader(&self, ticket: Ticket, out: &mut Outbox<Output>) {
        let leader = self.leader().filter(|_| !self.node.leads());
        out.push(Output::Reply(ticket, Reply::NotLeader(leader)));
    }

    /// Handles a distributor's request for the feed. Only a leader with a valid lease accepts it.
    pub(crate) fn feed(
        &mut self,
        now: Tick,
        ticket: Ticket,
        request: FeedRequest,
        out: &mut Outbox<Output>,
    ) {
        if self.node.lease(now).is_none() {
            return self.refer_to_leader(ticket, out);
        }
        let last_sealed = self.machine.statements.last_sealed();
        for tally in request.tallies {
            self.billing.add(tally, last_sealed);
        }
        self.judge.record(now, &request.evidence);
        self.fed_counts(now, &request.counts);
        self.distributors
            .record(now, &request.distributor, request.subscribers);
        let held = FeedPosition {
            generation: request.generation,
            directory: request.directory,
            quarantine: request.quarantine,
            rollouts: request.rollouts,
        };
        self.feeds
            .add(now, ticket, request.id, held, request.max_wait);
    }

    /// Handles the result of this host's request for the feed. The leader's address is known from
    /// the group, so an error names nothing new.
    pub(crate) fn feed_received(&mut self, now: Tick, result: Result<Box<FeedReply>, FeedError>) {
        let Some(uplink) = &mut self.uplink else {
            return;
        };
        match result {
            Ok(reply) => {
                uplink.replied(now, &reply);
                let deployment = reply.deployment;
                self.reader
                    .adopt(now, deployment.directory, deployment.directory_age);
            }
            Err(_) => uplink.failed(now),
        }
    }

    /// Requests the feed from another host that leads. The heartbeats of that host wake this one, so
    /// the request needs no timer.
    fn request_feed(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let leader = self.leader().filter(|_| !self.node.leads());
        let held = FeedPosition {
            generation: None,
            directory: self.reader.version(),
            quarantine: None,
            rollouts: None,
        };
        let fronts = self.deployments.active(now, SUBSCRIBER_ACTIVE);
        if let Some((leader, uplink)) = leader.zip(self.uplink.as_mut()) {
            uplink.request(now, leader, held, fronts, out);
        }
    }

    /// Requests to join the group if this host has no leader. As leader under a valid lease, reads
    /// the listing of endpoints, changes the group, judges prompt parts and rollouts, and seals and reports usage. A
    /// leader wakes for every heartbeat, so these duties need no timer.
    pub(crate) fn advance_plan(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let Some(plan) = self.options.plan.clone() else {
            return;
        };
        if let Some(member) = self.membership.join_request(now, &self.node, &plan.member) {
            let group = self.node.group().iter();
            let hosts = group.map(|member| member.address).collect();
            out.push(Output::RequestJoin(member, hosts));
        }
        self.request_feed(now, out);
        let Some(lease) = self.node.lease(now) else {
            return;
        };
        if self.reader.start_if_due(now) {
            out.push(Output::FetchListing);
        }
        self.reply_to_leavers(now, plan.tolerated, out);
        let change = self.membership.next_change(now, &self.node, plan.tolerated);
        if let Some(change) = change {
            let mut node_out = Outbox::default();
            // The node rejects a change while an earlier one is pending; the next heartbeat
            // retries.
            if self.node.change_group(now, &change, &mut node_out).is_ok() {
                self.handle_node_outputs(now, node_out, out);
            }
        }
        self.judge_parts(now, out);
        self.record_crashes(now, out);
        self.judge_rollouts(now, out);
        let unix_ms = self.unix_ms(now);
        let statements = &self.machine.statements;
        let capacity = self.options.node.limits.pending / STATEMENT_SHARE;
        let billing = &mut self.billing;
        match billing.next_action(now, unix_ms, &plan, statements, capacity) {
            Some(Action::Record(tallies)) => {
                self.propose(now, None, &Command::RecordTallies(tallies), out);
            }
            Some(Action::Seal(window)) => {
                // If the command cannot be proposed, the window is sealed later.
                let sealing = self.propose_duty(now, &Command::SealStatement(window), out);
                self.billing.sealing = sealing;
            }
            Some(Action::Report(statement)) => out.push(Output::DeliverStatement(statement, lease)),
            None => {}
        }
    }

    /// Puts prompt parts into quarantine or releases them, as leader under a valid lease.
    fn judge_parts(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let wall_ms = self.unix_ms(now);
        let crashes = &self.machine.crashes;
        if self.judge.read_record(now, wall_ms, crashes) && crashes.crashes() > 0 {
            out.push(Output::Event(Event::CrashesRecorded(crashes.crashes())));
        }
        // What this host received before it was elected.
        if let Some(uplink) = &mut self.uplink {
            self.judge.record(now, &uplink.reports.take(now));
        }
        if !self.judge.start_if_due(now) {
            return;
        }
        let unix_ms = |at| self.unix_ms(at);
        let judgement = self.judge.judge(now, unix_ms, &self.machine.quarantine);
        if !judgement.imposed.is_empty() {
            self.judge.imposing = true;
            let command = Command::Quarantine(judgement.imposed);
            if !self.propose_duty(now, &command, out) {
                self.judge.imposing = false;
            }
        }
        if !judgement.released.is_empty() {
            self.judge.releasing = true;
            let command = Command::Release(judgement.released);
            if !self.propose_duty(now, &command, out) {
                self.judge.releasing = false;
            }
        }
    }

    /// Adds evidence to the replicated record, as leader under a valid lease.
    fn record_crashes(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let unix_ms = self.unix_ms(now);
        let crashes = &self.machine.crashes;
        let Some((at_ms, evidence)) = self.judge.unrecorded(now, unix_ms, crashes) else {
            return;
        };
        let command = Command::RecordCrashes { at_ms, evidence };
        self.judge.recording = self.propose_duty(now, &command, out);
    }

    /// Reports the parts that a command is about to put into quarantine, if this host leads.
    pub(crate) fn report_imposed(
        &self,
        sentences: &[(PartId, Sentence)],
        out: &mut Outbox<Output>,
    ) {
        let held = |part| self.machine.quarantine.sentence(part).is_some();
        let parts = sentences.iter().map(|(part, _)| *part);
        if self.node.leads() {
            let imposed = parts.filter(|part| !held(*part));
            imposed.for_each(|part| out.push(Output::Event(Event::PartQuarantined(part))));
        }
    }

    /// Reports the parts that a command is about to release, if this host leads.
    pub(crate) fn report_released(&self, parts: &[PartId], out: &mut Outbox<Output>) {
        let held = |part| self.machine.quarantine.sentence(part).is_some();
        if self.node.leads() {
            let released = parts.iter().filter(|part| held(**part));
            released.for_each(|part| out.push(Output::Event(Event::PartReleased(*part))));
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
        // The next statement is reported only once this acceptance is committed. If it cannot be
        // proposed, the report is repeated.
        let recorded = accepted && self.propose_duty(now, &Command::AcceptStatement(window), out);
        if !recorded {
            self.billing.report_failed(now);
        }
    }

    /// Replies to the deployment's subscribers whose requests are confirmed and have an update or
    /// have reached their deadline.
    pub(crate) fn reply_to_deployments(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let generation = self.machine.deployment.generation();
        let directory = self.served_version(now);
        let quarantine = self.machine.quarantine.version();
        let rollouts = self.machine.rollouts.version();
        let has_update = |held: &DeploymentVersions| {
            held.generation != generation
                || held.directory < directory
                || held.quarantine != quarantine
                || held.rollouts != rollouts
        };
        for (ticket, held) in self.deployments.take_ready(now, self.applied, has_update) {
            let reply = self.deployment_reply(now, held);
            out.push(Output::Reply(ticket, Reply::Deployment(Box::new(reply))));
        }
        for (ticket, _) in self.deployments.take_expired(now) {
            out.push(Output::Reply(ticket, Reply::Unavailable));
        }
    }

    /// Replies to the distributors' requests that are confirmed and have an update or have reached
    /// their deadline.
    pub(crate) fn reply_to_feeds(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let current = self.machine.deployment.generation();
        let directory = self.served_version(now);
        let quarantine = self.machine.quarantine.version();
        let rollouts = self.machine.rollouts.version();
        let has_update = |held: &FeedPosition| {
            held.generation.is_some_and(|held| held != current)
                || held.directory < directory
                || held.quarantine.is_some_and(|held| held != quarantine)
                || held.rollouts.is_some_and(|held| held != rollouts)
        };
        for (ticket, held) in self.feeds.take_ready(now, self.applied, has_update) {
            let held = DeploymentVersions {
                generation: held.generation.unwrap_or(current),
                directory: held.directory,
                quarantine: held.quarantine.unwrap_or(quarantine),
                rollouts: held.rollouts.unwrap_or(rollouts),
            };
            let reply = FeedReply {
                deployment: self.deployment_reply(now, held),
                last_sealed: self.machine.statements.last_sealed(),
            };
            out.push(Output::Reply(ticket, Reply::Feed(Box::new(reply))));
        }
        for (ticket, _) in self.feeds.take_expired(now) {
            out.push(Output::Reply(ticket, Reply::Unavailable));
        }
    }

    /// The version of the directory that this host serves; 0 if it serves none.
    fn served_version(&self, now: Tick) -> u64 {
        let directory = self.reader.directory(now);
        directory.map_or(0, |directory| directory.version)
    }

    /// The control processes that fronts may poll.
    fn distributors(&self, now: Tick) -> Vec<Distributor> {
        let Some(uplink) = &self.uplink else {
            return Vec::new();
        };
        if !self.node.leads() {
            return uplink.distributors.clone();
        }
        let mut list = self.distributors.list(now);
        list.push(uplink.own().clone());
        list
    }

    /// How many fronts there are. A leader that has just been elected does not know all distributors
    /// yet. All fronts report usage, so the number of sources of the last statement is a second
    /// estimate.
    fn count_fronts(&self, now: Tick) -> usize {
        let polling_here = self.deployments.active(now, SUBSCRIBER_ACTIVE);
        let uplink = self.uplink.as_ref().filter(|_| !self.node.leads());
        let fronts = match uplink {
            Some(uplink) => polling_here.max(uplink.subscribers),
            None => polling_here + self.distributors.subscribers(now),
        };
        fronts.max(self.machine.statements.sources())
    }

    fn deployment_reply(&self, now: Tick, held: DeploymentVersions) -> DeploymentReply {
        let deployment = &self.machine.deployment;
        let quarantine = &self.machine.quarantine;
        let rollouts = &self.machine.rollouts;
        let newer = |directory: &&::plan::Directory| directory.version > held.directory;
        DeploymentReply {
            snapshot: (held.generation != deployment.generation()).then(|| deployment.snapshot()),
            directory: self.reader.directory(now).filter(newer).cloned(),
            directory_age: self.reader.age(now),
            leader: self.leader(),
            hosts: self.hosts(),
            subscribers: self.count_fronts(now),
            unix_ms: self.unix_ms(now),
            distributors: self.distributors(now),
            ttl: None,
            quarantine: (held.quarantine != quarantine.version()).then(|| quarantine.clone()),
            rollouts: (held.rollouts != rollouts.version()).then(|| rollouts.stages()),
        }
    }

    /// Stores the platform's listing if this host still leads.
    pub(crate) fn listing_received(&mut self, now: Tick, pages: Vec<ByteBuf>) {
        if self.node.leads() {
            self.reader.store(now, self.node.status().term, pages);
        }
    }
}
