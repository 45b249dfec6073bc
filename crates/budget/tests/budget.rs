//! Which share gets memory, waits, or is rejected. Guards against a total above the limit, against small
//! requests that wait behind large ones, and against memory held by bodies that do not arrive.

use std::time::Duration;

use budget::{
    Budget,
    Class,
    Input,
    Limits,
    Output,
    ShareKey, //
};
use ids::Tick;
use step::{
    Core as _,
    Outbox, //
};

/// An eighth of the budget.
const EIGHTH: usize = 1000;

struct Env {
    budget: Budget,
    out: Outbox<Output>,
    now: Tick,
}

impl Env {
    fn new() -> Self {
        let limits = Limits {
            bytes: 8 * EIGHTH,
            wait: Duration::from_secs(2),
            stall: Duration::from_secs(5),
            short_stall: Duration::from_secs(1),
            rate: 100,
            grace: Duration::from_secs(5),
        };
        Self {
            budget: Budget::new(limits),
            out: Outbox::default(),
            now: Tick(1),
        }
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        self.budget.step(self.now, input, &mut self.out);
        assert!(self.budget.used() <= 8 * EIGHTH);
        self.out.drain().collect()
    }

    fn ask(&mut self, class: Class, bytes: usize) -> (ShareKey, Vec<Output>) {
        let key = self.budget.open();
        (key, self.step(Input::Ask(key, class, bytes)))
    }

    /// A share that is granted at once.
    fn granted(&mut self, class: Class, bytes: usize) -> ShareKey {
        let (key, out) = self.ask(class, bytes);
        assert_eq!(out, [Output::Granted(key)]);
        key
    }

    /// A share that waits.
    fn queued(&mut self, class: Class, bytes: usize) -> ShareKey {
        let (key, out) = self.ask(class, bytes);
        assert_eq!(out, []);
        key
    }

    fn after(&mut self, millis: u64) -> Vec<Output> {
        self.now = self.now + Duration::from_millis(millis);
        self.budget.wake(self.now, &mut self.out);
        self.out.drain().collect()
    }
}

