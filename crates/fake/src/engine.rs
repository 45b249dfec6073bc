//! A model engine: continuous batching with slots, prefill and decode, a prefix cache, priorities,
//! cancellation, resumption and a cold start.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Tick;
use step::{
    Core,
    Outbox, //
};

/// Prefill tokens that one iteration handles at most.
const PREFILL_CHUNK: u64 = 2048;
/// Requests that a cold engine bears at once; more slow it down in proportion.
const COLD_BEARS: u64 = 2;

/// How fast and how large an engine is.
#[derive(Clone, Copy, Debug)]
pub struct Profile {
    /// Requests in one batch.
    pub slots: usize,
    /// Prompt tokens read in a second.
    pub prefill_rate: u64,
    /// Time of one iteration apart from its requests.
    pub base_time: Duration,
    /// Time that each request adds to an iteration.
    pub request_time: Duration,
    /// Tokens of prefixes that are kept.
    pub cache_tokens: u64,
    /// How long the engine runs until it is warm.
    pub warmup: Duration,
    /// How many times slower a cold engine is.
    pub cold_factor: u32,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            slots: 8,
            prefill_rate: 8_000,
            base_time: Duration::from_millis(20),
            request_time: Duration::from_millis(1),
            cache_tokens: 32_768,
            warmup: Duration::from_secs(2),
            cold_factor: 3,
        }
    }
}

/// Names a request at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request at the engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// Hash of the prompt's beginning.
    pub prefix_hash: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Lower numbers go first.
    pub priority: u8,
    /// Tokens that the caller has already.
    pub resume_from: u64,
}

/// What the engine is told.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// Run a request.
    Submit(Job),
    /// Forget a request.
    Cancel(JobId),
    /// Run at this percentage of the usual speed.
    Speed(u32),
    /// Lose the caches and the warmth.
    Flush,
    /// Lose everything and start again.
    Crash,
}

/// What the engine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// The token with this number was generated.
    Token(JobId, u64),
    /// The request is complete.
    Done(JobId),
    /// The request was lost.
    Lost(JobId),
}

/// What the engine says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Rises with each start.
    pub incarnation: u64,
    /// How often the caches were lost without a start.
    pub flushes: u64,
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait for the batch.
    pub waiting: usize,
}

#[derive(Clone, Copy, Debug)]
struct Active {
    job: Job,
    serial: u64,
    /// Prompt tokens still to be read.
    unread: u64,
    made: u64,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine {
    profile: Profile,
    active: Vec<Active>,
    cache: VecDeque<(u64, u64)>,
    serial: u64,
    incarnation: u64,
    flushes: u64,
    speed: u32,
    worked: Duration,
    iteration: Option<(Tick, Duration)>,
    /// Tokens generated since the start; the ground truth for bills.
    generated_tokens: u64,
}

impl Engine {
    /// A cold engine; a later run has a higher number.
    pub fn new(profile: Profile, incarnation: u64) -> Self {
        Self {
            profile,
            active: Vec::new(),
            cache: VecDeque::new(),
            serial: 0,
            incarnation,
            flushes: 0,
            speed: 100,
            worked: Duration::ZERO,
            iteration: None,
            generated_tokens: 0,
        }
    }

    /// The load now.
    pub fn load(&self) -> EngineLoad {
        let running = self.active.len().min(self.profile.slots);
        EngineLoad {
            incarnation: self.incarnation,
            flushes: self.flushes,
            running,
            waiting: self.active.len() - running,
        }
    }

    /// Tokens generated over all runs.
    pub fn generated_tokens(&self) -> u64 {
        self.generated_tokens
    }

    fn is_cold(&self) -> bool {
        self.worked < self.profile.warmup
    }

    fn submit(&mut self, job: Job) {
        self.serial += 1;
        let cached = self
            .cache
            .iter()
            .position(|(prefix, _)| *prefix == job.prefix_hash);
        let known = cached
            .and_then(|at| self.cache.remove(at))
            .map_or(0, |(_, tokens)| tokens);
        self.cache.push_back((job.prefix_hash, job.input_tokens));
        while self.cache.iter().map(|(_, tokens)| tokens).sum::<u64>() > self.profile.cache_tokens {
            self.cache.pop_front();
        }
        let unread = (job.input_tokens + job.resume_from)
            .saturating_sub(known * 9 / 10)
            .max(1);
        self.active.push(Active {
            job,
            serial: self.serial,
            unread,
            made: job.resume_from,
        });
        self.active
            .sort_by_key(|active| (active.job.priority, active.serial));
    }

