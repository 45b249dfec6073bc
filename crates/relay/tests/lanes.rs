//! Tests of the division of engines between short and long prompts, without sockets.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use ids::{
    Tick,
    Ticket, //
};
use plan::{
    EngineLimits,
    Plan,
    PlanSpec,
    RetryPolicy,
    RouteSpec,
    ServiceSpec,
    Share, //
};
use relay::{
    Attempt,
    Decision,
    EndpointInfo,
    Event,
    Input,
    Load,
    Output,
    PredictedLatency,
    Prompt,
    Relay,
    RelayOptions,
    RequestHead,
    View, //
};
use step::{
    Core,
    Outbox, //
};

const ENGINES: u16 = 20;
const SLOTS: u32 = 64;

fn plan() -> Arc<Plan> {
    let route = |prefix: &str, rank| RouteSpec {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        retry: RetryPolicy::AtMostOnceStream,
        timeout: Duration::from_secs(15),
        latency_target: Duration::from_millis(300),
        event_gap: Duration::from_millis(200),
        rank,
        shares: vec![Share {
            service: "m".to_owned(),
            weight: 1,
        }],
        attempts: 1,
        open: true,
    };
    let spec = PlanSpec {
        version: 1,
        routes: vec![route("/short/", 0), route("/long/", 0)],
        services: vec![ServiceSpec {
            name: "m".to_owned(),
            connections: 480,
            cold_start: None,
            engine: Some(EngineLimits {
                slots: SLOTS,
                kv_tokens: 300_000,
            }),
        }],
        accounts: None,
        limits: None,
    };
    Arc::new(Plan::try_from(spec).unwrap())
}

/// One of several fronts that observe the same engines.
struct Front {
    relay: Relay<PredictedLatency>,
    now: Tick,
    sent: u64,
}

impl Front {
    fn new(seed: u64) -> Self {
        let options = RelayOptions {
            zone: "a".to_owned(),
            usage_window: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_extra: 60.0,
            retry_window: Duration::from_secs(10),
            rng_seed: seed,
        };
        let mut front = Self {
            relay: Relay::new(options, PredictedLatency),
            now: Tick(10_000_000),
            sent: 0,
        };
        let view = View {
            generation: 1,
            deployment: Some((Some(plan()), Vec::new())),
            valid_until: front.now + Duration::from_secs(600),
            fronts: 8,
            wall_clock: (1_000_000_000, front.now),
            requested_at: front.now,
            quarantine: None,
        };
        front.step(Input::View(Box::new(view)));
        let list = (0..ENGINES).map(|n| EndpointInfo {
            instance: format!("m{n:02}"),
            service: "m".to_owned(),
            address: ([10, 0, 0, 1], 1000 + n).into(),
            zone: "a".to_owned(),
            version: String::new(),
            slots: SLOTS,
            draining: false,
            cold_remaining: Duration::ZERO,
            started_ms: 0,
        });
        front.step(Input::Endpoints(list.collect()));
        front
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Outbox::default();
        self.relay.step(self.now, input, &mut out);
        out.drain().collect()
    }

    /// Sends a request with a prompt of its own.
    fn send(&mut self, path: &str, tokens: u64) -> Attempt {
        self.sent += 1;
        let head = RequestHead {
            host: "h".to_owned(),
            path: path.to_owned(),
            timeout: Some(Duration::from_secs(15)),
            prompt: Some(Prompt {
                input_tokens: tokens,
                max_output: 280,
                parts: vec![(self.sent, tokens)],
            }),
            ..RequestHead::default()
        };
        let outputs = self.step(Input::Request(Ticket(self.sent), Box::new(head)));
        let attempt = outputs.into_iter().find_map(|output| match output {
            Output::Reply(_, Decision::Dispatch(attempt)) => Some(*attempt),
            _ => None,
        });
        attempt.unwrap()
    }

    /// Sends a request each 20 ms for a time. Its engine starts the response after 30 ms and reports
    /// a load of `running` requests, and as many that wait. Returns the shares to which the lane changed.
    fn serve(&mut self, path: &str, tokens: u64, span: Duration, running: u32) -> Vec<f64> {
        let end = self.now + span;
        let mut shares = Vec::new();
        while self.now < end {
            let attempt = self.send(path, tokens);
            self.now = self.now + Duration::from_millis(30);
            let load = Load {
                running,
                waiting: running,
                slots: SLOTS,
                slowdown: 1.0,
            };
            let outputs = self.step(Input::ResponseStarted(attempt.request, Some(load)));
            shares.extend(outputs.into_iter().filter_map(|output| match output {
                Output::Event(Event::LaneResized(share)) => Some(share),
                _ => None,
            }));
            self.step(Input::Completed(attempt.request));
        }
        shares
    }

