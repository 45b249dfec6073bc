//! A simulated cluster: real nodes on a virtual clock, with simulated disks, links and faults.
//!
//! The checker records a violation if two nodes commit different entries at one index, if two nodes
//! hold a lease at the same true time, if an acknowledged entry is lost, or if a node keeps more
//! bytes in memory or on its disk than its limits allow.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet,
    BinaryHeap, //
};
use std::time::Duration;

use agree::{
    Body,
    DurableState,
    Entry,
    Limits,
    Member,
    MemberChange,
    MemberId,
    Message,
    Node,
    NodeConfig,
    Output,
    PromotionPolicy,
    Record,
    SnapshotMeta,
    Stage,
    Timing, //
};
use ids::{
    Index,
    Term,
    Tick, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use step::Outbox;

/// A bug injected on purpose, to show that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    /// Reports records as synced before they are written, so that a crash loses them.
    SkipSync,
    /// Uses a lease that is longer than the election timeout.
    LongLease,
    /// Restarts a member with a wiped disk under its old identity.
    ReuseIdentity,
    /// Compacts the log by the number of its entries only.
    UnboundedLog,
}

/// One injected fault or one request of a history. Member numbers are taken modulo the group's
/// size.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Propose,
    /// Proposes this many commands of `LARGE_BYTES`, a few milliseconds apart.
    ProposeLarge(usize),
    Crash(usize),
    Restart(usize),
    /// Restarts all members at once, except the first `n % 3`.
    RestartAll(usize),
    /// Wipes a member's disk and replaces the member by a new one.
    WipeDisk(usize),
    /// Pauses a process for this many milliseconds.
    Pause(usize, u64),
    /// Cuts all links from and to a member.
    Isolate(usize),
    /// Cuts the link from one member to another, but not the reverse.
    CutOneWay(usize, usize),
    HealNetwork,
    TransferLeadership,
    Compact(usize),
    /// Replaces a member by a new one.
    Replace(usize),
    /// Removes a member without a successor, if at least three remain.
    Depart(usize),
    /// Adds a member, up to seven.
    Arrive,
}

#[derive(Debug)]
enum Event {
    Deliver(MemberId, MemberId, Message),
    Synced(MemberId, u64, u64),
    Wake(MemberId),
    Resume(MemberId),
}

#[derive(Debug, Default)]
struct Disk {
    meta: SnapshotMeta,
    state: Vec<u8>,
    records: Vec<Record>,
    /// Writes that are not synced yet, with their sequence numbers; a crash may lose them.
    pending: Vec<(u64, Output)>,
}

struct Host {
    node: Option<Node>,
    disk: Disk,
    /// Clock rate in thousandths of true time.
    rate: u64,
    /// What the clock shows at true time zero, in microseconds.
    offset: u64,
    /// Counts the process's starts; a sync that an earlier process began is ignored.
    incarnation: u64,
    paused: bool,
    /// Events that arrived while the process was paused.
    deferred: Vec<Event>,
    /// The state machine: the commands applied so far, 8 bytes each.
    applied: Vec<u8>,
    commit: Index,
    /// Open read-index requests: token, and how many entries were acknowledged before.
    reads: BTreeMap<u64, usize>,
}

pub(crate) struct Cluster {
    rng: Pcg32,
    bug: InjectedBug,
    /// True time in microseconds.
    now: u64,
    hosts: BTreeMap<MemberId, Host>,
    /// The current members, in the order in which they were added.
    order: Vec<MemberId>,
    /// Scheduled events: due time and serial number.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    /// Blocked links: sender and receiver.
    cut_links: BTreeSet<(MemberId, MemberId)>,
    /// The first entry that any node committed at each index.
    committed: BTreeMap<Index, (Term, Body)>,
    /// Commands that were acknowledged to the client.
    acked: Vec<(Index, Vec<u8>)>,
    /// Commands that a leader accepted, by term and index.
    proposed: BTreeMap<(Term, Index), Vec<u8>>,
    next_id: u64,
    pub(crate) violations: Vec<String>,
}

