//! The event loop of a run: entries, agents and engines process one workload.

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
    Balancer,
    Decision,
    Entry,
    LeastOutstanding,
    LoadReport,
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
    Request,
    arrivals, //
};
use crate::metrics::{
    Metrics,
    RequestOutcome,
    summarize, //
};
use crate::site::Site;

/// Entries; requests are spread over them in turn.
const ENTRIES: usize = 3;
/// One-way network delay between two hosts.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Interval at which an agent polls its engine's status.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay until the cores receive a configuration change.
const CONFIG_DELAY: Duration = Duration::from_millis(200);
/// Time at the start of a run in which the engines warm up; requests sent before its end do not
/// count.
const WARM_UP: Duration = Duration::from_secs(15);
/// Time until a crashed engine accepts requests again.
const RESTART_TIME: Duration = Duration::from_secs(8);
/// Time for which the `Zone` disturbance closes a zone.
const ZONE_OUTAGE: Duration = Duration::from_secs(20);

/// A placement policy of the entries with a queue policy of the agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The product's placement and tiered queue.
    Product,
    /// Round-robin placement with first-come, first-served queues.
    RoundRobin,
    /// Least-outstanding placement with first-come, first-served queues.
    LeastOutstanding,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 3] = [Self::Product, Self::RoundRobin, Self::LeastOutstanding];

    /// The name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Product => "product",
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
        }
    }
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// The simulated site.
    pub site: Site,
    /// The load, as a multiple of the site's capacity.
    pub load: f64,
    /// The disturbance to inject.
    pub disturbance: Disturbance,
    /// The policy to apply.
    pub policy: Policy,
    /// Virtual time during which clients send requests.
    pub duration: Duration,
    /// Seed of the random generators for the workload and the entries.
    pub seed: u64,
}

/// Simulates a run and returns its results.
pub fn simulate(options: RunOptions) -> Metrics {
    match options.policy {
        Policy::Product => Simulation::new(options, || PowerOfTwo, Tiered::default).run(),
        Policy::RoundRobin => Simulation::new(options, RoundRobin::default, Fcfs::default).run(),
        Policy::LeastOutstanding => {
            Simulation::new(options, || LeastOutstanding, Fcfs::default).run()
        }
    }
}

/// A scheduled event. A `usize` is the index of a request, of an entry, or of an agent and its
/// engine; a `u64` is the number of an attempt.
#[derive(Clone, Debug)]
enum Event {
    /// A client's request arrives at an entry.
    Arrival(usize),
    /// An attempt arrives at its agent.
    AgentArrival(u64),
    /// An entry receives the outcome of an attempt.
    AttemptEnded(usize, RequestId, AttemptOutcome),
    /// An entry receives the first token of a response.
    FirstToken(usize, RequestId),
    /// The deadline of an engine may be reached.
    EngineTimer(usize),
    /// The deadline of an agent's core may be reached.
    AgentTimer(usize),
    /// An agent polls its engine's status.
    PollEngine(usize),
    DisturbanceStart,
    DisturbanceEnd,
    /// All cores receive a configuration update.
    ConfigUpdate(Update),
}

/// An attempt in flight.
struct Attempt {
    entry: usize,
    request: usize,
    agent: usize,
    spec: AttemptSpec,
    tokens: u64,
    last_token: Tick,
}

/// The state of one run.
struct Simulation<P, Q> {
    options: RunOptions,
    now: Tick,
    /// Number of the latest scheduled event; events of the same time run in this order.
    serial: u64,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: BTreeMap<u64, Event>,
    requests: Vec<Request>,
    outcomes: Vec<RequestOutcome>,
    entries: Vec<Entry<P>>,
    agents: Vec<Agent<Q>>,
    engines: Vec<Engine>,
    crashed: Vec<bool>,
    /// Indices of the agents by the names of their endpoints.
    agent_index: BTreeMap<EndpointName, usize>,
    attempts: BTreeMap<u64, Attempt>,
    /// Number of the latest attempt.
    last_attempt: u64,
    config: Config,
    /// Tiers of the attempts queued at each agent, by attempt, to detect priority inversions.
    queued_tiers: Vec<BTreeMap<u64, Tier>>,
    inversions: u64,
    retried: u64,
}

