//! A handful of real nodes under a virtual clock, with disks, links and faults.
//!
//! The checker compares what all nodes ever committed and who ever held a lease at one true time.

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

/// A rule broken on purpose, to show that the checker notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sabotage {
    None,
    /// Says "synced" at once and loses everything not written by a crash.
    SkipSync,
    /// Holds the lease longer than followers keep to their leader.
    LongLease,
    /// Lets a wiped member come back under its old identity.
    ReuseIdentity,
}

/// One fault or request of a history; member numbers are taken modulo the group's size.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    Propose,
    Crash(usize),
    Restart(usize),
    /// Restarts all members but some, at once.
    RestartAll(usize),
    Wipe(usize),
    Pause(usize, u64),
    CutOff(usize),
    CutOneWay(usize, usize),
    Heal,
    HandOver,
    Compact(usize),
    Replace(usize),
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
    /// Written but not synced: what a crash loses.
    pending: Vec<(u64, Output)>,
}

struct Host {
    node: Option<Node>,
    disk: Disk,
    /// Clock rate in parts per thousand of true time, and offset in microseconds.
    rate: u64,
    offset: u64,
    run: u64,
    paused: bool,
    late: Vec<Event>,
    applied: Vec<u8>,
    commit: Index,
    asked: BTreeMap<u64, usize>,
}

pub(crate) struct World {
    rng: Pcg32,
    sabotage: Sabotage,
    now: u64,
    hosts: BTreeMap<MemberId, Host>,
    order: Vec<MemberId>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    cut: BTreeSet<(MemberId, MemberId)>,
    committed: BTreeMap<Index, (Term, Body)>,
    acked: Vec<(Index, Vec<u8>)>,
    proposed: BTreeMap<(Term, Index), Vec<u8>>,
    next_id: u64,
    pub(crate) faults: Vec<String>,
}

const DRIFT: std::ops::RangeInclusive<u64> = 950..=1050;

impl World {
    pub(crate) fn new(size: u64, seed: u64, sabotage: Sabotage) -> Self {
        let mut world = Self {
            rng: Pcg32::seed_from_u64(seed),
            sabotage,
            now: 0,
            hosts: BTreeMap::new(),
            order: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            cut: BTreeSet::new(),
            committed: BTreeMap::new(),
            acked: Vec::new(),
            proposed: BTreeMap::new(),
            next_id: size + 1,
            faults: Vec::new(),
        };
        let group: Vec<_> = (1..=size).map(|id| member(id, Stage::Voter)).collect();
        for id in 1..=size {
            let meta = SnapshotMeta {
                index: Index(0),
                term: Term(0),
                members: group.clone(),
            };
            world.add_host(MemberId(id), meta);
        }
        world
    }

