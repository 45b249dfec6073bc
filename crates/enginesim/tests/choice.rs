//! Requirements on the product's balancer in the simulation, checked for several seeds.

use std::time::Duration;

use enginesim::{
    Disturbance,
    Metrics,
    Policy,
    RunOptions,
    simulate, //
};

const SEEDS: [u64; 3] = [1, 2, 3];

fn run(seed: u64, load: f64, disturbance: Disturbance, policy: Policy) -> Metrics {
    simulate(RunOptions {
        load,
        disturbance,
        policy,
        duration: Duration::from_secs(30),
        seed,
    })
    .unwrap()
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
    product_recomputes_less_than_half_of_each_baseline: for policy in [Policy::WithoutAffinity, Policy::LeastInflight, Policy::RoundRobin] {
        let product = run(1, 1.0, Disturbance::None, Policy::Product);
        let baseline = run(1, 1.0, Disturbance::None, policy);
        assert!(product.recomputed * 2 < baseline.recomputed, "{} {}", product.recomputed, baseline.recomputed);
    };
}