/// The size of a command that the state machine applies, in bytes.
const COMMAND_BYTES: usize = 8;
/// The size of the padding of a large command, in bytes.
const LARGE_BYTES: usize = 16 * 1024;
/// Most bytes of entries that a member receives at once.
const BATCH_BYTES: usize = 256 * 1024;

fn limits() -> Limits {
    Limits::new(4 << 20, 2 << 20)
}

/// The range of clock rates; the drift that leases tolerate is 5 %.
const CLOCK_RATE_PERMILLE: std::ops::RangeInclusive<u64> = 950..=1050;

impl Cluster {
    pub(crate) fn new(size: u64, seed: u64, bug: InjectedBug) -> Self {
        let mut cluster = Self {
            rng: Pcg32::seed_from_u64(seed),
            bug,
            now: 0,
            hosts: BTreeMap::new(),
            order: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            cut_links: BTreeSet::new(),
            committed: BTreeMap::new(),
            acked: Vec::new(),
            proposed: BTreeMap::new(),
            next_id: size + 1,
            violations: Vec::new(),
        };
        let group: Vec<_> = (1..=size).map(|id| member(id, Stage::Voter)).collect();
        for id in 1..=size {
            let meta = SnapshotMeta {
                index: Index(0),
                term: Term(0),
                members: group.clone(),
            };
            cluster.add_host(MemberId(id), meta);
        }
        cluster
    }

    fn add_host(&mut self, id: MemberId, meta: SnapshotMeta) {
        let host = Host {
            node: None,
            disk: Disk {
                meta,
                ..Disk::default()
            },
            rate: self.rng.random_range(CLOCK_RATE_PERMILLE),
            offset: self.rng.random_range(0..10_000_000),
            incarnation: 0,
            paused: false,
            deferred: Vec::new(),
            applied: Vec::new(),
            commit: Index(0),
            reads: BTreeMap::new(),
        };
        self.hosts.insert(id, host);
        self.order.push(id);
        self.start(id);
    }

    fn pick(&self, n: usize) -> MemberId {
        self.order[n % self.order.len()]
    }

    fn clock(&self, id: MemberId) -> Tick {
        let host = &self.hosts[&id];
        Tick(host.offset + self.now * host.rate / 1000)
    }