    /// The engines to which concurrent short prompts go, twice as many as there are engines.
    fn engines_of_short_prompts(&mut self) -> HashSet<String> {
        let count = 2 * ENGINES;
        let attempts: Vec<_> = (0..count).map(|_| self.send("/short/", 700)).collect();
        for attempt in &attempts {
            self.step(Input::Cancelled(attempt.request));
        }
        attempts.into_iter().map(|a| a.instance).collect()
    }
}

case::cases! {
    /// Guards against a burst of urgent streams that queue in a lane of fixed size.
    burst_of_short_prompts_enlarges_their_lane: {
        let mut front = Front::new(7);
        let before = front.engines_of_short_prompts().len();
        assert_eq!(before, usize::from(ENGINES / 5));
        let shares = front.serve("/short/", 700, Duration::from_secs(4), SLOTS / 2);
        assert!(shares.is_sorted(), "{shares:?}");
        assert_eq!(shares.last(), Some(&0.5));
        assert_eq!(front.engines_of_short_prompts().len(), usize::from(ENGINES / 2));
    };
    /// Guards against engines that stay reserved for short prompts after their burst.
    lane_shrinks_after_the_burst: {
        let mut front = Front::new(7);
        front.serve("/short/", 700, Duration::from_secs(4), SLOTS / 2);
        front.serve("/short/", 700, Duration::from_secs(30), 2);
        assert_eq!(front.engines_of_short_prompts().len(), usize::from(ENGINES / 5));
    };
    /// Guards against a lane that grows and shrinks in turn under a constant load: the load of the
    /// enlarged lane is lower by the factor of its growth.
    constant_load_does_not_change_the_size_in_turn: {
        let mut front = Front::new(7);
        let mut shares = front.serve("/short/", 700, Duration::from_secs(1), SLOTS * 2 / 5);
        let grown = shares.last().copied().unwrap_or(0.2) / 0.2;
        let running = (f64::from(SLOTS) * 0.4 / grown) as u32;
        shares = front.serve("/short/", 700, Duration::from_secs(20), running);
        assert!(shares.windows(2).all(|pair| pair[0] < pair[1]), "{shares:?}");
    };
    /// Guards against a burst of long prompts that takes engines from the other long prompts.
    burst_of_long_prompts_does_not_change_the_lane: {
        let mut front = Front::new(7);
        let shares = front.serve("/long/", 9000, Duration::from_secs(10), SLOTS);
        assert_eq!(shares, []);
    };
    /// Guards against fronts that reserve different engines, so that long prompts of one front delay
    /// the streams of another: fronts with a few and with many callers see the same engines.
    fronts_with_different_traffic_agree: {
        let mut sizes = HashSet::new();
        for (seed, pause_ms) in [(1, 0), (2, 40), (3, 150)] {
            let mut front = Front::new(seed);
            let end = front.now + Duration::from_secs(8);
            while front.now < end {
                front.serve("/short/", 700, Duration::from_millis(20), SLOTS / 2);
                front.now = front.now + Duration::from_millis(pause_ms);
            }
            sizes.insert(front.engines_of_short_prompts().len());
        }
        assert_eq!(sizes.len(), 1, "{sizes:?}");
    };
    /// Guards against a front that restarts in a burst and never learns the size of the lane.
    restarted_front_learns_the_size_again: {
        let mut front = Front::new(9);
        assert_eq!(front.engines_of_short_prompts().len(), usize::from(ENGINES / 5));
        front.serve("/short/", 700, Duration::from_secs(4), SLOTS / 2);
        assert_eq!(front.engines_of_short_prompts().len(), usize::from(ENGINES / 2));
    };
    /// Guards against an engine that states an impossible load, which must not end the process or
    /// exceed the largest share.
    impossible_load_keeps_the_share_within_bounds: {
        let mut front = Front::new(7);
        front.serve("/short/", 700, Duration::from_secs(6), u32::MAX);
        assert!(front.engines_of_short_prompts().len() <= usize::from(ENGINES / 2));
    };
}
