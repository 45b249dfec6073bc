//! Tests of endpoints that state a limit on their rate of requests, over all fronts together.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use std::sync::Arc;
use std::time::Duration;

use fault::Kind;
use ids::{
    EndpointId,
    Rate,
    RequestId,
    Tick,
    Ticket, //
};
use plan::{
    Plan,
    PlanSpec,
    RetryPolicy,
    RouteSpec,
    ServiceSpec,
    Share, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use relay::{
    Decision,
    EndpointInfo,
    Input,
    Load,
    Notice,
    Output,
    PredictedLatency,
    Relay,
    RelayOptions,
    RequestHead,
    View, //
};
use step::{
    Core,
    Outbox, //
};

const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
/// Time from the arrival of a request at an endpoint to its response.
const RESPONSE_TIME: Duration = Duration::from_millis(60);
/// Time after an endpoint first stated its limit from which it must hold.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time after a front received a limit from which its requests count.
const TOLD_DELAY: Duration = Duration::from_millis(500);
/// Length of the sliding window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most requests that an endpoint with a limit may get within [`WINDOW`].
fn allowed(limit: f64) -> f64 {
    limit * WINDOW.as_secs_f64() * 1.5 + 5.0
}

/// A request that reached an endpoint.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Tick,
    front: usize,
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    limit: Option<f64>,
    /// When it first stated its limit.
    stated_at: Option<Tick>,
    arrivals: Vec<Arrival>,
}

struct Front {
    relay: Relay<PredictedLatency>,
    /// When the front received the first response with a limit from an endpoint.
    told: HashMap<String, Tick>,
}

/// A response on its way to a front.
struct Response {
    at: Tick,
    front: usize,
    /// The incarnation of the front that sent the request.
    start: u64,
    request: RequestId,
    endpoint: EndpointId,
    instance: String,
    notice_held: bool,
}

/// Fronts and the endpoints of one service.
struct Fleet {
    now: Tick,
    rng: Pcg32,
    fronts: Vec<Front>,
    /// The incarnation of each front.
    starts: Vec<u64>,
    endpoints: BTreeMap<String, Endpoint>,
    responses: Vec<Response>,
    /// Requests per second, over all fronts.
    load: f64,
    tickets: u64,
    served: usize,
    rejected: Vec<(Kind, Duration)>,
    /// Whether the control group responds; it then renews views every second.
    control: bool,
    /// The number of fronts that views state.
    counted: usize,
}

