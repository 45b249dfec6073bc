//! A handful of control hosts under a virtual clock, with disks, cuts and losses.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet,
    BinaryHeap, //
};
use std::net::SocketAddr;
use std::time::Duration;

use agree::{
    Body,
    Entry,
    Member,
    MemberId,
    Promotion,
    Record,
    Saved,
    SnapshotMeta,
    Stage,
    Timing, //
};
use govern::{
    Command,
    DeploymentReply,
    DeploymentVersions,
    Envelope,
    Govern,
    Input,
    Options,
    Output,
    PlanOptions,
    Reply,
    Request,
    SubscriberId,
    SubscriberKind, //
};
use ids::{
    Incarnation,
    Index,
    Term,
    Tick,
    Ticket, //
};
use plan::Document;
use serde_bytes::ByteBuf;
use step::{
    Core,
    Outbox, //
};
use usage::Statement;
use wire::Packed;

/// One way between two hosts.
const HOP: u64 = 1_000;
/// A sync of a disk.
const SYNC: u64 = 2_000;

#[derive(Default)]
struct Disk {
    id: u64,
    meta: SnapshotMeta,
    state: Vec<u8>,
    records: Vec<Record>,
    /// Written and not synced, oldest first: what a loss of power may take.
    pending: Vec<(u64, Write)>,
}

enum Write {
    Append(Record),
    Rotate(SnapshotMeta, Vec<u8>, Record),
}

impl Disk {
    fn put(&mut self, write: Write) {
        match write {
            Write::Append(record) => self.records.push(record),
            Write::Rotate(meta, state, record) => {
                (self.meta, self.state, self.records) = (meta, state, vec![record]);
            }
        }
    }

    /// Makes the oldest `count` pending writes durable and drops the others.
    fn settle(&mut self, count: usize) {
        let pending = std::mem::take(&mut self.pending);
        for (_, write) in pending.into_iter().take(count) {
            self.put(write);
        }
    }

    /// Makes everything up to a write durable.
    fn sync(&mut self, seq: u64) {
        while self.pending.first().is_some_and(|(at, _)| *at <= seq) {
            let (_, write) = self.pending.remove(0);
            self.put(write);
        }
    }
}

enum Event {
    Input(usize, u64, Box<Input>),
    Synced(usize, u64, u64),
    Wake(usize, u64),
    Join(usize, Member),
    Listed(usize, u64),
    Resume(usize),
}

impl Event {
    fn host(&self) -> usize {
        match self {
            Self::Input(n, ..)
            | Self::Synced(n, ..)
            | Self::Wake(n, _)
            | Self::Join(n, _)
            | Self::Listed(n, _)
            | Self::Resume(n) => *n,
        }
    }
}

/// The hosts. Host `n` has the address 10.0.0.n:1; the first ones found the group.
pub(crate) struct Group {
    now: u64,
    serial: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    cores: Vec<Option<Govern<Packed>>>,
    disks: Vec<Disk>,
    runs: Vec<u64>,
    /// What reaches a suspended host only once it goes on.
    suspended: BTreeMap<usize, Vec<Event>>,
    cut: BTreeSet<(usize, usize)>,
    replies: BTreeMap<(usize, Ticket), Reply>,
    /// Reports of usage windows: who, under which fence, what.
    pub(crate) bills: Vec<(usize, u64, Statement)>,
    /// How often each host read the list.
    pub(crate) reads: Vec<usize>,
    /// What the platform's list holds.
    pub(crate) list: Vec<u8>,
    /// Whether the platform takes reports.
    pub(crate) billing: bool,
    /// Whether hosts say "synced" before the disk does, which no host may.
    pub(crate) hasty: bool,
    ids: u64,
}

fn address(n: usize) -> SocketAddr {
    ([10, 0, 0, u8::try_from(n).unwrap()], 1).into()
}

fn member(n: usize, id: u64, stage: Stage) -> Member {
    Member {
        id: MemberId(id),
        host: format!("c{n}").as_str().try_into().unwrap(),
        address: address(n),
        stage,
    }
}

