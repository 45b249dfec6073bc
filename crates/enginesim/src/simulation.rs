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
    Prompt,
    Relay,
    RelayOptions,
    RequestHead,
    View, //
};
use step::{
    Core,
    Outbox, //
};

use crate::deployment::{
    START_TIME,
    ZONES,
    endpoint_info,
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
use crate::traffic::Class;

/// Delay until fronts receive the endpoint list that shows a crash or a restart.
const LIST_DELAY: Duration = Duration::from_millis(1400);
/// Response tokens in one event of a stream.
const EVENT_TOKENS: u64 = 6;
/// Factor on the step duration of a slow engine.
const SLOWDOWN: f64 = 4.0;
/// A scheduled event. Its `usize` values are indices of a class, a call, an engine or a front.
enum Event {
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
}

/// A client's request and its state.
struct Call {
    class: usize,
    prompt: Prompt,
    front: usize,
    sent_at: Tick,
    /// The front's request identity and the engine of the current attempt.
    attempt: Option<(RequestId, usize)>,
    /// Arrival times of the first and the latest event of the response.
    event_times: Option<(Tick, Tick)>,
    /// Whether a pause between two events exceeded the limit of the class.
    gap_exceeded: bool,
    tokens: u64,
    /// Whether the outcome is counted.
    finished: bool,
}

/// The state of one run.
pub(crate) struct Simulation<C> {
    options: RunOptions,
    classes: [Class; 3],
    rng: Pcg32,
    now: Tick,
    /// Number of the latest scheduled event; events of the same time run in this order.
    serial: u64,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: HashMap<u64, Event>,
    fronts: Vec<Relay<C>>,
    /// The earliest scheduled timer of each front.
    timers: Vec<Option<Tick>>,
    engines: Vec<Engine>,
    /// Which engines accept requests; a crashed engine does not.
    available: Vec<bool>,
    /// Which engines have a scheduled step.
    stepping: Vec<bool>,
    calls: Vec<Call>,
    /// Current factor on the request rate of the class with the longest prompts.
    burst_factor: f64,
    /// Prompt parts that at least one engine has prefilled.
    prefilled: HashSet<u64>,
    metrics: Metrics,
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
            engines: vec![Engine::new(workload.engine().at_speed(options.speed)); engines],
            available: vec![true; engines],
            stepping: vec![false; engines],
            calls: Vec::new(),
            burst_factor: 1.0,
            prefilled: HashSet::new(),
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
        (0..self.classes.len()).for_each(|class| self.next_arrival(class));
        self.schedule(self.options.duration / 3, Event::Disturbance(true));
        self.schedule(self.options.duration * 2 / 3, Event::Disturbance(false));
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&serial) {
                self.handle(event);
            }
        }
        self.metrics
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, event);
    }

    /// Schedules the next request of a class by a Poisson process, until the run's duration is
    /// over.
    fn next_arrival(&mut self, class: usize) {
        let factor = if class == 0 { self.burst_factor } else { 1.0 };
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
                if !self.calls[call].finished {
                    self.metrics.failed += 1;
                    self.finish(call, Input::Cancelled);
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
        let front = self.rng.random_range(0..self.fronts.len());
        let call = self.calls.len();
        self.calls.push(Call {
            class,
            prompt,
            front,
            sent_at: self.now,
            attempt: None,
            event_times: None,
            gap_exceeded: false,
            tokens: 0,
            finished: false,
        });
        self.metrics.requests += 1;
        self.schedule(spec.timeout, Event::ClientTimeout(call));
        self.step_front(front, Input::Request(ticket(call), Box::new(head)));
    }

    /// Passes an input to a front and applies the outputs.
    fn step_front(&mut self, front: usize, input: Input) {
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
                    if self.calls[call].finished {
                        self.step_front(front, Input::Cancelled(attempt.request));
                        continue;
                    }
                    self.dispatch(front, call, engine, attempt.rank);
                }
                Decision::Reject(..) if !self.calls[call].finished => {
                    self.metrics.rejected += 1;
                    self.calls[call].finished = true;
                }
                Decision::PassThrough if !self.calls[call].finished => {
                    self.metrics.failed += 1;
                    self.calls[call].finished = true;
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
        if self.calls[call].finished || target != engine {
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
            let first = tokens == EVENT_TOKENS || last && tokens < EVENT_TOKENS;
            if first {
                let load = self.engines[engine].load();
                self.schedule(after, Event::ResponseStarted(call, request, load));
            }
            if last || !first && tokens.is_multiple_of(EVENT_TOKENS) {
                self.schedule(after, Event::ResponseContinued(call, request, last));
            }
        }
        self.stepping[engine] = true;
        self.schedule(result.duration, Event::EngineStep(engine));
    }

    /// Whether a call is unfinished and `request` identifies its current attempt.
    fn is_current(&self, call: usize, request: RequestId) -> bool {
        let call = &self.calls[call];
        !call.finished && call.attempt.is_some_and(|(id, _)| id == request)
    }

    fn response_event(&mut self, index: usize, request: RequestId, is_last: bool) {
        if !self.is_current(index, request) {
            return;
        }
        let now = self.now;
        let classes = self.classes;
        let call = &mut self.calls[index];
        let class = &classes[call.class];
        let Some((first_at, last_at)) = call.event_times else {
            return;
        };
        call.gap_exceeded |= now.since(last_at) > class.event_gap;
        call.event_times = Some((first_at, now));
        if !is_last {
            return;
        }
        if first_at.since(call.sent_at) <= class.latency_target && !call.gap_exceeded {
            self.metrics.on_time += 1;
        } else {
            self.metrics.late += 1;
        }
        self.finish(index, Input::Completed);
    }

    fn attempt_failed(&mut self, call: usize, request: RequestId, failure: Failure) {
        if self.calls[call].event_times.is_some() {
            self.metrics.failed += 1;
            self.finish(call, Input::Cancelled);
            return;
        }
        let front = self.calls[call].front;
        self.step_front(front, Input::AttemptFailed(ticket(call), request, failure));
    }

    /// Ends a call: cancels it at its engine and passes the input to its front.
    fn finish(&mut self, call: usize, input: impl Fn(RequestId) -> Input) {
        self.calls[call].finished = true;
        if let Some((request, engine)) = self.calls[call].attempt {
            self.engines[engine].cancel(call);
            self.step_front(self.calls[call].front, input(request));
        }
    }

    fn set_disturbance(&mut self, active: bool) {
        let factor = self.options.workload.burst_factor();
        match self.options.disturbance {
            Disturbance::None => {}
            Disturbance::Burst => self.burst_factor = if active { factor } else { 1.0 },
            Disturbance::Slow => self.engines[0].slowdown = if active { SLOWDOWN } else { 1.0 },
            Disturbance::Crash => {
                for engine in 0..ZONES {
                    self.available[engine] = !active;
                    self.crash(engine);
                }
                self.schedule(LIST_DELAY, Event::EndpointsChanged);
            }
        }
    }

    /// Crashes an engine; its requests fail at their fronts.
    fn crash(&mut self, engine: usize) {
        for call in self.engines[engine].crash() {
            let Some((request, _)) = self.calls[call].attempt else {
                continue;
            };
            let delay = network_delay(self.calls[call].front, engine);
            self.schedule(delay, Event::AttemptFailed(call, request, Failure::Broken));
        }
    }

    /// Sends the list of available engines to all fronts.
    fn publish_endpoints(&mut self) {
        let endpoints: Vec<_> = (0..self.engines.len())
            .filter(|n| self.available[*n])
            .map(|n| endpoint_info(self.options.workload, n, self.now))
            .collect();
        (0..self.fronts.len())
            .for_each(|front| self.step_front(front, Input::Endpoints(endpoints.clone())));
    }
}

fn ticket(call: usize) -> Ticket {
    Ticket(call as u64)
}
