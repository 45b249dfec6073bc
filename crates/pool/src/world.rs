//! The loop: arrivals, messages between fronts and engines, steps of engines.

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
    ENGINES,
    FRONTS,
    START,
    ZONES,
    hop,
    listing,
    zone, //
};
use crate::engine::{
    Engine,
    Job,
    Shape, //
};
use crate::run::Run;
use crate::score::Score;
use crate::traffic::{
    CLASSES,
    Class, //
};
use crate::trouble::Trouble;

/// How long it takes until fronts know that an engine crashed or came back.
const LIST_LAG: Duration = Duration::from_millis(1400);
/// Tokens of an answer in one event of its stream.
const EVENT_TOKENS: u64 = 6;
/// How many times longer a slow engine takes.
const SLOW: f64 = 4.0;
/// How many times more often the class with the longest prompts asks in a burst.
const BURST: f64 = 4.0;
enum Event {
    /// A caller of a class asks.
    Arrive(usize),
    /// A request reaches an engine.
    Reach(usize, Job),
    Step(usize),
    /// An engine's answer to a request begins, with its word on its load.
    Began(usize, RequestId, Load),
    /// More of an answer reaches its caller; whether it is the end.
    More(usize, RequestId, bool),
    /// An attempt failed at its engine.
    Failed(usize, RequestId, Failure),
    /// The caller waits no longer.
    Leave(usize),
    Wake(usize),
    Trouble(bool),
    Listed,
}

/// A request from its caller's view.
struct Call {
    class: usize,
    prompt: Prompt,
    front: usize,
    asked: Tick,
    at: Option<(RequestId, usize)>,
    /// When the answer began, and when more of it came last.
    heard: Option<(Tick, Tick)>,
    /// Whether a pause was longer than allowed.
    paused: bool,
    tokens: u64,
    over: bool,
}

/// One run under way.
pub(crate) struct World<C> {
    run: Run,
    rng: Pcg32,
    now: Tick,
    serial: u64,
    queue: BinaryHeap<Reverse<(Tick, u64)>>,
    events: HashMap<u64, Event>,
    fronts: Vec<Relay<C>>,
    wakes: Vec<Option<Tick>>,
    engines: Vec<Engine>,
    up: Vec<bool>,
    stepping: Vec<bool>,
    calls: Vec<Call>,
    burst: f64,
    known: HashSet<u64>,
    score: Score,
}

impl<C: Balancer + Copy> World<C> {
    pub(crate) fn new(run: Run, choice: C) -> Self {
        let front = |n: usize| {
            let seed = RelayOptions {
                zone: zone(n),
                usage_window: Duration::from_secs(5),
                retry_ratio: 0.2,
                retry_extra: 60.0,
                retry_window: Duration::from_secs(10),
                rng_seed: run.seed + n as u64,
            };
            Relay::new(seed, choice)
        };
        Self {
            run,
            rng: Pcg32::seed_from_u64(run.seed),
            now: START,
            serial: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            fronts: (0..FRONTS).map(front).collect(),
            wakes: vec![None; FRONTS],
            engines: vec![Engine::new(Shape::default()); ENGINES],
            up: vec![true; ENGINES],
            stepping: vec![false; ENGINES],
            calls: Vec::new(),
            burst: 1.0,
            known: HashSet::new(),
            score: Score::default(),
        }
    }

