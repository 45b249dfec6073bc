//! What the product's choice among engines has to bring, by seed in virtual time.

use std::time::Duration;

use pool::{
    Policy,
    Run,
    Score,
    Trouble,
    run, //
};

const SEEDS: [u64; 3] = [1, 2, 3];

fn play(seed: u64, load: f64, trouble: Trouble, policy: Policy) -> Score {
    run(Run {
        load,
        trouble,
        policy,
        length: Duration::from_secs(30),
        seed,
    })
    .unwrap()
}

case::cases! {
    same_seed_gives_the_same_run: {
        let [first, second] = [(); 2].map(|()| play(7, 1.0, Trouble::Crash, Policy::Product));
        assert_eq!((first.in_aim, first.late, first.failed), (second.in_aim, second.late, second.failed));
        assert_eq!(first.first, second.first);
    };
    every_request_has_one_outcome: for policy in Policy::ALL {
        for trouble in Trouble::ALL {
            let score = play(5, 1.5, trouble, policy);
            let outcomes = score.in_aim + score.late + score.refused + score.failed;
            assert_eq!(outcomes, score.asked, "{policy:?} {trouble:?}");
        }
    };
    calm_load_is_answered_in_aim: for seed in SEEDS {
        let score = play(seed, 1.0, Trouble::None, Policy::Product);
        assert!(score.share(score.in_aim) >= 0.99, "seed {seed}: {score:?}");
    };
    // A burst of what engines could read in time, if each read the shared parts of its own
    // sessions only. The bound is the users' share served.
    burst_of_long_prompts_is_served: for seed in SEEDS {
        let score = play(seed, 1.0, Trouble::Burst, Policy::Product);
        let lost = score.share(score.refused + score.failed);
        assert!(lost <= 0.01, "seed {seed}: {lost}");
    };
    product_reads_less_again_than_every_baseline: for policy in [Policy::Former, Policy::LeastBusy, Policy::RoundRobin] {
        let product = play(1, 1.0, Trouble::None, Policy::Product);
        let other = play(1, 1.0, Trouble::None, policy);
        assert!(product.again * 2 < other.again, "{} {}", product.again, other.again);
    };
}