    /// Begins an iteration over the batch, if there is one.
    fn begin(&mut self, now: Tick) {
        if self.iteration.is_some() || self.active.is_empty() {
            return;
        }
        let slots = self.profile.slots;
        let (mut reading, mut decoding) = (0, 0u32);
        for active in self.active.iter().take(slots) {
            if active.unread > 0 {
                reading += active.unread.min(PREFILL_CHUNK - reading);
            } else {
                decoding += 1;
            }
        }
        let read = Duration::from_micros(reading * 1_000_000 / self.profile.prefill_rate.max(1));
        let mut span = self.profile.base_time + self.profile.request_time * decoding + read;
        if self.is_cold() {
            let batch = self.active.len().min(slots) as u64;
            let crowd = u32::try_from(batch.div_ceil(COLD_BEARS)).unwrap_or(u32::MAX);
            span *= self.profile.cold_factor * crowd;
        }
        let span = span * 100 / self.speed.max(1);
        self.iteration = Some((now + span, span));
    }

    /// Ends an iteration: every request in the batch has read or generated something.
    fn end(&mut self, span: Duration, out: &mut Outbox<Output>) {
        self.worked += span;
        let mut budget = PREFILL_CHUNK;
        for active in self.active.iter_mut().take(self.profile.slots) {
            if active.unread > 0 {
                let read = active.unread.min(budget);
                budget -= read;
                active.unread -= read;
                if active.unread > 0 {
                    continue;
                }
            }
            out.push(Output::Token(active.job.id, active.made));
            active.made += 1;
            self.generated_tokens += 1;
            if active.made >= active.job.output_tokens {
                out.push(Output::Done(active.job.id));
            }
        }
        self.active
            .retain(|active| active.made < active.job.output_tokens);
    }

    fn crash(&mut self, out: &mut Outbox<Output>) {
        for active in self.active.drain(..) {
            out.push(Output::Lost(active.job.id));
        }
        self.cache.clear();
        self.incarnation += 1;
        self.worked = Duration::ZERO;
        self.iteration = None;
    }
}

impl Core for Engine {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::Submit(job) => self.submit(job),
            Input::Cancel(id) => self.active.retain(|active| active.job.id != id),
            Input::Speed(percent) => self.speed = percent,
            Input::Flush => {
                self.cache.clear();
                self.flushes += 1;
                self.worked = Duration::ZERO;
            }
            Input::Crash => self.crash(out),
        }
        self.begin(now);
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if let Some((_, span)) = self.iteration.take_if(|(end, _)| *end <= now) {
            self.end(span, out);
        }
        self.begin(now);
    }

    fn deadline(&self) -> Option<Tick> {
        self.iteration.map(|(end, _)| end)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn job(id: u64, priority: u8, output: u64) -> Job {
        Job {
            id: JobId(id),
            input_tokens: 100,
            prefix_hash: id,
            output_tokens: output,
            priority,
            resume_from: 0,
        }
    }

    /// Runs the jobs to their end; returns who finished, in order, and when the last one did.
    fn finish(profile: Profile, jobs: &[Job]) -> (Vec<u64>, Tick) {
        let mut engine = Engine::new(profile, 1);
        let mut out = Outbox::default();
        let (mut done, mut now) = (Vec::new(), Tick::default());
        jobs.iter()
            .for_each(|job| engine.step(now, Input::Submit(*job), &mut out));
        while let Some(at) = engine.deadline() {
            now = at;
            engine.wake(now, &mut out);
            done.extend(out.drain().filter_map(|output| match output {
                Output::Done(id) => Some(id.0),
                _ => None,
            }));
        }
        (done, now)
    }

    fn one_slot() -> Profile {
        Profile {
            slots: 1,
            warmup: Duration::ZERO,
            ..Profile::default()
        }
    }

    case::cases! {
        higher_priority_goes_first: assert_eq!(finish(one_slot(), &[job(1, 3, 5), job(2, 0, 5)]).0, [2, 1]);
        equal_priority_in_order: assert_eq!(finish(one_slot(), &[job(1, 1, 5), job(2, 1, 5)]).0, [1, 2]);
        known_prefix_is_faster: {
            let long = Job { input_tokens: 4000, prefix_hash: 9, ..job(1, 0, 1) };
            let twice = finish(one_slot(), &[long, Job { id: JobId(2), ..long }]).1;
            let fresh = finish(one_slot(), &[long, Job { id: JobId(2), prefix_hash: 8, ..long }]).1;
            assert!(twice < fresh, "{twice:?} {fresh:?}");
        };
        cold_engine_is_slower: {
            let cold = Profile { warmup: Duration::from_secs(9), ..one_slot() };
            assert!(finish(cold, &[job(1, 0, 5)]).1 > finish(one_slot(), &[job(1, 0, 5)]).1);
        };
        resumed_job_makes_the_rest: {
            let resumed = Job { resume_from: 4, ..job(1, 0, 5) };
            let mut engine = Engine::new(one_slot(), 1);
            let mut out = Outbox::default();
            engine.step(Tick::default(), Input::Submit(resumed), &mut out);
            engine.wake(engine.deadline().unwrap(), &mut out);
            let made: Vec<_> = out.drain().collect();
            assert_eq!(made, [Output::Token(JobId(1), 4), Output::Done(JobId(1))]);
        };
    }
}
