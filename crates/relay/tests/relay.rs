//! Tests of the front's decision core through its inputs and outputs, without sockets.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use fault::Kind;
use ids::{
    Tick,
    Ticket, //
};
use plan::{
    AccountSpec,
    ColdStart,
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
    Failure,
    Input,
    Notice,
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

const SECOND: Duration = Duration::from_secs(1);

/// A front whose plan has one model service `m` and one plain service `p`.
struct Front {
    relay: Relay<PredictedLatency>,
    now: Tick,
    tickets: u64,
    open_attempts: Vec<Attempt>,
}

fn service(name: &str, cold: Option<ColdStart>, model: bool) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        connections: 100,
        cold_start: cold,
        engine: model.then_some(EngineLimits {
            slots: 64,
            kv_tokens: 300_000,
        }),
    }
}

fn route(prefix: &str, service: &str, retry: RetryPolicy, attempts: u32) -> RouteSpec {
    RouteSpec {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        retry,
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_millis(200),
        event_gap: Duration::from_millis(100),
        rank: 2,
        shares: vec![Share {
            service: service.to_owned(),
            weight: 1,
        }],
        attempts,
        open: false,
    }
}

fn plan(keys: &[&str]) -> Arc<Plan> {
    let cold = ColdStart {
        duration: Duration::from_secs(3),
        request_rate: 15.0,
    };
    let account = AccountSpec {
        name: "ana".to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        rank: Some(0),
    };
    let low = AccountSpec {
        name: "low".to_owned(),
        keys: vec!["low".to_owned()],
        rank: None,
    };
    let second = AccountSpec {
        name: "second".to_owned(),
        keys: vec!["second".to_owned()],
        rank: Some(1),
    };
    let mut urgent = route("/urgent/", "p", RetryPolicy::Idempotent, 2);
    urgent.rank = 0;
    let mut urgent_prompt = route("/first/", "m", RetryPolicy::AtMostOnceStream, 1);
    urgent_prompt.rank = 0;
    // Backlog limits follow from the latency target and the memory, so the route of long prompts has a
    // long one: 400 ms for prompts of 9,190 tokens.
    let mut stream = route("/stream/", "m", RetryPolicy::AtMostOnceStream, 1);
    stream.latency_target = Duration::from_secs(2);
    let mut open = route("/open/", "p", RetryPolicy::Idempotent, 2);
    open.open = true;
    let spec = PlanSpec {
        version: 1,
        routes: vec![
            route("/once/", "p", RetryPolicy::AtMostOnce, 1),
            route("/safe/", "p", RetryPolicy::Idempotent, 2),
            stream,
            route("/resume/", "m", RetryPolicy::ResumableStream, 2),
            open,
            urgent,
            urgent_prompt,
        ],
        services: vec![service("m", Some(cold), true), service("p", None, false)],
        accounts: Some(vec![account, low, second]),
        limits: None,
    };
    Arc::new(Plan::try_from(spec).unwrap())
}

fn info(service: &str, n: u16, zone: &str) -> EndpointInfo {
    EndpointInfo {
        instance: format!("{service}{n}"),
        service: service.to_owned(),
        address: ([10, 0, 0, 1], 1000 + n).into(),
        zone: zone.to_owned(),
        slots: 64,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: 0,
        version: String::new(),
    }
}

/// Six engines and three plain endpoints in two zones.
fn list() -> Vec<EndpointInfo> {
    let zone = |n: u16| if n < 3 { "a" } else { "b" };
    let engines = (0..6).map(|n| info("m", n, zone(n)));
    let plain = (0..3).map(|n| info("p", 10 + n, "a"));
    engines.chain(plain).collect()
}

impl Front {
    /// A front without a view or endpoints.
    fn new() -> Self {
        let options = RelayOptions {
            zone: "a".to_owned(),
            usage_window: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_extra: 60.0,
            retry_window: Duration::from_secs(10),
            rng_seed: 7,
        };
        Self {
            relay: Relay::new(options, PredictedLatency),
            now: Tick(10_000_000),
            tickets: 0,
            open_attempts: Vec::new(),
        }
    }

