//! Simulates a group of control hosts under a virtual clock, with crashes, lost writes and network
//! partitions.

#![allow(dead_code, reason = "no test file uses all items")]

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
    DurableState,
    Entry,
    Limits,
    Member,
    MemberId,
    PromotionPolicy,
    Record,
    SnapshotMeta,
    Stage,
    Timing, //
};
use bytes::Bytes;
use govern::{
    Command,
    DeploymentReply,
    DeploymentVersions,
    Envelope,
    FeedError,
    FeedReply,
    FeedRequest,
    Govern,
    Input,
    Mirror,
    MirrorOptions,
    Options,
    Output,
    PlanOptions,
    Reply,
    Request,
    RolloutOptions,
    SubscriberId,
    SubscriberKind,
    VIEW_TTL, //
};
use ids::{
    Incarnation,
    Index,
    Term,
    Tick,
    Ticket, //
};
use plan::{
    Distributor,
    Document, //
};
use serde_bytes::ByteBuf;
use step::{
    Core,
    Outbox, //
};
use usage::Statement;
use wire::MessagePack;

/// One-way delay between two hosts, in microseconds.
const HOP_US: u64 = 1_000;
/// Duration of a disk sync, in microseconds.
const SYNC_US: u64 = 2_000;
/// Time for which a new leader does not report.
const REPORT_DELAY: Duration = Duration::from_secs(3);
/// Timeout of a distributor's request to the leader, in microseconds.
const FEED_TIMEOUT_US: u64 = 900_000;

/// Bounds for 4 MiB of memory and 1 MiB of disk space.
pub(crate) fn limits() -> Limits {
    Limits::new(4 << 20, 1 << 20)
}

/// Pause before a stopping host asks the next host to let it leave, in microseconds.
const LEAVE_PAUSE_US: u64 = 50_000;
/// Timeout of a request to leave, in microseconds.
const LEAVE_TIMEOUT_US: u64 = 500_000;
/// How long a stopping host waits until it has left, in microseconds.
const LEAVE_WAIT_US: u64 = 1_500_000;

#[derive(Default)]
struct Disk {
    id: u64,
    meta: SnapshotMeta,
    state: Bytes,
    records: Vec<Record>,
    /// Writes not yet synced, oldest first. A loss of power may lose them.
    pending: Vec<(u64, Write)>,
}

enum Write {
    Append(Record),
    Rotate(SnapshotMeta, Bytes, Record),
}

impl Disk {
    fn apply(&mut self, write: Write) {
        match write {
            Write::Append(record) => self.records.push(record),
            Write::Rotate(meta, state, record) => {
                (self.meta, self.state, self.records) = (meta, state, vec![record]);
            }
        }
    }

    /// Makes the oldest `count` pending writes durable and drops the others.
    fn keep_pending(&mut self, count: usize) {
        let pending = std::mem::take(&mut self.pending);
        for (_, write) in pending.into_iter().take(count) {
            self.apply(write);
        }
    }

    /// Makes all writes up to a sequence number durable.
    fn sync(&mut self, seq: u64) {
        while self.pending.first().is_some_and(|(at, _)| *at <= seq) {
            let (_, write) = self.pending.remove(0);
            self.apply(write);
        }
    }
}

/// A scheduled event. The first number is the host's index, the second its incarnation.
enum Event {
    Input(usize, u64, Box<Input>),
    Synced(usize, u64, u64),
    Wake(usize, u64),
    Join(usize, Member),
    /// The host asks the next of these hosts to let the member leave.
    Leave(usize, MemberId, Vec<SocketAddr>),
    Listing(usize, u64),
    Resume(usize),
    /// The host's request for the feed, identified by the receiver and the ticket, has timed out.
    FeedTimeout(usize, (usize, Ticket)),
}

/// The core of a host: a member of the group, or a process without a disk.
enum HostCore {
    Member(Box<Govern<MessagePack>>),
    Mirror(Box<Mirror>),
}

impl Core for HostCore {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match self {
            Self::Member(core) => core.step(now, input, out),
            Self::Mirror(core) => core.step(now, input, out),
        }
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        match self {
            Self::Member(core) => core.wake(now, out),
            Self::Mirror(core) => core.wake(now, out),
        }
    }

    fn deadline(&self) -> Option<Tick> {
        match self {
            Self::Member(core) => core.deadline(),
            Self::Mirror(core) => core.deadline(),
        }
    }
}

