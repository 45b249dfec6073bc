//! The nodes of a scenario and the loop that steps them.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BTreeSet,
    BinaryHeap,
    VecDeque, //
};
use std::net::SocketAddr;
use std::time::Duration;

use admit::{
    Agent,
    Outcome,
    Tiered, //
};
use agree::{
    Member,
    MemberId,
    SnapshotMeta,
    Stage, //
};
use conf::{
    Change,
    Proposal,
    Verdict as Judged, //
};
use fault::Kind;
use govern::{
    Command,
    FRESH,
    Mail,
    Question,
    Reply,
    ViewerId,
    ViewerSide, //
};
use ids::{
    Digest,
    Incarnation,
    RequestId,
    Revision,
    Ticket,
    Tokens, //
};
use ledger::{
    Claimed,
    Fingerprint,
    Settlement, //
};
use route::{
    Advert,
    Arrival,
    Asked,
    ClaimResult,
    Ended,
    Entry,
    Input,
    Plan,
    Verdict,
    Weighted, //
};
use step::{
    Core,
    Outbox, //
};

use crate::control::{
    Disk,
    Host, //
};
use crate::node::{
    Drift,
    Node, //
};
use crate::verb::{
    Verb,
    VerbError, //
};

/// One way between two nodes, in microseconds.
const HOP: u64 = 1_000;
/// A sync of a disk, in microseconds.
const SYNC: u64 = 2_000;
/// How long a call of a plain service takes, in microseconds.
const SERVICE: u64 = 5_000;
/// How long a follower's question stays open.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// After this time a follower asks another control host, in microseconds.
const POLL_PATIENCE: u64 = 1_600_000;
/// After this time a claim or a change is tried at another control host, in microseconds.
const CALL_PATIENCE: u64 = 400_000;
/// Pause after a host that knows no leader, in microseconds.
const PAUSE: u64 = 100_000;
/// Tries of a claim or a change.
const CALL_TRIES: u32 = 16;
/// Tries of a settlement, which an entry keeps up in the background.
const SETTLE_TRIES: u32 = 200;

#[derive(Debug)]
enum Event {
    Mail(usize, Mail),
    Synced(usize, u64, u64),
    Wake(Node),
    Ask(usize, u64, Question),
    Answer(u64, Reply),
    Late(u64),
    Poll(Node),
    Attempt(usize, u64),
    Back(usize, RequestId, Ended),
    Served(usize, u64),
}

/// Who waits for an answer of the control group.
#[derive(Clone, Debug)]
enum Waiter {
    View(Node, u64),
    Claim(usize, RequestId),
    Settle,
    Change(String),
}

#[derive(Clone, Debug)]
struct Call {
    waiter: Waiter,
    question: Question,
    host: usize,
    tries: u32,
}

#[derive(Clone, Debug)]
struct Pending {
    label: String,
    entry: usize,
    target: String,
    claim: Option<route::Claim>,
}

struct Flight {
    entry: usize,
    agent: usize,
    plan: Plan,
    target: String,
}

