//! The nodes of a scenario and the loop that steps them.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet,
    BinaryHeap,
    VecDeque, //
};
use std::time::Duration;

use admit::{
    Agent,
    Tiered, //
};
use agree::{
    MemberId,
    SnapshotMeta, //
};

use govern::{
    Envelope,
    Reply,
    Request, //
};
use ids::{
    RequestId,
    Revision,
    Ticket, //
};
use route::{
    AttemptOutcome,
    AttemptSpec,
    Entry,
    Input,
    PowerOfTwo, //
};

use crate::control::{
    Disk,
    Host, //
};
use crate::node::{
    Drift,
    Node, //
};
use crate::setup::{
    entry,
    first_configuration,
    member, //
};
use crate::verb::{
    Verb,
    VerbError, //
};

/// One way between two nodes, in microseconds.
pub(crate) const HOP: u64 = 1_000;
/// A sync of a disk, in microseconds.
pub(crate) const SYNC: u64 = 2_000;
/// How long a call of a plain service takes, in microseconds.
pub(crate) const SERVICE: u64 = 5_000;
/// How long a follower's question stays open.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(800);
/// After this time a follower asks another control host, in microseconds.
pub(crate) const POLL_PATIENCE: u64 = 1_600_000;
/// After this time a claim or a change is tried at another control host, in microseconds.
pub(crate) const CALL_PATIENCE: u64 = 400_000;
/// Pause after a host that knows no leader, in microseconds.
pub(crate) const PAUSE: u64 = 100_000;
/// Tries of a claim or a change.
pub(crate) const CALL_TRIES: u32 = 16;
/// Tries of a settlement, which an entry keeps up in the background.
pub(crate) const SETTLE_TRIES: u32 = 200;

#[derive(Debug)]
pub(crate) enum Event {
    Mail(usize, Envelope),
    Synced(usize, u64, u64),
    Wake(Node),
    Ask(usize, u64, Request),
    Answer(u64, Reply),
    Late(u64),
    Poll(Node),
    Attempt(usize, u64),
    Back(usize, RequestId, AttemptOutcome),
    Served(usize, u64),
}

/// Who waits for an answer of the control group.
#[derive(Clone, Debug)]
pub(crate) enum Waiter {
    View(Node, u64),
    Claim(usize, RequestId),
    Settle,
    Change(String),
}

#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) waiter: Waiter,
    pub(crate) question: Request,
    pub(crate) host: usize,
    pub(crate) tries: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) label: String,
    pub(crate) entry: usize,
    pub(crate) target: String,
    pub(crate) claim: Option<route::Claim>,
}

pub(crate) struct Flight {
    pub(crate) entry: usize,
    pub(crate) agent: usize,
    pub(crate) plan: AttemptSpec,
    pub(crate) target: String,
}

/// A scenario's nodes.
pub struct World {
    pub(crate) now: u64,
    pub(crate) serial: u64,
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) events: BTreeMap<u64, Event>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) entries: Vec<Entry<PowerOfTwo>>,
    pub(crate) agents: Vec<Agent<Tiered>>,
    pub(crate) drift: BTreeMap<Node, Drift>,
    pub(crate) cut: BTreeSet<(Node, Node)>,
    pub(crate) paused: BTreeMap<Node, VecDeque<Event>>,
    pub(crate) down: BTreeSet<Node>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) tickets: BTreeMap<(usize, Ticket), u64>,
    pub(crate) follows: BTreeMap<Node, (Revision, usize)>,
    pub(crate) requests: BTreeMap<Ticket, Pending>,
    pub(crate) flights: BTreeMap<u64, Flight>,
    pub(crate) held: VecDeque<(usize, u64)>,
    pub(crate) hold: bool,
    pub(crate) runs: BTreeMap<String, u64>,
    pub(crate) log: Vec<String>,
    pub(crate) violations: Vec<String>,
}

impl World {
    /// Builds control hosts, entries and agents, and a first configuration.
    ///
    /// # Errors
    ///
    /// A sentence, if something of it is not valid.
    pub fn new(controls: usize, entries: usize, agents: usize) -> Result<Self, String> {
        let group: Vec<_> = (0..controls).map(member).collect::<Result<_, _>>()?;
        let host = |n: usize| Host {
            id: MemberId(n as u64 + 1),
            disk: Disk {
                meta: SnapshotMeta {
                    members: group.clone(),
                    ..SnapshotMeta::default()
                },
                ..Disk::default()
            },
            core: None,
            run: 0,
            broken: false,
        };
        let mut world = Self {
            now: 0,
            serial: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            hosts: (0..controls).map(host).collect(),
            entries: Vec::new(),
            agents: Vec::new(),
            drift: BTreeMap::new(),
            cut: BTreeSet::new(),
            paused: BTreeMap::new(),
            down: BTreeSet::new(),
            calls: BTreeMap::new(),
            tickets: BTreeMap::new(),
            follows: BTreeMap::new(),
            requests: BTreeMap::new(),
            flights: BTreeMap::new(),
            held: VecDeque::new(),
            hold: false,
            runs: BTreeMap::new(),
            log: Vec::new(),
            violations: Vec::new(),
        };
        for n in 0..controls {
            world.start_host(n)?;
        }
        for n in 0..entries {
            world.entries.push(entry(n)?);
            world.follow(Node::Entry(n));
        }
        for n in 0..agents {
            let name = format!("agent-{n}");
            let name = name
                .as_str()
                .try_into()
                .map_err(|f: ids::NameError| f.to_string())?;
            world.agents.push(Agent::new(name, Tiered::default()));
            world.follow(Node::Agent(n));
        }
        world.advance(3_000_000);
        world.change("setup", first_configuration(agents)?);
        world.advance(3_000_000);
        world.log.clear();
        Ok(world)
    }