impl Event {
    fn host(&self) -> usize {
        match self {
            Self::Input(n, ..)
            | Self::Synced(n, ..)
            | Self::Wake(n, _)
            | Self::Join(n, _)
            | Self::Leave(n, ..)
            | Self::Listing(n, _)
            | Self::Resume(n)
            | Self::FeedTimeout(n, _) => *n,
        }
    }
}

/// The hosts. Host `n` has the address 10.0.0.n:1. The first three bootstrap the group.
pub(crate) struct Group {
    /// By how many milliseconds a host's time of day is off at its next start.
    pub(crate) skews: BTreeMap<usize, i64>,
    /// Virtual time, in microseconds.
    now: u64,
    serial: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    cores: Vec<Option<HostCore>>,
    /// Hosts without a disk.
    mirrors: BTreeSet<usize>,
    /// Requests for the feed in progress, by receiver and ticket: the sender and its incarnation.
    feeds: BTreeMap<(usize, Ticket), (usize, u64)>,
    disks: Vec<Disk>,
    /// How often each host was started or stopped. An event for an earlier incarnation is dropped.
    incarnations: Vec<u64>,
    /// Events that reach a suspended host only when it resumes.
    suspended: BTreeMap<usize, Vec<Event>>,
    /// Pairs of sender and receiver whose messages are lost.
    blocked_links: BTreeSet<(usize, usize)>,
    replies: BTreeMap<(usize, Ticket), Reply>,
    /// Reports of usage windows: the host, its fencing term and the statement.
    pub(crate) reports: Vec<(usize, u64, Statement)>,
    /// The events of each host.
    pub(crate) logged: Vec<(usize, govern::Event)>,
    /// When each of the reports was made, in microseconds.
    reported_at: Vec<u64>,
    /// Time for which a new leader does not report.
    report_delay: Duration,
    /// How often each host read the platform's listing.
    pub(crate) listing_reads: Vec<usize>,
    /// The content of the platform's listing.
    pub(crate) listing: Vec<u8>,
    /// Whether the platform's listing can be read.
    pub(crate) listing_available: bool,
    /// Whether the platform accepts reports.
    pub(crate) accepts_reports: bool,
    /// Time until the platform responds to a report, in microseconds.
    pub(crate) report_time: u64,
    /// Whether hosts report writes as synced before the disk has synced them. The protocol forbids it.
    pub(crate) skip_sync: bool,
    /// Bounds on what each host keeps.
    pub(crate) limits: Limits,
    /// How many voters may fail at once.
    pub(crate) tolerated: usize,
    /// Requests to leave in progress, by receiver and ticket: the sender and the hosts to ask next.
    leaves: BTreeMap<(usize, Ticket), (usize, MemberId, Vec<SocketAddr>)>,
    /// Whether each host that asked to leave was removed from the group.
    left: BTreeMap<usize, bool>,
    /// Bytes that each installed plan has besides its version.
    pub(crate) padding: usize,
    /// The account of the requests in tallies.
    pub(crate) account: String,
    /// The last identity given to a host with an empty disk.
    last_id: u64,
}

/// The version of a plan without services. All other plans have the service `s`.
pub(crate) const EMPTY_PLAN: u64 = 9;

