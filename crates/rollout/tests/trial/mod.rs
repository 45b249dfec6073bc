//! A model of a rollout: fronts with random requests, late stages and late reports, and leaders that
//! are lost.

use std::time::Duration;

use ids::{
    HostName,
    Incarnation,
    Tick, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64;
use rollout::{
    Ages,
    Change,
    Effect,
    Exposure,
    FrontTally,
    Judge,
    Limits,
    Orders,
    Outcomes,
    RouteTally,
    Service,
    State,
    Tally, //
};

/// Length of a step of the model, in milliseconds.
const STEP_MS: u64 = 50;
/// Interval between two reports of a front, in milliseconds.
const REPORT_MS: u64 = 500;
/// Longest time until a stage reaches a front, or a report the leader, in milliseconds.
const DELAY_MS: u64 = 400;
/// How long the group has no leader, in milliseconds.
const OUTAGE_MS: u64 = 1500;
/// The routes of the service.
const ROUTES: [&str; 2] = ["long", "short"];
pub(crate) const LIMITS: Limits = Limits {
    share: 0.1,
    slack: 50,
    rollback: Duration::from_secs(5),
};

/// A request that reaches the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    /// Milliseconds since the order.
    pub(crate) at_ms: u64,
    /// The index of its route.
    pub(crate) route: usize,
    /// Whether the new version gets it.
    pub(crate) new: bool,
    /// The part of the requests that the new version gets.
    pub(crate) share: f64,
}

/// The probabilities that a request fails, and that its response is four times slower.
pub(crate) type Faults = fn(Sent) -> (f64, f64);

/// What takes place.
#[derive(Clone, Debug)]
pub(crate) struct Scene {
    pub(crate) seed: u64,
    pub(crate) duration_ms: u64,
    /// Requests per second at all fronts.
    pub(crate) rate: f64,
    pub(crate) fronts: usize,
    pub(crate) faults: Faults,
    /// When the leader is lost, in milliseconds since the order.
    pub(crate) losses: Vec<u64>,
    /// Interval between restarts of a front, in milliseconds; none if 0.
    pub(crate) restart_ms: u64,
}

impl Default for Scene {
    fn default() -> Self {
        Self {
            seed: 1,
            duration_ms: 12_000,
            rate: 250.0,
            fronts: 10,
            faults: |_| (0.001, 0.0),
            losses: Vec::new(),
            restart_ms: 0,
        }
    }
}

/// What a scene led to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Result {
    pub(crate) state: State,
    pub(crate) ended_ms: u64,
    pub(crate) verdicts: usize,
    pub(crate) all: u64,
    pub(crate) new: u64,
    /// When the new version returned its 50th bad response.
    pub(crate) bad_ms: Option<u64>,
    /// When the new version got its last request.
    pub(crate) last_ms: u64,
    /// The exposures in the order of the steps.
    pub(crate) steps: Vec<Exposure>,
}

impl Result {
    /// Whether the service and its clients were spared as the bounds demand.
    pub(crate) fn spared(&self) -> bool {
        let share = self.new as f64 <= LIMITS.share * self.all as f64 + LIMITS.slack as f64;
        let rollback = u64::try_from(LIMITS.rollback.as_millis()).unwrap();
        share && self.bad_ms.is_none_or(|at| self.last_ms <= at + rollback)
    }
}

/// A front with its counts for the order.
struct Front {
    incarnation: u64,
    routes: Vec<RouteTally>,
    seen: u64,
    new: u64,
    exposure: Exposure,
    /// The stage on its way, and when it arrives.
    next: Option<(u64, Exposure)>,
}

impl Front {
    fn new(incarnation: u64) -> Self {
        let route = |name: &&str| RouteTally {
            route: (*name).to_owned(),
            ..RouteTally::default()
        };
        Self {
            incarnation,
            routes: ROUTES.iter().map(route).collect(),
            seen: 0,
            new: 0,
            exposure: Exposure::None,
            next: None,
        }
    }

    fn report(&self, n: usize, id: u64) -> FrontTally {
        FrontTally {
            host: HostName::try_from(format!("f{n}").as_str()).unwrap(),
            incarnation: Incarnation(self.incarnation),
            tallies: vec![Tally {
                id,
                routes: self.routes.clone(),
            }],
        }
    }
}

