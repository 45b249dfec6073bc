//! The loop: steps entries, agents and engines through one load.

use std::cmp::Reverse;
use std::collections::{
    BTreeMap,
    BinaryHeap, //
};
use std::time::Duration;

use admit::{
    Agent,
    Fcfs,
    Load,
    Outcome,
    QueuePolicy,
    Tiered, //
};
use conf::{
    Accepted,
    Change,
    Config,
    Content,
    Update, //
};
use fake::{
    Engine,
    Input as EngineInput,
    Job,
    JobId,
    Output as EngineOutput, //
};
use fault::Kind;
use ids::{
    Digest,
    EndpointName,
    Incarnation,
    RequestId,
    Tick,
    Ticket,
    Tier,
    Tokens, //
};
use ledger::Fingerprint;
use route::{
    Arrival,
    AttemptOutcome,
    AttemptSpec,
    Decision,
    Entry,
    LeastOutstanding,
    LoadReport,
    Placement,
    PowerOfTwo,
    RequestTarget,
    RoundRobin, //
};
use step::{
    Core,
    Outbox, //
};

use crate::disturbance::Disturbance;
use crate::load::{
    Ask,
    arrivals, //
};
use crate::metrics::{
    Fate,
    Metrics,
    summarize, //
};
use crate::site::Site;

/// Entries that decide at the same time.
const ENTRIES: usize = 3;
/// One way between two hosts.
const HOP: Duration = Duration::from_millis(1);
/// How often an agent asks its engine.
const WATCH: Duration = Duration::from_millis(500);
/// How long a changed configuration takes to reach the cores.
const SPREAD: Duration = Duration::from_millis(200);
/// Time before the first request that counts, in which all engines get warm.
const LEAD: Duration = Duration::from_secs(15);
/// How long a crashed engine is away.
const REBOOT: Duration = Duration::from_secs(8);
/// How long a zone is out.
const ZONE_OUT: Duration = Duration::from_secs(20);

/// A policy to be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's choice and queue.
    Product,
    /// Round robin, first come first served.
    RoundRobin,
    /// Least outstanding, first come first served.
    LeastOutstanding,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 3] = [Self::Product, Self::RoundRobin, Self::LeastOutstanding];

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
        }
    }
}

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// The deployment.
    pub site: Site,
    /// The load, as a share of capacity.
    pub load: f64,
    /// What goes wrong.
    pub disturbance: Disturbance,
    /// The policy.
    pub policy: Policy,
    /// How long it lasts, in virtual time.
    pub duration: Duration,
    /// Seeds the load and the choices.
    pub seed: u64,
}

