//! The state of a simulation: nodes, the event queue and the loop that delivers events in the
//! order of their simulated times.

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

use crate::control_host::{
    ControlHost,
    Disk, //
};
use crate::directive::{
    Directive,
    DirectiveError, //
};
use crate::node::{
    ClockRate,
    Node, //
};
use crate::setup::{
    first_configuration,
    member,
    new_entry, //
};

/// One-way network delay between two nodes, in microseconds.
pub(crate) const NETWORK_DELAY_US: u64 = 1_000;
/// Duration of a disk sync, in microseconds.
pub(crate) const DISK_SYNC_US: u64 = 2_000;
/// Time that a back end takes to serve a request, in microseconds.
pub(crate) const SERVICE_TIME_US: u64 = 5_000;
/// How long a control host may hold a configuration poll open.
pub(crate) const POLL_WAIT: Duration = Duration::from_millis(800);
/// Timeout of a configuration poll, in microseconds; the subscriber then polls the next control
/// host.
pub(crate) const POLL_TIMEOUT_US: u64 = 1_600_000;
/// Timeout of a claim, a settlement or a proposal, in microseconds; the caller then retries at the
/// next control host.
pub(crate) const CALL_TIMEOUT_US: u64 = 400_000;
/// Delay before a retry after a control host replied that there is no leader, in microseconds.
pub(crate) const NO_LEADER_RETRY_US: u64 = 100_000;
/// Maximum attempts of a claim or a proposal.
pub(crate) const CALL_MAX_ATTEMPTS: u32 = 16;
/// Maximum attempts of a settlement; higher, because an entry retries settlements in the
/// background.
pub(crate) const SETTLE_MAX_ATTEMPTS: u32 = 200;

/// A scheduled event. Numbers of hosts, entries and agents are indices into the simulation's lists.
#[derive(Debug)]
pub(crate) enum Event {
    /// Messages of the control group arrive at a control host.
    Envelope(usize, Envelope),
    /// A control host's disk has synced: the host, its incarnation and the record's number.
    Synced(usize, u64, u64),
    /// The deadline of a node's core has passed.
    Wake(Node),
    /// A call's request arrives at a control host: the host and the call.
    Request(usize, u64, Request),
    /// The reply to a call arrives at the caller.
    Response(u64, Reply),
    /// A call has timed out.
    CallTimeout(u64),
    /// A subscriber polls a control host for the configuration.
    Poll(Node),
    /// An attempt arrives at an agent: the agent and the attempt.
    Attempt(usize, u64),
    /// The outcome of an attempt arrives at its entry: the entry, its request and the outcome.
    AttemptEnded(usize, RequestId, AttemptOutcome),
    /// A back end has served an attempt: the agent and the attempt.
    ServiceComplete(usize, u64),
}

/// What a call to the control group is for, and who receives the reply.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// A configuration poll: the subscriber, and its local time when it sent the poll.
    View(Node, u64),
    /// A claim on a request key: the entry and its request.
    Claim(usize, RequestId),
    /// A settlement of a claim; the reply is not needed.
    Settle,
    /// A proposal of an operator, with the label of its output line.
    Change(String),
}

/// A call to the control group that has no reply yet.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) caller: Caller,
    pub(crate) request: Request,
    pub(crate) host: usize,
    pub(crate) attempts: u32,
}

/// A client's request that an entry handles.
#[derive(Clone, Debug)]
pub(crate) struct PendingRequest {
    /// The first word of the request's output line.
    pub(crate) label: String,
    pub(crate) entry: usize,
    /// The key under which executions are counted: the request key or `model`, then the body.
    pub(crate) target: String,
    pub(crate) claim: Option<route::Claim>,
}

/// An attempt between its dispatch by an entry and its end at an agent.
pub(crate) struct InFlight {
    pub(crate) entry: usize,
    pub(crate) agent: usize,
    pub(crate) spec: AttemptSpec,
    pub(crate) target: String,
}