/// Plays a scene until a while after the deadline.
pub(crate) fn play(scene: &Scene) -> Result {
    let mut rng = Pcg64::seed_from_u64(scene.seed);
    let mut orders = Orders::default();
    let open = Change::Open {
        service: "s".to_owned(),
        version: "v2".to_owned(),
        duration_ms: scene.duration_ms,
    };
    assert_eq!(orders.apply(open.clone()), Effect::Opened(1));
    let services = [Service {
        name: "s".to_owned(),
        timeout: Duration::from_secs(4),
    }];
    let mut result = Result::default();
    let mut fronts: Vec<_> = (0..scene.fronts).map(|_| Front::new(1)).collect();
    let mut reports: Vec<(u64, FrontTally)> = Vec::new();
    // The leader and the member that follows it. Their processes' clocks differ.
    let mut ages = [Ages::default(), Ages::default()];
    let mut led = 0;
    let mut judge = Judge::new(Tick::default());
    let mut bad = 0;
    let mut leaderless_until = 0;
    for now_ms in (0..scene.duration_ms + 8000).step_by(STEP_MS as usize) {
        let now = Tick::default() + Duration::from_millis(now_ms);
        let skewed = |n: usize| now + Duration::from_secs(1000 * n as u64);
        if scene.losses.contains(&now_ms) {
            led = 1 - led;
            leaderless_until = now_ms + OUTAGE_MS;
            judge = Judge::new(skewed(led) + Duration::from_millis(OUTAGE_MS));
            reports.clear();
        }
        for (n, front) in fronts.iter_mut().enumerate() {
            if scene.restart_ms > 0 && now_ms > 0 && now_ms % scene.restart_ms == 0 {
                *front = Front {
                    exposure: front.exposure,
                    next: front.next,
                    ..Front::new(front.incarnation + 1)
                };
            }
            if let Some((_, exposure)) = front.next.take_if(|(at, _)| *at <= now_ms) {
                front.exposure = exposure;
            }
            let expected = scene.rate / scene.fronts as f64 * STEP_MS as f64 / 1000.0;
            let count = expected.floor() as u64 + u64::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                front.seen += 1;
                let share = match front.exposure {
                    Exposure::None => 0.0,
                    Exposure::Share(share) => share,
                    Exposure::All => 1.0,
                };
                let slack = LIMITS.slack as f64 / (2.0 * scene.fronts as f64);
                let within = (front.new as f64) < share * front.seen as f64 + slack;
                let new = within && rng.random_bool(share);
                front.new += u64::from(new);
                let route = rng.random_range(0..ROUTES.len());
                let sent = Sent {
                    at_ms: now_ms,
                    route,
                    new,
                    share,
                };
                let (failed, slow) = (scene.faults)(sent);
                let (failed, slow) = (rng.random_bool(failed), rng.random_bool(slow));
                let tally = &mut front.routes[route];
                let side: &mut Outcomes = if new { &mut tally.new } else { &mut tally.old };
                side.sent += 1;
                side.failed += u64::from(failed);
                side.started += u64::from(!failed);
                side.slow += u64::from(slow && !failed);
                side.start_ms += if failed {
                    0.0
                } else {
                    1.0 + 3.0 * f64::from(slow)
                };
                if now_ms < scene.duration_ms {
                    result.all += 1;
                    result.new += u64::from(new);
                }
                if new {
                    result.last_ms = now_ms;
                    bad += u64::from(failed || slow);
                    if bad >= 50 {
                        result.bad_ms.get_or_insert(now_ms);
                    }
                }
            }
            if (now_ms + n as u64 * STEP_MS).is_multiple_of(REPORT_MS) {
                let arrival = now_ms + rng.random_range(0..DELAY_MS);
                reports.push((arrival, front.report(n, 1)));
            }
        }
        ages.iter_mut()
            .enumerate()
            .for_each(|(n, ages)| ages.follow(skewed(n), &orders));
        if now_ms < leaderless_until {
            continue;
        }
        for (_, report) in reports.extract_if(.., |(at, _)| *at <= now_ms) {
            judge.record(skewed(led), &report, &orders);
        }
        if !judge.start_if_due(skewed(led)) {
            continue;
        }
        let elapsed = |id| ages[led].elapsed(skewed(led), id);
        let decision = judge.decide(
            skewed(led),
            Some(&LIMITS),
            Some(&services),
            &orders,
            elapsed,
        );
        let Some(decision) = decision else {
            continue;
        };
        let before = orders.get(1).unwrap().order.state;
        let effect = orders.apply(decision.change);
        let progress = orders.get(1).unwrap();
        assert!(
            !before.ended() || progress.order.state == before,
            "a verdict was changed"
        );
        match effect {
            Effect::Stepped(_) => result.steps.push(progress.exposure),
            Effect::Ended(_, state) => {
                result.state = state;
                result.ended_ms = now_ms;
                result.verdicts += 1;
            }
            Effect::Opened(_) | Effect::InProgress | Effect::Unchanged => continue,
        }
        for front in &mut fronts {
            front.next = Some((now_ms + rng.random_range(0..DELAY_MS), progress.exposure));
        }
    }
    result
}
