//! Requirements on the product's balancer in the simulation, checked for several seeds.

use std::time::Duration;

use enginesim::{
    Disturbance,
    Metrics,
    Policy,
    RunOptions,
    Workload,
    simulate, //
};

const SEEDS: [u64; 3] = [1, 2, 3];

fn run(seed: u64, load: f64, disturbance: Disturbance, policy: Policy) -> Metrics {
    simulate(RunOptions {
        workload: Workload::Studio,
        speed: 1.0,
        load,
        disturbance,
        policy,
        duration: Duration::from_secs(30),
        seed,
    })
    .unwrap()
}

/// A run of the workload with long shared prompts on many engines.
fn survey(seed: u64, speed: f64, load: f64, disturbance: Disturbance) -> Metrics {
    simulate(RunOptions {
        workload: Workload::Survey,
        speed,
        load,
        disturbance,
        policy: Policy::Product,
        duration: Duration::from_secs_f64(30.0 / speed),
        seed,
    })
    .unwrap()
}

/// Tokens that all engines of the survey workload can prefill in a run of 30 s.
fn survey_capacity() -> u64 {
    (51.0 * Workload::Survey.engine().prefill_rate * 30_000.0) as u64
}

case::cases! {
    equal_options_give_equal_results: {
        let [first, second] = [(); 2].map(|()| run(7, 1.0, Disturbance::Crash, Policy::Product));
        assert_eq!((first.on_time, first.late, first.failed), (second.on_time, second.late, second.failed));
        assert_eq!(first.first_event, second.first_event);
    };
    every_request_has_one_outcome: for policy in Policy::ALL {
        for disturbance in Disturbance::ALL {
            let metrics = run(5, 1.5, disturbance, policy);
            let outcomes = metrics.on_time + metrics.late + metrics.rejected + metrics.failed;
            assert_eq!(outcomes, metrics.requests, "{policy:?} {disturbance:?}");
        }
    };
    undisturbed_load_is_served_on_time: for seed in SEEDS {
        let metrics = run(seed, 1.0, Disturbance::None, Policy::Product);
        assert!(metrics.share(metrics.on_time) >= 0.99, "seed {seed}: {metrics:?}");
    };
    // Engines have the prefill capacity for this burst if each one prefills the shared prompt parts
    // of its own sessions only. The limit follows from the share of requests that the users require
    // to be served.
    burst_of_long_prompts_is_served: for seed in SEEDS {
        let metrics = run(seed, 1.0, Disturbance::Burst, Policy::Product);
        let unserved = metrics.share(metrics.rejected + metrics.failed);
        assert!(unserved <= 0.01, "seed {seed}: {unserved}");
    };
    // Under a burst, a front that takes an endpoint which it has not used recently for an idle one
    // moves sessions there. Each move prefills the shared document again, until all engines do
    // little else and requests reach their deadlines in the engines' queues.
    burst_of_long_shared_prompts_does_not_thrash_the_caches: for seed in SEEDS {
        let metrics = survey(seed, 1.0, 2.0, Disturbance::Burst);
        assert!(metrics.recomputed < survey_capacity() / 10, "seed {seed}: {}", metrics.recomputed);
        assert!(metrics.share(metrics.failed) < 0.01, "seed {seed}: {}", metrics.failed);
    };
    // What exceeds the capacity is rejected early instead of being served late.
    served_requests_of_an_overload_are_mostly_on_time: for seed in SEEDS {
        let metrics = survey(seed, 1.0, 2.0, Disturbance::Burst);
        assert!(metrics.on_time > 3 * metrics.late, "seed {seed}: {} {}", metrics.on_time, metrics.late);
    };
    // The users' limit for a service at its usual load.
    long_shared_prompts_at_usual_load_are_on_time: for seed in SEEDS {
        let metrics = survey(seed, 1.0, 1.0, Disturbance::None);
        assert!(metrics.share(metrics.on_time) >= 0.97, "seed {seed}: {metrics:?}");
    };
    // Engines at a third and at three times the speed, with targets to match: limits and penalties
    // scale with them.
    decisions_scale_with_the_speed_of_the_engines: for speed in [1.0 / 3.0, 3.0] {
        for disturbance in [Disturbance::None, Disturbance::Burst] {
            let usual = survey(1, 1.0, 1.0, disturbance);
            let scaled = survey(1, speed, 1.0, disturbance);
            let (a, b) = (usual.share(usual.on_time), scaled.share(scaled.on_time));
            assert!(b > a - 0.05, "speed {speed}, {disturbance:?}: {a} {b}");
        }
    };
    product_recomputes_less_than_half_of_each_baseline: for policy in [Policy::WithoutAffinity, Policy::LeastInflight, Policy::RoundRobin] {
        let product = run(1, 1.0, Disturbance::None, Policy::Product);
        let baseline = run(1, 1.0, Disturbance::None, policy);
        assert!(product.recomputed * 2 < baseline.recomputed, "{} {}", product.recomputed, baseline.recomputed);
    };
}
