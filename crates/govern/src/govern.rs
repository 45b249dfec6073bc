//! The core: receives requests, passes commands through the replicated log and sends replies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agree::{
    Body,
    DurableState,
    Entry,
    Lease,
    MemberChange,
    MemberError,
    MemberId,
    Node,
    ProposeError,
    SnapshotMeta, //
};
use ids::{
    Index,
    Revision,
    Term,
    Tick,
    Ticket,
    millis, //
};
use plan::Distributor;
use step::{
    Core,
    Outbox, //
};

use crate::billing::Billing;
use crate::command::{
    Codec,
    Command,
    Outcome, //
};
use crate::directory::DirectoryReader;
use crate::feed::{
    Distributors,
    FeedPosition,
    Uplink, //
};
use crate::judge::Judge;
use crate::machine::Machine;
use crate::membership::Membership;
use crate::message::{
    DeploymentVersions,
    Event,
    Input,
    Options,
    Output,
    PlanOptions,
    Reply,
    Request,
    Status, //
};
use crate::read::{
    Read,
    ReadKind, //
};
use crate::rollout::RolloutState;
use crate::subscribers::{
    CONFIRM_RETRY,
    SubscriberId,
    SubscriberKind,
    Subscribers, //
};

/// Delay before the leader retries to report a window that the billing interface did not accept.
const DELIVERY_RETRY: Duration = Duration::from_secs(2);

/// The core of a control host.
pub struct Govern<K> {
    pub(crate) options: Options,
    codec: K,
    pub(crate) node: Node,
    pub(crate) machine: Machine,
    /// The last log entry applied to `machine`.
    pub(crate) applied: Index,
    /// Requests whose command is in the log and not committed, with the term in which this host
    /// proposed it.
    pending: BTreeMap<Index, (Term, Ticket)>,
    /// Requests whose membership change is in the log and not committed.
    pending_changes: BTreeMap<Index, Ticket>,
    /// Subscribers of the configuration.
    pub(crate) views: Subscribers<Revision>,
    /// Subscribers of the deployment.
    pub(crate) deployments: Subscribers<DeploymentVersions>,
    /// Distributors whose requests for the feed wait for an update.
    pub(crate) feeds: Subscribers<FeedPosition>,
    /// The distributors, as this leader knows them.
    pub(crate) distributors: Distributors,
    /// Requests to the leader; none if this host serves no plan.
    pub(crate) uplink: Option<Uplink>,
    pub(crate) reader: DirectoryReader,
    pub(crate) membership: Membership,
    pub(crate) billing: Billing,
    pub(crate) judge: Judge,
    pub(crate) rollouts: RolloutState,
    pub(crate) reads: Vec<Read>,
    /// The term in which this host leads; none if it does not lead.
    led_term: Option<Term>,
    started_at: Tick,
    /// Whether a seal command is in the log and not committed.
    sealing: bool,
    /// Whether a window is being reported and its acceptance not committed.
    delivering: bool,
    /// When a window may be reported again after a failed delivery.
    delivery_retry: Tick,
    /// Set once the core has stopped for good: it ignores inputs and has no deadline.
    halted: bool,
    /// Addresses of the senders of envelopes, for replies to senders that are not in this host's
    /// record of the group.
    sender_addresses: BTreeMap<MemberId, SocketAddr>,
}

impl<K: Codec> Govern<K> {
    /// Starts a control host from its durable state.
    ///
    /// # Errors
    ///
    /// If the snapshot does not decode, with the reason.
    pub fn new(now: Tick, options: Options, codec: K, saved: DurableState) -> Result<Self, String> {
        let machine = read_machine(&codec, &saved.state)?;
        let applied = saved.meta.index;
        let node = Node::new(now, options.node, saved);
        let uplink = options.plan.as_ref().map(uplink);
        Ok(Self {
            options,
            codec,
            node,
            machine,
            applied,
            pending: BTreeMap::new(),
            pending_changes: BTreeMap::new(),
            views: Subscribers::default(),
            deployments: Subscribers::default(),
            feeds: Subscribers::default(),
            distributors: Distributors::default(),
            uplink,
            reader: DirectoryReader::default(),
            membership: Membership::default(),
            billing: Billing::default(),
            judge: Judge::default(),
            rollouts: RolloutState::default(),
            reads: Vec::new(),
            led_term: None,
            started_at: now,
            sealing: false,
            delivering: false,
            delivery_retry: now,
            halted: false,
            sender_addresses: BTreeMap::new(),
        })
    }

