//! What the product's choice among engines has to bring, by seed in virtual time.

use std::time::Duration;

use pool::{
    Disturbance,
    Metrics,
    Policy,
    RunOptions,
    simulate, //
};

const SEEDS: [u64; 3] = [1, 2, 3];

fn play(seed: u64, load: f64, disturbance: Disturbance, policy: Policy) -> Metrics {
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
    same_seed_gives_the_same_run: {
        let [first, second] = [(); 2].map(|()| play(7, 1.0, Disturbance::Crash, Policy::Product));
        assert_eq!((first.in_aim, first.late, first.failed), (second.in_aim, second.late, second.failed));
        assert_eq!(first.first, second.first);
    };
    every_request_has_one_outcome: for policy in Policy::ALL {
        for disturbance in Disturbance::ALL {
            let metrics = play(5, 1.5, disturbance, policy);
            let outcomes = metrics.in_aim + metrics.late + metrics.refused + metrics.failed;
            assert_eq!(outcomes, metrics.requests, "{policy:?} {disturbance:?}");
        }
    };
    calm_load_is_answered_in_aim: for seed in SEEDS {
        let metrics = play(seed, 1.0, Disturbance::None, Policy::Product);
        assert!(metrics.share(metrics.in_aim) >= 0.99, "seed {seed}: {metrics:?}");
    };
    // A burst of what engines could read in time, if each read the shared parts of its own
    // sessions only. The bound is the users' share served.
    burst_of_long_prompts_is_served: for seed in SEEDS {
        let metrics = play(seed, 1.0, Disturbance::Burst, Policy::Product);
        let lost = metrics.share(metrics.refused + metrics.failed);
        assert!(lost <= 0.01, "seed {seed}: {lost}");
    };
    product_reads_less_again_than_every_baseline: for policy in [Policy::WithoutAffinity, Policy::LeastInflight, Policy::RoundRobin] {
        let product = play(1, 1.0, Disturbance::None, Policy::Product);
        let other = play(1, 1.0, Disturbance::None, policy);
        assert!(product.again * 2 < other.again, "{} {}", product.again, other.again);
    };
}