fn plan() -> Arc<Plan> {
    let route = RouteSpec {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry: RetryPolicy::Idempotent,
        timeout: 3 * SECOND,
        latency_target: Duration::from_millis(300),
        event_gap: Duration::from_millis(100),
        rank: 2,
        shares: vec![Share {
            service: "s".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        open: true,
    };
    let service = ServiceSpec {
        name: "s".to_owned(),
        connections: 100,
        cold_start: None,
        engine: None,
    };
    let spec = PlanSpec {
        version: 1,
        routes: vec![route],
        services: vec![service],
        accounts: None,
        limits: None,
    };
    Arc::new(Plan::try_from(spec).unwrap())
}

impl Fleet {
    fn new(fronts: usize, endpoints: u16, load: f64) -> Self {
        let names = (0..endpoints).map(|n| (format!("s{n}"), Endpoint::default()));
        let mut fleet = Self {
            now: Tick(10_000_000),
            rng: Pcg32::seed_from_u64(1),
            fronts: Vec::new(),
            starts: vec![0; fronts],
            endpoints: names.collect(),
            responses: Vec::new(),
            load,
            tickets: 0,
            served: 0,
            rejected: Vec::new(),
            control: true,
            counted: fronts,
        };
        for n in 0..fronts {
            let front = fleet.start(n);
            fleet.fronts.push(front);
        }
        fleet
    }

    /// Starts a front with a view and the listing.
    fn start(&mut self, n: usize) -> Front {
        self.starts[n] += 1;
        let options = RelayOptions {
            zone: "a".to_owned(),
            usage_window: 5 * SECOND,
            retry_ratio: 0.2,
            retry_extra: 60.0,
            retry_window: 10 * SECOND,
            rng_seed: n as u64 * 1000 + self.starts[n],
        };
        let mut relay = Relay::new(options, PredictedLatency);
        let mut out = Outbox::default();
        relay.step(self.now, Input::Endpoints(self.listing()), &mut out);
        relay.step(self.now, Input::View(Box::new(self.view())), &mut out);
        Front {
            relay,
            told: HashMap::new(),
        }
    }

    fn restart(&mut self, n: usize) {
        let front = self.start(n);
        self.fronts[n] = front;
    }

    fn listing(&self) -> Vec<EndpointInfo> {
        let info = |(n, instance): (u16, &String)| EndpointInfo {
            instance: instance.clone(),
            service: "s".to_owned(),
            address: ([10, 0, 0, 1], 1000 + n).into(),
            zone: "a".to_owned(),
            slots: 64,
            draining: false,
            cold_remaining: Duration::ZERO,
            started_ms: 1,
            version: String::new(),
        };
        (0..).zip(self.endpoints.keys()).map(info).collect()
    }

    /// Removes an endpoint from the listings of all fronts for a moment.
    fn relist_without(&mut self, instance: &str) {
        let all = self.listing();
        let without = all.iter().filter(|info| info.instance != instance);
        let without: Vec<_> = without.cloned().collect();
        for list in [without, all] {
            for front in &mut self.fronts {
                let mut out = Outbox::default();
                let input = Input::Endpoints(list.clone());
                front.relay.step(self.now, input, &mut out);
            }
        }
    }

    fn view(&self) -> View {
        View {
            generation: 1,
            deployment: Some((Some(plan()), Vec::new())),
            valid_until: self.now + 600 * SECOND,
            fronts: self.counted,
            wall_clock: (1_000_000_000, self.now),
            requested_at: self.now,
            quarantine: None,
        }
    }

    fn limit(&mut self, endpoints: usize, limit: Option<f64>) {
        for endpoint in self.endpoints.values_mut().take(endpoints) {
            endpoint.limit = limit;
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let mut renewed_at = self.now;
        while self.now < end {
            self.now = self.now + STEP;
            if self.control && self.now.since(renewed_at) >= SECOND {
                renewed_at = self.now;
                for n in 0..self.fronts.len() {
                    self.step(n, Input::View(Box::new(self.view())));
                }
            }
            let due: Vec<_> = self
                .responses
                .extract_if(.., |response| response.at <= self.now)
                .collect();
            for response in due {
                self.deliver(response);
            }
            for n in 0..self.fronts.len() {
                let mut out = Outbox::default();
                self.fronts[n].relay.wake(self.now, &mut out);
                self.handle(n, out);
            }
            let share = self.load * STEP.as_secs_f64() / self.fronts.len() as f64;
            for n in 0..self.fronts.len() {
                if self.rng.random_bool(share.min(1.0)) {
                    self.request(n);
                }
            }
        }
    }

    fn request(&mut self, n: usize) {
        self.tickets += 1;
        let head = RequestHead {
            host: "h".to_owned(),
            path: "/x".to_owned(),
            timeout: Some(2 * SECOND),
            ..RequestHead::default()
        };
        self.step(n, Input::Request(Ticket(self.tickets), Box::new(head)));
    }

    fn step(&mut self, n: usize, input: Input) {
        let mut out = Outbox::default();
        self.fronts[n].relay.step(self.now, input, &mut out);
        self.handle(n, out);
    }

    fn handle(&mut self, n: usize, mut out: Outbox<Output>) {
        for output in out.drain() {
            match output {
                Output::Reply(_, Decision::Dispatch(attempt)) => {
                    let endpoint = self.endpoints.get_mut(&attempt.instance).unwrap();
                    endpoint.arrivals.push(Arrival {
                        at: self.now,
                        front: n,
                    });
                    self.responses.push(Response {
                        at: self.now + RESPONSE_TIME,
                        front: n,
                        start: self.starts[n],
                        request: attempt.request,
                        endpoint: attempt.endpoint,
                        instance: attempt.instance.clone(),
                        notice_held: attempt.notice_held,
                    });
                }
                Output::Reply(_, Decision::Reject(kind, after)) => {
                    self.rejected.push((kind, after));
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, response: Response) {
        let (n, now) = (response.front, self.now);
        if response.start != self.starts[n] {
            return;
        }
        let endpoint = self.endpoints.get_mut(&response.instance).unwrap();
        let rate = endpoint.limit.map(|limit| Rate::try_from(limit).unwrap());
        if rate.is_some() {
            endpoint.stated_at.get_or_insert(now);
            let told = &mut self.fronts[n].told;
            told.entry(response.instance.clone()).or_insert(now);
        }
        if rate.is_some() || response.notice_held {
            let notice = Notice {
                rate_limit: rate,
                executed: true,
                ..Notice::default()
            };
            self.step(n, Input::Noticed(response.endpoint, notice));
        }
        let load = Load {
            running: 1,
            waiting: 0,
            slots: 64,
            slowdown: 1.0,
        };
        self.step(n, Input::ResponseStarted(response.request, Some(load)));
        self.step(n, Input::Completed(response.request));
        self.served += 1;
    }

    /// The most requests from informed fronts that an endpoint got within a window while its limit
    /// had to hold, relative to what is allowed.
    fn excess(&self) -> f64 {
        let excess = self.endpoints.iter().filter_map(|(instance, endpoint)| {
            let limit = endpoint.limit?;
            let from = endpoint.stated_at? + STABLE_WINDOW;
            let counted = endpoint.arrivals.iter().filter(|arrival| {
                let told = self.fronts[arrival.front].told.get(instance);
                let told = told.is_some_and(|told| arrival.at.since(*told) >= TOLD_DELAY);
                told && arrival.at >= from
            });
            let times: Vec<_> = counted.map(|arrival| arrival.at).collect();
            let within = |first: &Tick| {
                let window = times
                    .iter()
                    .filter(|at| *at >= first && at.since(*first) < WINDOW);
                window.count()
            };
            let most = times.iter().map(within).max().unwrap_or(0);
            Some(most as f64 / allowed(limit))
        });
        excess.fold(0.0, f64::max)
    }

    /// Requests per second that the first endpoints got within the last `span`.
    fn rate(&self, endpoints: usize, span: Duration) -> f64 {
        let arrivals = self.endpoints.values().take(endpoints);
        let arrivals = arrivals.flat_map(|endpoint| &endpoint.arrivals);
        let recent = arrivals.filter(|arrival| self.now.since(arrival.at) < span);
        recent.count() as f64 / span.as_secs_f64()
    }

    /// Fronts of which each has received a limit from most of the endpoints.
    fn informed(fronts: usize, endpoints: u16, load: f64, limited: usize, limit: f64) -> Self {
        let mut fleet = Self::new(fronts, endpoints, load);
        fleet.run(2 * SECOND);
        fleet.limit(limited, Some(limit));
        fleet.run(STABLE_WINDOW);
        fleet
    }
}

/// Each endpoint states half of the rate that it gets without a limit.
const LIMIT: f64 = 3.5;

case::cases! {
    // Guards against fronts that ignore the limit, or of which each uses all of it.
    limit_holds_for_the_sum_over_seven_fronts: {
        let mut fleet = Fleet::informed(7, 12, 84.0, 8, LIMIT);
        fleet.run(20 * SECOND);
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
        assert!(fleet.rejected.is_empty(), "{:?}", fleet.rejected);
    };
    // Each front's share is less than one request in the window.
    limit_holds_for_the_sum_over_a_hundred_fronts: {
        let mut fleet = Fleet::informed(105, 40, 280.0, 28, LIMIT);
        fleet.run(30 * SECOND);
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
        assert!(fleet.rejected.is_empty(), "{:?}", fleet.rejected);
    };
    limit_holds_without_the_control_group: {
        let mut fleet = Fleet::informed(28, 12, 84.0, 8, LIMIT);
        fleet.control = false;
        fleet.run(20 * SECOND);
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
    };
    // A leader that has just been elected may not know all fronts yet.
    limit_holds_while_too_few_fronts_are_counted: {
        let mut fleet = Fleet::informed(28, 12, 84.0, 8, LIMIT);
        fleet.counted = 2;
        fleet.run(4 * SECOND);
        fleet.counted = 28;
        fleet.run(6 * SECOND);
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
    };
    limit_holds_while_fronts_restart: {
        let mut fleet = Fleet::informed(7, 12, 84.0, 8, LIMIT);
        for n in 0..14 {
            fleet.restart(n % 7);
            fleet.run(SECOND);
        }
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
    };
    // Unused shares of many fronts must not add up to a burst.
    limit_holds_in_a_burst_after_a_quiet_time: {
        let mut fleet = Fleet::informed(105, 12, 250.0, 12, LIMIT);
        fleet.load = 0.0;
        fleet.run(60 * SECOND);
        fleet.load = 500.0;
        fleet.run(6 * SECOND);
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
    };
    limit_holds_for_an_endpoint_that_was_missing_from_one_listing: {
        let mut fleet = Fleet::informed(7, 3, 84.0, 3, LIMIT);
        for _ in 0..10 {
            fleet.relist_without("s0");
            fleet.run(SECOND);
        }
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
    };
    // The limits are used, and what exceeds them is rejected as not executed, with the time of the
    // next free request.
    small_service_is_used_up_to_its_limits: {
        let mut fleet = Fleet::informed(7, 3, 20.0, 3, LIMIT);
        fleet.rejected.clear();
        fleet.run(20 * SECOND);
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
        let rate = fleet.rate(3, 20 * SECOND);
        assert!(rate >= 3.0 * LIMIT * 0.6, "{rate}");
        assert!(!fleet.rejected.is_empty());
        for (kind, after) in &fleet.rejected {
            assert!(*kind == Kind::Overloaded && kind.not_executed(), "{kind}");
            assert!(*after > Duration::ZERO && *after <= 5 * SECOND, "{after:?}");
        }
    };
    endpoints_are_used_again_once_their_limit_ends: {
        let mut fleet = Fleet::informed(7, 12, 84.0, 8, LIMIT);
        fleet.run(10 * SECOND);
        fleet.limit(8, None);
        fleet.run(10 * SECOND);
        let rate = fleet.rate(8, 4 * SECOND);
        assert!(rate >= 8.0 * 7.0 * 0.7, "{rate}");
    };
    // An endpoint that takes nothing gets so little that the end of its limit is noticed.
    limit_of_zero_ends: {
        let mut fleet = Fleet::informed(7, 3, 30.0, 1, 0.0);
        fleet.run(20 * SECOND);
        assert!(fleet.excess() <= 1.0, "{}", fleet.excess());
        fleet.limit(1, None);
        fleet.run(60 * SECOND);
        let rate = fleet.rate(1, 10 * SECOND);
        assert!(rate >= 5.0, "{rate}");
    };
}
