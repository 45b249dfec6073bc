//! One engine: it reads prompts in chunks between the tokens of what runs beside them.

use std::collections::HashMap;
use std::time::Duration;

use relay::{
    Load,
    Prompt, //
};

/// What an engine can do. The figures are those of the first users' engines.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Requests it works on at once.
    pub slots: usize,
    /// Requests that may wait.
    pub queue: usize,
    /// Tokens of prompts and answers that it remembers.
    pub memory: u64,
    /// Length of a step with nothing to do, in milliseconds.
    pub step: f64,
    /// What each request adds to a step, in milliseconds.
    pub beside: f64,
    /// Prompt tokens read in a millisecond.
    pub read: f64,
    /// Most prompt tokens read in one step.
    pub chunk: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            slots: 64,
            queue: 134,
            memory: 512_004,
            step: 3.03,
            beside: 0.121,
            read: 92.1,
            chunk: 2048,
        }
    }
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identity in the model.
    pub id: usize,
    /// Urgency; 0 is first.
    pub rank: u8,
    /// The prompt.
    pub prompt: Prompt,
    /// Tokens of the answer that are still to come.
    pub left: u64,
    /// Tokens of the prompt that are still to be read; set when it is taken up.
    pub unread: u64,
}

impl Job {
    /// Tokens that only this request needs.
    fn own(&self) -> u64 {
        self.prompt.unique_tokens() + self.prompt.max_output
    }
}

/// What came of one step.
#[derive(Debug, Default)]
pub struct Step {
    /// How long it took.
    pub took: Duration,
    /// Requests that got one more token, and whether it was the last.
    pub tokens: Vec<(usize, bool)>,
    /// Shared parts that were read: their identities and tokens.
    pub read: Vec<(u64, u64)>,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    shape: Shape,
    queue: Vec<Job>,
    running: Vec<Job>,
    /// Parts in memory: tokens and the step of their last use.
    kept: HashMap<u64, (u64, u64)>,
    steps: u64,
    /// How many times longer each step takes than it should.
    pub slow: f64,
}

impl Engine {
    /// An idle engine with an empty memory.
    pub fn new(shape: Shape) -> Self {
        Self {
            shape,
            queue: Vec::new(),
            running: Vec::new(),
            kept: HashMap::new(),
            steps: 0,
            slow: 1.0,
        }
    }

    /// Takes a request into the queue. Returns false if the queue is full.
    pub fn offer(&mut self, job: Job) -> bool {
        if self.queue.len() >= self.shape.queue {
            return false;
        }
        self.queue.push(job);
        true
    }

    /// Drops a request.
    pub fn cancel(&mut self, id: usize) {
        self.queue.retain(|job| job.id != id);
        self.running.retain(|job| job.id != id);
    }

    /// Loses everything, as a crash does. Returns the requests that were there.
    pub fn crash(&mut self) -> Vec<usize> {
        self.kept.clear();
        let jobs = self.queue.drain(..).chain(self.running.drain(..));
        jobs.map(|job| job.id).collect()
    }

    /// Whether there is anything to do.
    pub fn busy(&self) -> bool {
        !self.queue.is_empty() || !self.running.is_empty()
    }

    /// The engine's word on its load.
    pub fn load(&self) -> Load {
        let count = |jobs: &[Job]| u32::try_from(jobs.len()).unwrap_or(u32::MAX);
        Load {
            running: count(&self.running),
            waiting: count(&self.queue),
            slots: u32::try_from(self.shape.slots).unwrap_or(u32::MAX),
        }
    }

    /// Works for one step.
    pub fn step(&mut self) -> Step {
        self.steps += 1;
        self.admit();
        let mut done = Step::default();
        let mut chunk = self.shape.chunk;
        for job in &mut self.running {
            if job.unread == 0 {
                job.left = job.left.saturating_sub(1);
                done.tokens.push((job.id, job.left == 0));
                continue;
            }
            let read = job.unread.min(chunk);
            chunk -= read;
            job.unread -= read;
            if job.unread == 0 {
                let shared = job.prompt.parts.iter().rev().skip(1);
                let fresh = shared.filter(|(part, _)| !self.kept.contains_key(part));
                done.read.extend(fresh.copied());
                for (part, tokens) in &job.prompt.parts {
                    self.kept.insert(*part, (*tokens, self.steps));
                }
            }
        }
        let read = (self.shape.chunk - chunk) as f64 / self.shape.read;
        let beside = self.running.len() as f64 * self.shape.beside;
        let took = (self.shape.step + beside + read) * self.slow;
        done.took = Duration::from_secs_f64(took / 1000.0);
        self.running.retain(|job| job.left > 0);
        self.forget();
        done
    }

    /// Takes up what waits, the most urgent first, while there is a place and memory for it.
    fn admit(&mut self) {
        self.queue.sort_by_key(|job| job.rank);
        while self.running.len() < self.shape.slots && !self.queue.is_empty() {
            let needed = self.queue[0].own() + self.needed();
            if needed > self.shape.memory && !self.running.is_empty() {
                return;
            }
            let mut job = self.queue.remove(0);
            let held = job.prompt.parts.iter().map_while(|(part, tokens)| {
                let kept = self.kept.get_mut(part)?;
                kept.1 = self.steps;
                Some(*tokens)
            });
            let held: u64 = held.sum();
            // The last token of a prompt is always read.
            job.unread = job.prompt.input_tokens.saturating_sub(held).max(1);
            self.running.push(job);
        }
    }

    /// Tokens that the running requests need for themselves.
    fn needed(&self) -> u64 {
        self.running.iter().map(Job::own).sum()
    }

    /// Drops the parts that were not used for longest until the rest fits.
    fn forget(&mut self) {
        let room = self.shape.memory.saturating_sub(self.needed());
        let mut used: u64 = self.kept.values().map(|(tokens, _)| tokens).sum();
        if used <= room {
            return;
        }
        let mut parts: Vec<_> = self
            .kept
            .iter()
            .map(|(part, kept)| (kept.1, *part))
            .collect();
        parts.sort_unstable();
        for (_, part) in parts {
            if used <= room {
                break;
            }
            used -= self.kept.remove(&part).map_or(0, |(tokens, _)| tokens);
        }
    }
}