    /// The replicated state, as far as this host has applied the log.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// The leader's lease, if this host holds a valid one.
    pub fn lease(&self, now: Tick) -> Option<Lease> {
        self.node.lease(now)
    }

    /// Unix time, in milliseconds.
    pub(crate) fn unix_ms(&self, now: Tick) -> u64 {
        self.options
            .unix_ms
            .saturating_add(millis(now.since(self.started_at)))
    }

    fn handle_request(
        &mut self,
        now: Tick,
        ticket: Ticket,
        request: Request,
        out: &mut Outbox<Output>,
    ) {
        match request {
            Request::Propose(proposal) => {
                self.propose(now, Some(ticket), &Command::Propose(proposal), out);
            }
            Request::Command(mut command) => {
                // The leader's clock dates a claim, whatever time the request holds.
                if let Command::Claim {
                    now: claimed_at, ..
                } = &mut command
                {
                    *claimed_at = self.unix_ms(now);
                }
                self.propose(now, Some(ticket), &command, out);
            }
            Request::View(id, revision, wait) => {
                self.views.add(now, ticket, id, revision, wait);
            }
            Request::Deployment(id, held, wait) => {
                self.deployments.add(now, ticket, id, held, wait);
            }
            Request::Feed(request) => self.feed(now, ticket, *request, out),
            Request::Config => self.start_read(now, ticket, ReadKind::Config, out),
            Request::Document => self.start_read(now, ticket, ReadKind::Document, out),
            Request::Join(member) => self.join(now, ticket, member, out),
            Request::Leave(id) => self.leave(now, ticket, id, out),
            Request::Tally(tally) => self.tally(now, ticket, tally, out),
            Request::Evidence(front, evidence) => {
                self.evidence(now, ticket, (front, evidence), out);
            }
            Request::Order(request) => self.order(now, ticket, request, out),
            Request::Orders => self.start_read(now, ticket, ReadKind::Orders, out),
            Request::FrontCounts(front, report) => {
                self.front_counts(now, ticket, (front, report), out);
            }
            Request::Member(change) => self.change_group(now, ticket, &change, out),
            Request::Status => {
                let status = Box::new(self.status(now));
                out.push(Output::Reply(ticket, Reply::Status(status)));
            }
        }
    }

    fn status(&self, now: Tick) -> Status {
        Status {
            now,
            node: self.node.status(),
            revision: self.machine.registry.config().revision(),
            log_entries: self.node.log_len(),
            log_bytes: self.node.log_bytes(),
            journal_bytes: self.node.journal_bytes(),
            claims: self.machine.ledger.len(),
            members: self.node.group().to_vec(),
            subscribers: self.views.list().collect(),
            usage: self.machine.usage.clone(),
        }
    }

    /// Proposes a command of this host's own duties. Returns whether it is in the log; it is not if
    /// this host has no valid lease or the command cannot be encoded.
    pub(crate) fn propose_duty(
        &mut self,
        now: Tick,
        command: &Command,
        out: &mut Outbox<Output>,
    ) -> bool {
        let last = self.node.status().last;
        self.propose(now, None, command, out);
        self.node.status().last > last
    }

    /// Proposes a command. With a ticket, replies to its request once the command is committed or
    /// cannot be proposed.
    pub(crate) fn propose(
        &mut self,
        now: Tick,
        ticket: Option<Ticket>,
        command: &Command,
        out: &mut Outbox<Output>,
    ) {
        let reply_with = |reply, out: &mut Outbox<Output>| {
            if let Some(ticket) = ticket {
                out.push(Output::Reply(ticket, reply));
            }
        };
        let data = match self.codec.encode_command(command) {
            Ok(data) => data,
            Err(_) => return reply_with(Reply::Unavailable, out),
        };
        // Without a valid lease another member may already lead.
        if self.node.leads() && self.node.lease(now).is_none() {
            return reply_with(Reply::Unavailable, out);
        }
        let mut node_out = Outbox::default();
        match self.node.propose(now, data, &mut node_out) {
            Err(ProposeError::NotLeader(error)) => {
                reply_with(Reply::NotLeader(self.address(error.leader)), out);
            }
            Err(ProposeError::Full) => {
                out.push(Output::Event(Event::CommandDeferred));
                reply_with(Reply::Unavailable, out);
            }
            Ok(index) => {
                if let Some(ticket) = ticket {
                    let term = self.node.status().term;
                    self.pending.insert(index, (term, ticket));
                }
                self.handle_node_outputs(now, node_out, out);
            }
        }
    }

