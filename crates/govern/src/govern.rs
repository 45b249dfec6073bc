//! The core itself: questions in, commands through the log, answers out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agree::{
    Authority,
    Body,
    Entry,
    MemberChange,
    MemberError,
    MemberId,
    Node,
    Saved,
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
use step::{
    Core,
    Outbox, //
};

use crate::bill::Biller;
use crate::command::{
    Codec,
    Command,
    Outcome, //
};
use crate::directory::Reading;
use crate::machine::Machine;
use crate::message::{
    DeploymentVersions,
    Event,
    Input,
    Options,
    Output,
    Reply,
    Request,
    Status, //
};
use crate::read::{
    Read,
    Wanted, //
};
use crate::roster::Roster;
use crate::subscribers::{
    ASK_AGAIN,
    Subscribers, //
};

/// Log entries in memory after which a snapshot is made.
const COMPACT_ENTRIES: usize = 8192;
/// How long the delivery of a window waits after it was refused.
const DELIVER_AGAIN: Duration = Duration::from_secs(2);

/// A control host.
pub struct Govern<K> {
    pub(crate) options: Options,
    codec: K,
    pub(crate) node: Node,
    pub(crate) machine: Machine,
    pub(crate) applied: Index,
    /// Commands on their way through the log, with the term they were proposed in.
    pending: BTreeMap<Index, (Term, Ticket)>,
    group_pending: BTreeMap<Index, Ticket>,
    pub(crate) viewers: Subscribers<Revision>,
    pub(crate) deployments: Subscribers<DeploymentVersions>,
    pub(crate) reading: Reading,
    pub(crate) roster: Roster,
    pub(crate) biller: Biller,
    pub(crate) reads: Vec<Read>,
    led: Option<Term>,
    began: Tick,
    sealing: bool,
    delivering: bool,
    deliver_at: Tick,
    broken: bool,
    /// Where members that sent mail are reached.
    senders: BTreeMap<MemberId, SocketAddr>,
}

impl<K: Codec> Govern<K> {
    /// Starts a control host from its durable state.
    ///
    /// # Errors
    ///
    /// A sentence, if the snapshot does not decode.
    pub fn new(now: Tick, options: Options, codec: K, saved: Saved) -> Result<Self, String> {
        let machine = read_machine(&codec, &saved.state)?;
        let applied = saved.meta.index;
        let node = Node::new(now, options.node, saved);
        Ok(Self {
            options,
            codec,
            node,
            machine,
            applied,
            pending: BTreeMap::new(),
            group_pending: BTreeMap::new(),
            viewers: Subscribers::default(),
            deployments: Subscribers::default(),
            reading: Reading::default(),
            roster: Roster::default(),
            biller: Biller::default(),
            reads: Vec::new(),
            led: None,
            began: now,
            sealing: false,
            delivering: false,
            deliver_at: now,
            broken: false,
            senders: BTreeMap::new(),
        })
    }

    /// The replicated state as applied here.
    pub fn machine(&self) -> &Machine {
        &self.machine
    }

    /// The right to act as the one leader, if held.
    pub fn authority(&self, now: Tick) -> Option<Authority> {
        self.node.authority(now)
    }

    /// Unix time, in milliseconds.
    pub(crate) fn unix_ms(&self, now: Tick) -> u64 {
        self.options
            .unix_ms
            .saturating_add(millis(now.since(self.began)))
    }

    fn ask(&mut self, now: Tick, ticket: Ticket, question: Request, out: &mut Outbox<Output>) {
        match question {
            Request::Propose(proposal) => {
                self.propose(now, Some(ticket), &Command::Propose(proposal), out);
            }
            Request::Command(mut command) => {
                if let Command::Claim { now: stamp, .. } = &mut command {
                    *stamp = self.unix_ms(now);
                }
                self.propose(now, Some(ticket), &command, out);
            }
            Request::View(id, revision, wait) => {
                self.viewers.ask(now, ticket, id, revision, wait);
            }
            Request::Deployment(id, held, wait) => {
                self.deployments.ask(now, ticket, id, held, wait);
            }
            Request::Config => self.read(now, ticket, Wanted::Config, out),
            Request::Document => self.read(now, ticket, Wanted::Document, out),
            Request::Join(member) => self.join(now, ticket, member, out),
            Request::Tally(tally) => self.tally(now, ticket, tally, out),
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
            standing: self.node.standing(),
            revision: self.machine.registry.config().revision(),
            log_entries: self.node.log_len(),
            claims: self.machine.ledger.len(),
            members: self.node.group().to_vec(),
            subscribers: self.viewers.known().collect(),
            usage: self.machine.usage.clone(),
        }
    }