    /// A front with a valid view of a plan with the key `k`, and with endpoints.
    fn ready() -> Self {
        let mut front = Self::new();
        front.view(1, Some((plan(&["k"]), &[])), 4 * SECOND);
        front.step(Input::Endpoints(list()));
        front
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Outbox::default();
        self.relay.step(self.now, input, &mut out);
        out.drain().collect()
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// A front whose engines all have a prefill backlog of more than a second.
    fn overloaded() -> Self {
        let mut front = Self::ready();
        for n in 0..200 {
            let mut prompt = prompt(n, 4000, 5000);
            prompt
                .parts
                .iter_mut()
                .for_each(|part| part.0 += 10_000 * n);
            let attempt = front.dispatched("/first/", Some(prompt));
            front.open_attempts.push(attempt);
        }
        front
    }

    /// The outputs for a request with a prompt on a route.
    fn arrive_with_prompt(&mut self, path: &str, tokens: u64) -> Vec<Output> {
        self.tickets += 1;
        let head = RequestHead {
            host: "h".to_owned(),
            path: path.to_owned(),
            key: Some("k".to_owned()),
            timeout: Some(2 * SECOND),
            prompt: Some(prompt(77, tokens / 2, tokens / 2)),
            ..RequestHead::default()
        };
        self.step(Input::Request(Ticket(self.tickets), Box::new(head)))
    }

    /// Starts the responses of all open attempts.
    fn start_all(&mut self) {
        for attempt in std::mem::take(&mut self.open_attempts) {
            self.step(Input::ResponseStarted(attempt.request, None));
        }
    }

    /// The outputs for a plain request; without a decision if the request is held.
    fn arrive_plain(&mut self, path: &str, key: Option<&str>) -> Vec<Output> {
        self.tickets += 1;
        let head = RequestHead {
            host: "h".to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
            timeout: Some(2 * SECOND),
            ..RequestHead::default()
        };
        self.step(Input::Request(Ticket(self.tickets), Box::new(head)))
    }

    fn view(
        &mut self,
        generation: u64,
        deployment: Option<(Arc<Plan>, &[&str])>,
        valid_for: Duration,
    ) -> Vec<Output> {
        let deployment = deployment.map(|(plan, closed)| {
            let closed = closed.iter().map(|zone| (*zone).to_owned());
            (Some(plan), closed.collect())
        });
        let view = View {
            generation,
            deployment,
            valid_until: self.now + valid_for,
            fronts: 8,
            wall_clock: (1_000_000_000, self.now),
            requested_at: self.now,
            quarantine: None,
        };
        self.step(Input::View(Box::new(view)))
    }

    /// Advances the clock and wakes the core.
    fn wait(&mut self, span: Duration) -> Vec<Output> {
        self.advance(span);
        let mut out = Outbox::default();
        self.relay.wake(self.now, &mut out);
        out.drain().collect()
    }

    fn decision(&mut self, input: impl FnOnce(Ticket) -> Input) -> Decision {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let outputs = self.step(input(ticket));
        let reply = outputs.into_iter().find_map(|output| match output {
            Output::Reply(reply_to, decision) if reply_to == ticket => Some(decision),
            _ => None,
        });
        reply.unwrap()
    }

    fn arrive(&mut self, path: &str, key: Option<&str>, prompt: Option<Prompt>) -> Decision {
        let head = RequestHead {
            name: "r".to_owned(),
            host: "h".to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
            timeout: Some(2 * SECOND),
            prompt,
            ..RequestHead::default()
        };
        self.decision(|ticket| Input::Request(ticket, Box::new(head)))
    }

    fn dispatched(&mut self, path: &str, prompt: Option<Prompt>) -> Attempt {
        let decision = self.arrive(path, Some("k"), prompt);
        assert_matches!(decision, Decision::Dispatch(attempt) => *attempt)
    }

    fn rejected(&mut self, path: &str, key: Option<&str>) -> Kind {
        let decision = self.arrive(path, key, None);
        assert_matches!(decision, Decision::Reject(kind, _) => kind)
    }

    fn fail(&mut self, attempt: &Attempt, failure: Failure) -> Decision {
        let request = attempt.request;
        self.decision(|ticket| Input::AttemptFailed(ticket, request, failure))
    }

    fn finish(&mut self, attempt: &Attempt) {
        self.step(Input::ResponseStarted(attempt.request, None));
        self.step(Input::Completed(attempt.request));
    }

    /// Sends a request whose endpoint states in its response that it leaves. Returns the endpoint.
    fn leave(&mut self, path: &str) -> String {
        let attempt = self.dispatched(path, None);
        let notice = Notice {
            leaving: true,
            executed: true,
            ..Notice::default()
        };
        self.step(Input::Noticed(attempt.endpoint, notice));
        self.finish(&attempt);
        attempt.instance
    }

    /// Sends a request that an endpoint rejects, with a time in which it wants no more. Returns the
    /// endpoint.
    fn pause(&mut self, path: &str, span: Duration) -> String {
        let attempt = self.dispatched(path, None);
        self.reject_for(&attempt, span);
        attempt.instance
    }

    /// The endpoint rejects an attempt and wants no more for a time.
    fn reject_for(&mut self, attempt: &Attempt, span: Duration) {
        let notice = Notice {
            retry_after: Some(span),
            ..Notice::default()
        };
        self.step(Input::Noticed(attempt.endpoint, notice));
        self.fail(attempt, Failure::Full);
        self.step(Input::Cancelled(attempt.request));
    }

    /// The decision on a request whose first attempt failed.
    fn decision_after(path: &str, failure: Failure) -> Decision {
        let mut front = Self::ready();
        let attempt = front.dispatched(path, None);
        front.fail(&attempt, failure)
    }

    /// The instances to which a number of requests are dispatched, in order.
    fn instances(&mut self, n: usize, prompt: &Prompt) -> Vec<String> {
        let mut instances = Vec::new();
        for _ in 0..n {
            let attempt = self.dispatched("/stream/", Some(prompt.clone()));
            instances.push(attempt.instance.clone());
            self.finish(&attempt);
        }
        instances
    }
}

fn prompt(session: u64, shared: u64, unique: u64) -> Prompt {
    Prompt {
        input_tokens: shared + unique,
        max_output: 50,
        parts: vec![
            (1, shared / 2),
            (session, shared / 2),
            (session + 1_000_000, unique),
        ],
    }
}

fn kind(decision: Decision) -> Kind {
    assert_matches!(decision, Decision::Reject(kind, _) => kind)
}

case::cases! {
    without_a_plan_requests_are_held_then_rejected_as_view_stale: {
        let mut front = Front::new();
        assert_matches!(&front.arrive_plain("/none/x", None)[..], []);
        let outputs = front.wait(SECOND);
        assert_matches!(&outputs[..], [.., Output::Reply(_, Decision::Reject(Kind::ViewStale, _))]);
    };
    request_before_the_first_view_is_held_until_it_arrives: {
        let mut front = Front::new();
        front.step(Input::Endpoints(list()));
        assert_matches!(&front.arrive_plain("/once/x", Some("k"))[..], []);
        front.advance(Duration::from_millis(500));
        let outputs = front.view(1, Some((plan(&["k"]), &[])), 4 * SECOND);
        let attempt = outputs.into_iter().find_map(|output| match output {
            Output::Reply(_, Decision::Dispatch(attempt)) => Some(attempt),
            _ => None,
        });
        assert_eq!(attempt.unwrap().deadline, front.now + Duration::from_millis(1500));
    };
    front_rejects_at_once_after_the_hold_period: {
        let mut front = Front::new();
        front.arrive_plain("/once/x", Some("k"));
        front.wait(2 * SECOND);
        assert_eq!(front.rejected("/once/x", Some("k")), Kind::ViewStale);
    };
    key_determines_account_and_rank: {
        let attempt = Front::ready().dispatched("/once/x", None);
        assert_eq!((attempt.account.as_deref(), attempt.rank), (Some("ana"), 2));
    };
    account_rank_precedes_route_rank: {
        let mut front = Front::ready();
        let mut rank = |path, key| {
            let decision = front.arrive(path, Some(key), None);
            let attempt = assert_matches!(decision, Decision::Dispatch(attempt) => *attempt);
            attempt.rank
        };
        let ranks = [rank("/urgent/x", "k"), rank("/once/x", "k"), rank("/urgent/x", "second"),
            rank("/once/x", "second")];
        assert!(ranks.windows(2).all(|pair| pair[0] < pair[1]), "{ranks:?}");
    };
    open_route_has_no_account: {
        let mut front = Front::ready();
        let decision = front.arrive("/open/x", None, None);
        let attempt = assert_matches!(decision, Decision::Dispatch(attempt) => *attempt);
        assert_eq!((attempt.account, attempt.rank), (None, 8));
    };
    // The engines of the plan hold 300,000 tokens.
    prompt_above_the_memory_of_any_engine_is_rejected_at_once: {
        let mut front = Front::overloaded();
        let outputs = front.arrive_with_prompt("/stream/", 300_002);
        assert_matches!(&outputs[..],
            [.., Output::Reply(_, Decision::Reject(Kind::PromptTooLarge, _))]);
        let outputs = front.arrive_with_prompt("/first/", 299_998);
        assert_matches!(&outputs[..], [.., Output::Reply(_, Decision::Dispatch(_))]);
    };
    unknown_route_is_rejected: {
        assert_eq!(Front::ready().rejected("/none/x", Some("k")), Kind::RouteUnknown);
    };
    unknown_key_is_rejected: {
        assert_eq!(Front::ready().rejected("/once/x", Some("z")), Kind::KeyInvalid);
    };
    missing_key_is_rejected: assert_eq!(Front::ready().rejected("/once/x", None), Kind::KeyMissing);
    withdrawn_key_is_rejected_after_the_next_view: {
        let mut front = Front::ready();
        front.view(2, Some((plan(&[]), &[])), 4 * SECOND);
        assert_eq!(front.rejected("/once/x", Some("k")), Kind::KeyInvalid);
    };
    expired_view_rejects_as_not_executed: {
        let mut front = Front::ready();
        front.wait(4 * SECOND);
        front.wait(2 * SECOND);
        let kind = front.rejected("/once/x", Some("k"));
        assert_eq!((kind, kind.not_executed()), (Kind::ViewStale, true));
    };
    older_view_is_ignored: {
        let mut front = Front::ready();
        front.view(3, Some((plan(&[]), &[])), 4 * SECOND);
        front.view(2, Some((plan(&["k"]), &[])), 9 * SECOND);
        assert_eq!(front.relay.generation(), 3);
        assert_eq!(front.rejected("/once/x", Some("k")), Kind::KeyInvalid);
    };
    deadline_is_bounded_by_the_route_timeout: {
        let mut front = Front::ready();
        let attempt = front.dispatched("/once/x", None);
        assert_eq!(attempt.deadline, front.now + 2 * SECOND);
        let head = RequestHead {
            host: "h".to_owned(),
            path: "/once/x".to_owned(),
            key: Some("k".to_owned()),
            ..RequestHead::default()
        };
        let decision = front.decision(|ticket| Input::Request(ticket, Box::new(head)));
        let attempt = assert_matches!(decision, Decision::Dispatch(attempt) => *attempt);
        assert_eq!(attempt.deadline, front.now + 3 * SECOND);
    };
    non_idempotent_request_is_not_retried_if_it_may_have_been_executed: for failure in [
        Failure::Broken, Failure::Garbled, Failure::Silent,
    ] {
        let kind = kind(Front::decision_after("/once/x", failure));
        assert!(!kind.not_executed(), "{failure:?} gives {kind}");
    };
    request_that_was_not_executed_is_retried: for failure in [
        Failure::Unreached, Failure::Full, Failure::Misdirected,
    ] {
        assert_matches!(Front::decision_after("/once/x", failure), Decision::Dispatch(_));
    };
    non_resumable_stream_is_not_retried: {
        assert_eq!(kind(Front::decision_after("/stream/x", Failure::Broken)), Kind::EndpointFailed);
    };
    idempotent_request_is_retried_once: {
        let mut front = Front::ready();
        let first = front.dispatched("/safe/x", None);
        let decision = front.fail(&first, Failure::Broken);
        let second = assert_matches!(decision, Decision::Dispatch(attempt) => *attempt);
        assert_ne!(first.instance, second.instance);
        assert_eq!(kind(front.fail(&second, Failure::Broken)), Kind::EndpointFailed);
    };
    endpoint_error_response_is_passed_through: {
        assert_matches!(Front::decision_after("/once/x", Failure::Errored), Decision::PassThrough);
    };
    rejection_by_all_endpoints_means_not_executed: {
        let mut front = Front::ready();
        let mut attempt = front.dispatched("/once/x", None);
        let kind = loop {
            match front.fail(&attempt, Failure::Full) {
                Decision::Dispatch(next) => attempt = *next,
                decision => break kind(decision),
            }
        };
        assert!(kind.not_executed());
    };
    no_start_deadline_without_time_for_two_attempts: {
        let mut front = Front::ready();
        let head = RequestHead {
            host: "h".to_owned(),
            path: "/resume/x".to_owned(),
            key: Some("k".to_owned()),
            timeout: Some(Duration::from_millis(250)),
            ..RequestHead::default()
        };
        let decision = front.decision(|ticket| Input::Request(ticket, Box::new(head)));
        let attempt = assert_matches!(decision, Decision::Dispatch(attempt) => *attempt);
        assert!(attempt.start_deadline.is_none());
    };
    engine_with_slow_response_starts_is_avoided: {
        let mut front = Front::ready();
        let prompt = prompt(8, 2000, 1000);
        let slow = front.dispatched("/stream/", Some(prompt.clone()));
        front.advance(Duration::from_millis(900));
        front.finish(&slow);
        let next = front.dispatched("/stream/", Some(prompt));
        assert_ne!(next.instance, slow.instance);
    };
    long_low_rank_prompt_is_queued_while_backlog_is_large: {
        let mut front = Front::overloaded();
        let outputs = front.arrive_with_prompt("/stream/", 9000);
        assert_matches!(&outputs[..], [Output::Event(Event::Queued { .. })]);
        // Short prompts and urgent prompts do not wait.
        let outputs = front.arrive_with_prompt("/stream/", 1000);
        assert_matches!(&outputs[..], [.., Output::Reply(_, Decision::Dispatch(_))]);
        let outputs = front.arrive_with_prompt("/first/", 9000);
        assert_matches!(&outputs[..], [.., Output::Reply(_, Decision::Dispatch(_))]);
    };
    queued_prompt_is_dispatched_when_backlog_shrinks: {
        let mut front = Front::overloaded();
        front.arrive_with_prompt("/stream/", 9000);
        front.start_all();
        let outputs = front.wait(Duration::from_millis(60));
        let dispatch =
            |output: &Output| matches!(output, Output::Reply(_, Decision::Dispatch(_)));
        assert!(outputs.iter().any(dispatch));
    };
    queued_prompt_is_rejected_as_overloaded_after_its_wait: {
        let mut front = Front::overloaded();
        front.arrive_with_prompt("/stream/", 9000);
        let outputs = front.wait(Duration::from_millis(600));
        let rejected = outputs.iter().find_map(|output| match output {
            Output::Reply(_, Decision::Reject(kind, _)) => Some(*kind),
            _ => None,
        });
        assert_eq!(rejected, Some(Kind::Overloaded));
    };
    start_deadline_and_gap_are_set_only_if_a_retry_is_allowed: {
        let mut front = Front::ready();
        assert!(front.dispatched("/safe/x", None).start_deadline.is_some());
        assert!(front.dispatched("/once/x", None).start_deadline.is_none());
        assert!(front.dispatched("/resume/x", None).max_gap.is_some());
        assert!(front.dispatched("/stream/x", None).max_gap.is_none());
    };
    retries_stop_when_the_budget_is_exhausted: {
        let mut front = Front::ready();
        let mut retried = 0;
        for _ in 0..100 {
            let attempt = front.dispatched("/safe/x", None);
            if let Decision::Dispatch(next) = front.fail(&attempt, Failure::Full) {
                retried += 1;
                front.finish(&next);
            }
        }
        // 0.2 retries per request plus this front's eighth of 60, of which 0.8 are used.
        assert!(retried <= 22, "{retried} retries");
        assert!(retried >= 10, "{retried} retries");
    };
    // A quarter of the endpoints of a hundred fronts is lost at once: an attempt that reached no
    // endpoint is no load for any, so another one needs no budget.
    attempts_that_reached_no_endpoint_need_no_budget: {
        let mut front = Front::ready();
        for _ in 0..100 {
            let attempt = front.dispatched("/safe/x", None);
            match front.fail(&attempt, Failure::Unreached) {
                Decision::Dispatch(next) => front.finish(&next),
                decision => panic!("{decision:?}"),
            };
        }
    };
    // Guards against requests to an endpoint that has just asked for none (BUDGET).
    endpoint_gets_no_requests_for_the_time_that_it_states_with_a_rejection: {
        let mut front = Front::ready();
        // The load that a rejection implies is forgotten sooner.
        let paused = front.pause("/safe/x", 4 * SECOND);
        front.view(1, None, 10 * SECOND);
        for _ in 0..39 {
            front.advance(Duration::from_millis(100));
            let attempt = front.dispatched("/once/x", None);
            assert_ne!(attempt.instance, paused);
            front.finish(&attempt);
        }
        front.advance(Duration::from_millis(100));
        let instances: Vec<_> = (0..40).map(|_| front.dispatched("/once/x", None).instance).collect();
        assert!(instances.contains(&paused), "{instances:?}");
    };
    shorter_pause_does_not_end_a_longer_one: {
        let mut front = Front::ready();
        let attempts: Vec<_> = (0..6).map(|_| front.dispatched("/safe/x", None)).collect();
        let instance = attempts[0].instance.clone();
        let same: Vec<_> = attempts.iter().filter(|attempt| attempt.instance == instance).collect();
        assert!(same.len() > 1, "{attempts:?}");
        front.reject_for(same[0], 5 * SECOND);
        front.reject_for(same[1], Duration::from_millis(500));
        front.advance(2 * SECOND);
        for _ in 0..20 {
            let attempt = front.dispatched("/once/x", None);
            assert_ne!(attempt.instance, instance);
            front.finish(&attempt);
        }
    };
    // Guards against callers that are told to come back before any endpoint accepts them.
    rejection_while_all_endpoints_pause_states_the_shortest_pause: {
        let mut front = Front::ready();
        for seconds in [5, 4, 3] {
            front.pause("/safe/x", SECOND * seconds);
        }
        assert_matches!(&front.arrive_plain("/once/x", Some("k"))[..], []);
        let outputs = front.wait(SECOND);
        assert_matches!(&outputs[..], [.., Output::Reply(_, Decision::Reject(Kind::Overloaded, after))]
            if *after == 2 * SECOND);
    };
    // Guards against requests to an endpoint that leaves before the listing shows it (DRAIN).
    endpoint_that_states_that_it_leaves_gets_no_requests: {
        let mut front = Front::ready();
        let leaving = front.leave("/once/x");
        let without = list().into_iter().filter(|info| info.instance != leaving).collect();
        // The listing lags, and it may lack an endpoint for a moment.
        for listing in [list(), without, list()] {
            front.step(Input::Endpoints(listing));
            for _ in 0..20 {
                let attempt = front.dispatched("/once/x", None);
                assert_ne!(attempt.instance, leaving);
                front.finish(&attempt);
            }
        }
    };
    endpoint_that_restarts_has_not_left: {
        let mut front = Front::ready();
        let left = front.leave("/once/x");
        let mut restarted = list();
        restarted.iter_mut().filter(|info| info.instance == left).for_each(|info| info.started_ms = 9);
        front.step(Input::Endpoints(restarted));
        let instances: Vec<_> = (0..20).map(|_| front.dispatched("/once/x", None).instance).collect();
        assert!(instances.contains(&left), "{instances:?}");
    };
    front_whose_endpoints_all_leave_rejects_as_not_executed: {
        let mut front = Front::ready();
        for _ in 0..3 {
            front.leave("/once/x");
        }
        let kind = front.rejected("/once/x", Some("k"));
        assert_eq!((kind, kind.not_executed()), (Kind::EndpointMissing, true));
    };
    draining_endpoint_gets_no_requests: {
        let mut front = Front::ready();
        let mut list = list();
        list.iter_mut().filter(|l| l.service == "p").for_each(|l| l.draining = true);
        front.step(Input::Endpoints(list));
        assert_eq!(front.rejected("/once/x", Some("k")), Kind::EndpointMissing);
    };
    closed_zone_gets_no_requests: {
        let mut front = Front::ready();
        front.view(2, Some((plan(&["k"]), &["a"])), 4 * SECOND);
        assert_eq!(front.rejected("/once/x", Some("k")), Kind::EndpointMissing);
        for _ in 0..20 {
            let attempt = front.dispatched("/stream/x", Some(prompt(5, 600, 100)));
            assert!(attempt.instance.as_str() >= "m3", "{}", attempt.instance);
        }
    };
    reopened_zone_is_cold: {
        let mut front = Front::ready();
        let mut list = list();
        list.retain(|l| l.zone == "a");
        front.step(Input::Endpoints(list));
        front.view(2, Some((plan(&["k"]), &["a"])), 4 * SECOND);
        front.view(3, Some((plan(&["k"]), &[])), 4 * SECOND);
        let mut sent = 0;
        for _ in 0..50 {
            let decision = front.arrive("/stream/x", Some("k"), Some(prompt(5, 600, 100)));
            if let Decision::Dispatch(attempt) = decision {
                front.finish(&attempt);
                sent += 1;
            }
        }
        // Each of the three engines starts with at most one token.
        assert!(sent <= 3, "{sent} sent");
    };
    cold_engine_gets_the_request_rate_of_one_front: {
        let mut front = Front::ready();
        let mut cold = info("m", 0, "a");
        cold.cold_remaining = Duration::from_secs(30);
        front.step(Input::Endpoints(vec![cold]));
        let mut sent = 0;
        for _ in 0..100 {
            front.advance(Duration::from_millis(100));
            front.view(1, None, 4 * SECOND);
            let decision = front.arrive("/stream/x", Some("k"), Some(prompt(5, 600, 100)));
            if let Decision::Dispatch(attempt) = decision {
                front.finish(&attempt);
                sent += 1;
            }
        }
        // 15 requests per second, shared by 8 fronts, over 10 s.
        assert!((5..=19).contains(&sent), "{sent} sent");
    };
    endpoint_is_ejected_after_consecutive_failures: {
        let mut front = Front::ready();
        let mut failed = 0;
        for _ in 0..60 {
            let attempt = front.dispatched("/safe/x", None);
            if attempt.instance == "p10" {
                failed += 1;
                front.fail(&attempt, Failure::Broken);
            } else {
                front.finish(&attempt);
            }
        }
        assert!(failed <= 3, "{failed} sent to the failing endpoint");
    };
    short_and_long_prompts_use_separate_lanes: {
        let mut front = Front::ready();
        let short = front.instances(10, &prompt(5, 170, 540));
        let long = front.instances(10, &prompt(8, 6300, 2890));
        assert!(short.iter().all(|instance| !long.contains(instance)), "{short:?} {long:?}");
    };
    all_fronts_prefer_the_same_endpoint_for_shared_parts: {
        let first = Front::ready().instances(5, &prompt(8, 6300, 2890));
        let mut second = Front::ready();
        second.instances(7, &prompt(9, 6300, 2890));
        assert_eq!(second.instances(5, &prompt(8, 6300, 2890)), first);
    };
    spilled_session_returns_to_endpoints_with_its_cache: {
        let mut front = Front::ready();
        // The preferred endpoint and one more hold the shared parts; no third one prefills them.
        let instances: std::collections::BTreeSet<_> = (0..12)
            .map(|n| {
                let mut prompt = prompt(8, 6300, 2890);
                prompt.parts[2].0 = 100 + n;
                front.dispatched("/stream/", Some(prompt)).instance
            })
            .collect();
        assert!(instances.len() <= 2, "{instances:?}");
    };
    burst_on_one_session_spills_over: {
        let mut front = Front::ready();
        let mut instances: Vec<_> = (0..20)
            .map(|n| {
                let mut prompt = prompt(8, 6300, 2890);
                prompt.parts[2].0 = 100 + n;
                front.dispatched("/stream/", Some(prompt)).instance
            })
            .collect();
        instances.sort_unstable();
        instances.dedup();
        assert!(instances.len() > 1);
    };
    usage_counts_each_started_request_once: {
        let mut front = Front::ready();
        let first = front.dispatched("/resume/x", None);
        front.step(Input::ResponseStarted(first.request, None));
        let decision = front.fail(&first, Failure::Broken);
        let second = assert_matches!(decision, Decision::Dispatch(attempt) => *attempt);
        front.finish(&second);
        front.dispatched("/once/x", None);
        let outputs = front.step(Input::Usage(Ticket(0), None));
        let runs = [("ana".to_owned(), 1)].into();
        assert_matches!(&outputs[..], [Output::Usage(_, windows)] => {
            assert_eq!(windows, &[(200_000, runs)]);
        });
    };
    usage_window_counts_from_the_receipt_of_the_wall_clock: {
        let mut front = Front::ready();
        let requested_at = front.now;
        front.advance(Duration::from_millis(800));
        let view = View {
            generation: 1,
            deployment: None,
            valid_until: front.now + 4 * SECOND,
            fronts: 8,
            wall_clock: (1_000_004_500, front.now),
            requested_at,
            quarantine: None,
        };
        front.step(Input::View(Box::new(view)));
        let attempt = front.dispatched("/once/x", None);
        front.finish(&attempt);
        let outputs = front.step(Input::Usage(Ticket(0), None));
        assert_matches!(&outputs[..], [Output::Usage(_, windows)] => {
            assert_eq!(windows[0].0, 200_000);
        });
    };
    // The load balancer sent callers to a front that knew no endpoint.
    front_without_a_listing_is_not_ready: {
        let mut front = Front::new();
        front.view(1, Some((plan(&["k"]), &[])), 4 * SECOND);
        assert_matches!(&front.step(Input::Ready(Ticket(0)))[..], [Output::Ready(_, false)]);
        front.step(Input::Endpoints(Vec::new()));
        assert_matches!(&front.step(Input::Ready(Ticket(0)))[..], [Output::Ready(_, true)]);
    };
    draining_front_serves_but_is_not_ready: {
        let mut front = Front::ready();
        front.step(Input::Drain);
        let outputs = front.step(Input::Ready(Ticket(0)));
        assert_matches!(&outputs[..], [Output::Ready(_, false)]);
        front.dispatched("/once/x", None);
    };
}