    fn add_host(&mut self, id: MemberId, meta: SnapshotMeta) {
        let host = Host {
            node: None,
            disk: Disk {
                meta,
                ..Disk::default()
            },
            rate: self.rng.random_range(DRIFT),
            offset: self.rng.random_range(0..10_000_000),
            run: 0,
            paused: false,
            late: Vec::new(),
            applied: Vec::new(),
            commit: Index(0),
            asked: BTreeMap::new(),
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

    /// The true time at which a host's clock shows `tick`.
    fn true_time(&self, id: MemberId, tick: Tick) -> u64 {
        let host = &self.hosts[&id];
        (tick.0.saturating_sub(host.offset) * 1000).div_ceil(host.rate)
    }

    fn post(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at.max(self.now), self.serial)));
        self.events.insert(self.serial, event);
    }

    fn start(&mut self, id: MemberId) {
        let random = self.rng.random();
        let now = self.clock(id);
        let mut timing = Timing::default();
        if self.sabotage == Sabotage::LongLease {
            timing.lease = Duration::from_millis(3000);
        }
        let host = self.hosts.get_mut(&id).unwrap();
        let mut saved = DurableState::new(host.disk.meta.clone(), host.disk.state.clone());
        host.disk
            .records
            .iter()
            .for_each(|record| saved.replay(record.clone()));
        host.commit = saved.meta.index;
        host.applied = saved.state.clone();
        host.run += 1;
        host.paused = false;
        host.late.clear();
        host.asked.clear();
        let config = NodeConfig {
            id,
            timing,
            promotion: PromotionPolicy::All,
            rng_seed: random,
        };
        host.node = Some(Node::new(now, config, saved));
        self.schedule_wake(id);
    }

    fn schedule_wake(&mut self, id: MemberId) {
        let deadline = self.hosts[&id].node.as_ref().and_then(Node::deadline);
        if let Some(deadline) = deadline {
            let at = self.true_time(id, deadline).max(self.now + 1);
            self.post(at, Event::Wake(id));
        }
    }

    fn crash(&mut self, id: MemberId) {
        let keep_torn = self.rng.random_range(0..=2);
        let host = self.hosts.get_mut(&id).unwrap();
        host.node = None;
        // A crash may leave a prefix of what was written; never more than that.
        let pending = std::mem::take(&mut host.disk.pending);
        if self.sabotage != Sabotage::SkipSync {
            pending
                .into_iter()
                .take(keep_torn)
                .for_each(|(_, output)| host.disk.write(output));
        }
    }

    pub(crate) fn act(&mut self, act: &Act) {
        match act {
            Act::Propose => self.propose(),
            Act::Crash(n) => self.crash(self.pick(*n)),
            Act::Restart(n) => {
                let id = self.pick(*n);
                if self.hosts[&id].node.is_none() {
                    self.start(id);
                }
            }
            Act::RestartAll(spared) => {
                let order = self.order.clone();
                for id in order.into_iter().skip(spared % 3) {
                    self.crash(id);
                    self.start(id);
                }
            }
            Act::Wipe(n) => self.wipe(*n),
            Act::Pause(n, ms) => {
                let id = self.pick(*n);
                if !self.hosts[&id].paused {
                    self.hosts.get_mut(&id).unwrap().paused = true;
                    self.post(self.now + ms * 1000, Event::Resume(id));
                }
            }
            Act::CutOff(n) => {
                let id = self.pick(*n);
                for other in self.order.clone() {
                    self.cut.extend([(id, other), (other, id)]);
                }
            }
            Act::CutOneWay(a, b) => {
                self.cut.insert((self.pick(*a), self.pick(*b)));
            }
            Act::Heal => self.cut.clear(),
            Act::HandOver => self.with_leader(|node, now, out| {
                node.transfer_leadership(now, out);
            }),
            Act::Compact(n) => {
                let id = self.pick(*n);
                self.with_node(id, |node, applied, _, out| {
                    node.compact(applied.to_vec(), out)
                });
            }
            Act::Replace(n) => self.replace(*n),
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
            self.perform(id, output);
        }
        self.schedule_wake(id);
        self.check_leases();
    }

    fn propose(&mut self) {
        let data = self.rng.random::<u64>().to_le_bytes().to_vec();
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

    /// Wipes a host. Only one disk at a time may be lost, so a lost one is replaced first.
    fn wipe(&mut self, n: usize) {
        let id = self.pick(n);
        if self.sabotage == Sabotage::ReuseIdentity {
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

    /// Removes a member for good and adds a fresh one with a new identity.
    fn replace(&mut self, n: usize) {
        let old = self.pick(n);
        let Some(leader) = self.leader().filter(|id| *id != old) else {
            return;
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
        // A disk is given up only once the group no longer counts on it.
        let committed = removed.and_then(|index| self.committed.get(&index));
        let gone = |group: &[Member]| group.iter().all(|m| m.id != old);
        if !matches!(committed, Some((_, Body::Members(group))) if gone(group)) {
            return;
        }
        self.crash(old);
        self.hosts.remove(&old);
        self.order.retain(|id| *id != old);
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

    fn perform(&mut self, id: MemberId, output: Output) {
        match output {
            Output::Persist(seq, _) | Output::Rotate(seq, ..) => {
                let delay = self.rng.random_range(100..4_000);
                let run = self.hosts[&id].run;
                self.hosts
                    .get_mut(&id)
                    .unwrap()
                    .disk
                    .pending
                    .push((seq, output));
                let delay = if self.sabotage == Sabotage::SkipSync {
                    0
                } else {
                    delay
                };
                self.post(self.now + delay, Event::Synced(id, run, seq));
            }
            Output::Send(to, message) => self.send(id, to, message),
            Output::Apply(entry) => self.commit(id, entry),
            Output::Restore(meta, state) => {
                let host = self.hosts.get_mut(&id).unwrap();
                host.commit = meta.index;
                host.applied = state;
            }
            Output::ReadIndex(token, index) => {
                let host = self.hosts.get_mut(&id).unwrap();
                if let Some(acked) = host.asked.remove(&token) {
                    let newest = self.acked[..acked].iter().map(|(index, _)| *index).max();
                    if newest > Some(index) {
                        self.faults
                            .push(format!("{id} got a confirmation behind {newest:?}"));
                    }
                }
            }
        }
    }

    fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        if self.cut.contains(&(from, to)) || self.rng.random_range(0..100) < 2 {
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
            self.post(self.now + delay, Event::Deliver(from, to, message.clone()));
        }
    }

    fn commit(&mut self, id: MemberId, entry: Entry) {
        let host = self.hosts.get_mut(&id).unwrap();
        if entry.index != host.commit.next() {
            self.faults.push(format!(
                "{id} committed {} after {}",
                entry.index, host.commit
            ));
        }
        host.commit = entry.index;
        if let Body::Data(data) = &entry.body {
            host.applied.extend_from_slice(data);
        }
        let mine = (entry.term, entry.body.clone());
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| mine.clone());
        if *first != mine {
            self.faults
                .push(format!("{id} committed another entry at {}", entry.index));
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
            self.faults
                .push(format!("two leases at {} us: {holders:?}", self.now));
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
            let late = std::mem::take(&mut host.late);
            late.into_iter().for_each(|event| self.handle(event));
            self.schedule_wake(id);
            return;
        }
        if host.paused {
            host.late.push(event);
            return;
        }
        match event {
            Event::Deliver(from, _, message) => {
                self.with_node(id, |node, _, now, out| {
                    node.receive(now, from, message, out)
                });
            }
            Event::Synced(_, run, seq) if run == host.run && host.node.is_some() => {
                while let Some(at) = host.disk.pending.iter().position(|(s, _)| *s <= seq) {
                    if self.sabotage == Sabotage::SkipSync && self.serial.is_multiple_of(3) {
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

    /// Asks a node for a confirmation, and notes what was acknowledged before the question.
    pub(crate) fn ask(&mut self, n: usize) {
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
        let asked = node.read_index(now, &mut out);
        token.get_or_insert(asked);
        host.asked.insert(asked, acked);
        let outputs: Vec<_> = out.drain().collect();
        outputs
            .into_iter()
            .for_each(|output| self.perform(id, output));
    }

    /// Heals everything, restarts everyone and checks that nothing acknowledged is missing.
    pub(crate) fn settle(&mut self) {
        self.cut.clear();
        for id in self.order.clone() {
            if self.hosts[&id].node.is_none() {
                self.start(id);
            }
        }
        self.run_until(self.now + 15_000_000);
        self.propose();
        self.run_until(self.now + 3_000_000);
        let Some(leader) = self.leader() else {
            let stand = |id| {
                self.hosts[id]
                    .node
                    .as_ref()
                    .map(|n| (n.id(), n.status(), n.group().to_vec()))
            };
            let hosts: Vec<_> = self.order.iter().map(stand).collect();
            self.faults
                .push(format!("no leader after everything healed: {hosts:?}"));
            return;
        };
        let commit = self.hosts[&leader].commit;
        for (index, data) in &self.acked {
            let kept = matches!(self.committed.get(index), Some((_, Body::Data(d))) if d == data);
            let applied = self.hosts[&leader]
                .applied
                .chunks(8)
                .any(|chunk| chunk == data);
            if !kept || *index > commit || !applied {
                self.faults
                    .push(format!("acknowledged entry {index} is lost"));
            }
        }
    }

    pub(crate) fn acked(&self) -> usize {
        self.acked.len()
    }

    pub(crate) fn group_size(&self) -> usize {
        let leader = self.leader().expect("a leader");
        self.hosts[&leader].node.as_ref().unwrap().group().len()
    }
}

impl Disk {
    fn write(&mut self, output: Output) {
        match output {
            Output::Persist(_, record) => self.records.push(record),
            Output::Rotate(_, meta, state, record) => {
                self.meta = meta;
                self.state = state;
                self.records = vec![record];
            }
            _ => {}
        }
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