    pub(crate) fn propose(
        &mut self,
        now: Tick,
        ticket: Option<Ticket>,
        command: &Command,
        out: &mut Outbox<Output>,
    ) {
        let refuse = |reply, out: &mut Outbox<Output>| {
            if let Some(ticket) = ticket {
                out.push(Output::Reply(ticket, reply));
            }
        };
        let data = match self.codec.encode_command(command) {
            Ok(data) => data,
            Err(_) => return refuse(Reply::Unavailable, out),
        };
        // A leader without a valid lease may already have a successor.
        if self.node.leads() && self.node.authority(now).is_none() {
            return refuse(Reply::Unavailable, out);
        }
        let mut inner = Outbox::default();
        match self.node.propose(now, data, &mut inner) {
            Err(fault) => refuse(Reply::NotLeader(self.address(fault.leader)), out),
            Ok(index) => {
                if let Some(ticket) = ticket {
                    let term = self.node.standing().term;
                    self.pending.insert(index, (term, ticket));
                }
                self.carry(now, inner, out);
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
        let mut inner = Outbox::default();
        match self.node.change_group(now, change, &mut inner) {
            Ok(index) => {
                self.group_pending.insert(index, ticket);
                self.carry(now, inner, out);
            }
            Err(MemberError::NotLeader) => {
                out.push(Output::Reply(ticket, Reply::NotLeader(self.leader())));
            }
            Err(fault) => out.push(Output::Reply(ticket, Reply::Member(Err(fault)))),
        }
    }

    /// Where the leader is reached, as far as is known.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.address(self.node.standing().leader)
    }

    pub(crate) fn address(&self, id: Option<MemberId>) -> Option<SocketAddr> {
        let id = id?;
        let member = self.node.group().iter().find(|member| member.id == id);
        member
            .map(|member| member.address)
            .or_else(|| self.senders.get(&id).copied())
    }

    /// Carries out what the node asks for.
    pub(crate) fn carry(
        &mut self,
        now: Tick,
        mut inner: Outbox<agree::Output>,
        out: &mut Outbox<Output>,
    ) {
        for output in inner.drain() {
            self.carry_one(output, out);
        }
        self.after(now, out);
    }

    pub(crate) fn carry_one(&mut self, output: agree::Output, out: &mut Outbox<Output>) {
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
            agree::Output::Commit(entry) => self.commit(entry, out),
            agree::Output::Restore(meta, state) => self.restore(&meta, &state, out),
            agree::Output::Confirmed(token, index) => self.confirmed(token, index),
        }
    }

