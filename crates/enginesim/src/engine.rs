//! A model of one batching engine with chunked prefill, a prefix cache and a priority queue.
//!
//! In each step, every running request either prefills a part of its prompt or generates one
//! token.

use std::collections::{
    HashMap,
    HashSet, //
};
use std::time::Duration;

use relay::{
    Load,
    Prompt, //
};

/// Share of the KV cache up to which an engine that preempts starts requests. The rest keeps a
/// request from being preempted by the next tokens of the others as soon as it starts.
const ADMISSION_SHARE: f64 = 0.99;

/// The limits and the speed of an engine. The default describes the engines of the first users.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Capacity of the KV cache, in tokens of prompts and responses.
    pub kv_tokens: u64,
    /// Duration of a step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each running request adds to a step, in milliseconds.
    pub request_ms: f64,
    /// Prompt tokens prefilled per millisecond.
    pub prefill_rate: f64,
    /// Maximum number of prompt tokens prefilled in one step, over all requests of the batch.
    pub chunk_tokens: u64,
    /// Whether a request takes KV cache as it generates tokens, and may be preempted when the cache is
    /// full. Otherwise, the cache for its whole response is reserved when it starts.
    pub preempts: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            slots: 64,
            max_queued: 134,
            kv_tokens: 512_004,
            step_ms: 3.03,
            request_ms: 0.121,
            prefill_rate: 92.1,
            chunk_tokens: 2048,
            preempts: false,
        }
    }
}

impl EngineSpec {
    /// The same engine at a multiple of its speed.
    pub fn at_speed(self, speed: f64) -> Self {
        Self {
            step_ms: self.step_ms / speed,
            request_ms: self.request_ms / speed,
            prefill_rate: self.prefill_rate * speed,
            ..self
        }
    }
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// The number of the client's call in the simulation.
    pub id: usize,
    /// Priority; requests of rank 0 start first.
    pub rank: u8,
    /// The prompt, by parts.
    pub prompt: Prompt,
    /// Response tokens still to be generated.
    pub output_left: u64,
    /// Prompt tokens still to be prefilled; the engine sets it when the request leaves the queue.
    pub prefill_left: u64,
}

impl Job {
    /// Returns the number of KV cache tokens that only this request uses.
    fn reserved_tokens(&self) -> u64 {
        self.prompt.unique_tokens() + self.prompt.max_output
    }

    /// Returns the number of tokens of the prompt and of the response generated so far.
    fn held_tokens(&self) -> u64 {
        self.prompt.input_tokens + self.prompt.max_output.saturating_sub(self.output_left)
    }
}