/// A scenario's nodes.
pub struct World {
    now: u64,
    serial: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    hosts: Vec<Host>,
    entries: Vec<Entry<Weighted>>,
    agents: Vec<Agent<Tiered>>,
    drift: BTreeMap<Node, Drift>,
    cut: BTreeSet<(Node, Node)>,
    paused: BTreeMap<Node, VecDeque<Event>>,
    down: BTreeSet<Node>,
    calls: BTreeMap<u64, Call>,
    tickets: BTreeMap<(usize, Ticket), u64>,
    follows: BTreeMap<Node, (Revision, usize)>,
    requests: BTreeMap<Ticket, Pending>,
    flights: BTreeMap<u64, Flight>,
    held: VecDeque<(usize, u64)>,
    hold: bool,
    runs: BTreeMap<String, u64>,
    log: Vec<String>,
    violations: Vec<String>,
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
            "resume" => self.resume(verb.node(0)?),
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
            "runs" => return Ok(self.runs_text()),
            "revisions" => return Ok(self.revisions_text()),
            other => return Err(VerbError::Unknown(other.to_owned())),
        }
        Ok(self.said())
    }

    fn said(&mut self) -> String {
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

    fn clock(&self, node: Node) -> Drift {
        self.drift
            .get(&node)
            .copied()
            .unwrap_or(Drift { rate: 1000 })
    }

    fn post(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn connected(&self, a: Node, b: Node) -> bool {
        !self.cut.contains(&(a, b)) && !self.down.contains(&a) && !self.down.contains(&b)
    }

    fn send(&mut self, from: Node, to: Node, event: Event) {
        if self.connected(from, to) {
            self.post(HOP, event);
        }
    }

    fn advance(&mut self, span: u64) {
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

    fn deliver(&mut self, event: Event) {
        let node = self.node_of(&event);
        if let Some(late) = node.and_then(|node| self.paused.get_mut(&node)) {
            late.push_back(event);
            return;
        }
        if node.is_some_and(|node| self.down.contains(&node)) {
            return;
        }
        match event {
            Event::Mail(n, mail) => self.control(n, govern::Input::Mail(mail)),
            Event::Synced(n, run, seq) if self.hosts[n].run == run => {
                self.control(n, govern::Input::Synced(seq));
            }
            Event::Synced(..) => {}
            Event::Wake(node) => self.wake(node),
            Event::Ask(n, call, question) => {
                let ticket = Ticket(call);
                self.tickets.insert((n, ticket), call);
                self.control(n, govern::Input::Ask(ticket, question));
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

    fn node_of(&self, event: &Event) -> Option<Node> {
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

    fn check_leases(&mut self) {
        let mut holders = Vec::new();
        for (n, host) in self.hosts.iter().enumerate() {
            let now = self.clock(Node::Control(n)).at(self.now);
            if host
                .core
                .as_ref()
                .is_some_and(|core| core.authority(now).is_some())
            {
                holders.push(n);
            }
        }
        if holders.len() > 1 && self.violations.is_empty() {
            self.violations
                .push(format!("two leases at {} us: {holders:?}", self.now));
        }
    }

    // Control hosts.

    fn start_host(&mut self, n: usize) -> Result<(), String> {
        let now = self.clock(Node::Control(n)).at(self.now);
        let random = self.serial + n as u64 * 7919 + 1;
        self.hosts[n].start(now, random)?;
        self.schedule(Node::Control(n));
        Ok(())
    }

    fn control(&mut self, n: usize, input: govern::Input) {
        let now = self.clock(Node::Control(n)).at(self.now);
        let mut out = Outbox::default();
        if let Some(core) = &mut self.hosts[n].core {
            core.step(now, input, &mut out);
        }
        self.control_did(n, out);
    }

    fn control_did(&mut self, n: usize, mut out: Outbox<govern::Output>) {
        let me = Node::Control(n);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                govern::Output::Persist(seq, record) => {
                    if self.hosts[n].broken {
                        self.post(0, Event::Wake(me));
                        self.control(n, govern::Input::Halt);
                        return;
                    }
                    self.hosts[n].disk.records.push(record);
                    let run = self.hosts[n].run;
                    self.post(SYNC, Event::Synced(n, run, seq));
                }
                govern::Output::Rotate(seq, meta, state, record) => {
                    let disk = &mut self.hosts[n].disk;
                    (disk.meta, disk.state, disk.records) = (meta, state, vec![record]);
                    let run = self.hosts[n].run;
                    self.post(SYNC, Event::Synced(n, run, seq));
                }
                govern::Output::Send(to, _, message) => {
                    let to = to.0 as usize - 1;
                    let mail = Mail {
                        from: self.hosts[n].id,
                        address: address(n),
                        to: self.hosts[to].id,
                        messages: vec![message],
                    };
                    self.send(me, Node::Control(to), Event::Mail(to, mail));
                }
                govern::Output::Reply(ticket, reply) => {
                    if let Some(call) = self.tickets.remove(&(n, ticket)) {
                        self.reply(n, call, reply);
                    }
                }
                govern::Output::Deliver(..) | govern::Output::Trace(_) => {}
            }
        }
        self.schedule(me);
    }

    fn reply(&mut self, n: usize, call: u64, reply: Reply) {
        let back = match self.calls.get(&call).map(|call| &call.waiter) {
            Some(Waiter::View(node, _)) => Some(*node),
            Some(Waiter::Claim(entry, _)) => Some(Node::Entry(*entry)),
            _ => None,
        };
        if back.is_none_or(|node| self.connected(Node::Control(n), node)) {
            self.post(HOP, Event::Answer(call, reply));
        }
    }

    fn schedule(&mut self, node: Node) {
        let deadline = match node {
            Node::Control(n) => self.hosts[n].core.as_ref().and_then(Core::deadline),
            Node::Agent(n) => self.agents[n].deadline(),
            Node::Entry(_) => None,
        };
        if let Some(deadline) = deadline {
            let at = self.clock(node).until(deadline).max(self.now + 1);
            self.post(at - self.now, Event::Wake(node));
        }
    }

    fn wake(&mut self, node: Node) {
        let now = self.clock(node).at(self.now);
        match node {
            Node::Control(n) => {
                let mut out = Outbox::default();
                let Some(core) = self.hosts[n].core.as_mut() else {
                    return;
                };
                if core.deadline().is_some_and(|at| at <= now) {
                    core.wake(now, &mut out);
                    self.control_did(n, out);
                }
            }
            Node::Agent(n) => {
                if self.agents[n].deadline().is_some_and(|at| at <= now) {
                    let mut out = Outbox::default();
                    self.agents[n].wake(now, &mut out);
                    self.agent_did(n, out);
                }
            }
            Node::Entry(_) => {}
        }
    }

    // Calls to the control group.

    fn ask(&mut self, waiter: Waiter, question: Question, host: usize, patience: u64) -> u64 {
        self.serial += 1;
        let call = self.serial;
        let from = match &waiter {
            Waiter::View(node, _) => Some(*node),
            Waiter::Claim(n, _) => Some(Node::Entry(*n)),
            Waiter::Settle | Waiter::Change(_) => None,
        };
        let new = Call {
            waiter,
            question: question.clone(),
            host,
            tries: 1,
        };
        self.calls.insert(call, new);
        if from.is_none_or(|from| self.connected(from, Node::Control(host))) {
            self.post(HOP, Event::Ask(host, call, question));
        }
        self.post(patience, Event::Late(call));
        call
    }

    /// Tries a call again at the next control host.
    fn late(&mut self, call: u64) {
        let Some(old) = self.calls.remove(&call) else {
            return;
        };
        match old.waiter {
            Waiter::View(node, _) => {
                if let Some((_, host)) = self.follows.get_mut(&node) {
                    *host = (*host + 1) % self.hosts.len();
                }
                self.post(100_000, Event::Poll(node));
            }
            Waiter::Claim(n, id) if old.tries >= CALL_TRIES => {
                let refused = ClaimResult::Refused(Kind::ControlUnavailable);
                self.entry(n, Input::Claimed(id, refused));
            }
            Waiter::Change(label) if old.tries >= CALL_TRIES => {
                self.log.push(format!("{label}: no answer"));
            }
            Waiter::Settle if old.tries >= SETTLE_TRIES => {}
            waiter => {
                let host = (old.host + 1) % self.hosts.len();
                let next = self.ask(waiter, old.question, host, CALL_PATIENCE);
                if let Some(call) = self.calls.get_mut(&next) {
                    call.tries = old.tries + 1;
                }
            }
        }
    }

    fn answered(&mut self, call: u64, reply: Reply) {
        let Some(known) = self.calls.get(&call).cloned() else {
            return;
        };
        let moves_on = !matches!(known.waiter, Waiter::View(..));
        match reply {
            Reply::Elsewhere(Some(_)) if moves_on => return self.late(call),
            Reply::Elsewhere(None) if moves_on => return self.post(PAUSE, Event::Late(call)),
            _ => {}
        }
        if matches!(reply, Reply::Elsewhere(_) | Reply::Unavailable) {
            return;
        }
        self.calls.remove(&call);
        match (known.waiter, reply) {
            (Waiter::View(node, asked), Reply::View(update, _)) => {
                let fresh = ids::Tick(asked) + FRESH;
                self.view(node, update, fresh);
                self.post(HOP, Event::Poll(node));
            }
            (Waiter::Claim(n, id), Reply::Outcome(govern::Outcome::Claimed(claimed))) => {
                self.entry(n, Input::Claimed(id, claim_result(claimed)));
            }
            (Waiter::Settle, Reply::Outcome(govern::Outcome::Settled(false)))
                if known.tries < SETTLE_TRIES =>
            {
                // A claim that nobody answered may still be on its way.
                let again = self.ask(Waiter::Settle, known.question, known.host, 1_000_000);
                if let Some(call) = self.calls.get_mut(&again) {
                    call.tries = known.tries + 20;
                }
            }
            (Waiter::Change(label), Reply::Outcome(govern::Outcome::Verdict(verdict))) => {
                self.log
                    .push(format!("{label}: {}", verdict_text(&verdict)));
            }
            _ => {}
        }
    }

    // Followers of the configuration.

    fn follow(&mut self, node: Node) {
        self.follows.insert(node, (Revision(0), 0));
        self.post(HOP, Event::Poll(node));
    }

    fn poll(&mut self, node: Node) {
        let Some((revision, host)) = self.follows.get(&node).copied() else {
            return;
        };
        let (side, run) = match node {
            Node::Entry(n) => (ViewerSide::Entry, n),
            Node::Agent(n) | Node::Control(n) => (ViewerSide::Agent, n),
        };
        let Ok(name) = node.to_string().parse() else {
            return;
        };
        let id = ViewerId {
            host: name,
            side,
            run: Incarnation(run as u64),
        };
        let asked = self.clock(node).at(self.now).0;
        let question = Question::View(id, revision, POLL_WAIT);
        self.ask(Waiter::View(node, asked), question, host, POLL_PATIENCE);
    }

    fn view(&mut self, node: Node, update: conf::Update, fresh: ids::Tick) {
        let before = self
            .follows
            .get(&node)
            .map_or(Revision(0), |follow| follow.0);
        let held = match node {
            Node::Entry(n) => {
                self.entry(n, Input::View(update, fresh));
                self.entries[n].config().revision()
            }
            Node::Agent(n) => {
                self.agent(n, admit::Input::View(update, fresh));
                self.agents[n].config().revision()
            }
            Node::Control(_) => before,
        };
        if held < before {
            self.violations
                .push(format!("{node} went back from {before} to {held}"));
        }
        if let Some(follow) = self.follows.get_mut(&node) {
            follow.0 = held;
        }
    }

    // Entries and agents.

    fn call(&mut self, verb: &Verb) -> Result<(), VerbError> {
        let Node::Entry(n) = verb.node(0)? else {
            return Err(VerbError::Argument("call".to_owned(), "1".to_owned()));
        };
        self.serial += 1;
        let ticket = Ticket(self.serial);
        let bad = |which: &str| VerbError::Argument("call".to_owned(), which.to_owned());
        let body = verb.named.get("body").cloned().unwrap_or_default();
        let once = verb.named.get("once");
        let target = format!("{}{body}", once.map_or("model", String::as_str));
        let asked = match once {
            Some(_) => Asked::Path(conf::Method::Post, "/permits".to_owned()),
            None => Asked::Model("crew".try_into().map_err(|_| bad("model"))?),
        };
        let key = verb.named.get("key").map(|key| digest(key));
        let arrival = Arrival {
            ticket,
            key,
            asked,
            class: None,
            input: Tokens(10),
            prefix: None,
            request: once
                .map(|key| key.parse())
                .transpose()
                .map_err(|_| bad("once"))?,
            fingerprint: Fingerprint(digest(&body).0),
        };
        let label = verb
            .named
            .get("as")
            .cloned()
            .unwrap_or_else(|| "call".to_owned());
        let request = Pending {
            label,
            entry: n,
            target,
            claim: None,
        };
        self.requests.insert(ticket, request);
        if self.paused.contains_key(&Node::Entry(n)) {
            return Ok(());
        }
        self.entry(n, Input::Arrive(arrival));
        let span = verb.option("wait", 4000)?;
        self.advance(span * 1000);
        Ok(())
    }

    fn entry(&mut self, n: usize, input: Input) {
        let now = self.clock(Node::Entry(n)).at(self.now);
        let mut out = Outbox::default();
        self.entries[n].step(now, input, &mut out);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            if let route::Output::Verdict(ticket, verdict) = output {
                self.obey(ticket, verdict);
            }
        }
    }

    fn obey(&mut self, ticket: Ticket, verdict: Verdict) {
        let Some(request) = self.requests.get(&ticket).cloned() else {
            return;
        };
        let label = &request.label;
        match verdict {
            Verdict::Attempt(plan) => self.attempt(request, *plan),
            Verdict::Claim(claim) => {
                let question = Question::Run(Command::Claim {
                    key: (claim.account.clone(), claim.key.clone()),
                    fingerprint: claim.fingerprint,
                    attempt: claim.attempt,
                    now: 0,
                });
                let id = claim.id;
                if let Some(request) = self.requests.get_mut(&ticket) {
                    request.claim = Some(claim);
                }
                let first = self.serial as usize % self.hosts.len();
                self.ask(
                    Waiter::Claim(request.entry, id),
                    question,
                    first,
                    CALL_PATIENCE,
                );
            }
            Verdict::Refuse(kind) => {
                let run = kind.answer().run.as_str();
                self.log.push(format!("{label}: {kind} {run}"));
                let settlement = if kind.not_run() {
                    Settlement::NotRun
                } else {
                    Settlement::Unknown
                };
                // A claim that was not granted is somebody else's.
                let foreign = matches!(
                    kind,
                    Kind::ClaimRunning | Kind::ClaimUnknown | Kind::ClaimConflict
                );
                if !foreign {
                    self.settle(&request, settlement);
                }
            }
            Verdict::Replay(answer) => {
                let answer = String::from_utf8_lossy(&answer).into_owned();
                self.log.push(format!("{label}: recorded answer {answer}"));
            }
            Verdict::Close => {
                self.log.push(format!("{label}: served"));
                self.settle(
                    &request,
                    Settlement::Answered(request.target.clone().into_bytes()),
                );
            }
            Verdict::Models(_) => {}
        }
    }

    fn settle(&mut self, request: &Pending, settlement: Settlement) {
        let Some(claim) = &request.claim else {
            return;
        };
        let question = Question::Run(Command::Settle {
            key: (claim.account.clone(), claim.key.clone()),
            attempt: claim.attempt,
            settlement,
        });
        self.ask(Waiter::Settle, question, 0, CALL_PATIENCE);
    }

    fn attempt(&mut self, request: Pending, plan: Plan) {
        let agent = usize::from(plan.agent.port()) - usize::from(BASE_PORT);
        let (from, to) = (Node::Entry(request.entry), Node::Agent(agent));
        if !self.connected(from, to) {
            let ended = Ended::Unreached;
            return self.post(HOP, Event::Back(request.entry, plan.id, ended));
        }
        self.serial += 1;
        let flight = Flight {
            entry: request.entry,
            agent,
            plan,
            target: request.target,
        };
        self.flights.insert(self.serial, flight);
        self.post(HOP, Event::Attempt(agent, self.serial));
    }

    fn arrive(&mut self, n: usize, id: u64) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let plan = &flight.plan;
        let arrival = admit::Arrival {
            ticket: Ticket(id),
            endpoint: plan.endpoint.clone(),
            account: plan.account.clone(),
            grant: plan.grant.clone(),
            route: plan.route.clone(),
            class: plan.class.clone(),
            slack: plan.slack,
            target: plan.target,
            input: plan.input,
        };
        self.agent(n, admit::Input::Arrive(arrival));
    }

    fn agent(&mut self, n: usize, input: admit::Input) {
        let now = self.clock(Node::Agent(n)).at(self.now);
        let mut out = Outbox::default();
        self.agents[n].step(now, input, &mut out);
        self.agent_did(n, out);
    }

    fn agent_did(&mut self, n: usize, mut out: Outbox<admit::Output>) {
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                admit::Output::Start(ticket, _) => {
                    if let Some(flight) = self.flights.get(&ticket.0) {
                        *self.runs.entry(flight.target.clone()).or_default() += 1;
                    }
                    if self.hold {
                        self.held.push_back((n, ticket.0));
                    } else {
                        self.post(SERVICE, Event::Served(n, ticket.0));
                    }
                }
                admit::Output::Bounce(ticket, kind, load) => {
                    self.back(ticket.0, |_| Ended::Bounced(kind, advert(load)));
                }
                _ => {}
            }
        }
        self.schedule(Node::Agent(n));
    }

    fn back(&mut self, id: u64, ended: impl FnOnce(&Flight) -> Ended) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let ended = ended(&flight);
        let (from, to) = (Node::Agent(flight.agent), Node::Entry(flight.entry));
        if self.connected(from, to) {
            self.post(HOP, Event::Back(flight.entry, flight.plan.id, ended));
        } else {
            // The entry's time-out, long after.
            let lost = Ended::Lost(Kind::EndpointTimeout);
            self.post(10_000_000, Event::Back(flight.entry, flight.plan.id, lost));
        }
    }

    fn served(&mut self, n: usize, id: u64) {
        self.agent(n, admit::Input::First(Ticket(id)));
        self.agent(
            n,
            admit::Input::Done(Ticket(id), Outcome::Served, Tokens(10)),
        );
        let load = self.agents[n].load();
        self.back(id, |_| Ended::Served(advert(load)));
    }

    fn finish(&mut self) {
        self.hold = false;
        while let Some((n, id)) = self.held.pop_front() {
            self.post(0, Event::Served(n, id));
        }
        self.advance(100_000);
    }

    // What happens to nodes.

    fn cut(&mut self, verb: &Verb) -> Result<(), VerbError> {
        let node = verb.node(0)?;
        let others: Vec<_> = match verb.plain.get(1) {
            Some(_) => vec![verb.node(1)?],
            None => self.nodes(),
        };
        for other in others {
            self.cut.extend([(node, other), (other, node)]);
        }
        Ok(())
    }

    fn nodes(&self) -> Vec<Node> {
        let controls = (0..self.hosts.len()).map(Node::Control);
        let entries = (0..self.entries.len()).map(Node::Entry);
        let agents = (0..self.agents.len()).map(Node::Agent);
        controls.chain(entries).chain(agents).collect()
    }

    fn resume(&mut self, node: Node) {
        for event in self.paused.remove(&node).unwrap_or_default() {
            self.deliver(event);
        }
        self.schedule(node);
    }

    fn crash(&mut self, node: Node) {
        self.down.insert(node);
        match node {
            Node::Control(n) => self.hosts[n].core = None,
            Node::Agent(n) => {
                let lost: Vec<_> = self
                    .flights
                    .iter()
                    .filter(|(_, f)| f.agent == n)
                    .map(|(id, _)| *id)
                    .collect();
                for id in lost {
                    if let Some(flight) = self.flights.remove(&id) {
                        let ended = Ended::Lost(Kind::EndpointFailed);
                        self.post(HOP, Event::Back(flight.entry, flight.plan.id, ended));
                    }
                }
                self.held.retain(|(at, _)| *at != n);
            }
            Node::Entry(n) => {
                self.flights.retain(|_, flight| flight.entry != n);
                self.requests.retain(|_, request| request.entry != n);
            }
        }
    }

    fn restart(&mut self, node: Node) -> Result<(), VerbError> {
        let fault = |_| VerbError::Argument("restart".to_owned(), "1".to_owned());
        self.down.remove(&node);
        match node {
            Node::Control(n) => self.start_host(n).map_err(fault)?,
            Node::Entry(n) => {
                self.serial += 1;
                self.entries[n] = entry(n + self.serial as usize * 100).map_err(fault)?;
                self.follow(node);
            }
            Node::Agent(n) => {
                let name = format!("agent-{n}");
                let name = name.as_str().try_into().map_err(|_| fault(String::new()))?;
                self.agents[n] = Agent::new(name, Tiered::default());
                self.follow(node);
            }
        }
        Ok(())
    }

    fn fail_disk(&mut self, node: Node) {
        if let Node::Control(n) = node {
            self.hosts[n].broken = true;
        }
    }

    fn propose(&mut self, verb: &Verb, change: serde_json::Value) -> Result<(), VerbError> {
        let fault = |_| VerbError::Argument(verb.name.clone(), "1".to_owned());
        let change: Change = serde_json::from_value(change).map_err(fault)?;
        let label = verb
            .named
            .get("as")
            .cloned()
            .unwrap_or_else(|| verb.name.clone());
        let base = verb
            .named
            .get("base")
            .map(|_| verb.option("base", 0))
            .transpose()?;
        self.change_on(&label, vec![change], base.map(Revision));
        self.advance(verb.option("wait", 4000)? * 1000);
        Ok(())
    }

    fn change(&mut self, label: &str, changes: Vec<Change>) {
        self.change_on(label, changes, None);
    }

    fn change_on(&mut self, label: &str, changes: Vec<Change>, base: Option<Revision>) {
        let names = (label.try_into(), "operator".try_into());
        let (Ok(name), Ok(operator)) = names else {
            return;
        };
        let proposal = Proposal {
            name,
            operator,
            base,
            changes,
        };
        self.ask(
            Waiter::Change(label.to_owned()),
            Question::Propose(proposal),
            0,
            CALL_PATIENCE,
        );
    }

    // What is seen.

    fn leader_text(&self) -> String {
        let leads = |n: &usize| {
            let now = self.clock(Node::Control(*n)).at(self.now);
            self.hosts[*n]
                .core
                .as_ref()
                .is_some_and(|core| core.authority(now).is_some())
        };
        let leaders: Vec<_> = (0..self.hosts.len()).filter(leads).collect();
        match leaders.as_slice() {
            [] => "nobody holds the lease".to_owned(),
            [n] => format!("c{n} holds the lease"),
            more => format!("VIOLATION {more:?} hold the lease"),
        }
    }

    fn runs_text(&self) -> String {
        let rows = self
            .runs
            .iter()
            .map(|(target, count)| format!("{target} {count}"));
        let text = rows.collect::<Vec<_>>().join("\n");
        if text.is_empty() {
            "none".to_owned()
        } else {
            text
        }
    }

    fn revisions_text(&self) -> String {
        let rows = self
            .follows
            .iter()
            .map(|(node, (revision, _))| format!("{node} {revision}"));
        rows.collect::<Vec<_>>().join("\n")
    }
}

