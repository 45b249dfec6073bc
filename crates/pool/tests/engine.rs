//! The modelled engine, step by step.

use pool::{
    Engine,
    Job,
    Shape,
    Step, //
};
use relay::Prompt;

/// A request whose prompt shares part `shared` with others.
fn job(id: usize, rank: u8, shared: (u64, u64), own: u64, output: u64) -> Job {
    Job {
        id,
        rank,
        prompt: Prompt {
            input_tokens: shared.1 + own,
            max_output: output,
            parts: vec![shared, (1_000_000 + id as u64, own)],
        },
        left: output,
        unread: 0,
    }
}

/// Steps until a request got its first token; returns the number of steps.
fn until_first(engine: &mut Engine, id: usize) -> usize {
    let begun = |step: &Step| step.tokens.iter().any(|(job, _)| *job == id);
    1 + (0..100).take_while(|_| !begun(&engine.step())).count()
}

case::cases! {
    prompt_is_read_in_chunks: {
        let mut engine = Engine::new(Shape::default());
        engine.offer(job(1, 0, (7, 4000), 1000, 3));
        // Three chunks of 2,048 tokens, and the step that gives the first token.
        assert_eq!(until_first(&mut engine, 1), 4);
    };
    shared_part_is_read_once: {
        let mut engine = Engine::new(Shape::default());
        engine.offer(job(1, 0, (7, 4000), 1000, 1));
        until_first(&mut engine, 1);
        engine.offer(job(2, 0, (7, 4000), 1000, 1));
        assert_eq!(until_first(&mut engine, 2), 2);
    };
    step_takes_longer_while_a_prompt_is_read: {
        let shape = Shape::default();
        let mut engine = Engine::new(shape);
        engine.offer(job(1, 0, (7, 1000), 842, 2));
        let reading = engine.step().took.as_secs_f64() * 1000.0;
        let writing = engine.step().took.as_secs_f64() * 1000.0;
        assert!((reading - writing - 1842.0 / shape.read).abs() < 0.01, "{reading} {writing}");
    };
    urgent_request_is_taken_up_first: {
        let mut engine = Engine::new(Shape { slots: 1, ..Shape::default() });
        engine.offer(job(1, 2, (7, 10), 10, 1));
        engine.offer(job(2, 0, (8, 10), 10, 1));
        assert!(engine.step().tokens.is_empty());
        assert_eq!(engine.step().tokens, [(2, true)]);
    };
    part_not_used_for_longest_is_forgotten: {
        let mut engine = Engine::new(Shape { memory: 5000, ..Shape::default() });
        for (id, part) in [(1, 7), (2, 8), (3, 9)] {
            engine.offer(job(id, 0, (part, 1900), 100, 1));
            until_first(&mut engine, id);
        }
        // Part 9 is held; part 7 was dropped for it.
        engine.offer(job(4, 0, (9, 1900), 100, 1));
        engine.step();
        assert!(engine.step().read.is_empty());
        engine.offer(job(5, 0, (7, 1900), 100, 1));
        assert_eq!(engine.step().read, [(7, 1900)]);
    };
    full_queue_takes_nothing: {
        let mut engine = Engine::new(Shape { queue: 1, ..Shape::default() });
        assert!(engine.offer(job(1, 0, (7, 10), 10, 1)));
        assert!(!engine.offer(job(2, 0, (7, 10), 10, 1)));
    };
    crash_loses_requests_and_memory: {
        let mut engine = Engine::new(Shape::default());
        engine.offer(job(1, 0, (7, 4000), 1000, 5));
        until_first(&mut engine, 1);
        assert_eq!(engine.crash(), [1]);
        assert!(!engine.busy());
        engine.offer(job(2, 0, (7, 4000), 1000, 1));
        assert_eq!(until_first(&mut engine, 2), 4);
    };
}
