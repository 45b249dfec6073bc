//! The event loop of a run: request arrivals, messages between fronts and engines, engine steps.

use std::cmp::Reverse;
use std::collections::{
    BinaryHeap,
    HashMap,
    HashSet, //
};
use std::sync::Arc;
use std::time::Duration;

use ids::{
    RequestId,
    Tick,
    Ticket, //
};
use plan::Plan;
use quarantine::ContentDigest;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use relay::{
    Balancer,
    Decision,
    Failure,
    Input,
    Load,
    Output,
    Relay,
    RelayOptions,
    RequestHead,
    View, //
};
use step::{
    Core,
    Outbox, //
};

use crate::call::{
    Call,
    Outcome, //
};
use crate::deployment::{
    START_TIME,
    network_delay,
    zone_name, //
};
use crate::disturbance::Disturbance;
use crate::engine::{
    Engine,
    Job, //
};
use crate::metrics::Metrics;
use crate::options::RunOptions;
use crate::spread::Sampler;
use crate::traffic::Class;

/// A scheduled event. Its `usize` values are indices of a class, a call, an engine or a front.
pub(crate) enum Event {
    /// A client sends a request of a class.
    Arrival(usize),
    /// A dispatched request arrives at an engine.
    EngineArrival(usize, Job),
    /// An engine executes its next step.
    EngineStep(usize),
    /// The first event of a response arrives, with the load that the engine reports.
    ResponseStarted(usize, RequestId, Load),
    /// A later event of a response arrives; true for the last one.
    ResponseContinued(usize, RequestId, bool),
    /// A front is notified that an attempt failed.
    AttemptFailed(usize, RequestId, Failure),
    /// The client's timeout expires.
    ClientTimeout(usize),
    /// The deadline of a front's core is reached.
    FrontTimer(usize),
    /// The disturbance of the run starts (true) or ends.
    Disturbance(bool),
    /// The fronts receive a new endpoint list.
    EndpointsChanged,
    /// The load of the other workloads of an engine's machine changes.
    NeighborsChanged(usize),
}

/// The state of one run.
pub(crate) struct Simulation<C> {
    pub(crate) options: RunOptions,
    classes: [Class; 3],
    pub(crate) rng: Pcg32,
    pub(crate) now: Tick,
    /// Number of the latest scheduled event; events of the same time run in this order.
    serial: u64,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: HashMap<u64, Event>,
    pub(crate) fronts: Vec<Relay<C>>,
    /// The earliest scheduled timer of each front.
    timers: Vec<Option<Tick>>,
    pub(crate) engines: Vec<Engine>,
    /// Which engines accept requests; a crashed engine does not.
    pub(crate) available: Vec<bool>,
    /// Which engines have a scheduled step.
    stepping: Vec<bool>,
    pub(crate) calls: Vec<Call>,
    /// Current factor on the request rate of the class that a burst applies to.
    pub(crate) burst_factor: f64,
    /// Prompt parts that at least one engine has prefilled.
    prefilled: HashSet<u64>,
    pub(crate) sampler: Sampler,
    pub(crate) metrics: Metrics,
}

impl<C: Balancer + Copy> Simulation<C> {
    pub(crate) fn new(options: RunOptions, balancer: C) -> Self {
        let front = |n: usize| {
            let relay_options = RelayOptions {
                zone: zone_name(n),
                usage_window: Duration::from_secs(5),
                retry_ratio: 0.2,
                retry_extra: 60.0,
                retry_window: Duration::from_secs(10),
                rng_seed: options.seed + n as u64,
            };
            Relay::new(relay_options, balancer)
        };
        let workload = options.workload;
        let (fronts, engines) = (workload.fronts(), workload.engines());
        let engine = |n| {
            let speed = options.speed * workload.engine_speed(n);
            Engine::new(workload.engine().at_speed(speed))
        };
        Self {
            options,
            classes: workload.classes(options.speed),
            rng: Pcg32::seed_from_u64(options.seed),
            now: START_TIME,
            serial: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            fronts: (0..fronts).map(front).collect(),
            timers: vec![None; fronts],
            engines: (0..engines).map(engine).collect(),
            available: vec![true; engines],
            stepping: vec![false; engines],
            calls: Vec::new(),
            burst_factor: 1.0,
            prefilled: HashSet::new(),
            sampler: Sampler::new(START_TIME),
            metrics: Metrics::default(),
        }
    }