    fn change_group(
        &mut self,
        now: Tick,
        ticket: Ticket,
        change: &MemberChange,
        out: &mut Outbox<Output>,
    ) {
        let mut node_out = Outbox::default();
        match self.node.change_group(now, change, &mut node_out) {
            Ok(index) => {
                self.pending_changes.insert(index, ticket);
                self.handle_node_outputs(now, node_out, out);
            }
            Err(MemberError::NotLeader) => {
                out.push(Output::Reply(ticket, Reply::NotLeader(self.leader())));
            }
            Err(error) => out.push(Output::Reply(ticket, Reply::Member(Err(error)))),
        }
    }

    /// The leader's address, if known.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.address(self.node.status().leader)
    }

    /// The address of a member of the group or of the sender of an earlier envelope.
    pub(crate) fn address(&self, id: Option<MemberId>) -> Option<SocketAddr> {
        let id = id?;
        let member = self.node.group().iter().find(|member| member.id == id);
        member
            .map(|member| member.address)
            .or_else(|| self.sender_addresses.get(&id).copied())
    }

    /// Handles the consensus node's outputs, then replies to the requests that they complete.
    pub(crate) fn handle_node_outputs(
        &mut self,
        now: Tick,
        mut node_out: Outbox<agree::Output>,
        out: &mut Outbox<Output>,
    ) {
        for output in node_out.drain() {
            self.handle_node_output(output, out);
        }
        self.after_step(now, out);
    }

    pub(crate) fn handle_node_output(&mut self, output: agree::Output, out: &mut Outbox<Output>) {
        match output {
            agree::Output::Persist(seq, record) => out.push(Output::Persist(seq, record)),
            agree::Output::Rotate(seq, meta, state, record) => {
                out.push(Output::Rotate(seq, meta, state, record));
            }
            agree::Output::Send(to, message) => {
                if let Some(address) = self.address(Some(to)) {
                    out.push(Output::Send(to, address, message));
                }
            }
            agree::Output::Apply(entry) => self.commit(entry, out),
            agree::Output::Restore(meta, state) => self.restore(&meta, &state, out),
            agree::Output::ReadIndex(token, index) => self.confirmed(token, index),
            agree::Output::SnapshotRejected(size) => {
                out.push(Output::Event(Event::SnapshotRejected(size)));
            }
        }
    }

    /// Applies a committed entry and replies to its request. If the entry's term is not the one in
    /// which the request's command was proposed, the entry has replaced that command, and the
    /// request's result is unknown.
    fn commit(&mut self, entry: Entry, out: &mut Outbox<Output>) {
        self.applied = entry.index;
        let pending = self.pending.remove(&entry.index);
        let pending_change = self.pending_changes.remove(&entry.index);
        match entry.body {
            Body::Noop => {}
            Body::Members(group) => {
                out.push(Output::Event(Event::MembersChanged(group.len())));
                if let Some(ticket) = pending_change {
                    out.push(Output::Reply(ticket, Reply::Member(Ok(()))));
                }
            }
            Body::Data(data) => match self.codec.decode_command(&data) {
                Err(error) => self.fail(error.to_string(), out),
                Ok(command) => {
                    let outcome = self.apply(command, out);
                    if let Some((term, ticket)) = pending {
                        let reply = if term == entry.term {
                            Reply::Outcome(outcome)
                        } else {
                            Reply::Unavailable
                        };
                        out.push(Output::Reply(ticket, reply));
                    }
                    return;
                }
            },
        }
        if let Some((_, ticket)) = pending {
            out.push(Output::Reply(ticket, Reply::Unavailable));
        }
    }

    fn apply(&mut self, command: Command, out: &mut Outbox<Output>) -> Outcome {
        out.push(Output::Event(Event::Committed));
        match &command {
            Command::SealWindow { number, .. } => {
                self.sealing = false;
                out.push(Output::Event(Event::WindowSealed(*number)));
            }
            Command::AcceptWindow(_) => self.delivering = false,
            Command::SealStatement(window) => {
                self.billing.sealed();
                out.push(Output::Event(Event::WindowSealed(*window)));
            }
            Command::AcceptStatement(_) => self.billing.accepted(),
            Command::Quarantine(sentences) => {
                self.judge.imposing = false;
                self.report_imposed(sentences, out);
            }
            Command::RecordCrashes { .. } => self.judge.recording = false,
            Command::Release(parts) => {
                self.judge.releasing = false;
                self.report_released(parts, out);
            }
            _ => {}
        }
        let outcome = self.machine.apply(command);
        match &outcome {
            Outcome::Verdict(conf::Verdict::Accepted(revision)) => {
                out.push(Output::Event(Event::ProposalDecided(Some(*revision))));
            }
            Outcome::Verdict(_) => out.push(Output::Event(Event::ProposalDecided(None))),
            Outcome::Claimed(ledger::Claimed::Granted) => {
                out.push(Output::Event(Event::ClaimGranted))
            }
            Outcome::Rollout(effect) => self.rollout_changed(*effect, out),
            Outcome::CrashesRecorded if self.node.leads() => {
                let crashes = self.machine.crashes.crashes();
                out.push(Output::Event(Event::CrashesRecorded(crashes)));
            }
            _ => {}
        }
        outcome
    }

    /// Replaces the state with a snapshot received from the leader.
    fn restore(&mut self, meta: &SnapshotMeta, state: &[u8], out: &mut Outbox<Output>) {
        match read_machine(&self.codec, state) {
            Ok(machine) => {
                self.machine = machine;
                self.applied = meta.index;
            }
            Err(error) => self.fail(error, out),
        }
    }

    /// Stops the core for good.
    fn fail(&mut self, error: String, out: &mut Outbox<Output>) {
        self.halted = true;
        out.push(Output::Event(Event::CodecFailed(error)));
    }

    /// Runs after each step: replies to requests that can be answered now, and makes a snapshot if
    /// the log is long.
    fn after_step(&mut self, now: Tick, out: &mut Outbox<Output>) {
        self.update_leadership(out);
        self.rollouts.ages.follow(now, &self.machine.rollouts);
        self.reply_to_reads(out);
        self.confirm_requests(now, out);
        self.reply_to_views(now, out);
        self.reply_to_deployments(now, out);
        self.reply_to_feeds(now, out);
        if self.node.compaction_due() && !self.halted {
            self.compact(now, out);
        }
    }

    /// Handles a change of this host's leadership. Once it has stopped leading, replies
    /// [`Reply::Unavailable`] to its pending requests and resets the state kept as leader.
    fn update_leadership(&mut self, out: &mut Outbox<Output>) {
        let term = self.node.status().term;
        let leads = self.node.leads().then_some(term);
        if leads == self.led_term {
            return;
        }
        if let Some(old) = self.led_term {
            out.push(Output::Event(Event::SteppedDown(old)));
            for (_, (_, ticket)) in std::mem::take(&mut self.pending) {
                out.push(Output::Reply(ticket, Reply::Unavailable));
            }
            for (_, ticket) in std::mem::take(&mut self.pending_changes) {
                out.push(Output::Reply(ticket, Reply::Unavailable));
            }
            for ticket in self.membership.take_leavers() {
                out.push(Output::Reply(ticket, Reply::Unavailable));
            }
            self.sealing = false;
            self.delivering = false;
            self.billing = Billing::default();
            self.judge = Judge::default();
            self.rollouts.step_down();
        }
        if let Some(new) = leads {
            out.push(Output::Event(Event::Elected(new)));
        }
        self.led_term = leads;
    }

    /// The addresses of the members of the group.
    pub(crate) fn hosts(&self) -> Vec<SocketAddr> {
        let group = self.node.group().iter();
        group.map(|member| member.address).collect()
    }

    /// Replaces the log in memory with a snapshot.
    fn compact(&mut self, now: Tick, out: &mut Outbox<Output>) {
        match self.codec.encode_snapshot(&self.machine.export()) {
            Err(error) => self.fail(error.to_string(), out),
            Ok(state) => {
                let event = Event::Compacted(self.applied, self.node.log_bytes(), state.len());
                out.push(Output::Event(event));
                let mut node_out = Outbox::default();
                self.node.compact(state, &mut node_out);
                self.handle_node_outputs(now, node_out, out);
            }
        }
    }

    /// Seals and reports the usage windows of agents' reports, as leader under a valid lease. A leader
    /// wakes for every heartbeat, so this needs no timer. A host that serves a plan reports the
    /// fronts' usage instead.
    fn advance_usage(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if self.options.plan.is_some() {
            return;
        }
        let Some(lease) = self.node.lease(now) else {
            return;
        };
        let window = millis(self.options.usage_window).max(1);
        let end = self.unix_ms(now) / window * window / 1000;
        let last_end = self
            .machine
            .usage
            .windows()
            .last()
            .map_or(0, |window| window.end);
        if !self.sealing && end > last_end {
            let number = self.machine.usage.open_number();
            self.sealing = self.propose_duty(now, &Command::SealWindow { number, end }, out);
        }
        let ready = !self.delivering && now >= self.delivery_retry;
        if let Some(window) = self.machine.usage.pending().filter(|_| ready) {
            self.delivering = true;
            out.push(Output::DeliverWindow(window.clone(), lease));
        }
    }

    fn window_delivered(
        &mut self,
        now: Tick,
        number: u64,
        accepted: bool,
        out: &mut Outbox<Output>,
    ) {
        // The next window is reported only once this acceptance is committed. If it cannot be
        // proposed, the report is repeated.
        if !accepted || !self.propose_duty(now, &Command::AcceptWindow(number), out) {
            self.delivering = false;
            self.delivery_retry = now + DELIVERY_RETRY;
        }
    }
}

