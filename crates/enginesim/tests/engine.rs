//! The engine model, step by step.

use std::time::Duration;

use enginesim::{
    Engine,
    EngineSpec,
    Job,
    StepResult,
    Workload, //
};
use relay::Prompt;

/// A request whose prompt begins with the part `shared`, which other requests may also have.
fn job(id: usize, rank: u8, shared: (u64, u64), unique: u64, output: u64) -> Job {
    Job {
        id,
        rank,
        prompt: Prompt {
            input_tokens: shared.1 + unique,
            max_output: output,
            parts: vec![shared, (1_000_000 + id as u64, unique)],
        },
        output_left: output,
        prefill_left: 0,
    }
}

/// Steps the engine until a request has its first token. Returns the number of steps.
fn steps_to_first_token(engine: &mut Engine, id: usize) -> usize {
    let has_first_token = |step: &StepResult| step.tokens.iter().any(|(job, _)| *job == id);
    1 + (0..100)
        .take_while(|_| !has_first_token(&engine.step()))
        .count()
}

case::cases! {
    prompt_is_prefilled_in_chunks: {
        let mut engine = Engine::new(EngineSpec::default());
        engine.enqueue(job(1, 0, (7, 4000), 1000, 3));
        // Three steps prefill the 5,000 tokens in chunks of at most 2,048; the fourth generates the
        // first token.
        assert_eq!(steps_to_first_token(&mut engine, 1), 4);
    };
    cached_shared_part_is_not_prefilled_again: {
        let mut engine = Engine::new(EngineSpec::default());
        engine.enqueue(job(1, 0, (7, 4000), 1000, 1));
        steps_to_first_token(&mut engine, 1);
        engine.enqueue(job(2, 0, (7, 4000), 1000, 1));
        assert_eq!(steps_to_first_token(&mut engine, 2), 2);
    };
    prefill_lengthens_a_step: {
        let spec = EngineSpec::default();
        let mut engine = Engine::new(spec);
        engine.enqueue(job(1, 0, (7, 1000), 842, 2));
        let prefill_ms = engine.step().duration.as_secs_f64() * 1000.0;
        let decode_ms = engine.step().duration.as_secs_f64() * 1000.0;
        assert!((prefill_ms - decode_ms - 1842.0 / spec.prefill_rate).abs() < 0.01, "{prefill_ms} {decode_ms}");
    };
    lower_rank_starts_first: {
        let mut engine = Engine::new(EngineSpec { slots: 1, ..EngineSpec::default() });
        engine.enqueue(job(1, 2, (7, 10), 10, 1));
        engine.enqueue(job(2, 0, (8, 10), 10, 1));
        assert!(engine.step().tokens.is_empty());
        assert_eq!(engine.step().tokens, [(2, true)]);
    };
    least_recently_used_part_is_evicted: {
        let mut engine = Engine::new(EngineSpec { kv_tokens: 5000, ..EngineSpec::default() });
        for (id, part) in [(1, 7), (2, 8), (3, 9)] {
            engine.enqueue(job(id, 0, (part, 1900), 100, 1));
            steps_to_first_token(&mut engine, id);
        }
        // Part 9 is cached; part 7 was evicted to make room for it.
        engine.enqueue(job(4, 0, (9, 1900), 100, 1));
        engine.step();
        assert!(engine.step().prefilled.is_empty());
        engine.enqueue(job(5, 0, (7, 1900), 100, 1));
        assert_eq!(engine.step().prefilled, [(7, 1900)]);
    };
    full_queue_rejects_a_request: {
        let mut engine = Engine::new(EngineSpec { max_queued: 1, ..EngineSpec::default() });
        assert!(engine.enqueue(job(1, 0, (7, 10), 10, 1)));
        assert!(!engine.enqueue(job(2, 0, (7, 10), 10, 1)));
    };
    crash_drops_requests_and_cache: {
        let mut engine = Engine::new(EngineSpec::default());
        engine.enqueue(job(1, 0, (7, 4000), 1000, 5));
        steps_to_first_token(&mut engine, 1);
        assert_eq!(engine.crash(), [1]);
        assert!(!engine.has_work());
        engine.enqueue(job(2, 0, (7, 4000), 1000, 1));
        assert_eq!(steps_to_first_token(&mut engine, 2), 4);
    };
    // With whole responses reserved, an engine never has to give up a running request; with memory
    // taken token by token it does, and must give up the least urgent work and the least done.
    newest_of_the_least_urgent_requests_is_preempted: {
        let mut engine = Engine::new(EngineSpec { kv_tokens: 320, preempts: true, ..EngineSpec::default() });
        for (id, rank) in [(1, 0), (2, 2), (3, 2)] {
            engine.enqueue(job(id, rank, (id as u64, 50), 50, 30));
        }
        let steps: Vec<_> = (0..12).map(|_| engine.step()).collect();
        let generated = |id| steps.iter().flat_map(|step| &step.tokens).filter(|token| token.0 == id).count();
        assert_eq!(steps.iter().map(|step| step.preempted).sum::<usize>(), 1);
        assert_eq!([generated(1), generated(2)], [11, 11]);
        assert!(generated(3) < 11, "{}", generated(3));
    };
    // A client's stream must neither repeat nor lack tokens after its request was preempted.
    preempted_request_generates_the_rest_of_its_response: {
        let mut engine = Engine::new(EngineSpec { kv_tokens: 320, preempts: true, ..EngineSpec::default() });
        for id in 1..=3 {
            engine.enqueue(job(id, 1, (id as u64, 50), 50, 30));
        }
        let steps: Vec<_> = (0..200).map(|_| engine.step()).collect();
        assert!(steps.iter().any(|step| step.preempted > 0));
        let generated = |id| steps.iter().flat_map(|step| &step.tokens).filter(|token| token.0 == id).count();
        assert_eq!([1, 2, 3].map(generated), [30; 3]);
        assert!(!engine.has_work());
    };
    // 33 long requests fill the memory of the users' engine before its 64 slots.
    memory_limits_long_requests_before_slots: {
        let mut engine = Engine::new(Workload::Uneven.engine());
        (0..64).for_each(|id| assert!(engine.enqueue(job(id, 0, (7, 6300), 2890, 52))));
        engine.step();
        assert_eq!((engine.load().running, engine.load().waiting), (33, 31));
    };
    work_of_a_step_adds_up_to_its_duration: {
        let mut engine = Engine::new(EngineSpec::default());
        engine.neighbors = 1.5;
        (0..5).for_each(|id| assert!(engine.enqueue(job(id, 0, (7, 900), 100, 3))));
        for _ in 0..4 {
            let step = engine.step();
            let work: f64 = step.work.iter().map(|(_, work_ms)| work_ms).sum();
            assert!((work - step.duration.as_secs_f64() * 1000.0).abs() < 0.001, "{work} {:?}", step.duration);
        }
    };
    // The load report states the load of the machine's other workloads, and only that.
    co_located_workloads_slow_a_step_and_are_reported: {
        let duration = |neighbors, slowdown| {
            let mut engine = Engine::new(EngineSpec::default());
            (engine.neighbors, engine.slowdown) = (neighbors, slowdown);
            engine.enqueue(job(1, 0, (7, 900), 100, 3));
            assert!((engine.load().slowdown - neighbors).abs() < f64::EPSILON);
            engine.step().duration
        };
        assert!(duration(2.0, 1.0).abs_diff(duration(1.0, 1.0) * 2) < Duration::from_nanos(10));
        assert_eq!(duration(2.0, 1.0), duration(1.0, 2.0));
    };
}