impl<P: Balancer, Q: QueuePolicy> Simulation<P, Q> {
    fn new(options: RunOptions, placement: impl Fn() -> P, queue: impl Fn() -> Q) -> Self {
        let engines = options.site.engines();
        let name = |n: usize| EndpointName::try_from(format!("engine-{n}").as_str());
        let names: Vec<_> = (0..engines).filter_map(|n| name(n).ok()).collect();
        let entry_options = |n: usize| route::EntryOptions {
            incarnation: Incarnation(n as u64 + 1),
            zone: zone_name(options.site.zones()[n % 3]),
            rng_seed: options.seed ^ n as u64,
        };
        let requests = arrivals(
            options.site,
            options.disturbance,
            options.load,
            options.duration,
            options.seed,
        );
        let outcome = |request: &Request| RequestOutcome {
            class: request.class,
            account: request.account,
            sent_at: request.sent_at,
            output_tokens: request.output_tokens,
            ..RequestOutcome::default()
        };
        Self {
            options,
            now: Tick::default(),
            serial: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            outcomes: requests.iter().map(outcome).collect(),
            requests,
            entries: (0..ENTRIES)
                .map(|n| Entry::new(entry_options(n), placement()))
                .collect(),
            agents: names
                .iter()
                .map(|name| Agent::new(name.clone(), queue()))
                .collect(),
            engines: (0..engines)
                .map(|_| Engine::new(options.site.profile(), 1))
                .collect(),
            crashed: vec![false; engines],
            agent_index: names
                .into_iter()
                .enumerate()
                .map(|(n, name)| (name, n))
                .collect(),
            attempts: BTreeMap::new(),
            last_attempt: 0,
            config: Config::default(),
            queued_tiers: vec![BTreeMap::new(); engines],
            inversions: 0,
            retried: 0,
        }
    }

