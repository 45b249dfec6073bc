//! The engine model, step by step.

use enginesim::{
    Engine,
    EngineSpec,
    Job,
    StepResult, //
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
}