    /// Runs all events and returns the results.
    pub(crate) fn run(mut self, plan: &Arc<Plan>) -> Metrics {
        for n in 0..self.fronts.len() {
            let view = View {
                generation: 1,
                deployment: Some((Some(Arc::clone(plan)), Vec::new())),
                valid_until: Tick(u64::MAX),
                fronts: self.fronts.len(),
                wall_clock: (1_000_000_000, self.now),
                requested_at: self.now,
                quarantine: None,
            };
            self.step_front(n, Input::View(Box::new(view)));
        }
        self.publish_endpoints();
        self.start_neighbors();
        (0..self.classes.len()).for_each(|class| self.next_arrival(class));
        self.schedule(self.options.duration / 3, Event::Disturbance(true));
        self.schedule(self.options.duration * 2 / 3, Event::Disturbance(false));
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            self.sample_until(at);
            self.now = at;
            if let Some(event) = self.events.remove(&serial) {
                self.handle(event);
            }
        }
        for call in &self.calls {
            let class = &self.classes[call.class];
            self.metrics.classes[call.class].record(class, call);
        }
        self.metrics
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Schedules the next request of a class by a Poisson process, until the run's duration is
    /// over.
    fn next_arrival(&mut self, class: usize) {
        let bursting = match self.options.disturbance {
            Disturbance::ShortBurst => self.classes.len() - 1,
            _ => 0,
        };
        let factor = if class == bursting {
            self.burst_factor
        } else {
            1.0
        };
        let rate = self.classes[class].rate * self.options.load * factor;
        let interval_s = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        if self.now.since(START_TIME).as_secs_f64() + interval_s
            < self.options.duration.as_secs_f64()
        {
            self.schedule(Duration::from_secs_f64(interval_s), Event::Arrival(class));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(class) => self.arrive(class),
            Event::EngineArrival(engine, job) => self.engine_arrival(engine, job),
            Event::EngineStep(engine) => self.step_engine(engine),
            Event::ResponseStarted(call, request, load) => {
                if self.is_current(call, request) {
                    self.calls[call].event_times = Some((self.now, self.now));
                    let sent_at = self.calls[call].sent_at;
                    self.metrics.first_event.push(self.now.since(sent_at));
                    self.step_front(
                        self.calls[call].front,
                        Input::ResponseStarted(request, Some(load)),
                    );
                }
            }
            Event::ResponseContinued(call, request, last) => {
                self.response_event(call, request, last)
            }
            Event::AttemptFailed(call, request, failure) => {
                if self.is_current(call, request) {
                    self.attempt_failed(call, request, failure);
                }
            }
            Event::ClientTimeout(call) => {
                if !self.calls[call].finished() {
                    self.finish(call, Outcome::Failed, Input::Cancelled);
                }
            }
            Event::FrontTimer(front) => {
                self.timers[front] = None;
                let mut out = Outbox::default();
                self.fronts[front].wake(self.now, &mut out);
                self.apply_outputs(front, out);
            }
            Event::Disturbance(active) => self.set_disturbance(active),
            Event::EndpointsChanged => self.publish_endpoints(),
            Event::NeighborsChanged(engine) => self.change_neighbors(engine),
        }
    }