    /// Carries out a verb and says what was seen.
    ///
    /// # Errors
    ///
    /// [`VerbError`], with the reason.
    pub fn run(&mut self, verb: &Verb) -> Result<String, VerbError> {
        let verb = &self.named(verb);
        match verb.name.as_str() {
            "advance" => self.advance(verb.number(0)? * 1000),
            "call" => self.call(verb)?,
            "withdraw" => {
                let change = serde_json::json!({"withdraw-grant": verb.text(0)?});
                self.propose(verb, change)?;
            }
            "zone" => {
                let open = verb.text(1)? == "open";
                let change = serde_json::json!({"put-zone": {"name": verb.text(0)?,
                    "region": "home", "open": open}});
                self.propose(verb, change)?;
            }
            "account" => {
                let change = serde_json::json!({"put-account": {"name": verb.text(0)?}});
                self.propose(verb, change)?;
            }
            "cut" => self.cut(verb)?,
            "heal" => self.cut.clear(),
            "pause" => {
                self.paused.entry(verb.node(0)?).or_default();
            }
            "resume" => {
                let nodes = match verb.plain.first() {
                    Some(_) => vec![verb.node(0)?],
                    None => self.paused.keys().copied().collect(),
                };
                nodes.into_iter().for_each(|node| self.resume(node));
            }
            "crash" => self.crash(verb.node(0)?),
            "restart" => self.restart(verb.node(0)?)?,
            "drift" => {
                let rate = verb.number(1)?;
                self.drift.insert(verb.node(0)?, Drift { rate });
            }
            "fail-disk" => self.fail_disk(verb.node(0)?),
            "hold" => self.hold = true,
            "finish" => self.finish(),
            "leader" => return Ok(self.leader_text()),
            "lease" => return Ok(self.lease_text()),
            "runs" => return Ok(self.runs_text()),
            "revisions" => return Ok(self.revisions_text()),
            other => return Err(VerbError::Unknown(other.to_owned())),
        }
        Ok(self.said())
    }

    pub(crate) fn said(&mut self) -> String {
        let mut said = std::mem::take(&mut self.log);
        said.append(
            &mut self
                .violations
                .iter()
                .map(|v| format!("VIOLATION {v}"))
                .collect(),
        );
        if said.is_empty() {
            "ok".to_owned()
        } else {
            said.join("\n")
        }
    }

    pub(crate) fn clock(&self, node: Node) -> Drift {
        self.drift
            .get(&node)
            .copied()
            .unwrap_or(Drift { rate: 1000 })
    }

    pub(crate) fn post(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, event);
    }

    pub(crate) fn connected(&self, a: Node, b: Node) -> bool {
        !self.cut.contains(&(a, b)) && !self.down.contains(&a) && !self.down.contains(&b)
    }

    pub(crate) fn send(&mut self, from: Node, to: Node, event: Event) {
        if self.connected(from, to) {
            self.post(HOP, event);
        }
    }

    pub(crate) fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&serial) {
                self.deliver(event);
            }
        }
        self.now = end;
    }

    pub(crate) fn deliver(&mut self, event: Event) {
        let node = self.node_of(&event);
        if let Some(late) = node.and_then(|node| self.paused.get_mut(&node)) {
            late.push_back(event);
            return;
        }
        if node.is_some_and(|node| self.down.contains(&node)) {
            return;
        }
        match event {
            Event::Mail(n, mail) => self.control(n, govern::Input::Envelope(mail)),
            Event::Synced(n, run, seq) if self.hosts[n].run == run => {
                self.control(n, govern::Input::Synced(seq));
            }
            Event::Synced(..) => {}
            Event::Wake(node) => self.wake(node),
            Event::Ask(n, call, question) => {
                let ticket = Ticket(call);
                self.tickets.insert((n, ticket), call);
                self.control(n, govern::Input::Request(ticket, question));
            }
            Event::Answer(call, reply) => self.answered(call, reply),
            Event::Late(call) => self.late(call),
            Event::Poll(node) => self.poll(node),
            Event::Attempt(n, flight) => self.arrive(n, flight),
            Event::Back(n, id, ended) => self.entry(n, Input::Ended(id, ended)),
            Event::Served(n, flight) => self.served(n, flight),
        }
        self.check_leases();
    }

    pub(crate) fn node_of(&self, event: &Event) -> Option<Node> {
        match event {
            Event::Mail(n, _) | Event::Synced(n, ..) | Event::Ask(n, ..) => Some(Node::Control(*n)),
            Event::Wake(node) | Event::Poll(node) => Some(*node),
            Event::Attempt(n, _) | Event::Served(n, _) => Some(Node::Agent(*n)),
            Event::Back(n, ..) => Some(Node::Entry(*n)),
            Event::Answer(call, _) | Event::Late(call) => match self.calls.get(call)?.waiter {
                Waiter::View(node, _) => Some(node),
                Waiter::Claim(n, _) => Some(Node::Entry(n)),
                Waiter::Settle | Waiter::Change(_) => None,
            },
        }
    }

    pub(crate) fn check_leases(&mut self) {
        let mut holders = Vec::new();
        for (n, host) in self.hosts.iter().enumerate() {
            let now = self.clock(Node::Control(n)).at(self.now);
            if host
                .core
                .as_ref()
                .is_some_and(|core| core.lease(now).is_some())
            {
                holders.push(n);
            }
        }
        if holders.len() > 1 && self.violations.is_empty() {
            self.violations
                .push(format!("two leases at {} us: {holders:?}", self.now));
        }
    }
}