case::cases! {
    large_shares_leave_room_for_small_ones_and_responses: {
        let mut env = Env::new();
        env.granted(Class::Large, 6 * EIGHTH);
        env.queued(Class::Large, 1);
        env.granted(Class::Small, EIGHTH);
        env.queued(Class::Small, 1);
        env.granted(Class::Response, EIGHTH);
        env.queued(Class::Response, 1);
    };
    closed_share_is_granted_to_the_next_in_order: {
        let mut env = Env::new();
        let first = env.granted(Class::Large, 5 * EIGHTH);
        let second = env.queued(Class::Large, 4 * EIGHTH);
        // A smaller one does not overtake it, or the larger one might wait forever.
        let third = env.queued(Class::Large, 1);
        assert_eq!(env.step(Input::Close(first)), [Output::Granted(second), Output::Granted(third)]);
        env.step(Input::Close(second));
        env.step(Input::Close(third));
        assert_eq!(env.budget.used(), 0);
    };
    small_request_does_not_wait_behind_large_ones: {
        let mut env = Env::new();
        let first = env.granted(Class::Large, 6 * EIGHTH);
        env.granted(Class::Small, EIGHTH);
        let large = env.queued(Class::Large, EIGHTH);
        let small = env.queued(Class::Small, EIGHTH);
        assert_eq!(env.step(Input::Close(first)), [Output::Granted(small), Output::Granted(large)]);
    };
    request_that_waits_too_long_is_rejected_and_keeps_its_first_share: {
        let mut env = Env::new();
        let first = env.granted(Class::Large, 6 * EIGHTH);
        let second = env.granted(Class::Small, 100);
        assert_eq!(env.step(Input::Ask(second, Class::Large, EIGHTH)), []);
        assert_eq!(env.after(1999), []);
        assert_eq!(env.after(1), [Output::Rejected(second)]);
        assert_eq!(env.budget.used(), 6 * EIGHTH + 100);
        env.step(Input::Close(second));
        env.step(Input::Close(first));
        assert_eq!((env.budget.used(), env.budget.queued()), (0, 0));
    };
    // Bodies that stop short held all memory of small requests for seconds (review/7).
    uploads_that_stop_leave_room_for_requests: {
        let mut env = Env::new();
        let (mut holding, mut rejected) = (0, 0);
        for _ in 0..400 {
            let key = env.granted(Class::Small, 14);
            match env.step(Input::Ask(key, Class::Upload, 30))[..] {
                [Output::Granted(_)] => {
                    env.step(Input::Received(key, 15));
                    holding += 1;
                }
                [Output::Rejected(_)] => {
                    env.step(Input::Close(key));
                    rejected += 1;
                }
                _ => {}
            }
        }
        assert!(holding > 100 && rejected > 100, "{holding} {rejected}");
        for _ in 0..10 {
            let request = env.granted(Class::Small, 14);
            env.step(Input::Complete(request, 14));
        }
    };
    upload_does_not_wait_behind_large_bodies: {
        let mut env = Env::new();
        env.granted(Class::Large, 6 * EIGHTH);
        env.queued(Class::Large, 1);
        env.granted(Class::Upload, EIGHTH / 2);
        env.queued(Class::Upload, 1);
        env.granted(Class::Small, EIGHTH / 2);
    };
    upload_that_stops_is_evicted_sooner_while_another_waits: {
        let mut env = Env::new();
        let first = env.granted(Class::Upload, 6 * EIGHTH);
        env.step(Input::Received(first, 1));
        assert_eq!(env.after(1500), []);
        env.queued(Class::Upload, EIGHTH);
        assert_eq!(env.after(100), [Output::Evicted(first)]);
    };
    response_waits_without_limit: {
        let mut env = Env::new();
        let first = env.granted(Class::Response, 8 * EIGHTH);
        let second = env.queued(Class::Response, EIGHTH);
        assert_eq!(env.after(60_000), []);
        assert_eq!(env.step(Input::Close(first)), [Output::Granted(second)]);
    };
    share_above_the_ceiling_of_its_class_is_rejected_at_once: {
        let mut env = Env::new();
        let (key, out) = env.ask(Class::Large, 6 * EIGHTH + 1);
        assert_eq!(out, [Output::Rejected(key)]);
    };
    requests_that_wait_with_large_bodies_hold_a_bounded_part: {
        let mut env = Env::new();
        env.granted(Class::Large, 6 * EIGHTH);
        for _ in 0..2 {
            let key = env.granted(Class::Small, EIGHTH / 2);
            assert_eq!(env.step(Input::Ask(key, Class::Large, 10)), []);
        }
        let key = env.budget.open();
        env.step(Input::Ask(key, Class::Response, 1));
        assert_eq!(env.step(Input::Ask(key, Class::Large, 10)), [Output::Rejected(key)]);
    };
    connections_take_half_at_most: {
        let mut env = Env::new();
        let first = env.granted(Class::Connection, 4 * EIGHTH);
        let (key, out) = env.ask(Class::Connection, 1);
        assert_eq!(out, [Output::Rejected(key)]);
        env.step(Input::Close(first));
        env.granted(Class::Connection, 1);
    };
    body_that_stops_is_evicted_sooner_while_others_wait: {
        let mut env = Env::new();
        let first = env.granted(Class::Large, 6 * EIGHTH);
        env.step(Input::Received(first, 6 * EIGHTH - 1));
        assert_eq!(env.after(4999), []);
        env.queued(Class::Large, EIGHTH);
        assert_eq!(env.after(0), [Output::Evicted(first)]);
        // Once is enough.
        assert_eq!(env.after(10), []);
    };
    body_that_stops_is_evicted_without_pressure_too: {
        let mut env = Env::new();
        let first = env.granted(Class::Small, 10);
        env.step(Input::Received(first, 0));
        assert_eq!(env.after(4999), []);
        assert_eq!(env.after(1), [Output::Evicted(first)]);
    };
    body_below_the_lowest_rate_is_evicted_after_the_grace: {
        let mut env = Env::new();
        let (slow, steady) = (env.granted(Class::Small, 10), env.granted(Class::Small, 10));
        let mut evicted = Vec::new();
        for _ in 0..20 {
            env.step(Input::Received(slow, 20));
            env.step(Input::Received(steady, 50));
            evicted.extend(env.after(500));
        }
        assert_eq!(evicted, [Output::Evicted(slow)]);
    };
    time_that_a_body_waits_for_memory_does_not_count: {
        let mut env = Env::new();
        let first = env.granted(Class::Large, 6 * EIGHTH);
        let second = env.granted(Class::Small, 10);
        env.step(Input::Received(second, 1000));
        env.step(Input::Ask(second, Class::Large, EIGHTH));
        assert_eq!(env.after(1900), []);
        assert_eq!(env.step(Input::Close(first)), [Output::Granted(second)]);
        env.queued(Class::Large, 6 * EIGHTH);
        assert_eq!(env.after(999), []);
    };
    complete_body_returns_what_it_does_not_need: {
        let mut env = Env::new();
        let first = env.granted(Class::Large, 6 * EIGHTH);
        env.step(Input::Received(first, 5));
        let second = env.queued(Class::Large, 3 * EIGHTH);
        assert_eq!(env.step(Input::Complete(first, EIGHTH)), [Output::Granted(second)]);
        // A complete body is not evicted while its request runs.
        assert_eq!(env.after(60_000), []);
    };
    limits_follow_from_the_memory: {
        let limits = Limits::of_memory(96_000_000);
        assert_eq!(limits.bytes, 60_000_000);
        assert_eq!(Limits::of_memory(1).bytes, 8_000_000);
    };
}