    fn arrive(&mut self, class: usize) {
        self.next_arrival(class);
        let spec = self.classes[class];
        let prompt = spec.prompt(class, self.serial, &mut self.rng);
        let head = RequestHead {
            name: self.calls.len().to_string(),
            host: "h".to_owned(),
            path: spec.path.to_owned(),
            key: Some("k".to_owned()),
            timeout: Some(spec.timeout),
            body_bytes: Class::body_bytes(&prompt),
            content: ContentDigest::new("POST", spec.path, &self.calls.len().to_le_bytes()),
            prompt: Some(prompt.clone()),
        };
        let front = self.draw_front();
        let call = self.calls.len();
        self.calls.push(Call::new(class, prompt, front, self.now));
        self.metrics.requests += 1;
        self.schedule(spec.timeout, Event::ClientTimeout(call));
        self.step_front(front, Input::Request(ticket(call), Box::new(head)));
    }

    /// Draws the front that a client sends its request to.
    fn draw_front(&mut self) -> usize {
        let workload = self.options.workload;
        let callers = (0..self.fronts.len()).flat_map(|n| vec![n; workload.callers(n)]);
        let callers: Vec<_> = callers.collect();
        callers[self.rng.random_range(0..callers.len())]
    }

    /// Passes an input to a front and applies the outputs.
    pub(crate) fn step_front(&mut self, front: usize, input: Input) {
        let mut out = Outbox::default();
        self.fronts[front].step(self.now, input, &mut out);
        self.apply_outputs(front, out);
    }

    /// Applies a front's decisions and schedules its timer.
    fn apply_outputs(&mut self, front: usize, mut out: Outbox<Output>) {
        for output in out.drain() {
            let Output::Reply(ticket, decision) = output else {
                continue;
            };
            let call = usize::try_from(ticket.0).unwrap_or(usize::MAX);
            match decision {
                Decision::Dispatch(attempt) => {
                    let engine = usize::from(attempt.address.port());
                    self.calls[call].attempt = Some((attempt.request, engine));
                    if self.calls[call].finished() {
                        self.step_front(front, Input::Cancelled(attempt.request));
                        continue;
                    }
                    self.dispatch(front, call, engine, attempt.rank);
                }
                Decision::Reject(..) if !self.calls[call].finished() => {
                    self.end(call, Outcome::Rejected);
                }
                Decision::PassThrough if !self.calls[call].finished() => {
                    self.end(call, Outcome::Failed);
                }
                Decision::Reject(..) | Decision::PassThrough => {}
            }
        }
        let deadline = self.fronts[front].deadline();
        let deadline =
            deadline.filter(|deadline| self.timers[front].is_none_or(|at| *deadline < at));
        // The simulated views never expire, so their expiry needs no timer.
        if let Some(deadline) = deadline.filter(|deadline| deadline.0 < u64::MAX / 2) {
            self.timers[front] = Some(deadline);
            let after = deadline.since(self.now);
            self.schedule(after, Event::FrontTimer(front));
        }
    }

    fn dispatch(&mut self, front: usize, call: usize, engine: usize, rank: u8) {
        let class = self.classes[self.calls[call].class];
        let prompt = self.calls[call].prompt.clone();
        if zone_name(front) != zone_name(engine) {
            self.metrics.transferred_bytes += Class::body_bytes(&prompt) as u64;
        }
        let job = Job {
            id: call,
            rank,
            output_left: class.output_tokens,
            prefill_left: 0,
            prompt,
        };
        self.schedule(
            network_delay(front, engine),
            Event::EngineArrival(engine, job),
        );
    }

    fn engine_arrival(&mut self, engine: usize, job: Job) {
        let call = job.id;
        let Some((request, target)) = self.calls[call].attempt else {
            return;
        };
        if self.calls[call].finished() || target != engine {
            return;
        }
        let delay = network_delay(self.calls[call].front, engine);
        if !self.available[engine] {
            self.schedule(
                delay,
                Event::AttemptFailed(call, request, Failure::Unreached),
            );
        } else if !self.engines[engine].enqueue(job) {
            self.schedule(delay, Event::AttemptFailed(call, request, Failure::Full));
        } else {
            self.start_stepping(engine);
        }
    }