impl Group {
    /// Three hosts that found a group, led by one of them.
    pub(crate) fn founded() -> Self {
        let mut group = Self {
            now: 1_000_000,
            serial: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            cores: Vec::new(),
            disks: Vec::new(),
            runs: Vec::new(),
            suspended: BTreeMap::new(),
            cut: BTreeSet::new(),
            replies: BTreeMap::new(),
            bills: Vec::new(),
            reads: Vec::new(),
            list: b"list".to_vec(),
            billing: true,
            hasty: false,
            ids: 100,
        };
        let members = (0..3).map(|n| member(n, n as u64 + 1, Stage::Voter));
        let first = Record {
            vote: Some((Term(1), None)),
            truncate: None,
            entries: vec![Entry {
                index: Index(1),
                term: Term(1),
                body: Body::Members(members.collect()),
            }],
        };
        for n in 0..3 {
            group.cores.push(None);
            group.runs.push(0);
            group.reads.push(0);
            group.disks.push(Disk {
                id: n + 1,
                records: vec![first.clone()],
                ..Disk::default()
            });
        }
        (0..3).for_each(|n| group.start(n));
        group.run(3000);
        group
    }

    /// Adds a host with an empty disk. Returns its number.
    pub(crate) fn add(&mut self) -> usize {
        self.cores.push(None);
        self.runs.push(0);
        self.reads.push(0);
        self.disks.push(Disk::default());
        let n = self.cores.len() - 1;
        self.wipe(n);
        self.start(n);
        n
    }

    /// Starts a host from its disk.
    pub(crate) fn start(&mut self, n: usize) {
        let disk = &self.disks[n];
        let mut saved = Saved::new(disk.meta.clone(), disk.state.clone());
        disk.records
            .iter()
            .for_each(|record| saved.replay(record.clone()));
        self.runs[n] += 1;
        let options = Options {
            node: agree::Seed {
                id: MemberId(disk.id),
                timing: Timing::default(),
                promotion: Promotion::Odd,
                random: disk.id * 31 + self.runs[n],
            },
            unix_ms: 1_700_000_000_000 + self.now / 1000,
            usage_window: Duration::from_secs(5),
            plan: Some(PlanOptions {
                member: member(n, disk.id, Stage::Learner),
                usage_window: Duration::from_secs(5),
                report_delay: Duration::from_secs(3),
            }),
        };
        self.cores[n] = Some(Govern::new(Tick(self.now), options, Packed, saved).unwrap());
        self.post(0, Event::Wake(n, self.runs[n]));
    }

    /// Stops a host's process at once. What it has written stays on its disk.
    pub(crate) fn crash(&mut self, n: usize) {
        self.lose_power(n, usize::MAX);
    }

    /// Takes a host's power. Of what it has not synced, the oldest `kept` writes stay.
    pub(crate) fn lose_power(&mut self, n: usize, kept: usize) {
        self.cores[n] = None;
        self.runs[n] += 1;
        self.suspended.remove(&n);
        self.disks[n].settle(kept);
    }

    /// Suspends a host for a number of milliseconds; what comes meanwhile reaches it afterwards.
    pub(crate) fn suspend(&mut self, n: usize, millis: u64) {
        if self.cores[n].is_some() && !self.suspended.contains_key(&n) {
            self.suspended.insert(n, Vec::new());
            self.post(millis * 1000, Event::Resume(n));
        }
    }

    /// Empties a stopped host's disk; it has a new identity from then on.
    pub(crate) fn wipe(&mut self, n: usize) {
        self.ids += 1;
        self.disks[n] = Disk {
            id: self.ids,
            records: vec![Record::default()],
            ..Disk::default()
        };
    }

    /// Empties a stopped host's disk and lets it keep its identity, which no host may.
    pub(crate) fn empty(&mut self, n: usize) {
        let disk = &mut self.disks[n];
        *disk = Disk {
            id: disk.id,
            records: vec![Record::default()],
            ..Disk::default()
        };
    }

    /// Cuts a host off from all others, both ways.
    pub(crate) fn isolate(&mut self, n: usize) {
        for other in 0..self.cores.len() {
            self.cut.extend([(n, other), (other, n)]);
        }
    }

    /// Cuts some hosts off from all others, both ways.
    pub(crate) fn split(&mut self, side: &[usize]) {
        for other in (0..self.cores.len()).filter(|n| !side.contains(n)) {
            for n in side {
                self.cut.extend([(*n, other), (other, *n)]);
            }
        }
    }