/// Port of the first agent; only tells agents apart.
const BASE_PORT: u16 = 9000;

fn entry(n: usize) -> Result<Entry<Weighted>, String> {
    let seed = route::Seed {
        run: Incarnation(n as u64 + 1),
        zone: "zone-0"
            .try_into()
            .map_err(|f: ids::NameError| f.to_string())?,
        random: n as u64,
    };
    Ok(Entry::new(seed, Weighted))
}

fn member(n: usize) -> Result<Member, String> {
    Ok(Member {
        id: MemberId(n as u64 + 1),
        host: format!("c{n}")
            .as_str()
            .try_into()
            .map_err(|f: ids::NameError| f.to_string())?,
        address: address(n),
        stage: Stage::Voter,
    })
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

fn digest(text: &str) -> Digest {
    let mut bytes = [0; 32];
    for (i, byte) in text.bytes().enumerate() {
        bytes[i % 32] ^= byte.rotate_left(i as u32 / 32);
    }
    Digest(bytes)
}

fn first_configuration(agents: usize) -> Result<Vec<Change>, String> {
    use serde_json::json;
    let zones =
        (0..2).map(|n| json!({"put-zone": {"name": format!("zone-{n}"), "region": "home"}}));
    let fixed = [
        json!({"put-class": {"name": "field", "tier": 0, "first_ms": 650, "gap_ms": 66}}),
        json!({"put-account": {"name": "norte"}}),
        json!({"put-account": {"name": "sur"}}),
        json!({"put-route": {"name": "crew", "class": "field", "serves": {"model": "crew"}}}),
        json!({"put-route": {"name": "permits", "class": "field",
            "serves": {"service": {"prefix": "/permits"}}}}),
        json!({"put-grant": {"name": "k-norte", "account": "norte", "digest": digest("k-norte")}}),
        json!({"put-grant": {"name": "k-sur", "account": "sur", "digest": digest("k-sur")}}),
    ];
    let endpoints = (0..agents).map(|n| {
        json!({"put-endpoint": {"name": format!("agent-{n}"), "zone": format!("zone-{}", n % 2),
            "routes": ["crew", "permits"], "slots": 4,
            "agent": format!("127.0.0.1:{}", BASE_PORT + n as u16)}})
    });
    let rows = zones.chain(fixed).chain(endpoints);
    rows.map(|row| serde_json::from_value(row).map_err(|f| f.to_string()))
        .collect()
}

fn advert(load: admit::Load) -> Advert {
    Advert {
        run: Incarnation(1),
        busy: load.busy,
        limit: load.limit,
    }
}

fn claim_result(claimed: Claimed) -> ClaimResult {
    match claimed {
        Claimed::Granted => ClaimResult::Granted,
        Claimed::Running => ClaimResult::Refused(Kind::ClaimRunning),
        Claimed::Answered(answer) => ClaimResult::Answered(answer),
        Claimed::Unknown => ClaimResult::Refused(Kind::ClaimUnknown),
        Claimed::Conflict => ClaimResult::Refused(Kind::ClaimConflict),
    }
}

fn verdict_text(verdict: &Judged) -> String {
    match verdict {
        Judged::Accepted(revision) => format!("accepted as revision {revision}"),
        Judged::Conflict { current, since } => {
            let changes = since.iter().flat_map(|accepted| &accepted.changes);
            let changes: Vec<_> = changes.map(ToString::to_string).collect();
            format!("conflict, revision {current} has {}", changes.join(", "))
        }
        Judged::Invalid(fault) => format!("invalid: {fault}"),
        Judged::NameReused(_) => "name reused".to_owned(),
    }
}
