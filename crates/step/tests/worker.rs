//! Threads that repeat one turn: how they end.

use std::thread;
use std::time::Duration;

use crossbeam::channel::{
    TryRecvError,
    unbounded, //
};
use step::Worker;

/// Longer than any test waits.
const LONG: Duration = Duration::from_secs(600);

fn parked_turn_ends_when_stopped() {
    let (turns, seen) = unbounded();
    let worker = Worker::start("parked", move || {
        turns.send(()).ok()?;
        thread::park_timeout(LONG);
        Some(())
    });
    let worker = worker.expect("a thread starts");
    seen.recv().expect("a turn is taken");
    worker.close();
    // Disconnected, not only empty: the thread is gone with all that it held.
    seen.try_iter().for_each(drop);
    assert_eq!(seen.try_recv(), Err(TryRecvError::Disconnected));
}

fn finish_waits_for_what_is_queued() {
    let (jobs, queue) = unbounded();
    let (done, seen) = unbounded();
    let worker = Worker::start("queued", move || done.send(queue.recv().ok()?).ok());
    let worker = worker.expect("a thread starts");
    (0..100).for_each(|n| jobs.send(n).expect("the thread takes jobs"));
    drop(jobs);
    worker.finish();
    assert_eq!(
        seen.iter().collect::<Vec<_>>(),
        (0..100).collect::<Vec<_>>()
    );
}

fn none_ends_it() {
    let (turns, seen) = unbounded();
    let mut left = 3;
    let worker = Worker::start("counted", move || {
        left -= 1;
        turns.send(left).ok()?;
        (left > 0).then_some(())
    });
    worker.expect("a thread starts").finish();
    assert_eq!(seen.iter().collect::<Vec<_>>(), [2, 1, 0]);
}

case::cases! {
    stopped_while_parked: parked_turn_ends_when_stopped();
    queued_jobs_are_worked_off: finish_waits_for_what_is_queued();
    turn_that_is_over: none_ends_it();
}