    /// The true time, in microseconds, at which a host's clock shows `tick`.
    fn true_time(&self, id: MemberId, tick: Tick) -> u64 {
        let host = &self.hosts[&id];
        (tick.0.saturating_sub(host.offset) * 1000).div_ceil(host.rate)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at.max(self.now), self.serial)));
        self.events.insert(self.serial, event);
    }

    fn start(&mut self, id: MemberId) {
        let random = self.rng.random();
        let now = self.clock(id);
        let mut timing = Timing::default();
        if self.bug == InjectedBug::LongLease {
            timing.lease = Duration::from_millis(3000);
        }
        let host = self.hosts.get_mut(&id).unwrap();
        let mut saved = DurableState::new(host.disk.meta.clone(), host.disk.state.clone());
        host.disk
            .records
            .iter()
            .for_each(|record| saved.replay(record.clone()));
        host.commit = saved.meta.index;
        host.applied = saved.state.to_vec();
        host.incarnation += 1;
        host.paused = false;
        host.deferred.clear();
        host.reads.clear();
        let config = NodeConfig {
            id,
            timing,
            promotion: PromotionPolicy::All,
            limits: match self.bug {
                InjectedBug::UnboundedLog => Limits::new(usize::MAX, usize::MAX),
                _ => limits(),
            },
            rng_seed: random,
        };
        host.node = Some(Node::new(now, config, saved));
        self.schedule_wake(id);
    }

    fn schedule_wake(&mut self, id: MemberId) {
        let deadline = self.hosts[&id].node.as_ref().and_then(Node::deadline);
        if let Some(deadline) = deadline {
            let at = self.true_time(id, deadline).max(self.now + 1);
            self.schedule(at, Event::Wake(id));
        }
    }

    fn crash(&mut self, id: MemberId) {
        let kept_records = self.rng.random_range(0..=2);
        let host = self.hosts.get_mut(&id).unwrap();
        host.node = None;
        // A crash keeps a prefix of the unsynced writes.
        let pending = std::mem::take(&mut host.disk.pending);
        if self.bug != InjectedBug::SkipSync {
            pending
                .into_iter()
                .take(kept_records)
                .for_each(|(_, output)| host.disk.write(output));
        }
    }

    pub(crate) fn perform(&mut self, action: &Action) {
        match action {
            Action::Propose => self.propose(0),
            Action::ProposeLarge(count) => {
                for _ in 0..*count {
                    self.propose(LARGE_BYTES);
                    self.run_until(self.now + 8_000);
                }
            }
            Action::Crash(n) => self.crash(self.pick(*n)),
            Action::Restart(n) => {
                let id = self.pick(*n);
                if self.hosts[&id].node.is_none() {
                    self.start(id);
                }
            }
            Action::RestartAll(skipped) => {
                let order = self.order.clone();
                for id in order.into_iter().skip(skipped % 3) {
                    self.crash(id);
                    self.start(id);
                }
            }
            Action::WipeDisk(n) => self.wipe(*n),
            Action::Pause(n, ms) => {
                let id = self.pick(*n);
                if !self.hosts[&id].paused {
                    self.hosts.get_mut(&id).unwrap().paused = true;
                    self.schedule(self.now + ms * 1000, Event::Resume(id));
                }
            }
            Action::Isolate(n) => {
                let id = self.pick(*n);
                for other in self.order.clone() {
                    self.cut_links.extend([(id, other), (other, id)]);
                }
            }
            Action::CutOneWay(a, b) => {
                self.cut_links.insert((self.pick(*a), self.pick(*b)));
            }
            Action::HealNetwork => self.cut_links.clear(),
            Action::TransferLeadership => self.with_leader(|node, now, out| {
                node.transfer_leadership(now, out);
            }),
            Action::Compact(n) => {
                let id = self.pick(*n);
                self.with_node(id, |node, applied, _, out| {
                    node.compact(applied.to_vec(), out)
                });
            }
            Action::Replace(n) => self.replace(*n),
            Action::Depart(n) => {
                if self.order.len() > 3 {
                    self.remove(*n);
                }
            }
            Action::Arrive => {
                if self.order.len() < 7 {
                    self.add();
                }
            }
        }
    }

    fn leader(&self) -> Option<MemberId> {
        let leads = |id: &&MemberId| {
            let host = &self.hosts[*id];
            !host.paused
                && host
                    .node
                    .as_ref()
                    .is_some_and(|n| n.lease(self.clock(**id)).is_some())
        };
        self.order.iter().find(leads).copied()
    }

    fn with_leader(&mut self, f: impl FnOnce(&mut Node, Tick, &mut Outbox<Output>)) {
        if let Some(id) = self.leader() {
            self.with_node(id, |node, _, now, out| f(node, now, out));
        }
    }

    fn with_node(
        &mut self,
        id: MemberId,
        f: impl FnOnce(&mut Node, &[u8], Tick, &mut Outbox<Output>),
    ) {
        let now = self.clock(id);
        let host = self.hosts.get_mut(&id).unwrap();
        if host.paused {
            return;
        }
        let Some(mut node) = host.node.take() else {
            return;
        };
        let applied = host.applied.clone();
        let mut out = Outbox::default();
        f(&mut node, &applied, now, &mut out);
        self.hosts.get_mut(&id).unwrap().node = Some(node);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            self.handle_output(id, output);
        }
        self.schedule_wake(id);
        self.check_leases();
        self.compact_if_due(id);
        self.check_sizes(id);
    }

    fn compact_if_due(&mut self, id: MemberId) {
        let node = self.hosts[&id].node.as_ref();
        if node.is_some_and(Node::compaction_due) {
            self.with_node(id, |node, applied, _, out| {
                node.compact(applied.to_vec(), out)
            });
        }
    }

    /// Checks what a host keeps in memory and on its disk, including writes that are not synced.
    fn check_sizes(&mut self, id: MemberId) {
        let host = &self.hosts[&id];
        let Some(node) = &host.node else {
            return;
        };
        let limits = limits();
        let log_bound = limits.log + limits.pending + BATCH_BYTES;
        let records = host.disk.records.iter().map(Record::size);
        let journal: usize = records.sum();
        let waiting: usize = host.disk.pending.iter().map(|(_, out)| written(out)).sum();
        // A write may wait together with the journal that it replaces.
        let disk_bound = log_bound + 2 * (limits.pending + BATCH_BYTES) + host.applied.len();
        if node.log_bytes() > log_bound || journal + waiting > disk_bound {
            self.violations.push(format!(
                "{id} keeps {} bytes of log in memory, {journal} in its journal and {waiting} \
                 that are not synced",
                node.log_bytes()
            ));
        }
    }

    /// Proposes a random command, followed by `padding` bytes.
    fn propose(&mut self, padding: usize) {
        let mut data = self.rng.random::<u64>().to_le_bytes().to_vec();
        data.resize(COMMAND_BYTES + padding, 0);
        let Some(id) = self.leader() else {
            return;
        };
        let mut at = None;
        self.with_node(id, |node, _, now, out| {
            let term = node.status().term;
            at = node
                .propose(now, data.clone(), out)
                .ok()
                .map(|index| (term, index));
        });
        if let Some(at) = at {
            self.proposed.insert(at, data);
        }
    }

    /// Wipes a member's disk. The member is replaced under a new identity, and its disk is wiped
    /// only after the group has committed its removal; so at most one disk is lost at a time.
    /// [`InjectedBug::ReuseIdentity`] breaks both rules.
    fn wipe(&mut self, n: usize) {
        let id = self.pick(n);
        if self.bug == InjectedBug::ReuseIdentity {
            let meta = SnapshotMeta {
                members: (1..=self.order.len() as u64)
                    .map(|id| member(id, Stage::Voter))
                    .collect(),
                ..SnapshotMeta::default()
            };
            self.crash(id);
            let host = self.hosts.get_mut(&id).unwrap();
            host.disk = Disk {
                meta,
                ..Disk::default()
            };
            self.start(id);
            return;
        }
        self.replace(n);
    }

    /// Removes a member permanently and adds a new one under a new identity.
    fn replace(&mut self, n: usize) {
        if self.remove(n) {
            self.add();
        }
    }

    /// Removes a member permanently. Returns whether the group has committed its removal.
    fn remove(&mut self, n: usize) -> bool {
        let old = self.pick(n);
        let Some(leader) = self.leader().filter(|id| *id != old) else {
            return false;
        };
        let mut removed = None;
        self.with_node(leader, |node, _, now, out| {
            let all_vote = node.group().iter().all(|m| m.stage == Stage::Voter);
            let remove = MemberChange::Remove(old);
            removed = node
                .change_group(now, &remove, out)
                .ok()
                .filter(|_| all_vote);
        });
        self.run_until(self.now + 2_000_000);
        // The disk is destroyed only once the removal is committed, since until then a quorum may
        // need it.
        let committed = removed.and_then(|index| self.committed.get(&index));
        let removed_from = |group: &[Member]| group.iter().all(|m| m.id != old);
        if !matches!(committed, Some((_, Body::Members(group))) if removed_from(group)) {
            return false;
        }
        self.crash(old);
        self.hosts.remove(&old);
        self.order.retain(|id| *id != old);
        true
    }

    /// Adds a new member under a new identity.
    fn add(&mut self) {
        let id = MemberId(self.next_id);
        self.next_id += 1;
        self.add_host(id, SnapshotMeta::default());
        let add = MemberChange::Add(member(id.0, Stage::Learner));
        for _ in 0..10 {
            let mut done = false;
            self.with_leader(|node, now, out| done = node.change_group(now, &add, out).is_ok());
            self.run_until(self.now + 500_000);
            if done {
                return;
            }
        }
    }

    fn handle_output(&mut self, id: MemberId, output: Output) {
        match output {
            Output::Persist(seq, _) | Output::Rotate(seq, ..) => {
                let delay = self.rng.random_range(100..4_000);
                let incarnation = self.hosts[&id].incarnation;
                self.hosts
                    .get_mut(&id)
                    .unwrap()
                    .disk
                    .pending
                    .push((seq, output));
                let delay = if self.bug == InjectedBug::SkipSync {
                    0
                } else {
                    delay
                };
                self.schedule(self.now + delay, Event::Synced(id, incarnation, seq));
            }
            Output::Send(to, message) => self.send(id, to, message),
            Output::Apply(entry) => self.commit(id, entry),
            Output::Restore(meta, state) => {
                let host = self.hosts.get_mut(&id).unwrap();
                host.commit = meta.index;
                host.applied = state.to_vec();
            }
            Output::SnapshotRejected(size) => {
                self.violations
                    .push(format!("{id} rejected a snapshot of {size} bytes"));
            }
            Output::ReadIndex(token, index) => {
                let host = self.hosts.get_mut(&id).unwrap();
                if let Some(acked) = host.reads.remove(&token) {
                    let newest = self.acked[..acked].iter().map(|(index, _)| *index).max();
                    if newest > Some(index) {
                        self.violations.push(format!(
                            "{id} got read index {index}, below acknowledged {newest:?}"
                        ));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        if self.cut_links.contains(&(from, to)) || self.rng.random_range(0..100) < 2 {
            return;
        }
        let copies = if self.rng.random_range(0..100) < 2 {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let slow = self.rng.random_range(0..100) < 3;
            let delay = self.rng.random_range(200..2_000) + if slow { 400_000 } else { 0 };
            self.schedule(self.now + delay, Event::Deliver(from, to, message.clone()));
        }
    }

    fn commit(&mut self, id: MemberId, entry: Entry) {
        let host = self.hosts.get_mut(&id).unwrap();
        if entry.index != host.commit.next() {
            self.violations.push(format!(
                "{id} committed entry {} directly after {}",
                entry.index, host.commit
            ));
        }
        host.commit = entry.index;
        if let Body::Data(data) = &entry.body {
            host.applied.extend_from_slice(&data[..COMMAND_BYTES]);
        }
        let own = (entry.term, entry.body.clone());
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| own.clone());
        if *first != own {
            self.violations.push(format!(
                "{id} committed a different entry than other members at index {}",
                entry.index
            ));
        }
        let leads = self.hosts[&id].node.as_ref().is_none_or(Node::leads);
        if let Some(data) = self
            .proposed
            .get(&(entry.term, entry.index))
            .filter(|_| leads)
        {
            let acked = (entry.index, data.clone());
            if !self.acked.contains(&acked) {
                self.acked.push(acked);
            }
        }
    }

    fn check_leases(&mut self) {
        let holders: Vec<_> = self
            .order
            .iter()
            .filter(|id| {
                let node = self.hosts[*id].node.as_ref();
                node.is_some_and(|n| n.lease(self.clock(**id)).is_some())
            })
            .collect();
        if holders.len() > 1 {
            self.violations.push(format!(
                "two members hold a lease at {} us: {holders:?}",
                self.now
            ));
        }
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        let end = end.max(self.now);
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&serial).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let id = match &event {
            Event::Deliver(_, id, _)
            | Event::Synced(id, ..)
            | Event::Wake(id)
            | Event::Resume(id) => *id,
        };
        let Some(host) = self.hosts.get_mut(&id) else {
            return;
        };
        if let Event::Resume(_) = event {
            host.paused = false;
            let deferred = std::mem::take(&mut host.deferred);
            deferred.into_iter().for_each(|event| self.handle(event));
            self.schedule_wake(id);
            return;
        }
        if host.paused {
            host.deferred.push(event);
            return;
        }
        match event {
            Event::Deliver(from, _, message) => {
                self.with_node(id, |node, _, now, out| {
                    node.receive(now, from, message, out)
                });
            }
            Event::Synced(_, incarnation, seq)
                if incarnation == host.incarnation && host.node.is_some() =>
            {
                while let Some(at) = host.disk.pending.iter().position(|(s, _)| *s <= seq) {
                    if self.bug == InjectedBug::SkipSync && self.serial.is_multiple_of(3) {
                        break;
                    }
                    let (_, output) = host.disk.pending.remove(at);
                    host.disk.write(output);
                }
                self.with_node(id, |node, _, now, out| node.synced(now, seq, out));
            }
            Event::Wake(_) => {
                let now = self.clock(id);
                let due = self.hosts[&id].node.as_ref().and_then(Node::deadline);
                if due.is_some_and(|due| now >= due) {
                    self.with_node(id, |node, _, now, out| node.wake(now, out));
                }
            }
            _ => {}
        }
    }

    /// Starts a read-index request on a node, and records how many entries were acknowledged before
    /// it: the index in the response must cover them.
    pub(crate) fn read_index(&mut self, n: usize) {
        let id = self.pick(n);
        let acked = self.acked.len();
        let mut token = None;
        let now = self.clock(id);
        let host = self.hosts.get_mut(&id).unwrap();
        if host.paused {
            return;
        }
        let Some(node) = host.node.as_mut() else {
            return;
        };
        let mut out = Outbox::default();
        let request_token = node.read_index(now, &mut out);
        token.get_or_insert(request_token);
        host.reads.insert(request_token, acked);
        let outputs: Vec<_> = out.drain().collect();
        outputs
            .into_iter()
            .for_each(|output| self.handle_output(id, output));
    }

    /// Heals the network, restarts all crashed members, and checks that a leader is elected and
    /// that no acknowledged entry is lost.
    pub(crate) fn heal_and_check(&mut self) {
        self.cut_links.clear();
        for id in self.order.clone() {
            if self.hosts[&id].node.is_none() {
                self.start(id);
            }
        }
        self.run_until(self.now + 15_000_000);
        self.propose(0);
        self.run_until(self.now + 3_000_000);
        let Some(leader) = self.leader() else {
            let status = |id| {
                self.hosts[id]
                    .node
                    .as_ref()
                    .map(|n| (n.id(), n.status(), n.group().to_vec()))
            };
            let hosts: Vec<_> = self.order.iter().map(status).collect();
            self.violations.push(format!(
                "no leader 18 s after the network healed: {hosts:?}"
            ));
            return;
        };
        let commit = self.hosts[&leader].commit;
        for (index, data) in &self.acked {
            let kept = matches!(self.committed.get(index), Some((_, Body::Data(d))) if d == data);
            let applied = self.hosts[&leader]
                .applied
                .chunks(COMMAND_BYTES)
                .any(|chunk| chunk == &data[..COMMAND_BYTES]);
            if !kept || *index > commit || !applied {
                self.violations.push(format!(
                    "acknowledged entry {index} is missing on the leader"
                ));
            }
        }
    }

    pub(crate) fn acked(&self) -> usize {
        self.acked.len()
    }

    pub(crate) fn group_size(&self) -> usize {
        let leader = self.leader().expect("no leader holds a lease");
        self.hosts[&leader].node.as_ref().unwrap().group().len()
    }
}

impl Disk {
    fn write(&mut self, output: Output) {
        match output {
            Output::Persist(_, record) => self.records.push(record),
            Output::Rotate(_, meta, state, record) => {
                self.meta = meta;
                self.state = state.to_vec();
                self.records = vec![record];
            }
            _ => {}
        }
    }
}

/// The size of a write in bytes.
fn written(output: &Output) -> usize {
    match output {
        Output::Persist(_, record) => record.size(),
        Output::Rotate(_, _, state, record) => state.len() + record.size(),
        _ => 0,
    }
}

fn member(id: u64, stage: Stage) -> Member {
    Member {
        id: MemberId(id),
        host: "host".try_into().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        stage,
    }
}
