//! Tests of the ways in which a worker thread ends.

use std::thread;
use std::time::Duration;

use crossbeam::channel::{
    TryRecvError,
    unbounded, //
};
use step::Worker;

/// Longer than any test may run, so that a worker that is not unparked fails its test.
const PARK_TIMEOUT: Duration = Duration::from_secs(600);

fn close_ends_a_parked_worker() {
    let (iterations, observed) = unbounded();
    let worker = Worker::start("parked", move || {
        iterations.send(()).ok()?;
        thread::park_timeout(PARK_TIMEOUT);
        Some(())
    });
    let worker = worker.expect("start a worker thread");
    observed.recv().expect("receive the first iteration");
    worker.close();
    // Disconnected and not only empty: the thread has ended and dropped its sender.
    observed.try_iter().for_each(drop);
    assert_eq!(observed.try_recv(), Err(TryRecvError::Disconnected));
}

fn finish_waits_for_queued_jobs() {
    let (jobs, queue) = unbounded();
    let (done, observed) = unbounded();
    let worker = Worker::start("queued", move || done.send(queue.recv().ok()?).ok());
    let worker = worker.expect("start a worker thread");
    (0..100).for_each(|n| jobs.send(n).expect("enqueue a job"));
    drop(jobs);
    worker.finish();
    assert_eq!(
        observed.iter().collect::<Vec<_>>(),
        (0..100).collect::<Vec<_>>()
    );
}

fn none_ends_the_worker() {
    let (iterations, observed) = unbounded();
    let mut remaining = 3;
    let worker = Worker::start("counted", move || {
        remaining -= 1;
        iterations.send(remaining).ok()?;
        (remaining > 0).then_some(())
    });
    worker.expect("start a worker thread").finish();
    assert_eq!(observed.iter().collect::<Vec<_>>(), [2, 1, 0]);
}

case::cases! {
    closing_unparks_the_worker: close_ends_a_parked_worker();
    finishing_processes_queued_jobs: finish_waits_for_queued_jobs();
    returning_none_ends_the_worker: none_ends_the_worker();
}
