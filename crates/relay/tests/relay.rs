//! The front's core, case by case, without sockets.

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
    Ask,
    Failure,
    Go,
    Input,
    Listing,
    Output,
    Predicted,
    Prompt,
    Relay,
    Seed,
    Trace,
    Verdict,
    View, //
};
use step::{
    Core,
    Outbox, //
};

const SECOND: Duration = Duration::from_secs(1);

/// A front with a plan of one model service `m` and one plain service `p`.
struct Front {
    relay: Relay<Predicted>,
    now: Tick,
    tickets: u64,
    open: Vec<Go>,
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

fn route(prefix: &str, service: &str, repeat: RetryPolicy, attempts: u32) -> RouteSpec {
    RouteSpec {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        retry: repeat,
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
        requests_per_s: 15.0,
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
    let mut open = route("/open/", "p", RetryPolicy::Idempotent, 2);
    open.open = true;
    let spec = PlanSpec {
        version: 1,
        routes: vec![
            route("/once/", "p", RetryPolicy::AtMostOnce, 1),
            route("/safe/", "p", RetryPolicy::Idempotent, 2),
            route("/stream/", "m", RetryPolicy::AtMostOnceStream, 1),
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

fn listing(service: &str, n: u16, zone: &str) -> Listing {
    Listing {
        instance: format!("{service}{n}"),
        service: service.to_owned(),
        address: ([10, 0, 0, 1], 1000 + n).into(),
        zone: zone.to_owned(),
        slots: 64,
        leaving: false,
        cold: Duration::ZERO,
        born: 0,
    }
}

/// Six engines and three plain endpoints in two zones.
fn list() -> Vec<Listing> {
    let zone = |n: u16| if n < 3 { "a" } else { "b" };
    let engines = (0..6).map(|n| listing("m", n, zone(n)));
    let plain = (0..3).map(|n| listing("p", 10 + n, "a"));
    engines.chain(plain).collect()
}

impl Front {
    /// A front that knows nothing.
    fn new() -> Self {
        let seed = Seed {
            zone: "a".to_owned(),
            window: Duration::from_secs(5),
            ratio: 0.2,
            extra: 60.0,
            span: Duration::from_secs(10),
            random: 7,
        };
        Self {
            relay: Relay::new(seed, Predicted),
            now: Tick(10_000_000),
            tickets: 0,
            open: Vec::new(),
        }
    }

    /// A front that follows a plan with the key `k`, and knows the endpoints.
    fn ready() -> Self {
        let mut front = Self::new();
        front.view(1, Some((plan(&["k"]), &[])), 4 * SECOND);
        front.step(Input::Listed(list()));
        front
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Outbox::default();
        self.relay.step(self.now, input, &mut out);
        out.drain().collect()
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    /// A front whose engines all have more than a second to read.
    fn overloaded() -> Self {
        let mut front = Self::ready();
        for n in 0..200 {
            let mut prompt = prompt(n, 4000, 5000);
            prompt
                .parts
                .iter_mut()
                .for_each(|part| part.0 += 10_000 * n);
            let go = front.go("/first/", Some(prompt));
            front.open.push(go);
        }
        front
    }

    /// The outputs for a request on a route, with a prompt of its own.
    fn prompt_of(&mut self, path: &str, tokens: u64) -> Vec<Output> {
        self.tickets += 1;
        let ask = Ask {
            host: "h".to_owned(),
            path: path.to_owned(),
            key: Some("k".to_owned()),
            patience: Some(2 * SECOND),
            prompt: Some(prompt(77, tokens / 2, tokens / 2)),
            ..Ask::default()
        };
        self.step(Input::Arrive(Ticket(self.tickets), Box::new(ask)))
    }

    /// All answers under way begin.
    fn begin_all(&mut self) {
        for go in std::mem::take(&mut self.open) {
            self.step(Input::Began(go.request, None));
        }
    }

    /// A request that may not be answered at once.
    fn ask(&mut self, path: &str, key: Option<&str>) -> Vec<Output> {
        self.tickets += 1;
        let ask = Ask {
            host: "h".to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
            patience: Some(2 * SECOND),
            ..Ask::default()
        };
        self.step(Input::Arrive(Ticket(self.tickets), Box::new(ask)))
    }

    fn view(
        &mut self,
        edition: u64,
        content: Option<(Arc<Plan>, &[&str])>,
        fresh: Duration,
    ) -> Vec<Output> {
        let content = content.map(|(plan, closed)| {
            let closed = closed.iter().map(|zone| (*zone).to_owned());
            (Some(plan), closed.collect())
        });
        let view = View {
            edition,
            content,
            fresh: self.now + fresh,
            fronts: 8,
            wall: (1_000_000_000, self.now),
            at: self.now,
        };
        self.step(Input::View(Box::new(view)))
    }

    /// Lets time pass and the core act on it.
    fn wait(&mut self, span: Duration) -> Vec<Output> {
        self.pass(span);
        let mut out = Outbox::default();
        self.relay.wake(self.now, &mut out);
        out.drain().collect()
    }

    fn verdict(&mut self, input: impl FnOnce(Ticket) -> Input) -> Verdict {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let outputs = self.step(input(ticket));
        let reply = outputs.into_iter().find_map(|output| match output {
            Output::Reply(to, verdict) if to == ticket => Some(verdict),
            _ => None,
        });
        reply.unwrap()
    }

    fn arrive(&mut self, path: &str, key: Option<&str>, prompt: Option<Prompt>) -> Verdict {
        let ask = Ask {
            name: "r".to_owned(),
            host: "h".to_owned(),
            path: path.to_owned(),
            key: key.map(str::to_owned),
            patience: Some(2 * SECOND),
            prompt,
            ..Ask::default()
        };
        self.verdict(|ticket| Input::Arrive(ticket, Box::new(ask)))
    }

    fn go(&mut self, path: &str, prompt: Option<Prompt>) -> Go {
        let verdict = self.arrive(path, Some("k"), prompt);
        assert_matches!(verdict, Verdict::Go(go) => *go)
    }

    fn refused(&mut self, path: &str, key: Option<&str>) -> Kind {
        let verdict = self.arrive(path, key, None);
        assert_matches!(verdict, Verdict::Refuse(kind, _) => kind)
    }

    fn fail(&mut self, go: &Go, failure: Failure) -> Verdict {
        let request = go.request;
        self.verdict(|ticket| Input::Failed(ticket, request, failure))
    }

    fn finish(&mut self, go: &Go) {
        self.step(Input::Began(go.request, None));
        self.step(Input::Done(go.request));
    }

    /// What a request gets after its first attempt failed.
    fn after(path: &str, failure: Failure) -> Verdict {
        let mut front = Self::ready();
        let go = front.go(path, None);
        front.fail(&go, failure)
    }

    /// Instances that a number of requests go to, in order.
    fn instances(&mut self, n: usize, prompt: &Prompt) -> Vec<String> {
        let mut instances = Vec::new();
        for _ in 0..n {
            let go = self.go("/stream/", Some(prompt.clone()));
            instances.push(go.instance.clone());
            self.finish(&go);
        }
        instances
    }
}

fn prompt(session: u64, shared: u64, own: u64) -> Prompt {
    Prompt {
        input: shared + own,
        output: 50,
        parts: vec![
            (1, shared / 2),
            (session, shared / 2),
            (session + 1_000_000, own),
        ],
    }
}

fn kind(verdict: Verdict) -> Kind {
    assert_matches!(verdict, Verdict::Refuse(kind, _) => kind)
}

case::cases! {
    without_a_plan_nothing_is_denied: {
        let mut front = Front::new();
        assert_matches!(&front.ask("/none/x", None)[..], []);
        let outputs = front.wait(SECOND);
        assert_matches!(&outputs[..], [.., Output::Reply(_, Verdict::Refuse(Kind::ViewStale, _))]);
    };
    request_before_the_first_view_waits_for_it: {
        let mut front = Front::new();
        front.step(Input::Listed(list()));
        assert_matches!(&front.ask("/once/x", Some("k"))[..], []);
        front.pass(Duration::from_millis(500));
        let outputs = front.view(1, Some((plan(&["k"]), &[])), 4 * SECOND);
        let go = outputs.into_iter().find_map(|output| match output {
            Output::Reply(_, Verdict::Go(go)) => Some(go),
            _ => None,
        });
        assert_eq!(go.unwrap().until, front.now + Duration::from_millis(1500));
    };
    front_without_a_view_for_long_refuses_at_once: {
        let mut front = Front::new();
        front.ask("/once/x", Some("k"));
        front.wait(2 * SECOND);
        assert_eq!(front.refused("/once/x", Some("k")), Kind::ViewStale);
    };
    key_names_the_account_and_its_rank: {
        let go = Front::ready().go("/once/x", None);
        assert_eq!((go.account.as_deref(), go.rank), (Some("ana"), 2));
    };
    account_s_rank_goes_before_the_route_s: {
        let mut front = Front::ready();
        let mut rank = |path, key| {
            let go = assert_matches!(front.arrive(path, Some(key), None), Verdict::Go(go) => *go);
            go.rank
        };
        let ranks = [rank("/urgent/x", "k"), rank("/once/x", "k"), rank("/urgent/x", "second"),
            rank("/once/x", "second")];
        assert!(ranks.windows(2).all(|pair| pair[0] < pair[1]), "{ranks:?}");
    };
    open_route_has_no_account: {
        let mut front = Front::ready();
        let go = assert_matches!(front.arrive("/open/x", None, None), Verdict::Go(go) => *go);
        assert_eq!((go.account, go.rank), (None, 8));
    };
    unknown_route: assert_eq!(Front::ready().refused("/none/x", Some("k")), Kind::RouteUnknown);
    unknown_key: assert_eq!(Front::ready().refused("/once/x", Some("z")), Kind::KeyInvalid);
    missing_key: assert_eq!(Front::ready().refused("/once/x", None), Kind::KeyMissing);
    withdrawn_key_is_refused_with_the_next_view: {
        let mut front = Front::ready();
        front.view(2, Some((plan(&[]), &[])), 4 * SECOND);
        assert_eq!(front.refused("/once/x", Some("k")), Kind::KeyInvalid);
    };
    view_that_ran_out_refuses_as_not_run: {
        let mut front = Front::ready();
        front.wait(4 * SECOND);
        front.wait(2 * SECOND);
        let kind = front.refused("/once/x", Some("k"));
        assert_eq!((kind, kind.not_executed()), (Kind::ViewStale, true));
    };
    older_view_changes_nothing: {
        let mut front = Front::ready();
        front.view(3, Some((plan(&[]), &[])), 4 * SECOND);
        front.view(2, Some((plan(&["k"]), &[])), 9 * SECOND);
        assert_eq!(front.relay.edition(), 3);
        assert_eq!(front.refused("/once/x", Some("k")), Kind::KeyInvalid);
    };
    patience_is_bounded_by_the_route: {
        let mut front = Front::ready();
        let go = front.go("/once/x", None);
        assert_eq!(go.until, front.now + 2 * SECOND);
        let ask = Ask {
            host: "h".to_owned(),
            path: "/once/x".to_owned(),
            key: Some("k".to_owned()),
            ..Ask::default()
        };
        let verdict = front.verdict(|ticket| Input::Arrive(ticket, Box::new(ask)));
        let go = assert_matches!(verdict, Verdict::Go(go) => *go);
        assert_eq!(go.until, front.now + 3 * SECOND);
    };
    call_that_may_have_run_once_is_not_repeated: for failure in [
        Failure::Broken, Failure::Garbled, Failure::Silent,
    ] {
        let kind = kind(Front::after("/once/x", failure));
        assert!(!kind.not_executed(), "{failure:?} gives {kind}");
    };
    call_that_did_not_run_goes_elsewhere: for failure in [
        Failure::Unreached, Failure::Full, Failure::Misdirected,
    ] {
        assert_matches!(Front::after("/once/x", failure), Verdict::Go(_));
    };
    stream_that_cannot_be_resumed_is_not_repeated: {
        assert_eq!(kind(Front::after("/stream/x", Failure::Broken)), Kind::EndpointFailed);
    };
    idempotent_call_is_repeated_once: {
        let mut front = Front::ready();
        let first = front.go("/safe/x", None);
        let second = assert_matches!(front.fail(&first, Failure::Broken), Verdict::Go(go) => *go);
        assert_ne!(first.instance, second.instance);
        assert_eq!(kind(front.fail(&second, Failure::Broken)), Kind::EndpointFailed);
    };
    endpoint_s_own_failure_is_passed_on_in_the_end: {
        assert_matches!(Front::after("/once/x", Failure::Errored), Verdict::Pass);
    };
    refusal_by_every_endpoint_says_not_run: {
        let mut front = Front::ready();
        let mut go = front.go("/once/x", None);
        let kind = loop {
            match front.fail(&go, Failure::Full) {
                Verdict::Go(next) => go = *next,
                verdict => break kind(verdict),
            }
        };
        assert!(kind.not_executed());
    };
    too_little_time_for_two_attempts_makes_the_first_patient: {
        let mut front = Front::ready();
        let ask = Ask {
            host: "h".to_owned(),
            path: "/resume/x".to_owned(),
            key: Some("k".to_owned()),
            patience: Some(Duration::from_millis(250)),
            ..Ask::default()
        };
        let verdict = front.verdict(|ticket| Input::Arrive(ticket, Box::new(ask)));
        let go = assert_matches!(verdict, Verdict::Go(go) => *go);
        assert!(go.patience.is_none());
    };
    engine_whose_answers_are_slow_to_begin_is_passed_over: {
        let mut front = Front::ready();
        let prompt = prompt(8, 2000, 1000);
        let slow = front.go("/stream/", Some(prompt.clone()));
        front.pass(Duration::from_millis(900));
        front.finish(&slow);
        let next = front.go("/stream/", Some(prompt));
        assert_ne!(next.instance, slow.instance);
    };
    long_prompt_of_low_rank_waits_while_engines_have_much_to_read: {
        let mut front = Front::overloaded();
        assert_matches!(&front.prompt_of("/stream/", 9000)[..], [Output::Trace(Trace::Waits { .. })]);
        // What is short or urgent does not wait.
        assert_matches!(&front.prompt_of("/stream/", 1000)[..], [.., Output::Reply(_, Verdict::Go(_))]);
        assert_matches!(&front.prompt_of("/first/", 9000)[..], [.., Output::Reply(_, Verdict::Go(_))]);
    };
    waiting_prompt_goes_when_engines_have_read: {
        let mut front = Front::overloaded();
        front.prompt_of("/stream/", 9000);
        front.begin_all();
        let outputs = front.wait(Duration::from_millis(60));
        assert!(outputs.iter().any(|output| matches!(output, Output::Reply(_, Verdict::Go(_)))));
    };
    prompt_that_waited_its_time_is_refused_as_not_run: {
        let mut front = Front::overloaded();
        front.prompt_of("/stream/", 9000);
        let outputs = front.wait(Duration::from_millis(600));
        let refused = outputs.iter().find_map(|output| match output {
            Output::Reply(_, Verdict::Refuse(kind, _)) => Some(*kind),
            _ => None,
        });
        assert_eq!(refused, Some(Kind::Overloaded));
    };
    only_another_attempt_makes_the_first_impatient: {
        let mut front = Front::ready();
        assert!(front.go("/safe/x", None).patience.is_some());
        assert!(front.go("/once/x", None).patience.is_none());
        assert!(front.go("/resume/x", None).gap.is_some());
        assert!(front.go("/stream/x", None).gap.is_none());
    };
    retries_stop_when_the_budget_is_spent: {
        let mut front = Front::ready();
        let mut retried = 0;
        for _ in 0..100 {
            let go = front.go("/safe/x", None);
            if let Verdict::Go(next) = front.fail(&go, Failure::Unreached) {
                retried += 1;
                front.finish(&next);
            }
        }
        // A fifth of the requests and an eighth of 60, of which four fifths are spent.
        assert!(retried <= 22, "{retried} retries");
        assert!(retried >= 10, "{retried} retries");
    };
    leaving_endpoint_gets_nothing: {
        let mut front = Front::ready();
        let mut list = list();
        list.iter_mut().filter(|l| l.service == "p").for_each(|l| l.leaving = true);
        front.step(Input::Listed(list));
        assert_eq!(front.refused("/once/x", Some("k")), Kind::EndpointMissing);
    };
    closed_zone_gets_nothing: {
        let mut front = Front::ready();
        front.view(2, Some((plan(&["k"]), &["a"])), 4 * SECOND);
        assert_eq!(front.refused("/once/x", Some("k")), Kind::EndpointMissing);
        for _ in 0..20 {
            let go = front.go("/stream/x", Some(prompt(5, 600, 100)));
            assert!(go.instance.as_str() >= "m3", "{}", go.instance);
        }
    };
    zone_that_opens_again_is_cold: {
        let mut front = Front::ready();
        let mut list = list();
        list.retain(|l| l.zone == "a");
        front.step(Input::Listed(list));
        front.view(2, Some((plan(&["k"]), &["a"])), 4 * SECOND);
        front.view(3, Some((plan(&["k"]), &[])), 4 * SECOND);
        let mut sent = 0;
        for _ in 0..50 {
            if let Verdict::Go(go) = front.arrive("/stream/x", Some("k"), Some(prompt(5, 600, 100))) {
                front.finish(&go);
                sent += 1;
            }
        }
        // Three engines, at most one request each at once.
        assert!(sent <= 3, "{sent} sent");
    };
    cold_engine_gets_the_front_s_part: {
        let mut front = Front::ready();
        let mut cold = listing("m", 0, "a");
        cold.cold = Duration::from_secs(30);
        front.step(Input::Listed(vec![cold]));
        let mut sent = 0;
        for _ in 0..100 {
            front.pass(Duration::from_millis(100));
            front.view(1, None, 4 * SECOND);
            if let Verdict::Go(go) = front.arrive("/stream/x", Some("k"), Some(prompt(5, 600, 100))) {
                front.finish(&go);
                sent += 1;
            }
        }
        // 15 a second for 8 fronts over 10 s.
        assert!((5..=19).contains(&sent), "{sent} sent");
    };
    endpoint_that_fails_in_a_row_is_left_out: {
        let mut front = Front::ready();
        let mut failed = 0;
        for _ in 0..60 {
            let go = front.go("/safe/x", None);
            if go.instance == "p10" {
                failed += 1;
                front.fail(&go, Failure::Broken);
            } else {
                front.finish(&go);
            }
        }
        assert!(failed <= 3, "{failed} sent to the failing endpoint");
    };
    short_and_long_prompts_are_kept_apart: {
        let mut front = Front::ready();
        let short = front.instances(10, &prompt(5, 170, 540));
        let long = front.instances(10, &prompt(8, 6300, 2890));
        assert!(short.iter().all(|instance| !long.contains(instance)), "{short:?} {long:?}");
    };
    shared_parts_are_read_in_one_place_by_all_fronts: {
        let first = Front::ready().instances(5, &prompt(8, 6300, 2890));
        let mut other = Front::ready();
        other.instances(7, &prompt(9, 6300, 2890));
        assert_eq!(other.instances(5, &prompt(8, 6300, 2890)), first);
    };
    session_that_spilled_over_goes_where_it_was_read: {
        let mut front = Front::ready();
        // Its parts are at its home and at one more endpoint before a third has to read them.
        let instances: std::collections::BTreeSet<_> = (0..12)
            .map(|n| {
                let mut prompt = prompt(8, 6300, 2890);
                prompt.parts[2].0 = 100 + n;
                front.go("/stream/", Some(prompt)).instance
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
                front.go("/stream/", Some(prompt)).instance
            })
            .collect();
        instances.sort_unstable();
        instances.dedup();
        assert!(instances.len() > 1);
    };
    usage_counts_what_began_once: {
        let mut front = Front::ready();
        let first = front.go("/resume/x", None);
        front.step(Input::Began(first.request, None));
        let second = assert_matches!(front.fail(&first, Failure::Broken), Verdict::Go(go) => *go);
        front.finish(&second);
        front.go("/once/x", None);
        let outputs = front.step(Input::Usage(Ticket(0), None));
        let runs = [("ana".to_owned(), 1)].into();
        assert_matches!(&outputs[..], [Output::Usage(_, windows)] => {
            assert_eq!(windows, &[(200_000, runs)]);
        });
    };
    usage_goes_by_the_time_at_which_the_wall_clock_was_told: {
        let mut front = Front::ready();
        let asked = front.now;
        front.pass(Duration::from_millis(800));
        let view = View {
            edition: 1,
            content: None,
            fresh: front.now + 4 * SECOND,
            fronts: 8,
            wall: (1_000_004_500, front.now),
            at: asked,
        };
        front.step(Input::View(Box::new(view)));
        let go = front.go("/once/x", None);
        front.finish(&go);
        let outputs = front.step(Input::Usage(Ticket(0), None));
        assert_matches!(&outputs[..], [Output::Usage(_, windows)] => {
            assert_eq!(windows[0].0, 200_000);
        });
    };
    stopping_front_serves_on_but_is_not_ready: {
        let mut front = Front::ready();
        front.step(Input::Drain);
        let outputs = front.step(Input::Ready(Ticket(0)));
        assert_matches!(&outputs[..], [Output::Ready(_, false)]);
        front.go("/once/x", None);
    };
}