    /// Loses what one host sends to another.
    pub(crate) fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }

    fn post(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Lets a number of milliseconds pass.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1000;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at.max(self.now);
            if let Some(event) = self.events.remove(&serial) {
                self.happen(event);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, event: Event) {
        if let Event::Resume(n) = event {
            let late = self.suspended.remove(&n).unwrap_or_default();
            late.into_iter().for_each(|event| self.happen(event));
            return;
        }
        if let Some(late) = self.suspended.get_mut(&event.host()) {
            late.push(event);
            return;
        }
        match event {
            Event::Synced(n, run, seq) if self.runs[n] == run => {
                self.disks[n].sync(seq);
                if !self.hasty {
                    self.step(n, Some(Input::Synced(seq)));
                }
            }
            Event::Input(n, run, input) if self.runs[n] == run => self.step(n, Some(*input)),
            Event::Wake(n, run) if self.runs[n] == run => {
                let deadline = self.cores[n].as_ref().and_then(Core::deadline);
                if deadline.is_some_and(|at| at.0 <= self.now) {
                    self.step(n, None);
                }
            }
            Event::Join(n, member) => {
                self.ask(n, Request::Join(member));
            }
            Event::Listed(n, run) if self.runs[n] == run => {
                let pages = vec![ByteBuf::from(self.list.clone())];
                self.step(n, Some(Input::Listing(pages)));
            }
            _ => {}
        }
    }

    fn step(&mut self, n: usize, input: Option<Input>) {
        let mut out = Outbox::default();
        let now = Tick(self.now);
        let Some(core) = &mut self.cores[n] else {
            return;
        };
        match input {
            Some(input) => core.step(now, input, &mut out),
            None => core.wake(now, &mut out),
        }
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            self.perform(n, output);
        }
        let deadline = self.cores[n].as_ref().and_then(Core::deadline);
        if let Some(at) = deadline {
            self.post(at.0.saturating_sub(self.now), Event::Wake(n, self.runs[n]));
        }
    }

    fn perform(&mut self, n: usize, output: Output) {
        let run = self.runs[n];
        match output {
            Output::Persist(seq, record) => self.write(n, seq, Write::Append(record)),
            Output::Rotate(seq, meta, state, record) => {
                self.write(n, seq, Write::Rotate(meta, state, record));
            }
            Output::Send(to, at, message) => {
                let other = self.number(at);
                if self.cut.contains(&(n, other)) || self.cores[other].is_none() {
                    return;
                }
                let envelope = Envelope {
                    from: MemberId(self.disks[n].id),
                    address: address(n),
                    to,
                    messages: vec![message],
                };
                let run = self.runs[other];
                self.post(
                    HOP,
                    Event::Input(other, run, Box::new(Input::Envelope(envelope))),
                );
            }
            Output::Reply(ticket, reply) => {
                self.replies.insert((n, ticket), reply);
            }
            Output::DeliverStatement(statement, authority) => {
                let window = statement.window;
                self.bills.push((n, authority.term.0, statement));
                let accepted = Input::StatementDelivered(window, self.billing);
                self.post(HOP, Event::Input(n, run, Box::new(accepted)));
            }
            Output::FetchListing => {
                self.reads[n] += 1;
                self.post(HOP, Event::Listed(n, run));
            }
            Output::RequestJoin(member, _) => {
                for other in 0..self.cores.len() {
                    let reached = other != n && !self.cut.contains(&(n, other));
                    if reached && self.cores[other].is_some() {
                        self.post(HOP, Event::Join(other, member.clone()));
                    }
                }
            }
            Output::DeliverWindow(..) | Output::Event(_) => {}
        }
    }

    fn write(&mut self, n: usize, seq: u64, write: Write) {
        let run = self.runs[n];
        self.disks[n].pending.push((seq, write));
        self.post(SYNC, Event::Synced(n, run, seq));
        if self.hasty {
            self.post(0, Event::Input(n, run, Box::new(Input::Synced(seq))));
        }
    }

    fn number(&self, at: SocketAddr) -> usize {
        (0..self.cores.len()).find(|n| address(*n) == at).unwrap()
    }

    /// Asks a host; the answer is there once time has passed.
    pub(crate) fn ask(&mut self, n: usize, question: Request) -> (usize, Ticket) {
        self.serial += 1;
        let ticket = Ticket(self.serial);
        let input = Input::Request(ticket, question);
        match self.suspended.get_mut(&n) {
            Some(late) => late.push(Event::Input(n, self.runs[n], Box::new(input))),
            None => self.step(n, Some(input)),
        }
        (n, ticket)
    }

    /// The answer to a question, if it came.
    pub(crate) fn answer(&mut self, asked: (usize, Ticket)) -> Option<Reply> {
        self.replies.remove(&asked)
    }

    /// Who holds the lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        let now = Tick(self.now);
        let leads = |core: &Option<Govern<Packed>>| {
            core.as_ref()
                .is_some_and(|core| core.authority(now).is_some())
        };
        let leaders: Vec<_> = (0..self.cores.len())
            .filter(|n| leads(&self.cores[*n]))
            .collect();
        assert!(leaders.len() <= 1, "{leaders:?} hold the lease at once");
        leaders.first().copied()
    }

    /// Asks the leader to put a plan in force, if there is one.
    fn order(&mut self, version: u64) -> Option<(usize, Ticket)> {
        let leader = self.leader()?;
        let document = Document {
            version,
            bytes: version.to_string().into_bytes(),
        };
        let install = Request::Command(Command::Install(document));
        Some(self.ask(leader, install))
    }

    /// Puts a plan in force by its leader, and says whether it was acknowledged.
    pub(crate) fn install(&mut self, version: u64) -> bool {
        let Some(asked) = self.order(version) else {
            return false;
        };
        self.run(300);
        matches!(self.answer(asked), Some(Reply::Outcome(_)))
    }

    /// As [`Self::install`], but returns at the moment of the acknowledgement.
    pub(crate) fn install_until_acknowledged(&mut self, version: u64) -> bool {
        let Some(asked) = self.order(version) else {
            return false;
        };
        let end = self.now + 300_000;
        while self.now < end && !self.replies.contains_key(&asked) {
            self.run(1);
        }
        matches!(self.answer(asked), Some(Reply::Outcome(_)))
    }

    /// The plan's version as a host confirms it.
    pub(crate) fn read(&mut self, n: usize) -> Option<u64> {
        let asked = self.ask(n, Request::Document);
        self.run(1000);
        match self.answer(asked) {
            Some(Reply::Document(document)) => document.map(|document| document.version),
            _ => None,
        }
    }

    /// What a front is told that holds nothing.
    pub(crate) fn deployment(&mut self, n: usize, directory: u64) -> Option<DeploymentReply> {
        let front = SubscriberId {
            host: "front".try_into().unwrap(),
            kind: SubscriberKind::Entry,
            incarnation: Incarnation(1),
        };
        let held = DeploymentVersions {
            generation: 0,
            directory,
        };
        let asked = self.ask(
            n,
            Request::Deployment(front, held, Duration::from_millis(150)),
        );
        self.run(300);
        match self.answer(asked) {
            Some(Reply::Deployment(reply)) => Some(*reply),
            _ => None,
        }
    }

    /// The last entry of a host's log.
    pub(crate) fn log_end(&mut self, n: usize) -> u64 {
        let asked = self.ask(n, Request::Status);
        match self.answer(asked) {
            Some(Reply::Status(status)) => status.standing.last.0,
            _ => 0,
        }
    }

    /// How far a host knows the log to be committed.
    pub(crate) fn committed(&mut self, n: usize) -> u64 {
        let asked = self.ask(n, Request::Status);
        match self.answer(asked) {
            Some(Reply::Status(status)) => status.standing.commit.0,
            _ => 0,
        }
    }

    /// The voters that a host knows, by number.
    pub(crate) fn voters(&mut self, n: usize) -> Vec<usize> {
        let asked = self.ask(n, Request::Status);
        let Some(Reply::Status(status)) = self.answer(asked) else {
            return Vec::new();
        };
        let voters = status.members.iter().filter(|m| m.stage == Stage::Voter);
        let mut numbers: Vec<_> = voters
            .filter(|m| self.disks.iter().any(|disk| MemberId(disk.id) == m.id))
            .map(|m| self.number(m.address))
            .collect();
        numbers.sort_unstable();
        numbers
    }

    /// Reports runs of window `window` from a front.
    pub(crate) fn tally(&mut self, host: &str, windows: &[(u64, u64)]) {
        let Some(leader) = self.leader() else {
            return;
        };
        let reporter = usage::Reporter {
            host: host.to_owned(),
            incarnation: 1,
        };
        let runs = |count: u64| [("ana".to_owned(), count)].into();
        let windows = windows
            .iter()
            .map(|(window, count)| (*window, runs(*count)));
        self.ask(leader, Request::Tally((reporter, windows.collect())));
    }

    /// The number of the usage window that is open now.
    pub(crate) fn window(&self) -> u64 {
        (1_700_000_000_000 + self.now / 1000) / 5000
    }
}