impl<K: Codec> Core for Govern<K> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        if self.halted {
            return;
        }
        let mut node_out = Outbox::default();
        match input {
            Input::Envelope(envelope) if envelope.to == self.node.id() => {
                self.sender_addresses
                    .insert(envelope.from, envelope.address);
                for message in envelope.messages {
                    self.node
                        .receive(now, envelope.from, message, &mut node_out);
                }
            }
            Input::Envelope(_) => {}
            Input::Synced(seq) => self.node.synced(now, seq, &mut node_out),
            Input::Request(ticket, request) => self.handle_request(now, ticket, request, out),
            Input::WindowDelivered(number, accepted) => {
                self.window_delivered(now, number, accepted, out)
            }
            Input::StatementDelivered(window, accepted) => {
                self.statement_delivered(now, window, accepted, out)
            }
            Input::Listing(pages) => self.listing_received(now, pages),
            Input::Feed(result) => self.feed_received(now, result),
            Input::TransferLeadership => {
                self.node.transfer_leadership(now, &mut node_out);
            }
            Input::Leave => self.request_leave(now, &mut node_out, out),
            Input::Halt => {
                self.halted = true;
                return;
            }
        }
        self.handle_node_outputs(now, node_out, out);
        self.advance_usage(now, out);
        self.advance_plan(now, out);
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if self.halted {
            return;
        }
        let mut node_out = Outbox::default();
        self.node.wake(now, &mut node_out);
        self.handle_node_outputs(now, node_out, out);
        self.retry_reads(now, out);
        self.advance_usage(now, out);
        self.advance_plan(now, out);
        self.reads.retain(|read| {
            let expired = read.deadline <= now;
            if expired {
                out.push(Output::Reply(read.ticket, Reply::Unavailable));
            }
            !expired
        });
    }

    fn deadline(&self) -> Option<Tick> {
        if self.halted {
            return None;
        }
        let reads = self
            .reads
            .iter()
            .map(|read| match read.confirmed {
                Some(_) => read.deadline,
                None => read.deadline.min(read.requested_at + CONFIRM_RETRY),
            })
            .min();
        let node = self.node.deadline();
        let join = self
            .options
            .plan
            .as_ref()
            .and(self.membership.deadline(&self.node));
        [
            node,
            self.views.deadline(),
            self.deployments.deadline(),
            self.feeds.deadline(),
            reads,
            join,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

/// The uplink of a control host that serves a plan.
fn uplink(plan: &PlanOptions) -> Uplink {
    let id = SubscriberId {
        host: plan.member.host.clone(),
        kind: SubscriberKind::Distributor,
        incarnation: plan.incarnation,
    };
    let own = Distributor {
        address: plan.member.address,
        zone: plan.zone.clone(),
    };
    Uplink::new(id, own)
}

fn read_machine<K: Codec>(codec: &K, state: &[u8]) -> Result<Machine, String> {
    if state.is_empty() {
        return Ok(Machine::default());
    }
    let state = codec
        .decode_snapshot(state)
        .map_err(|error| error.to_string())?;
    state
        .try_into()
        .map_err(|error: conf::ChangeError| error.to_string())
}