/// Runs one measurement.
pub fn simulate(options: RunOptions) -> Metrics {
    match options.policy {
        Policy::Product => Simulation::new(options, || PowerOfTwo, Tiered::default).play(),
        Policy::RoundRobin => Simulation::new(options, RoundRobin::default, Fcfs::default).play(),
        Policy::LeastOutstanding => {
            Simulation::new(options, || LeastOutstanding, Fcfs::default).play()
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Ask(usize),
    Arrive(u64),
    Back(usize, RequestId, AttemptOutcome),
    First(usize, RequestId),
    EngineWake(usize),
    AgentWake(usize),
    Watch(usize),
    Disturb,
    Restore,
    View(Update),
}

/// An attempt under way.
struct Flight {
    entry: usize,
    ask: usize,
    agent: usize,
    plan: AttemptSpec,
    tokens: u64,
    last: Tick,
}

struct Simulation<P, Q> {
    options: RunOptions,
    now: Tick,
    serial: u64,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: BTreeMap<u64, Event>,
    asks: Vec<Ask>,
    fates: Vec<Fate>,
    entries: Vec<Entry<P>>,
    agents: Vec<Agent<Q>>,
    engines: Vec<Engine>,
    down: Vec<bool>,
    names: BTreeMap<EndpointName, usize>,
    flights: BTreeMap<u64, Flight>,
    flight: u64,
    config: Config,
    /// Tiers that wait at each agent, to see whether a higher one is sent away for a lower.
    waiting: Vec<BTreeMap<u64, Tier>>,
    inversions: u64,
    retried: u64,
}

impl<P: Placement, Q: QueuePolicy> Simulation<P, Q> {
    fn new(options: RunOptions, place: impl Fn() -> P, queue: impl Fn() -> Q) -> Self {
        let engines = options.site.engines();
        let name = |n: usize| EndpointName::try_from(format!("engine-{n}").as_str());
        let names: Vec<_> = (0..engines).filter_map(|n| name(n).ok()).collect();
        let seed = |n: usize| route::EntryOptions {
            incarnation: Incarnation(n as u64 + 1),
            zone: zone_name(options.site.zones()[n % 3]),
            rng_seed: options.seed ^ n as u64,
        };
        let asks = arrivals(
            options.site,
            options.disturbance,
            options.load,
            options.duration,
            options.seed,
        );
        let fate = |ask: &Ask| Fate {
            class: ask.class,
            account: ask.account,
            came: ask.at,
            wanted: ask.output,
            ..Fate::default()
        };
        Self {
            options,
            now: Tick::default(),
            serial: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            fates: asks.iter().map(fate).collect(),
            asks,
            entries: (0..ENTRIES).map(|n| Entry::new(seed(n), place())).collect(),
            agents: names
                .iter()
                .map(|name| Agent::new(name.clone(), queue()))
                .collect(),
            engines: (0..engines)
                .map(|_| Engine::new(options.site.profile(), 1))
                .collect(),
            down: vec![false; engines],
            names: names
                .into_iter()
                .enumerate()
                .map(|(n, name)| (name, n))
                .collect(),
            flights: BTreeMap::new(),
            flight: 0,
            config: Config::default(),
            waiting: vec![BTreeMap::new(); engines],
            inversions: 0,
            retried: 0,
        }
    }

    fn play(mut self) -> Metrics {
        self.configure(self.options.site.changes(), Duration::ZERO);
        for n in 0..self.engines.len() {
            self.post(WATCH * (n as u32 + 1) / 20, Event::Watch(n));
        }
        for n in 0..self.asks.len() {
            let at = self.asks[n].at.since(Tick::default());
            self.post(at + Duration::from_millis(10), Event::Ask(n));
        }
        self.post(self.options.duration / 3, Event::Disturb);
        // Answers that are under way at the end are awaited for a while.
        let end = Tick::default() + self.options.duration + Duration::from_secs(30);
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&serial) {
                self.handle(event);
            }
        }
        let generated: u64 = self.engines.iter().map(Engine::generated_tokens).sum();
        let lead = Tick::default() + LEAD;
        let counted: Vec<_> = self
            .fates
            .iter()
            .filter(|fate| fate.came >= lead)
            .copied()
            .collect();
        let duration = self.options.duration - LEAD;
        let early: u64 = self
            .fates
            .iter()
            .filter(|f| f.came < lead)
            .map(|f| f.tokens)
            .sum();
        let generated = generated.saturating_sub(early);
        let mut metrics = summarize(self.options.site, &counted, duration, generated);
        metrics.inversions = self.inversions;
        metrics.retried = self.retried;
        metrics
    }

    fn post(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn configure(&mut self, changes: Vec<Change>, after: Duration) {
        if self.config.apply_all(&changes).is_err() {
            return;
        }
        let accepted = Accepted {
            revision: self.config.revision(),
            operator: operator(),
            changes,
        };
        let update = Update {
            revision: self.config.revision(),
            content: Content::Delta(vec![accepted]),
        };
        self.post(after, Event::View(update));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask(n) => self.ask(n),
            Event::Arrive(flight) => self.arrive(flight),
            Event::Back(entry, id, ended) => self.entry(entry, route::Input::Ended(id, ended)),
            Event::First(entry, id) => self.entry(entry, route::Input::FirstByte(id)),
            Event::EngineWake(n) => {
                if self.engines[n].deadline().is_some_and(|at| at <= self.now) {
                    let mut out = Outbox::default();
                    self.engines[n].wake(self.now, &mut out);
                    self.engine_did(n, out);
                }
            }
            Event::AgentWake(n) => {
                if self.agents[n].deadline().is_some_and(|at| at <= self.now) {
                    let mut out = Outbox::default();
                    self.agents[n].wake(self.now, &mut out);
                    self.agent_did(n, out);
                }
            }
            Event::Watch(n) => self.watch(n),
            Event::Disturb => self.disturb(),
            Event::Restore => self.restore(),
            Event::View(update) => self.view(&update),
        }
    }

    fn view(&mut self, update: &Update) {
        let forever = Tick(u64::MAX);
        for n in 0..self.entries.len() {
            self.entry(n, route::Input::View(update.clone(), forever));
        }
        for n in 0..self.agents.len() {
            self.agent(n, admit::Input::View(update.clone(), forever));
        }
    }

    fn watch(&mut self, n: usize) {
        self.post(WATCH, Event::Watch(n));
        if self.down[n] {
            return;
        }
        let load = self.engines[n].load();
        let engine = admit::EngineStatus {
            incarnation: Incarnation(load.incarnation),
            // A silent loss of caches is not reported.
            cache_flushes: 0,
        };
        self.agent(n, admit::Input::EngineStatus(engine));
    }

    fn ask(&mut self, n: usize) {
        let ask = self.asks[n];
        let class = self.options.site.classes()[ask.class].0;
        let Ok(model) = class.try_into() else {
            return;
        };
        let mut digest = [0; 32];
        digest[31] = ask.account as u8;
        let arrival = Arrival {
            ticket: Ticket(n as u64),
            key: Some(Digest(digest)),
            target: RequestTarget::Model(model),
            class: None,
            input_tokens: Tokens(ask.input),
            prefix_hash: Some(ask.prefix),
            request_key: None,
            fingerprint: Fingerprint([0; 32]),
        };
        self.entry(n % ENTRIES, route::Input::Arrive(arrival));
    }

    fn entry(&mut self, n: usize, input: route::Input) {
        let mut out = Outbox::default();
        self.entries[n].step(self.now, input, &mut out);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                route::Output::Decision(ticket, Decision::Attempt(plan)) => {
                    self.attempt(n, ticket, *plan);
                }
                route::Output::Event(route::Event::RetriedFailed) => self.retried += 1,
                _ => {}
            }
        }
    }

    fn attempt(&mut self, entry: usize, ticket: Ticket, plan: AttemptSpec) {
        let agent = self.names[&plan.endpoint];
        if self.down[agent] {
            let id = plan.id;
            return self.post(HOP, Event::Back(entry, id, AttemptOutcome::Unreached));
        }
        self.flight += 1;
        let flight = Flight {
            entry,
            ask: ticket.0 as usize,
            agent,
            plan,
            tokens: 0,
            last: self.now,
        };
        self.flights.insert(self.flight, flight);
        self.post(HOP, Event::Arrive(self.flight));
    }

    fn arrive(&mut self, id: u64) {
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
            remaining: plan.remaining,
            target_remaining: plan.target_remaining,
            input_tokens: plan.input_tokens,
        };
        let (agent, tier) = (flight.agent, self.tier(flight.ask));
        self.waiting[agent].insert(id, tier);
        self.agent(agent, admit::Input::Arrive(arrival));
    }

    fn tier(&self, ask: usize) -> Tier {
        let class = self.options.site.classes()[self.asks[ask].class];
        Tier::try_from(class.1).unwrap_or(Tier::LOWEST)
    }

    fn agent(&mut self, n: usize, input: admit::Input) {
        let mut out = Outbox::default();
        self.agents[n].step(self.now, input, &mut out);
        self.agent_did(n, out);
    }

    fn agent_did(&mut self, n: usize, mut out: Outbox<admit::Output>) {
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                admit::Output::Start(ticket, tier) => self.start(n, ticket.0, tier),
                admit::Output::Reject(ticket, kind, load) => self.bounce(n, ticket.0, kind, load),
                _ => {}
            }
        }
        if let Some(at) = self.agents[n].deadline() {
            self.post(at.since(self.now), Event::AgentWake(n));
        }
    }

    fn start(&mut self, n: usize, id: u64, tier: Tier) {
        self.waiting[n].remove(&id);
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let ask = self.asks[flight.ask];
        let job = Job {
            id: JobId(id),
            input_tokens: ask.input,
            prefix_hash: ask.prefix,
            output_tokens: ask.output,
            priority: tier.into(),
            resume_from: 0,
        };
        let mut out = Outbox::default();
        self.engines[n].step(self.now, EngineInput::Submit(job), &mut out);
        self.engine_did(n, out);
    }

    fn bounce(&mut self, n: usize, id: u64, kind: Kind, load: Load) {
        let gone = self.waiting[n].remove(&id);
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        // Sent away for want of room while a lower tier keeps its place in the queue.
        let lower = |tier: Tier| self.waiting[n].values().any(|other| tier.outranks(*other));
        if kind == Kind::Shed && gone.is_some_and(lower) {
            self.inversions += 1;
        }
        let ended = AttemptOutcome::Rejected(kind, advert(load));
        self.post(HOP, Event::Back(flight.entry, flight.plan.id, ended));
    }

    fn engine_did(&mut self, n: usize, mut out: Outbox<EngineOutput>) {
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                EngineOutput::Token(id, _) => self.token(n, id.0),
                EngineOutput::Done(id) => self.done(n, id.0),
                EngineOutput::Lost(id) => self.lost(n, id.0),
            }
        }
        if let Some(at) = self.engines[n].deadline() {
            self.post(at.since(self.now), Event::EngineWake(n));
        }
    }

    fn token(&mut self, n: usize, id: u64) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.tokens += 1;
        let gap = self
            .now
            .since(std::mem::replace(&mut flight.last, self.now));
        let fate = &mut self.fates[flight.ask];
        fate.last = self.now + HOP;
        fate.tokens = flight.tokens;
        if flight.tokens == 1 {
            fate.first = Some(self.now + HOP);
            let (entry, request) = (flight.entry, flight.plan.id);
            self.post(HOP, Event::First(entry, request));
            self.agent(n, admit::Input::FirstToken(Ticket(id)));
        } else {
            self.agent(n, admit::Input::TokenGap(Ticket(id), gap));
        }
    }

    fn done(&mut self, n: usize, id: u64) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let ask = self.asks[flight.ask];
        self.fates[flight.ask].done = true;
        let tokens = Tokens(ask.input + flight.tokens);
        self.agent(n, admit::Input::Done(Ticket(id), Outcome::Served, tokens));
        let ended = AttemptOutcome::Served(advert(self.agents[n].load()));
        self.post(HOP, Event::Back(flight.entry, flight.plan.id, ended));
    }

    fn lost(&mut self, n: usize, id: u64) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.agent(
            n,
            admit::Input::Done(Ticket(id), Outcome::Failed, Tokens(0)),
        );
        let ended = if flight.tokens > 0 {
            self.fates[flight.ask].broken = true;
            AttemptOutcome::Broken
        } else {
            AttemptOutcome::Lost(Kind::EndpointFailed)
        };
        self.post(HOP, Event::Back(flight.entry, flight.plan.id, ended));
    }

    fn disturb(&mut self) {
        match self.options.disturbance {
            Disturbance::Straggler => self.engine(0, EngineInput::Speed(25)),
            Disturbance::Crash => {
                self.down[0] = true;
                self.engine(0, EngineInput::Crash);
                self.post(REBOOT, Event::Restore);
            }
            Disturbance::Cold => self.engine(0, EngineInput::Flush),
            Disturbance::Zone => {
                self.turn_zone(false);
                self.post(ZONE_OUT, Event::Restore);
            }
            Disturbance::None | Disturbance::Burst | Disturbance::Flood => {}
        }
    }

    fn restore(&mut self) {
        if self.options.disturbance == Disturbance::Crash {
            self.down[0] = false;
            return;
        }
        for n in (0..self.engines.len()).step_by(3) {
            self.engine(n, EngineInput::Crash);
        }
        self.turn_zone(true);
    }

    fn engine(&mut self, n: usize, input: EngineInput) {
        let mut out = Outbox::default();
        self.engines[n].step(self.now, input, &mut out);
        self.engine_did(n, out);
    }

    fn turn_zone(&mut self, open: bool) {
        let zone = zone_name(self.options.site.zones()[0]);
        let id = self.config.find_zone(&zone);
        let Some(zone) = id.and_then(|id| self.config.zone(id)) else {
            return;
        };
        let mut spec = zone.spec.clone();
        spec.open = open;
        self.configure(vec![Change::PutZone(spec)], SPREAD);
    }
}

fn advert(load: Load) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        busy: load.busy,
        limit: load.limit,
    }
}

/// The names here are literals of this crate, so they are valid.
fn zone_name(text: &str) -> ids::ZoneName {
    text.parse()
        .unwrap_or_else(|_| unreachable!("{text} is a valid name"))
}

fn operator() -> ids::OperatorName {
    "bench"
        .parse()
        .unwrap_or_else(|_| unreachable!("a valid name"))
}