/// The results of one step of an engine.
#[derive(Debug, Default)]
pub struct StepResult {
    /// Duration of the step.
    pub duration: Duration,
    /// Requests that generated a token, and whether the token was the request's last.
    pub tokens: Vec<(usize, bool)>,
    /// Shared prompt parts that were not cached: their identities and tokens.
    pub prefilled: Vec<(u64, u64)>,
    /// The running requests and the part of the duration that each one caused, in milliseconds.
    pub work: Vec<(usize, f64)>,
    /// Number of requests returned to the queue because the KV cache was full.
    pub preempted: usize,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    spec: EngineSpec,
    queue: Vec<Job>,
    running: Vec<Job>,
    /// Cached prompt parts: their tokens and the step of their last use.
    cache: HashMap<u64, (u64, u64)>,
    steps: u64,
    /// Factor on the duration of each step; 1 is normal. The load report does not show it.
    pub slowdown: f64,
    /// Factor on the duration of each step from other workloads of the machine; 1 is normal. The
    /// load report states it.
    pub neighbors: f64,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            queue: Vec::new(),
            running: Vec::new(),
            cache: HashMap::new(),
            steps: 0,
            slowdown: 1.0,
            neighbors: 1.0,
        }
    }

    /// Enqueues a request. Returns false if the queue is full.
    pub fn enqueue(&mut self, job: Job) -> bool {
        if self.queue.len() >= self.spec.max_queued {
            return false;
        }
        self.queue.push(job);
        true
    }

    /// Removes a request from the queue and from the batch.
    pub fn cancel(&mut self, id: usize) {
        self.queue.retain(|job| job.id != id);
        self.running.retain(|job| job.id != id);
    }

    /// Clears the cache, the queue and the batch. Returns the numbers of the lost requests.
    pub fn crash(&mut self) -> Vec<usize> {
        self.cache.clear();
        let jobs = self.queue.drain(..).chain(self.running.drain(..));
        jobs.map(|job| job.id).collect()
    }

    /// Whether any request is queued or running.
    pub fn has_work(&self) -> bool {
        !self.queue.is_empty() || !self.running.is_empty()
    }

    /// Returns the load that the engine reports with its responses.
    pub fn load(&self) -> Load {
        let count = |jobs: &[Job]| u32::try_from(jobs.len()).unwrap_or(u32::MAX);
        Load {
            running: count(&self.running),
            waiting: count(&self.queue),
            slots: u32::try_from(self.spec.slots).unwrap_or(u32::MAX),
            slowdown: self.neighbors,
        }
    }

    /// Executes one step.
    pub fn step(&mut self) -> StepResult {
        self.steps += 1;
        self.admit();
        let mut result = StepResult {
            preempted: self.preempt(),
            ..StepResult::default()
        };
        let mut budget = self.spec.chunk_tokens;
        let factor = self.slowdown * self.neighbors;
        let base_ms = self.spec.step_ms / self.running.len().max(1) as f64 + self.spec.request_ms;
        for job in &mut self.running {
            let prefill_ms = job.prefill_left.min(budget) as f64 / self.spec.prefill_rate;
            result.work.push((job.id, (base_ms + prefill_ms) * factor));
            if job.prefill_left == 0 {
                job.output_left = job.output_left.saturating_sub(1);
                result.tokens.push((job.id, job.output_left == 0));
                continue;
            }
            let tokens = job.prefill_left.min(budget);
            budget -= tokens;
            job.prefill_left -= tokens;
            if job.prefill_left == 0 {
                let shared = job.prompt.parts.iter().rev().skip(1);
                let uncached = shared.filter(|(part, _)| !self.cache.contains_key(part));
                result.prefilled.extend(uncached.copied());
                for (part, tokens) in &job.prompt.parts {
                    self.cache.insert(*part, (*tokens, self.steps));
                }
            }
        }
        let prefill_ms = (self.spec.chunk_tokens - budget) as f64 / self.spec.prefill_rate;
        let batch_ms = self.running.len() as f64 * self.spec.request_ms;
        let total_ms = (self.spec.step_ms + batch_ms + prefill_ms) * factor;
        result.duration = Duration::from_secs_f64(total_ms / 1000.0);
        self.running.retain(|job| job.output_left > 0);
        self.evict();
        result
    }

    /// Moves queued requests to the batch by rank, while a slot is free and the KV cache has room
    /// for the next one. A request that exceeds the KV cache by itself runs alone.
    fn admit(&mut self) {
        self.queue.sort_by_key(|job| job.rank);
        while self.running.len() < self.spec.slots && !self.queue.is_empty() {
            if !self.has_room(&self.queue[0]) && !self.running.is_empty() {
                return;
            }
            let mut job = self.queue.remove(0);
            let cached = job.prompt.parts.iter().map_while(|(part, tokens)| {
                let entry = self.cache.get_mut(part)?;
                entry.1 = self.steps;
                Some(*tokens)
            });
            let cached: u64 = cached.sum();
            // The engine computes the last prompt token even if the whole prompt is cached: the
            // first response token depends on it.
            // A preempted request also computes the response tokens that it had generated.
            job.prefill_left = job.held_tokens().saturating_sub(cached).max(1);
            self.running.push(job);
        }
    }

    /// Whether the KV cache has room for a queued request beside the running ones.
    fn has_room(&self, job: &Job) -> bool {
        if self.spec.preempts {
            let limit = self.spec.kv_tokens as f64 * ADMISSION_SHARE;
            (job.held_tokens() + self.total_in_use()) as f64 <= limit
        } else {
            job.reserved_tokens() + self.total_in_use() <= self.spec.kv_tokens
        }
    }

    /// Returns requests to the queue until the KV cache has room for the next token of the others:
    /// the newest of the least urgent first. Returns their number.
    fn preempt(&mut self) -> usize {
        let mut preempted = 0;
        if !self.spec.preempts {
            return preempted;
        }
        let next_tokens = |running: &[Job]| running.len() as u64;
        while self.total_in_use() + next_tokens(&self.running) > self.spec.kv_tokens
            && self.running.len() > 1
        {
            // The batch is in the order of admission; among equal keys, the last one is returned.
            let last = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, job)| job.rank);
            let Some((index, _)) = last else { break };
            self.queue.insert(0, self.running.remove(index));
            preempted += 1;
        }
        preempted
    }

    /// Returns the number of KV cache tokens that the running requests use. At an engine that
    /// preempts, a prompt part in use by several requests counts for each of them: the users state
    /// that 308,776 tokens hold about 33 requests of 9,190.
    fn total_in_use(&self) -> u64 {
        let tokens = if self.spec.preempts {
            Job::held_tokens
        } else {
            Job::reserved_tokens
        };
        self.running.iter().map(tokens).sum()
    }

    /// Evicts the least recently used prompt parts until the others fit beside the running
    /// requests.
    fn evict(&mut self) {
        let capacity = self.spec.kv_tokens.saturating_sub(self.total_in_use());
        let mut cached: u64 = self.cache.values().map(|(tokens, _)| tokens).sum();
        if cached <= capacity {
            return;
        }
        // With preemption, the tokens in use already include these parts.
        let mut in_use = HashSet::new();
        if self.spec.preempts {
            let parts = self.running.iter().flat_map(|job| &job.prompt.parts);
            in_use.extend(parts.map(|(part, _)| *part));
            let counted = self.cache.iter().filter(|(part, _)| in_use.contains(part));
            cached -= counted.map(|(_, (tokens, _))| tokens).sum::<u64>();
        }
        let mut parts: Vec<_> = self
            .cache
            .iter()
            .filter(|(part, _)| !in_use.contains(part))
            .map(|(part, entry)| (entry.1, *part))
            .collect();
        parts.sort_unstable();
        for (_, part) in parts {
            if cached <= capacity {
                break;
            }
            cached -= self.cache.remove(&part).map_or(0, |(tokens, _)| tokens);
        }
    }
}