fn rollout_options() -> RolloutOptions {
    RolloutOptions {
        limits: rollout::Limits {
            share: 0.1,
            slack: 50,
            rollback: Duration::from_secs(5),
        },
        services: |document| {
            let service = rollout::Service {
                name: "s".to_owned(),
                timeout: Duration::from_secs(4),
            };
            let empty = document.trim_ascii() == EMPTY_PLAN.to_string().as_bytes();
            Some(Vec::from_iter((!empty).then_some(service)))
        },
    }
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
    /// Bootstraps a group of three hosts and waits until one of them leads.
    pub(crate) fn bootstrap() -> Self {
        Self::bootstrap_with(REPORT_DELAY)
    }

    /// As [`Group::bootstrap`], with another time for which a new leader does not report.
    pub(crate) fn bootstrap_with(report_delay: Duration) -> Self {
        let mut group = Self {
            skews: BTreeMap::new(),
            now: 1_000_000,
            serial: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            cores: Vec::new(),
            mirrors: BTreeSet::new(),
            feeds: BTreeMap::new(),
            disks: Vec::new(),
            incarnations: Vec::new(),
            suspended: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            replies: BTreeMap::new(),
            reports: Vec::new(),
            logged: Vec::new(),
            reported_at: Vec::new(),
            report_delay,
            listing_reads: Vec::new(),
            listing: b"list".to_vec(),
            listing_available: true,
            accepts_reports: true,
            report_time: HOP_US,
            skip_sync: false,
            limits: limits(),
            tolerated: 1,
            leaves: BTreeMap::new(),
            left: BTreeMap::new(),
            padding: 0,
            account: "ana".to_owned(),
            last_id: 100,
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
            group.incarnations.push(0);
            group.listing_reads.push(0);
            group.disks.push(Disk {
                id: n + 1,
                records: vec![first.clone()],
                ..Disk::default()
            });
        }
        (0..3).for_each(|n| group.start(n));
        group.advance(3000);
        group
    }

    /// Adds a host with an empty disk. Returns its index.
    pub(crate) fn add(&mut self) -> usize {
        self.cores.push(None);
        self.incarnations.push(0);
        self.listing_reads.push(0);
        self.disks.push(Disk::default());
        let n = self.cores.len() - 1;
        self.wipe(n);
        self.start(n);
        n
    }

    /// Adds a host without a disk, whose only seed is host 0. Returns its index.
    pub(crate) fn add_mirror(&mut self) -> usize {
        self.mirrors.insert(self.cores.len());
        self.add()
    }

    fn start_mirror(&mut self, n: usize) {
        self.incarnations[n] += 1;
        let options = MirrorOptions {
            id: SubscriberId {
                host: format!("m{n}").as_str().try_into().unwrap(),
                kind: SubscriberKind::Distributor,
                incarnation: Incarnation(self.incarnations[n]),
            },
            distributor: Distributor {
                address: address(n),
                zone: String::new(),
            },
            seeds: vec![address(0)],
        };
        self.cores[n] = Some(HostCore::Mirror(Box::new(Mirror::new(options))));
        self.schedule(0, Event::Wake(n, self.incarnations[n]));
    }

    /// Starts a host from its disk, if it has one.
    pub(crate) fn start(&mut self, n: usize) {
        if self.mirrors.contains(&n) {
            return self.start_mirror(n);
        }
        let disk = &self.disks[n];
        let mut saved = DurableState::new(disk.meta.clone(), disk.state.clone());
        disk.records
            .iter()
            .for_each(|record| saved.replay(record.clone()));
        self.incarnations[n] += 1;
        let options = Options {
            node: agree::NodeConfig {
                id: MemberId(disk.id),
                timing: Timing::default(),
                promotion: PromotionPolicy::KeepOdd,
                limits: self.limits,
                rng_seed: disk.id * 31 + self.incarnations[n],
            },
            unix_ms: (1_700_000_000_000 + self.now / 1000)
                .saturating_add_signed(self.skews.get(&n).copied().unwrap_or(0)),
            usage_window: Duration::from_secs(5),
            plan: Some(PlanOptions {
                member: member(n, disk.id, Stage::Learner),
                zone: String::new(),
                incarnation: Incarnation(self.incarnations[n]),
                usage_window: Duration::from_secs(5),
                tolerated: self.tolerated,
                report_delay: self.report_delay,
                rollouts: Some(rollout_options()),
            }),
        };
        let core = Govern::new(Tick(self.now), options, MessagePack, saved).unwrap();
        self.cores[n] = Some(HostCore::Member(Box::new(core)));
        self.schedule(0, Event::Wake(n, self.incarnations[n]));
    }

    /// Kills a host's process. Its writes stay on the disk, synced or not.
    pub(crate) fn crash(&mut self, n: usize) {
        self.lose_power(n, usize::MAX);
    }

    /// Cuts a host's power. Of the writes not synced, the oldest `kept` stay.
    pub(crate) fn lose_power(&mut self, n: usize, kept: usize) {
        self.cores[n] = None;
        self.incarnations[n] += 1;
        self.suspended.remove(&n);
        self.disks[n].keep_pending(kept);
    }

    /// Suspends a host for a number of milliseconds. Events in this time reach it when it resumes.
    pub(crate) fn suspend(&mut self, n: usize, millis: u64) {
        if self.cores[n].is_some() && !self.suspended.contains_key(&n) {
            self.suspended.insert(n, Vec::new());
            self.schedule(millis * 1000, Event::Resume(n));
        }
    }

    /// Empties a stopped host's disk and gives it a new identity.
    pub(crate) fn wipe(&mut self, n: usize) {
        self.last_id += 1;
        self.disks[n] = Disk {
            id: self.last_id,
            records: vec![Record::default()],
            ..Disk::default()
        };
    }

    /// Empties a stopped host's disk without giving it a new identity. The protocol forbids it.
    pub(crate) fn wipe_keeping_identity(&mut self, n: usize) {
        let disk = &mut self.disks[n];
        *disk = Disk {
            id: disk.id,
            records: vec![Record::default()],
            ..Disk::default()
        };
    }

    /// Drops messages between a host and all others, in both directions.
    pub(crate) fn isolate(&mut self, n: usize) {
        for other in 0..self.cores.len() {
            self.blocked_links.extend([(n, other), (other, n)]);
        }
    }

    /// Drops messages between some hosts and all others, in both directions.
    pub(crate) fn partition(&mut self, side: &[usize]) {
        for other in (0..self.cores.len()).filter(|n| !side.contains(n)) {
            for n in side {
                self.blocked_links.extend([(*n, other), (other, *n)]);
            }
        }
    }

    /// Drops messages from one host to another.
    pub(crate) fn block_one_way(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Ends all message loss.
    pub(crate) fn heal(&mut self) {
        self.blocked_links.clear();
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Advances the virtual clock by a number of milliseconds.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now + millis * 1000;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at.max(self.now);
            if let Some(event) = self.events.remove(&serial) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        if let Event::Resume(n) = event {
            let deferred = self.suspended.remove(&n).unwrap_or_default();
            deferred.into_iter().for_each(|event| self.handle(event));
            return;
        }
        if let Some(deferred) = self.suspended.get_mut(&event.host()) {
            deferred.push(event);
            return;
        }
        match event {
            Event::Synced(n, incarnation, seq) if self.incarnations[n] == incarnation => {
                self.disks[n].sync(seq);
                if !self.skip_sync {
                    self.step(n, Some(Input::Synced(seq)));
                }
            }
            Event::Input(n, incarnation, input) if self.incarnations[n] == incarnation => {
                self.step(n, Some(*input))
            }
            Event::Wake(n, incarnation) if self.incarnations[n] == incarnation => {
                let deadline = self.cores[n].as_ref().and_then(Core::deadline);
                if deadline.is_some_and(|at| at.0 <= self.now) {
                    self.step(n, None);
                }
            }
            Event::FeedTimeout(_, request) => {
                self.finish_feed(request, Err(FeedError::Unreachable(Vec::new())));
            }
            Event::Join(n, member) => {
                self.request(n, Request::Join(member));
            }
            Event::Leave(n, id, hosts) => self.ask_to_leave(n, id, hosts),
            Event::Listing(n, incarnation)
                if self.incarnations[n] == incarnation && self.listing_available =>
            {
                let pages = vec![ByteBuf::from(self.listing.clone())];
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
            self.schedule(
                at.0.saturating_sub(self.now),
                Event::Wake(n, self.incarnations[n]),
            );
        }
    }

    fn perform(&mut self, n: usize, output: Output) {
        let incarnation = self.incarnations[n];
        match output {
            Output::Persist(seq, record) => self.write(n, seq, Write::Append(record)),
            Output::Rotate(seq, meta, state, record) => {
                self.write(n, seq, Write::Rotate(meta, state, record));
            }
            Output::Send(to, at, message) => {
                let other = self.index(at);
                if self.blocked_links.contains(&(n, other)) || self.cores[other].is_none() {
                    return;
                }
                let envelope = Envelope {
                    from: MemberId(self.disks[n].id),
                    address: address(n),
                    to,
                    messages: vec![message],
                };
                let incarnation = self.incarnations[other];
                self.schedule(
                    HOP_US,
                    Event::Input(other, incarnation, Box::new(Input::Envelope(envelope))),
                );
            }
            Output::Reply(ticket, reply) if self.feeds.contains_key(&(n, ticket)) => {
                let result = match reply {
                    Reply::Feed(mut reply) => {
                        reply.deployment.ttl = Some(VIEW_TTL);
                        Ok(reply)
                    }
                    Reply::NotLeader(leader) => Err(FeedError::NotLeader(leader)),
                    _ => Err(FeedError::Unreachable(Vec::new())),
                };
                self.finish_feed((n, ticket), result);
            }
            Output::Reply(ticket, reply) if self.leaves.contains_key(&(n, ticket)) => {
                let leave = self.leaves.remove(&(n, ticket));
                let Some((from, id, hosts)) = leave else {
                    return;
                };
                match reply {
                    Reply::Member(result) if !self.blocked_links.contains(&(n, from)) => {
                        self.left.insert(from, result.is_ok());
                    }
                    _ => self.schedule(LEAVE_PAUSE_US, Event::Leave(from, id, hosts)),
                }
            }
            Output::RequestLeave(id, hosts) => self.ask_to_leave(n, id, hosts),
            Output::Reply(ticket, reply) => {
                self.replies.insert((n, ticket), reply);
            }
            Output::RequestFeed(to, request) => self.request_feed(n, to, *request),
            Output::DeliverStatement(statement, lease) => {
                let window = statement.window;
                self.reports.push((n, lease.term.0, statement));
                self.reported_at.push(self.now);
                let delivered = Input::StatementDelivered(window, self.accepts_reports);
                let event = Event::Input(n, incarnation, Box::new(delivered));
                self.schedule(self.report_time, event);
            }
            Output::FetchListing => {
                self.listing_reads[n] += 1;
                self.schedule(HOP_US, Event::Listing(n, incarnation));
            }
            Output::RequestJoin(member, _) => {
                for other in 0..self.cores.len() {
                    let reachable = other != n && !self.blocked_links.contains(&(n, other));
                    if reachable && self.cores[other].is_some() {
                        self.schedule(HOP_US, Event::Join(other, member.clone()));
                    }
                }
            }
            Output::Event(event) => self.logged.push((n, event)),
            Output::DeliverWindow(..) => {}
        }
    }

    /// Sends a distributor's request. It times out if the receiver is stopped or unreachable.
    fn request_feed(&mut self, n: usize, to: SocketAddr, request: FeedRequest) {
        let other = self.index(to);
        self.serial += 1;
        let ticket = Ticket(self.serial);
        self.feeds
            .insert((other, ticket), (n, self.incarnations[n]));
        self.schedule(FEED_TIMEOUT_US, Event::FeedTimeout(n, (other, ticket)));
        if !self.blocked_links.contains(&(n, other)) {
            let input = Input::Request(ticket, Request::Feed(Box::new(request)));
            let incarnation = self.incarnations[other];
            self.schedule(HOP_US, Event::Input(other, incarnation, Box::new(input)));
        }
    }

    /// Passes the result of a distributor's request to it, unless the request has ended or the
    /// response is lost.
    fn finish_feed(&mut self, request: (usize, Ticket), result: Result<Box<FeedReply>, FeedError>) {
        let lost = self
            .feeds
            .get(&request)
            .is_none_or(|(n, _)| result.is_ok() && self.blocked_links.contains(&(request.0, *n)));
        if lost {
            return;
        }
        if let Some((n, incarnation)) = self.feeds.remove(&request) {
            let input = Box::new(Input::Feed(result));
            self.schedule(HOP_US, Event::Input(n, incarnation, input));
        }
    }

    /// Sends the first of these hosts a request to leave. The next one is asked after a reply that
    /// decides nothing, or a timeout.
    fn ask_to_leave(&mut self, n: usize, id: MemberId, mut hosts: Vec<SocketAddr>) {
        if hosts.is_empty() || self.cores[n].is_none() {
            self.left.insert(n, false);
            return;
        }
        hosts.rotate_left(1);
        let other = self.index(*hosts.last().unwrap());
        if self.blocked_links.contains(&(n, other)) || self.cores[other].is_none() {
            return self.schedule(LEAVE_TIMEOUT_US, Event::Leave(n, id, hosts));
        }
        self.serial += 1;
        let ticket = Ticket(self.serial);
        self.leaves.insert((other, ticket), (n, id, hosts));
        let input = Box::new(Input::Request(ticket, Request::Leave(id)));
        let incarnation = self.incarnations[other];
        self.schedule(HOP_US, Event::Input(other, incarnation, input));
    }

    /// Stops a host gracefully: it requests to leave the group, and ends. Returns whether it left.
    pub(crate) fn stop(&mut self, n: usize) -> bool {
        self.left.remove(&n);
        self.step(n, Some(Input::Leave));
        let end = self.now + LEAVE_WAIT_US;
        while self.now < end && !self.left.contains_key(&n) {
            self.advance(10);
        }
        self.crash(n);
        self.left.remove(&n).unwrap_or(false)
    }

    fn write(&mut self, n: usize, seq: u64, write: Write) {
        let incarnation = self.incarnations[n];
        self.disks[n].pending.push((seq, write));
        self.schedule(SYNC_US, Event::Synced(n, incarnation, seq));
        if self.skip_sync {
            self.schedule(
                0,
                Event::Input(n, incarnation, Box::new(Input::Synced(seq))),
            );
        }
    }

    fn index(&self, at: SocketAddr) -> usize {
        (0..self.cores.len()).find(|n| address(*n) == at).unwrap()
    }

    /// Sends a host a request. Its reply may arrive only after the clock has advanced.
    pub(crate) fn request(&mut self, n: usize, request: Request) -> (usize, Ticket) {
        self.serial += 1;
        let ticket = Ticket(self.serial);
        let input = Input::Request(ticket, request);
        match self.suspended.get_mut(&n) {
            Some(deferred) => deferred.push(Event::Input(n, self.incarnations[n], Box::new(input))),
            None => self.step(n, Some(input)),
        }
        (n, ticket)
    }

    /// Takes the reply to a request, if there is one.
    pub(crate) fn reply(&mut self, request: (usize, Ticket)) -> Option<Reply> {
        self.replies.remove(&request)
    }

    /// The host that holds a valid lease.
    pub(crate) fn leader(&self) -> Option<usize> {
        let now = Tick(self.now);
        let leads = |core: &Option<HostCore>| match core {
            Some(HostCore::Member(core)) => core.lease(now).is_some(),
            _ => false,
        };
        let leaders: Vec<_> = (0..self.cores.len())
            .filter(|n| leads(&self.cores[*n]))
            .collect();
        assert!(
            leaders.len() <= 1,
            "hosts {leaders:?} hold a lease at the same time"
        );
        leaders.first().copied()
    }

    /// Requests the leader, if there is one, to install a plan.
    fn request_install(&mut self, version: u64) -> Option<(usize, Ticket)> {
        let leader = self.leader()?;
        let mut bytes = version.to_string().into_bytes();
        bytes.resize(bytes.len() + self.padding, b' ');
        let document = Document {
            version,
            bytes: bytes.into(),
        };
        let install = Request::Command(Command::Install(document));
        Some(self.request(leader, install))
    }

    /// Installs a plan through the leader. Returns whether it was acknowledged within 300 ms.
    pub(crate) fn install(&mut self, version: u64) -> bool {
        let Some(request) = self.request_install(version) else {
            return false;
        };
        self.advance(300);
        matches!(self.reply(request), Some(Reply::Outcome(_)))
    }

    /// As [`Self::install`], but returns as soon as the plan is acknowledged.
    pub(crate) fn install_until_acknowledged(&mut self, version: u64) -> bool {
        let Some(request) = self.request_install(version) else {
            return false;
        };
        let end = self.now + 300_000;
        while self.now < end && !self.replies.contains_key(&request) {
            self.advance(1);
        }
        matches!(self.reply(request), Some(Reply::Outcome(_)))
    }

    /// Reads the plan's version through a host, with a leader's confirmation.
    pub(crate) fn read(&mut self, n: usize) -> Option<u64> {
        let request = self.request(n, Request::Document);
        self.advance(1000);
        match self.reply(request) {
            Some(Reply::Document(document)) => document.map(|document| document.version),
            _ => None,
        }
    }

    /// Polls a host for the deployment as a front that holds no deployment and the given version of
    /// the directory.
    pub(crate) fn deployment(&mut self, n: usize, directory: u64) -> Option<DeploymentReply> {
        let front = SubscriberId {
            host: "front".try_into().unwrap(),
            kind: SubscriberKind::Entry,
            incarnation: Incarnation(1),
        };
        let held = DeploymentVersions {
            generation: 0,
            directory,
            quarantine: 0,
            rollouts: 0,
        };
        let request = self.request(
            n,
            Request::Deployment(front, held, Duration::from_millis(150)),
        );
        self.advance(300);
        match self.reply(request) {
            Some(Reply::Deployment(reply)) => Some(*reply),
            _ => None,
        }
    }

    /// The last entry of a host's log.
    pub(crate) fn log_end(&mut self, n: usize) -> u64 {
        let request = self.request(n, Request::Status);
        match self.reply(request) {
            Some(Reply::Status(status)) => status.node.last.0,
            _ => 0,
        }
    }

    /// The commit index of a host.
    pub(crate) fn committed(&mut self, n: usize) -> u64 {
        let request = self.request(n, Request::Status);
        match self.reply(request) {
            Some(Reply::Status(status)) => status.node.commit.0,
            _ => 0,
        }
    }

    /// The voters in a host's view of the group, by index and sorted.
    pub(crate) fn voters(&mut self, n: usize) -> Vec<usize> {
        let request = self.request(n, Request::Status);
        let Some(Reply::Status(status)) = self.reply(request) else {
            return Vec::new();
        };
        let voters = status.members.iter().filter(|m| m.stage == Stage::Voter);
        let mut numbers: Vec<_> = voters
            .filter(|m| self.disks.iter().any(|disk| MemberId(disk.id) == m.id))
            .map(|m| self.index(m.address))
            .collect();
        numbers.sort_unstable();
        numbers
    }

    /// The address of a host.
    pub(crate) fn address_of(&self, n: usize) -> SocketAddr {
        address(n)
    }

    /// Sends the leader a front's tally: windows with their counts of requests.
    pub(crate) fn tally(&mut self, host: &str, windows: &[(u64, u64)]) {
        if let Some(leader) = self.leader() {
            self.tally_at(leader, host, windows);
        }
    }

    /// Sends a host a front's tally: windows with their counts of requests.
    pub(crate) fn tally_at(&mut self, n: usize, host: &str, windows: &[(u64, u64)]) {
        let reporter = usage::Reporter {
            host: host.to_owned(),
            incarnation: 1,
        };
        let account = self.account.clone();
        let runs = |count: u64| [(account.clone(), count)].into();
        let windows = windows
            .iter()
            .map(|(window, count)| (*window, runs(*count)));
        self.request(n, Request::Tally((reporter, windows.collect())));
    }

    /// The last window that a host knows to be sealed.
    pub(crate) fn last_sealed(&mut self, n: usize) -> Option<u64> {
        let reporter = usage::Reporter {
            host: "reader".to_owned(),
            incarnation: 1,
        };
        let request = self.request(n, Request::Tally((reporter, Vec::new())));
        match self.reply(request) {
            Some(Reply::LastSealed(last)) => last,
            _ => None,
        }
    }

    /// Two consecutive reports that break the rule of one holder at a time: the later one has a
    /// lower fencing term, or comes from another host too soon or under the same term. For each, the
    /// host, its term and the time in microseconds.
    pub(crate) fn reports_in_turn(&self) -> Option<[(usize, u64, u64); 2]> {
        let times = self.reported_at.iter();
        let reports: Vec<_> = self.reports.iter().zip(times).collect();
        let pairs = reports.windows(2).map(|pair| {
            let [a, b] = [pair[0], pair[1]].map(|((n, term, _), at)| (*n, *term, *at));
            [a, b]
        });
        let delay = u64::try_from(REPORT_DELAY.as_micros()).unwrap();
        pairs.into_iter().find(|[a, b]| {
            let passed_on = a.0 != b.0;
            b.1 < a.1 || passed_on && (b.1 == a.1 || b.2 - a.2 < delay)
        })
    }

    /// The number of the current usage window.
    pub(crate) fn window(&self) -> u64 {
        self.unix_ms() / 5000
    }

    /// Unix time, in milliseconds.
    pub(crate) fn unix_ms(&self) -> u64 {
        1_700_000_000_000 + self.now / 1000
    }

    /// Bytes of log in a host's memory, and bytes on its disk, including writes that are not synced.
    pub(crate) fn sizes(&mut self, n: usize) -> (usize, usize) {
        let request = self.request(n, Request::Status);
        let memory = match self.reply(request) {
            Some(Reply::Status(status)) => status.log_bytes,
            _ => 0,
        };
        let disk = &self.disks[n];
        let records = disk.records.iter().map(Record::size).sum::<usize>();
        let pending = disk.pending.iter().map(|(_, write)| match write {
            Write::Append(record) => record.size(),
            Write::Rotate(_, state, record) => state.len() + record.size(),
        });
        (memory, disk.state.len() + records + pending.sum::<usize>())
    }

    /// Log entries in a host's memory.
    pub(crate) fn log_entries(&mut self, n: usize) -> usize {
        let request = self.request(n, Request::Status);
        match self.reply(request) {
            Some(Reply::Status(status)) => status.log_entries,
            _ => 0,
        }
    }
}