    fn run(mut self) -> Metrics {
        self.configure(self.options.site.changes(), Duration::ZERO);
        for n in 0..self.engines.len() {
            self.schedule(POLL_INTERVAL * (n as u32 + 1) / 20, Event::PollEngine(n));
        }
        // The offset of 10 ms lets the cores receive the configuration before the first request.
        for n in 0..self.requests.len() {
            let sent_after = self.requests[n].sent_at.since(Tick::default());
            self.schedule(sent_after + Duration::from_millis(10), Event::Arrival(n));
        }
        self.schedule(self.options.duration / 3, Event::DisturbanceStart);
        // In-flight requests have 30 s to complete after the last arrival.
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
        let counted_from = Tick::default() + WARM_UP;
        let counted: Vec<_> = self
            .outcomes
            .iter()
            .filter(|outcome| outcome.sent_at >= counted_from)
            .copied()
            .collect();
        let duration = self.options.duration - WARM_UP;
        let warm_up_tokens: u64 = self
            .outcomes
            .iter()
            .filter(|outcome| outcome.sent_at < counted_from)
            .map(|outcome| outcome.tokens)
            .sum();
        let generated = generated.saturating_sub(warm_up_tokens);
        let mut metrics = summarize(self.options.site, &counted, duration, generated);
        metrics.inversions = self.inversions;
        metrics.retried = self.retried;
        metrics
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Applies changes to the configuration and schedules the update of all cores.
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
        self.schedule(after, Event::ConfigUpdate(update));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(n) => self.request_arrived(n),
            Event::AgentArrival(attempt) => self.agent_arrival(attempt),
            Event::AttemptEnded(entry, id, outcome) => {
                self.step_entry(entry, route::Input::Ended(id, outcome))
            }
            Event::FirstToken(entry, id) => self.step_entry(entry, route::Input::FirstByte(id)),
            Event::EngineTimer(n) => {
                if self.engines[n].deadline().is_some_and(|at| at <= self.now) {
                    let mut out = Outbox::default();
                    self.engines[n].wake(self.now, &mut out);
                    self.apply_engine_outputs(n, out);
                }
            }
            Event::AgentTimer(n) => {
                if self.agents[n].deadline().is_some_and(|at| at <= self.now) {
                    let mut out = Outbox::default();
                    self.agents[n].wake(self.now, &mut out);
                    self.apply_agent_outputs(n, out);
                }
            }
            Event::PollEngine(n) => self.poll_engine(n),
            Event::DisturbanceStart => self.start_disturbance(),
            Event::DisturbanceEnd => self.end_disturbance(),
            Event::ConfigUpdate(update) => self.update_views(&update),
        }
    }

    fn update_views(&mut self, update: &Update) {
        let never_expires = Tick(u64::MAX);
        for n in 0..self.entries.len() {
            self.step_entry(n, route::Input::View(update.clone(), never_expires));
        }
        for n in 0..self.agents.len() {
            self.step_agent(n, admit::Input::View(update.clone(), never_expires));
        }
    }

    fn poll_engine(&mut self, n: usize) {
        self.schedule(POLL_INTERVAL, Event::PollEngine(n));
        if self.crashed[n] {
            return;
        }
        let load = self.engines[n].load();
        let engine = admit::EngineStatus {
            incarnation: Incarnation(load.incarnation),
            // The engine does not report flushes of its cache; see `Disturbance::Cold`.
            cache_flushes: 0,
        };
        self.step_agent(n, admit::Input::EngineStatus(engine));
    }

    fn request_arrived(&mut self, n: usize) {
        let request = self.requests[n];
        let class = self.options.site.classes()[request.class].0;
        let Ok(model) = class.try_into() else {
            return;
        };
        let mut digest = [0; 32];
        digest[31] = request.account as u8;
        let arrival = Arrival {
            ticket: Ticket(n as u64),
            key: Some(Digest(digest)),
            target: RequestTarget::Model(model),
            class: None,
            input_tokens: Tokens(request.input_tokens),
            prefix_hash: Some(request.prefix_hash),
            request_key: None,
            fingerprint: Fingerprint([0; 32]),
        };
        self.step_entry(n % ENTRIES, route::Input::Arrive(arrival));
    }

    fn step_entry(&mut self, n: usize, input: route::Input) {
        let mut out = Outbox::default();
        self.entries[n].step(self.now, input, &mut out);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                route::Output::Decision(ticket, Decision::Attempt(spec)) => {
                    self.start_attempt(n, ticket, *spec);
                }
                route::Output::Event(route::Event::RetriedFailed) => self.retried += 1,
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, entry: usize, ticket: Ticket, spec: AttemptSpec) {
        let agent = self.agent_index[&spec.endpoint];
        if self.crashed[agent] {
            let id = spec.id;
            return self.schedule(
                NETWORK_DELAY,
                Event::AttemptEnded(entry, id, AttemptOutcome::Unreached),
            );
        }
        self.last_attempt += 1;
        let attempt = Attempt {
            entry,
            request: ticket.0 as usize,
            agent,
            spec,
            tokens: 0,
            last_token: self.now,
        };
        self.attempts.insert(self.last_attempt, attempt);
        self.schedule(NETWORK_DELAY, Event::AgentArrival(self.last_attempt));
    }

    fn agent_arrival(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let spec = &attempt.spec;
        let arrival = admit::Arrival {
            ticket: Ticket(id),
            endpoint: spec.endpoint.clone(),
            account: spec.account.clone(),
            grant: spec.grant.clone(),
            route: spec.route.clone(),
            class: spec.class.clone(),
            remaining: spec.remaining,
            target_remaining: spec.target_remaining,
            input_tokens: spec.input_tokens,
        };
        let (agent, tier) = (attempt.agent, self.tier(attempt.request));
        self.queued_tiers[agent].insert(id, tier);
        self.step_agent(agent, admit::Input::Arrive(arrival));
    }

    fn tier(&self, request: usize) -> Tier {
        let class = self.options.site.classes()[self.requests[request].class];
        Tier::try_from(class.1).unwrap_or(Tier::LOWEST)
    }

    fn step_agent(&mut self, n: usize, input: admit::Input) {
        let mut out = Outbox::default();
        self.agents[n].step(self.now, input, &mut out);
        self.apply_agent_outputs(n, out);
    }

    fn apply_agent_outputs(&mut self, n: usize, mut out: Outbox<admit::Output>) {
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                admit::Output::Start(ticket, tier) => self.start_job(n, ticket.0, tier),
                admit::Output::Reject(ticket, kind, load) => self.reject(n, ticket.0, kind, load),
                _ => {}
            }
        }
        if let Some(deadline) = self.agents[n].deadline() {
            self.schedule(deadline.since(self.now), Event::AgentTimer(n));
        }
    }

    fn start_job(&mut self, n: usize, id: u64, tier: Tier) {
        self.queued_tiers[n].remove(&id);
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let request = self.requests[attempt.request];
        let job = Job {
            id: JobId(id),
            input_tokens: request.input_tokens,
            prefix_hash: request.prefix_hash,
            output_tokens: request.output_tokens,
            priority: tier.into(),
            resume_from: 0,
        };
        let mut out = Outbox::default();
        self.engines[n].step(self.now, EngineInput::Submit(job), &mut out);
        self.apply_engine_outputs(n, out);
    }

    fn reject(&mut self, n: usize, id: u64, kind: Kind, load: Load) {
        let tier = self.queued_tiers[n].remove(&id);
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        // A priority inversion: the agent sheds a request while its queue holds one of a lower tier.
        let has_lower = |tier: Tier| {
            self.queued_tiers[n]
                .values()
                .any(|queued| tier.outranks(*queued))
        };
        if kind == Kind::Shed && tier.is_some_and(has_lower) {
            self.inversions += 1;
        }
        let outcome = AttemptOutcome::Rejected(kind, load_report(load));
        self.schedule(
            NETWORK_DELAY,
            Event::AttemptEnded(attempt.entry, attempt.spec.id, outcome),
        );
    }

    fn apply_engine_outputs(&mut self, n: usize, mut out: Outbox<EngineOutput>) {
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                EngineOutput::Token(id, _) => self.token_generated(n, id.0),
                EngineOutput::Done(id) => self.job_done(n, id.0),
                EngineOutput::Lost(id) => self.job_lost(n, id.0),
            }
        }
        if let Some(deadline) = self.engines[n].deadline() {
            self.schedule(deadline.since(self.now), Event::EngineTimer(n));
        }
    }

    fn token_generated(&mut self, n: usize, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.tokens += 1;
        let gap = self
            .now
            .since(std::mem::replace(&mut attempt.last_token, self.now));
        let outcome = &mut self.outcomes[attempt.request];
        outcome.last_token = self.now + NETWORK_DELAY;
        outcome.tokens = attempt.tokens;
        if attempt.tokens == 1 {
            outcome.first_token = Some(self.now + NETWORK_DELAY);
            let (entry, request) = (attempt.entry, attempt.spec.id);
            self.schedule(NETWORK_DELAY, Event::FirstToken(entry, request));
            self.step_agent(n, admit::Input::FirstToken(Ticket(id)));
        } else {
            self.step_agent(n, admit::Input::TokenGap(Ticket(id), gap));
        }
    }

    fn job_done(&mut self, n: usize, id: u64) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let request = self.requests[attempt.request];
        self.outcomes[attempt.request].completed = true;
        let tokens = Tokens(request.input_tokens + attempt.tokens);
        self.step_agent(n, admit::Input::Done(Ticket(id), Outcome::Served, tokens));
        let outcome = AttemptOutcome::Served(load_report(self.agents[n].load()));
        self.schedule(
            NETWORK_DELAY,
            Event::AttemptEnded(attempt.entry, attempt.spec.id, outcome),
        );
    }

    fn job_lost(&mut self, n: usize, id: u64) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.step_agent(
            n,
            admit::Input::Done(Ticket(id), Outcome::Failed, Tokens(0)),
        );
        let outcome = if attempt.tokens > 0 {
            self.outcomes[attempt.request].broken = true;
            AttemptOutcome::Broken
        } else {
            AttemptOutcome::Lost(Kind::EndpointFailed)
        };
        self.schedule(
            NETWORK_DELAY,
            Event::AttemptEnded(attempt.entry, attempt.spec.id, outcome),
        );
    }

    fn start_disturbance(&mut self) {
        match self.options.disturbance {
            Disturbance::Straggler => self.step_engine(0, EngineInput::Speed(25)),
            Disturbance::Crash => {
                self.crashed[0] = true;
                self.step_engine(0, EngineInput::Crash);
                self.schedule(RESTART_TIME, Event::DisturbanceEnd);
            }
            Disturbance::Cold => self.step_engine(0, EngineInput::Flush),
            Disturbance::Zone => {
                self.set_zone_open(false);
                self.schedule(ZONE_OUTAGE, Event::DisturbanceEnd);
            }
            Disturbance::None | Disturbance::Burst | Disturbance::Flood => {}
        }
    }

    fn end_disturbance(&mut self) {
        if self.options.disturbance == Disturbance::Crash {
            self.crashed[0] = false;
            return;
        }
        // The engines of the first zone restart cold.
        for n in (0..self.engines.len()).step_by(3) {
            self.step_engine(n, EngineInput::Crash);
        }
        self.set_zone_open(true);
    }

    fn step_engine(&mut self, n: usize, input: EngineInput) {
        let mut out = Outbox::default();
        self.engines[n].step(self.now, input, &mut out);
        self.apply_engine_outputs(n, out);
    }

    /// Opens or closes the first zone of the site.
    fn set_zone_open(&mut self, open: bool) {
        let zone = zone_name(self.options.site.zones()[0]);
        let id = self.config.find_zone(&zone);
        let Some(zone) = id.and_then(|id| self.config.zone(id)) else {
            return;
        };
        let mut spec = zone.spec.clone();
        spec.open = open;
        self.configure(vec![Change::PutZone(spec)], CONFIG_DELAY);
    }
}

fn load_report(load: Load) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        busy: load.busy,
        limit: load.limit,
    }
}

/// Parses a zone name. All names are literals of this crate and valid.
fn zone_name(text: &str) -> ids::ZoneName {
    text.parse()
        .unwrap_or_else(|_| unreachable!("{text} is a valid name"))
}

fn operator() -> ids::OperatorName {
    "bench"
        .parse()
        .unwrap_or_else(|_| unreachable!("a valid name"))
}