    fn start_stepping(&mut self, engine: usize) {
        if !self.stepping[engine] && self.engines[engine].has_work() {
            self.stepping[engine] = true;
            self.schedule(Duration::ZERO, Event::EngineStep(engine));
        }
    }

    fn step_engine(&mut self, engine: usize) {
        self.stepping[engine] = false;
        if !self.available[engine] || !self.engines[engine].has_work() {
            return;
        }
        let result = self.engines[engine].step();
        self.metrics.preempted += result.preempted;
        for (call, work_ms) in result.work {
            self.calls[call].work_ms += work_ms;
        }
        let event_tokens = self.options.workload.event_tokens();
        for (part, tokens) in result.prefilled {
            if !self.prefilled.insert(part) {
                self.metrics.recomputed += tokens;
            }
        }
        for (call, last) in result.tokens {
            let Some((request, _)) = self.calls[call].attempt else {
                continue;
            };
            let after = result.duration + network_delay(self.calls[call].front, engine);
            self.calls[call].tokens += 1;
            let tokens = self.calls[call].tokens;
            let first = tokens == event_tokens || last && tokens < event_tokens;
            if first {
                let load = self.engines[engine].load();
                self.schedule(after, Event::ResponseStarted(call, request, load));
            }
            if last || !first && tokens.is_multiple_of(event_tokens) {
                self.schedule(after, Event::ResponseContinued(call, request, last));
            }
        }
        self.stepping[engine] = true;
        self.schedule(result.duration, Event::EngineStep(engine));
    }

    /// Whether a call is unfinished and `request` identifies its current attempt.
    fn is_current(&self, call: usize, request: RequestId) -> bool {
        let call = &self.calls[call];
        !call.finished() && call.attempt.is_some_and(|(id, _)| id == request)
    }

    fn response_event(&mut self, index: usize, request: RequestId, is_last: bool) {
        if !self.is_current(index, request) {
            return;
        }
        let now = self.now;
        let call = &mut self.calls[index];
        let class = &self.classes[call.class];
        call.record_event(now);
        let Some((first_at, _)) = call.event_times else {
            return;
        };
        if !is_last {
            return;
        }
        let started_on_time = first_at.since(call.sent_at) <= class.latency_target;
        let outcome = if started_on_time && call.longest_pause <= class.event_gap {
            Outcome::OnTime
        } else {
            Outcome::Late
        };
        self.finish(index, outcome, Input::Completed);
    }

    fn attempt_failed(&mut self, call: usize, request: RequestId, failure: Failure) {
        if self.calls[call].event_times.is_some() {
            self.finish(call, Outcome::Failed, Input::Cancelled);
            return;
        }
        let front = self.calls[call].front;
        self.step_front(front, Input::AttemptFailed(ticket(call), request, failure));
    }

    /// Ends a call: cancels it at its engine and passes the input to its front.
    fn finish(&mut self, call: usize, outcome: Outcome, input: impl Fn(RequestId) -> Input) {
        self.end(call, outcome);
        if let Some((request, engine)) = self.calls[call].attempt {
            self.engines[engine].cancel(call);
            self.step_front(self.calls[call].front, input(request));
        }
    }

    /// Records the outcome of a call.
    fn end(&mut self, call: usize, outcome: Outcome) {
        self.calls[call].end(self.now, outcome);
        match outcome {
            Outcome::OnTime => self.metrics.on_time += 1,
            Outcome::Late => self.metrics.late += 1,
            Outcome::Rejected => self.metrics.rejected += 1,
            Outcome::Failed => self.metrics.failed += 1,
        }
    }
}

fn ticket(call: usize) -> Ticket {
    Ticket(call as u64)
}