    pub(crate) fn play(mut self, plan: &Arc<Plan>) -> Score {
        for n in 0..FRONTS {
            let view = View {
                generation: 1,
                deployment: Some((Some(Arc::clone(plan)), Vec::new())),
                valid_until: Tick(u64::MAX),
                fronts: FRONTS,
                wall_clock: (1_000_000_000, self.now),
                requested_at: self.now,
            };
            self.tell(n, Input::View(Box::new(view)));
        }
        self.list();
        (0..CLASSES.len()).for_each(|class| self.next_arrival(class));
        self.post(self.run.length / 3, Event::Trouble(true));
        self.post(self.run.length * 2 / 3, Event::Trouble(false));
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            self.now = at;
            if let Some(event) = self.events.remove(&serial) {
                self.happen(event);
            }
        }
        self.score
    }

    fn post(&mut self, after: Duration, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn next_arrival(&mut self, class: usize) {
        let burst = if class == 0 { self.burst } else { 1.0 };
        let rate = CLASSES[class].rate * self.run.load * burst;
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        if self.now.since(START).as_secs_f64() + pause < self.run.length.as_secs_f64() {
            self.post(Duration::from_secs_f64(pause), Event::Arrive(class));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(class) => self.arrive(class),
            Event::Reach(engine, job) => self.reach(engine, job),
            Event::Step(engine) => self.step(engine),
            Event::Began(call, request, load) => {
                if self.holds(call, request) {
                    self.calls[call].heard = Some((self.now, self.now));
                    let asked = self.calls[call].asked;
                    self.score.first.push(self.now.since(asked));
                    self.tell(
                        self.calls[call].front,
                        Input::ResponseStarted(request, Some(load)),
                    );
                }
            }
            Event::More(call, request, end) => self.more(call, request, end),
            Event::Failed(call, request, failure) => {
                if self.holds(call, request) {
                    self.failed(call, request, failure);
                }
            }
            Event::Leave(call) => {
                if !self.calls[call].over {
                    self.score.failed += 1;
                    self.end(call, Input::Cancelled);
                }
            }
            Event::Wake(front) => {
                self.wakes[front] = None;
                let mut out = Outbox::default();
                self.fronts[front].wake(self.now, &mut out);
                self.perform(front, out);
            }
            Event::Trouble(begins) => self.trouble(begins),
            Event::Listed => self.list(),
        }
    }

    fn arrive(&mut self, class: usize) {
        self.next_arrival(class);
        let of = &CLASSES[class];
        let prompt = of.prompt(class, self.serial, &mut self.rng);
        let ask = RequestHead {
            name: self.calls.len().to_string(),
            host: "h".to_owned(),
            path: of.path.to_owned(),
            key: Some("k".to_owned()),
            timeout: Some(of.patience),
            body_bytes: Class::size(&prompt),
            prompt: Some(prompt.clone()),
        };
        let front = self.rng.random_range(0..FRONTS);
        let call = self.calls.len();
        self.calls.push(Call {
            class,
            prompt,
            front,
            asked: self.now,
            at: None,
            heard: None,
            paused: false,
            tokens: 0,
            over: false,
        });
        self.score.asked += 1;
        self.post(of.patience, Event::Leave(call));
        self.tell(front, Input::Request(ticket(call), Box::new(ask)));
    }

    /// Steps a front and does what it asks for.
    fn tell(&mut self, front: usize, input: Input) {
        let mut out = Outbox::default();
        self.fronts[front].step(self.now, input, &mut out);
        self.perform(front, out);
    }

    fn perform(&mut self, front: usize, mut out: Outbox<Output>) {
        for output in out.drain() {
            let Output::Reply(ticket, decision) = output else {
                continue;
            };
            let call = usize::try_from(ticket.0).unwrap_or(usize::MAX);
            match decision {
                Decision::Dispatch(go) => {
                    let engine = usize::from(go.address.port());
                    self.calls[call].at = Some((go.request, engine));
                    if self.calls[call].over {
                        self.tell(front, Input::Cancelled(go.request));
                        continue;
                    }
                    self.send(front, call, engine, go.rank);
                }
                Decision::Reject(..) if !self.calls[call].over => {
                    self.score.refused += 1;
                    self.calls[call].over = true;
                }
                Decision::PassThrough if !self.calls[call].over => {
                    self.score.failed += 1;
                    self.calls[call].over = true;
                }
                Decision::Reject(..) | Decision::PassThrough => {}
            }
        }
        let due = self.fronts[front].deadline();
        let due = due.filter(|due| self.wakes[front].is_none_or(|at| *due < at));
        if let Some(due) = due.filter(|due| due.0 < u64::MAX / 2) {
            self.wakes[front] = Some(due);
            let after = due.since(self.now);
            self.post(after, Event::Wake(front));
        }
    }

    fn send(&mut self, front: usize, call: usize, engine: usize, rank: u8) {
        let class = &CLASSES[self.calls[call].class];
        let prompt = self.calls[call].prompt.clone();
        if zone(front) != zone(engine) {
            self.score.bytes += Class::size(&prompt) as u64;
        }
        let job = Job {
            id: call,
            rank,
            left: class.output,
            unread: 0,
            prompt,
        };
        self.post(hop(front, engine), Event::Reach(engine, job));
    }

    fn reach(&mut self, engine: usize, job: Job) {
        let call = job.id;
        let Some((request, at)) = self.calls[call].at else {
            return;
        };
        if self.calls[call].over || at != engine {
            return;
        }
        let back = hop(self.calls[call].front, engine);
        if !self.up[engine] {
            self.post(back, Event::Failed(call, request, Failure::Unreached));
        } else if !self.engines[engine].offer(job) {
            self.post(back, Event::Failed(call, request, Failure::Full));
        } else {
            self.start(engine);
        }
    }

    fn start(&mut self, engine: usize) {
        if !self.stepping[engine] && self.engines[engine].busy() {
            self.stepping[engine] = true;
            self.post(Duration::ZERO, Event::Step(engine));
        }
    }

    fn step(&mut self, engine: usize) {
        self.stepping[engine] = false;
        if !self.up[engine] || !self.engines[engine].busy() {
            return;
        }
        let done = self.engines[engine].step();
        for (part, tokens) in done.read {
            if !self.known.insert(part) {
                self.score.again += tokens;
            }
        }
        for (call, last) in done.tokens {
            let Some((request, _)) = self.calls[call].at else {
                continue;
            };
            let after = done.took + hop(self.calls[call].front, engine);
            self.calls[call].tokens += 1;
            let tokens = self.calls[call].tokens;
            let first = tokens == EVENT_TOKENS || last && tokens < EVENT_TOKENS;
            if first {
                let load = self.engines[engine].load();
                self.post(after, Event::Began(call, request, load));
            }
            if last || !first && tokens.is_multiple_of(EVENT_TOKENS) {
                self.post(after, Event::More(call, request, last));
            }
        }
        self.stepping[engine] = true;
        self.post(done.took, Event::Step(engine));
    }

    /// Whether a request is still the one that an event is about.
    fn holds(&self, call: usize, request: RequestId) -> bool {
        let call = &self.calls[call];
        !call.over && call.at.is_some_and(|(id, _)| id == request)
    }

    fn more(&mut self, at: usize, request: RequestId, end: bool) {
        if !self.holds(at, request) {
            return;
        }
        let now = self.now;
        let call = &mut self.calls[at];
        let class = &CLASSES[call.class];
        let Some((began, last)) = call.heard else {
            return;
        };
        call.paused |= now.since(last) > class.pause;
        call.heard = Some((began, now));
        if !end {
            return;
        }
        if began.since(call.asked) <= class.target && !call.paused {
            self.score.in_aim += 1;
        } else {
            self.score.late += 1;
        }
        self.end(at, Input::Completed);
    }

    fn failed(&mut self, call: usize, request: RequestId, failure: Failure) {
        if self.calls[call].heard.is_some() {
            self.score.failed += 1;
            self.end(call, Input::Cancelled);
            return;
        }
        let front = self.calls[call].front;
        self.tell(front, Input::AttemptFailed(ticket(call), request, failure));
    }

    /// Ends a request at its front and at its engine.
    fn end(&mut self, call: usize, input: impl Fn(RequestId) -> Input) {
        self.calls[call].over = true;
        if let Some((request, engine)) = self.calls[call].at {
            self.engines[engine].cancel(call);
            self.tell(self.calls[call].front, input(request));
        }
    }

    fn trouble(&mut self, begins: bool) {
        match self.run.trouble {
            Trouble::None => {}
            Trouble::Burst => self.burst = if begins { BURST } else { 1.0 },
            Trouble::Slow => self.engines[0].slow = if begins { SLOW } else { 1.0 },
            Trouble::Crash => {
                for engine in 0..ZONES {
                    self.up[engine] = !begins;
                    self.crash(engine);
                }
                self.post(LIST_LAG, Event::Listed);
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        for call in self.engines[engine].crash() {
            let Some((request, _)) = self.calls[call].at else {
                continue;
            };
            let back = hop(self.calls[call].front, engine);
            self.post(back, Event::Failed(call, request, Failure::Broken));
        }
    }

    /// Tells all fronts which engines there are.
    fn list(&mut self) {
        let list: Vec<_> = (0..ENGINES)
            .filter(|n| self.up[*n])
            .map(|n| listing(n, self.now))
            .collect();
        (0..FRONTS).for_each(|front| self.tell(front, Input::Endpoints(list.clone())));
    }
}

fn ticket(call: usize) -> Ticket {
    Ticket(call as u64)
}