/// Simulated nodes with their clocks, disks and network.
pub struct Simulation {
    /// True time since the start, in microseconds. Each node's local time follows from its clock
    /// rate.
    pub(crate) now: u64,
    /// The last number given to an event, a call, a ticket or an attempt.
    pub(crate) last_id: u64,
    /// Times and numbers of the scheduled events.
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(crate) events: BTreeMap<u64, Event>,
    pub(crate) hosts: Vec<ControlHost>,
    pub(crate) entries: Vec<Entry<PowerOfTwo>>,
    pub(crate) agents: Vec<Agent<Tiered>>,
    pub(crate) clock_rates: BTreeMap<Node, ClockRate>,
    /// Pairs of sender and receiver between which nothing is delivered.
    pub(crate) blocked_links: BTreeSet<(Node, Node)>,
    /// Paused nodes, each with its queued events.
    pub(crate) paused: BTreeMap<Node, VecDeque<Event>>,
    pub(crate) down: BTreeSet<Node>,
    pub(crate) calls: BTreeMap<u64, Call>,
    /// The call of each ticket at each control host.
    pub(crate) tickets: BTreeMap<(usize, Ticket), u64>,
    /// The revision of each subscriber, and the control host that it polls.
    pub(crate) subscriptions: BTreeMap<Node, (Revision, usize)>,
    pub(crate) requests: BTreeMap<Ticket, PendingRequest>,
    pub(crate) in_flight: BTreeMap<u64, InFlight>,
    /// Attempts whose responses are held, with their agents.
    pub(crate) held_attempts: VecDeque<(usize, u64)>,
    pub(crate) hold_responses: bool,
    /// Executions of each target at all back ends together.
    pub(crate) executions: BTreeMap<String, u64>,
    /// Output lines since the last directive.
    pub(crate) log: Vec<String>,
    /// Invariants that were broken; reported by every directive that is not a query of the state.
    pub(crate) violations: Vec<String>,
}

impl Simulation {
    /// Starts control hosts, entries and agents, and applies a first configuration.
    ///
    /// # Errors
    ///
    /// A message if a name or the configuration is invalid.
    pub fn new(controls: usize, entries: usize, agents: usize) -> Result<Self, String> {
        let group: Vec<_> = (0..controls).map(member).collect::<Result<_, _>>()?;
        let host = |n: usize| ControlHost {
            id: MemberId(n as u64 + 1),
            disk: Disk {
                meta: SnapshotMeta {
                    members: group.clone(),
                    ..SnapshotMeta::default()
                },
                ..Disk::default()
            },
            core: None,
            incarnation: 0,
            disk_failed: false,
        };
        let mut simulation = Self {
            now: 0,
            last_id: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            hosts: (0..controls).map(host).collect(),
            entries: Vec::new(),
            agents: Vec::new(),
            clock_rates: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            paused: BTreeMap::new(),
            down: BTreeSet::new(),
            calls: BTreeMap::new(),
            tickets: BTreeMap::new(),
            subscriptions: BTreeMap::new(),
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            held_attempts: VecDeque::new(),
            hold_responses: false,
            executions: BTreeMap::new(),
            log: Vec::new(),
            violations: Vec::new(),
        };
        for n in 0..controls {
            simulation.start_host(n)?;
        }
        for n in 0..entries {
            simulation.entries.push(new_entry(n)?);
            simulation.subscribe(Node::Entry(n));
        }
        for n in 0..agents {
            let name = format!("agent-{n}");
            let name = name
                .as_str()
                .try_into()
                .map_err(|error: ids::NameError| error.to_string())?;
            simulation.agents.push(Agent::new(name, Tiered::default()));
            simulation.subscribe(Node::Agent(n));
        }
        simulation.advance(3_000_000);
        simulation.change("setup", first_configuration(agents)?);
        simulation.advance(3_000_000);
        simulation.log.clear();
        Ok(simulation)
    }

    /// Executes a directive and returns its output.
    ///
    /// # Errors
    ///
    /// [`DirectiveError`] if the directive is unknown or an argument is invalid.
    pub fn run(&mut self, directive: &Directive) -> Result<String, DirectiveError> {
        let directive = &self.resolve_leader(directive);
        match directive.name.as_str() {
            "advance" => self.advance(directive.number(0)? * 1000),
            "call" => self.call(directive)?,
            "withdraw" => {
                let change = serde_json::json!({"withdraw-grant": directive.text(0)?});
                self.propose(directive, change)?;
            }
            "zone" => {
                let open = directive.text(1)? == "open";
                let change = serde_json::json!({"put-zone": {"name": directive.text(0)?,
                    "region": "home", "open": open}});
                self.propose(directive, change)?;
            }
            "account" => {
                let change = serde_json::json!({"put-account": {"name": directive.text(0)?}});
                self.propose(directive, change)?;
            }
            "cut" => self.partition(directive)?,
            "heal" => self.blocked_links.clear(),
            "pause" => {
                self.paused.entry(directive.node(0)?).or_default();
            }
            "resume" => {
                let nodes = match directive.positional.first() {
                    Some(_) => vec![directive.node(0)?],
                    None => self.paused.keys().copied().collect(),
                };
                nodes.into_iter().for_each(|node| self.resume(node));
            }
            "crash" => self.crash(directive.node(0)?),
            "restart" => self.restart(directive.node(0)?)?,
            "drift" => {
                let per_mille = directive.number(1)?;
                self.clock_rates
                    .insert(directive.node(0)?, ClockRate { per_mille });
            }
            "fail-disk" => self.fail_disk(directive.node(0)?),
            "hold" => self.hold_responses = true,
            "finish" => self.release_responses(),
            "leader" => return Ok(self.leader_text()),
            "lease" => return Ok(self.lease_text()),
            "runs" => return Ok(self.executions_text()),
            "revisions" => return Ok(self.revisions_text()),
            other => return Err(DirectiveError::Unknown(other.to_owned())),
        }
        Ok(self.take_output())
    }