    fn commit(&mut self, entry: Entry, out: &mut Outbox<Output>) {
        self.applied = entry.index;
        let waiting = self.pending.remove(&entry.index);
        let group_waiting = self.group_pending.remove(&entry.index);
        match entry.body {
            Body::Barrier => {}
            Body::Members(group) => {
                out.push(Output::Event(Event::MembersChanged(group.len())));
                if let Some(ticket) = group_waiting {
                    out.push(Output::Reply(ticket, Reply::Member(Ok(()))));
                }
            }
            Body::Data(data) => match self.codec.decode_command(&data) {
                Err(fault) => self.break_down(fault.to_string(), out),
                Ok(command) => {
                    let outcome = self.apply(command, out);
                    if let Some((term, ticket)) = waiting {
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
        if let Some((_, ticket)) = waiting {
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
                self.biller.sealed();
                out.push(Output::Event(Event::WindowSealed(*window)));
            }
            Command::AcceptStatement(_) => self.biller.settled(),
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
            _ => {}
        }
        outcome
    }

    fn restore(&mut self, meta: &SnapshotMeta, state: &[u8], out: &mut Outbox<Output>) {
        match read_machine(&self.codec, state) {
            Ok(machine) => {
                self.machine = machine;
                self.applied = meta.index;
            }
            Err(fault) => self.break_down(fault, out),
        }
    }

    fn break_down(&mut self, fault: String, out: &mut Outbox<Output>) {
        self.broken = true;
        out.push(Output::Event(Event::StateUnreadable(fault)));
    }

    /// What may have become possible after any step.
    fn after(&mut self, now: Tick, out: &mut Outbox<Output>) {
        self.note_lead(out);
        self.answer_reads(out);
        self.confirm_questions(now, out);
        self.answer_views(now, out);
        self.answer_deployments(now, out);
        if self.node.log_len() > COMPACT_ENTRIES && !self.broken {
            self.compact(now, out);
        }
    }

    fn note_lead(&mut self, out: &mut Outbox<Output>) {
        let term = self.node.standing().term;
        let leads = self.node.leads().then_some(term);
        if leads == self.led {
            return;
        }
        if let Some(old) = self.led {
            out.push(Output::Event(Event::SteppedDown(old)));
            for (_, (_, ticket)) in std::mem::take(&mut self.pending) {
                out.push(Output::Reply(ticket, Reply::Unavailable));
            }
            for (_, ticket) in std::mem::take(&mut self.group_pending) {
                out.push(Output::Reply(ticket, Reply::Unavailable));
            }
            self.sealing = false;
            self.delivering = false;
            self.biller = Biller::default();
            self.reading = Reading::default();
        }
        if let Some(new) = leads {
            out.push(Output::Event(Event::Elected(new)));
        }
        self.led = leads;
    }

    pub(crate) fn hosts(&self) -> Vec<SocketAddr> {
        let group = self.node.group().iter();
        group.map(|member| member.address).collect()
    }

    fn compact(&mut self, now: Tick, out: &mut Outbox<Output>) {
        match self.codec.encode_snapshot(&self.machine.export()) {
            Err(fault) => self.break_down(fault.to_string(), out),
            Ok(state) => {
                out.push(Output::Event(Event::Compacted(self.applied)));
                let mut inner = Outbox::default();
                self.node.compact(state, &mut inner);
                self.carry(now, inner, out);
            }
        }
    }

    /// Seals and delivers usage windows, as leader under a valid lease. A leader wakes for every
    /// heartbeat, so this needs no timer of its own. Where a plan is served, the fronts' usage is
    /// reported in its place.
    fn govern_usage(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if self.options.plan.is_some() {
            return;
        }
        let Some(authority) = self.node.authority(now) else {
            return;
        };
        let window = millis(self.options.usage_window).max(1);
        let end = self.unix_ms(now) / window * window / 1000;
        let last = self
            .machine
            .usage
            .windows()
            .last()
            .map_or(0, |window| window.end);
        if !self.sealing && end > last {
            self.sealing = true;
            let number = self.machine.usage.open_number();
            self.propose(now, None, &Command::SealWindow { number, end }, out);
        }
        let ready = !self.delivering && now >= self.deliver_at;
        if let Some(window) = self.machine.usage.pending().filter(|_| ready) {
            self.delivering = true;
            out.push(Output::DeliverWindow(window.clone(), authority));
        }
    }

    fn delivered(&mut self, now: Tick, number: u64, accepted: bool, out: &mut Outbox<Output>) {
        if accepted {
            // The next delivery waits until this one is committed as accepted.
            self.propose(now, None, &Command::AcceptWindow(number), out);
        } else {
            self.delivering = false;
            self.deliver_at = now + DELIVER_AGAIN;
        }
    }
}

impl<K: Codec> Core for Govern<K> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        if self.broken {
            return;
        }
        let mut inner = Outbox::default();
        match input {
            Input::Envelope(mail) if mail.to == self.node.id() => {
                self.senders.insert(mail.from, mail.address);
                for message in mail.messages {
                    self.node.receive(now, mail.from, message, &mut inner);
                }
            }
            Input::Envelope(_) => {}
            Input::Synced(seq) => self.node.synced(now, seq, &mut inner),
            Input::Request(ticket, question) => self.ask(now, ticket, question, out),
            Input::WindowDelivered(number, accepted) => self.delivered(now, number, accepted, out),
            Input::StatementDelivered(window, accepted) => self.billed(now, window, accepted, out),
            Input::Listing(pages) => self.listed(now, pages),
            Input::TransferLeadership => {
                self.node.hand_over(now, &mut inner);
            }
            Input::Halt => {
                self.broken = true;
                return;
            }
        }
        self.carry(now, inner, out);
        self.govern_usage(now, out);
        self.govern_plan(now, out);
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if self.broken {
            return;
        }
        let mut inner = Outbox::default();
        self.node.wake(now, &mut inner);
        self.carry(now, inner, out);
        self.ask_reads_again(now, out);
        self.govern_usage(now, out);
        self.govern_plan(now, out);
        self.reads.retain(|read| {
            let late = read.until <= now;
            if late {
                out.push(Output::Reply(read.ticket, Reply::Unavailable));
            }
            !late
        });
    }

    fn deadline(&self) -> Option<Tick> {
        if self.broken {
            return None;
        }
        let reads = self
            .reads
            .iter()
            .map(|read| match read.confirmed {
                Some(_) => read.until,
                None => read.until.min(read.asked + ASK_AGAIN),
            })
            .min();
        let node = self.node.deadline();
        let seek = self
            .options
            .plan
            .as_ref()
            .and(self.roster.deadline(&self.node));
        [
            node,
            self.viewers.deadline(),
            self.deployments.deadline(),
            reads,
            seek,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

fn read_machine<K: Codec>(codec: &K, state: &[u8]) -> Result<Machine, String> {
    if state.is_empty() {
        return Ok(Machine::default());
    }
    let state = codec
        .decode_snapshot(state)
        .map_err(|fault| fault.to_string())?;
    state
        .try_into()
        .map_err(|fault: conf::ChangeError| fault.to_string())
}