    /// Takes the output lines since the last directive, with all violations; `ok` if there are
    /// none.
    pub(crate) fn take_output(&mut self) -> String {
        let mut lines = std::mem::take(&mut self.log);
        lines.append(
            &mut self
                .violations
                .iter()
                .map(|v| format!("VIOLATION {v}"))
                .collect(),
        );
        if lines.is_empty() {
            "ok".to_owned()
        } else {
            lines.join("\n")
        }
    }

    pub(crate) fn clock_rate(&self, node: Node) -> ClockRate {
        self.clock_rates
            .get(&node)
            .copied()
            .unwrap_or(ClockRate { per_mille: 1000 })
    }

    /// Schedules an event for a time `after` from now, in microseconds.
    pub(crate) fn schedule_event(&mut self, after: u64, event: Event) {
        self.last_id += 1;
        self.queue.push(Reverse((self.now + after, self.last_id)));
        self.events.insert(self.last_id, event);
    }

    /// Whether a message from one node reaches another: the link is open and both are up.
    pub(crate) fn connected(&self, from: Node, to: Node) -> bool {
        !self.blocked_links.contains(&(from, to))
            && !self.down.contains(&from)
            && !self.down.contains(&to)
    }

    pub(crate) fn send(&mut self, from: Node, to: Node, event: Event) {
        if self.connected(from, to) {
            self.schedule_event(NETWORK_DELAY_US, event);
        }
    }

    /// Delivers the events of the next `duration` microseconds in order.
    pub(crate) fn advance(&mut self, duration: u64) {
        let end = self.now + duration;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.deliver(event);
            }
        }
        self.now = end;
    }

    /// Delivers an event to its node; queues the event if the node is paused and drops it if the
    /// node is down. Checks the leases afterwards.
    pub(crate) fn deliver(&mut self, event: Event) {
        let node = self.target_node(&event);
        if let Some(queued) = node.and_then(|node| self.paused.get_mut(&node)) {
            queued.push_back(event);
            return;
        }
        if node.is_some_and(|node| self.down.contains(&node)) {
            return;
        }
        match event {
            Event::Envelope(n, envelope) => self.step_control(n, govern::Input::Envelope(envelope)),
            Event::Synced(n, incarnation, seq) if self.hosts[n].incarnation == incarnation => {
                self.step_control(n, govern::Input::Synced(seq));
            }
            Event::Synced(..) => {}
            Event::Wake(node) => self.wake(node),
            Event::Request(n, call, request) => {
                let ticket = Ticket(call);
                self.tickets.insert((n, ticket), call);
                self.step_control(n, govern::Input::Request(ticket, request));
            }
            Event::Response(call, reply) => self.handle_reply(call, reply),
            Event::CallTimeout(call) => self.retry_call(call),
            Event::Poll(node) => self.poll(node),
            Event::Attempt(n, attempt) => self.deliver_attempt(n, attempt),
            Event::AttemptEnded(n, id, outcome) => self.step_entry(n, Input::Ended(id, outcome)),
            Event::ServiceComplete(n, attempt) => self.complete_service(n, attempt),
        }
        self.check_leases();
    }

    /// The node that handles an event; none for calls of operators, settlements and calls that have
    /// ended.
    pub(crate) fn target_node(&self, event: &Event) -> Option<Node> {
        match event {
            Event::Envelope(n, _) | Event::Synced(n, ..) | Event::Request(n, ..) => {
                Some(Node::Control(*n))
            }
            Event::Wake(node) | Event::Poll(node) => Some(*node),
            Event::Attempt(n, _) | Event::ServiceComplete(n, _) => Some(Node::Agent(*n)),
            Event::AttemptEnded(n, ..) => Some(Node::Entry(*n)),
            Event::Response(call, _) | Event::CallTimeout(call) => {
                match self.calls.get(call)?.caller {
                    Caller::View(node, _) => Some(node),
                    Caller::Claim(n, _) => Some(Node::Entry(n)),
                    Caller::Settle | Caller::Change(_) => None,
                }
            }
        }
    }

    /// Records a violation if more than one control host holds a lease by its own clock. Only the
    /// first violation is recorded, because later events would report the same one again.
    pub(crate) fn check_leases(&mut self) {
        let mut holders = Vec::new();
        for (n, host) in self.hosts.iter().enumerate() {
            let now = self.clock_rate(Node::Control(n)).local_time(self.now);
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
