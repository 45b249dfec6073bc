//! Tests of how a front applies the quarantine of prompt parts, and of the evidence that it reports.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use fault::Kind;
use ids::{
    PartId,
    RequestId,
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
use quarantine::{
    ContentDigest,
    Crash,
    Evidence,
    Quarantine,
    Sentence,
    Suspect, //
};
use relay::{
    Attempt,
    Decision,
    EndpointInfo,
    Failure,
    Input,
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
const UNIX_MS: u64 = 1_000_000_000;
const ENGINES: u16 = 6;
/// The part that crashes engines.
const DEADLY: u64 = 0xdead;

struct Front {
    relay: Relay<PredictedLatency>,
    now: Tick,
    tickets: u64,
    quarantine: Quarantine,
}

fn plan() -> Arc<Plan> {
    let route = RouteSpec {
        name: "resume".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        retry: RetryPolicy::ResumableStream,
        timeout: 3 * SECOND,
        latency_target: Duration::from_millis(1200),
        event_gap: Duration::from_millis(100),
        rank: 2,
        shares: vec![Share {
            service: "m".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        open: true,
    };
    let service = ServiceSpec {
        name: "m".to_owned(),
        connections: 100,
        cold_start: None,
        engine: Some(EngineLimits {
            slots: 64,
            kv_tokens: 300_000,
        }),
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

/// A prompt of the parts and a last one that no other prompt shares.
fn prompt(parts: &[u64], last: u64) -> Prompt {
    let all = parts.iter().chain([&last]);
    Prompt {
        input_tokens: 100 * (parts.len() as u64 + 1),
        max_output: 10,
        parts: all.map(|part| (*part, 100)).collect(),
    }
}

/// The body of a request with a prompt: prompts differ by their last part.
fn body(prompt: &Prompt) -> Vec<u8> {
    format!("{:?}", prompt.parts).into_bytes()
}

fn content(body: &[u8]) -> ContentDigest {
    ContentDigest::new("POST", "/x", body)
}

/// The identity of a request with a prompt.
fn identity(prompt: &Prompt) -> PartId {
    content(&body(prompt)).identity(None)
}

impl Front {
    fn new() -> Self {
        Self::with(&[])
    }

    /// A front that starts with parts in quarantine for a minute.
    fn with(parts: &[u64]) -> Self {
        let options = RelayOptions {
            zone: "a".to_owned(),
            usage_window: 5 * SECOND,
            retry_ratio: 0.2,
            retry_extra: 800.0,
            retry_window: 10 * SECOND,
            rng_seed: 7,
        };
        let mut front = Self {
            relay: Relay::new(options, PredictedLatency),
            now: Tick(10_000_000),
            tickets: 0,
            quarantine: Quarantine::default(),
        };
        let until_ms = front.unix_ms() + 60_000;
        let sentence = Sentence {
            since_ms: 0,
            until_ms,
        };
        let sentences = parts.iter().map(|part| (PartId(*part), sentence));
        front.quarantine.impose(sentences);
        front.renew();
        let engines = (0..ENGINES).map(|n| EndpointInfo {
            instance: format!("m{n}"),
            service: "m".to_owned(),
            address: ([10, 0, 0, 1], 1000 + n).into(),
            zone: "a".to_owned(),
            slots: 64,
            draining: false,
            cold_remaining: Duration::ZERO,
            started_ms: 0,
            version: String::new(),
        });
        front.step(Input::Endpoints(engines.collect()));
        front
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Outbox::default();
        self.relay.step(self.now, input, &mut out);
        out.drain().collect()
    }

    /// Advances the clock and wakes the core.
    fn wait(&mut self, span: Duration) -> Vec<Output> {
        self.now = self.now + span;
        let mut out = Outbox::default();
        self.relay.wake(self.now, &mut out);
        out.drain().collect()
    }

    fn unix_ms(&self) -> u64 {
        UNIX_MS + self.now.0 / 1000
    }

    /// Receives a view that is valid for a minute.
    fn renew(&mut self) -> Vec<Output> {
        let view = View {
            generation: 1,
            deployment: Some((Some(plan()), Vec::new())),
            valid_until: self.now + 60 * SECOND,
            fronts: 1,
            wall_clock: (self.unix_ms(), self.now),
            requested_at: self.now,
            quarantine: Some(Arc::new(self.quarantine.clone())),
        };
        self.step(Input::View(Box::new(view)))
    }

    /// Announces the quarantine of a part for a minute.
    fn announce(&mut self, part: u64) -> Vec<Output> {
        let sentence = Sentence {
            since_ms: self.unix_ms(),
            until_ms: self.unix_ms() + 60_000,
        };
        self.quarantine.impose([(PartId(part), sentence)]);
        self.renew()
    }

    /// Puts a part into quarantine for a minute. A second later it is in force.
    fn impose(&mut self, part: u64) -> Vec<Output> {
        let outputs = self.announce(part);
        self.wait(SECOND);
        outputs
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

    fn arrive(&mut self, prompt: Prompt) -> Decision {
        let head = RequestHead {
            name: "r".to_owned(),
            host: "h".to_owned(),
            path: "/x".to_owned(),
            timeout: Some(2 * SECOND),
            content: content(&body(&prompt)),
            prompt: Some(prompt),
            ..RequestHead::default()
        };
        self.decision(|ticket| Input::Request(ticket, Box::new(head)))
    }

    /// Receives a request without a prompt.
    fn arrive_plain(&mut self, body: &[u8]) -> Decision {
        let head = RequestHead {
            name: "r".to_owned(),
            host: "h".to_owned(),
            path: "/x".to_owned(),
            timeout: Some(2 * SECOND),
            content: content(body),
            ..RequestHead::default()
        };
        self.decision(|ticket| Input::Request(ticket, Box::new(head)))
    }

    /// Sends a request without a prompt that crashes an engine, and ends it.
    fn crash_plain(&mut self, body: &[u8]) {
        let attempt =
            assert_matches!(self.arrive_plain(body), Decision::Dispatch(attempt) => *attempt);
        self.fail(attempt.request, Failure::Crashed);
        self.step(Input::Cancelled(attempt.request));
    }

    fn dispatched(&mut self, prompt: Prompt) -> Attempt {
        assert_matches!(self.arrive(prompt), Decision::Dispatch(attempt) => *attempt)
    }

    fn fail(&mut self, request: RequestId, failure: Failure) -> Decision {
        self.decision(|ticket| Input::AttemptFailed(ticket, request, failure))
    }

    fn serve(&mut self, prompt: Prompt) {
        let request = self.dispatched(prompt).request;
        self.step(Input::ResponseStarted(request, None));
        self.step(Input::Completed(request));
    }

    /// Sends a prompt that crashes an engine, and ends it.
    fn crash(&mut self, prompt: Prompt) {
        let request = self.dispatched(prompt).request;
        self.fail(request, Failure::Crashed);
        self.step(Input::Cancelled(request));
    }

    /// The evidence that is due within a second.
    fn evidence(&mut self) -> Option<Evidence> {
        evidence(self.wait(SECOND))
    }

    /// Three prompts with the part crash engines, a second apart, and a sound prompt is served.
    fn crash_thrice(&mut self) {
        for n in 0..3 {
            self.wait(SECOND);
            self.serve(prompt(&[1, 5], 200 + n));
            self.crash(prompt(&[1, DEADLY], 100 + n));
        }
        self.wait(SECOND);
    }
}

fn evidence(outputs: Vec<Output>) -> Option<Evidence> {
    outputs.into_iter().find_map(|output| match output {
        Output::Evidence(evidence) => Some(evidence),
        _ => None,
    })
}

case::cases! {
    quarantined_part_is_rejected_and_other_prompts_are_dispatched: {
        let mut front = Front::new();
        front.impose(DEADLY);
        front.wait(20 * SECOND);
        front.renew();
        let rejected = front.arrive(prompt(&[1, DEADLY], 100));
        assert_matches!(rejected, Decision::Reject(Kind::PromptQuarantined, wait)
            if wait == 39 * SECOND);
        front.dispatched(prompt(&[1, 2], 101));
    };
    // Guards against the rejection of sound prompts in the time until a front's objection arrives.
    announced_quarantine_is_in_force_after_the_time_for_objections: {
        let mut front = Front::new();
        front.announce(DEADLY);
        front.wait(Duration::from_millis(700));
        front.dispatched(prompt(&[DEADLY], 100));
        front.wait(Duration::from_millis(100));
        assert_matches!(front.arrive(prompt(&[DEADLY], 101)), Decision::Reject(..));
    };
    released_part_is_dispatched: {
        let mut front = Front::new();
        front.impose(DEADLY);
        front.quarantine.lift(&[PartId(DEADLY)]);
        front.renew();
        front.dispatched(prompt(&[DEADLY], 100));
    };
    // Guards against a front that crashes engines after its restart.
    quarantine_in_the_first_view_is_in_force_at_once: {
        let mut front = Front::with(&[DEADLY]);
        assert_matches!(front.arrive(prompt(&[DEADLY], 100)), Decision::Reject(..));
        front.dispatched(prompt(&[1], 101));
    };
    last_part_of_a_prompt_is_not_checked: {
        let mut front = Front::new();
        front.impose(DEADLY);
        front.dispatched(prompt(&[1, 2], DEADLY));
    };
    quarantine_ends_at_its_time_without_a_newer_list: {
        let mut front = Front::new();
        front.impose(DEADLY);
        front.wait(58 * SECOND);
        assert_matches!(front.arrive(prompt(&[DEADLY], 100)), Decision::Reject(..));
        front.wait(2 * SECOND);
        front.renew();
        front.dispatched(prompt(&[DEADLY], 101));
    };
    older_list_of_another_control_process_is_ignored: {
        let mut front = Front::new();
        let older = front.quarantine.clone();
        front.impose(DEADLY);
        front.quarantine = older;
        front.renew();
        assert_matches!(front.arrive(prompt(&[DEADLY], 100)), Decision::Reject(..));
    };
    // Guards against a second crash by the same request.
    crashed_request_is_not_retried_once_its_part_is_in_quarantine: {
        let mut front = Front::new();
        let request = front.dispatched(prompt(&[1, DEADLY], 100)).request;
        front.impose(DEADLY);
        // The first attempt may have been executed.
        let decision = front.fail(request, Failure::Crashed);
        assert_matches!(decision, Decision::Reject(Kind::EndpointFailed, _));
    };
    crash_is_reported_with_the_shared_parts_in_progress: {
        let mut front = Front::new();
        let attempt = front.dispatched(prompt(&[1, DEADLY], 100));
        front.wait(Duration::from_millis(20));
        front.fail(attempt.request, Failure::Crashed);
        let evidence = front.evidence().unwrap();
        let parts = [PartId(1), PartId(DEADLY), identity(&prompt(&[1, DEADLY], 100))];
        let attempts = evidence.crashes[0].attempts.clone();
        let crash = Crash {
            instance: attempt.instance,
            age: SECOND,
            parts: Suspect::of_request(parts, Duration::from_millis(20)).collect(),
            attempts: attempts.clone(),
        };
        assert_eq!(evidence.crashes, [crash]);
        assert_eq!(attempts.len(), 1);
        assert_eq!((attempts[0].number, attempts[0].elapsed), (1, Duration::from_millis(20)));
        assert_eq!(front.evidence(), None);
    };
    // The control group dates both crashes by reports of different delays.
    crashes_of_a_request_are_reported_with_the_numbers_of_its_attempts: {
        let mut front = Front::new();
        let first = front.dispatched(prompt(&[DEADLY], 100));
        let other = front.dispatched(prompt(&[1], 101));
        let second = assert_matches!(front.fail(first.request, Failure::Crashed), Decision::Dispatch(a) => *a);
        assert_ne!(first.instance, second.instance);
        front.wait(Duration::from_millis(30));
        front.fail(second.request, Failure::Crashed);
        front.fail(other.request, Failure::Crashed);
        let crashes = front.evidence().unwrap().crashes;
        let attempts = |instance: &str| {
            let crash = crashes.iter().find(|crash| crash.instance == instance).unwrap();
            crash.attempts.clone()
        };
        let earlier = attempts(&first.instance).into_iter().find(|a| a.elapsed.is_zero()).unwrap();
        let later = attempts(&second.instance).into_iter().find(|a| a.request == earlier.request).unwrap();
        assert_eq!((earlier.number, later.number), (1, 2));
        assert_eq!(later.elapsed, Duration::from_millis(30));
        let others = attempts(&other.instance);
        assert!(others.iter().any(|a| a.request != earlier.request && a.number == 1));
    };
    // Guards against evidence that is lost with the leader that received it.
    evidence_is_repeated_for_ten_seconds: {
        let mut front = Front::new();
        front.crash(prompt(&[DEADLY], 100));
        let reports = (0..20).filter(|_| front.evidence().is_some()).count();
        assert_eq!(reports, 5);
    };
    // A front that ends between a crash and its report loses the crash. These two cases bound the loss.
    first_crash_is_reported_within_five_milliseconds: {
        let mut front = Front::new();
        front.crash(prompt(&[DEADLY], 100));
        let evidence = evidence(front.wait(Duration::from_millis(5))).unwrap();
        assert_eq!(evidence.crashes.len(), 1);
        for n in 0..3 {
            front.wait(Duration::from_millis(100));
            front.crash(prompt(&[DEADLY], 200 + n));
            assert_matches!(self::evidence(front.wait(Duration::from_millis(5))), Some(_), "{n}");
        }
    };
    crashes_in_a_row_are_reported_within_a_hundred_milliseconds: {
        let mut front = Front::new();
        let (mut unreported, mut reports) = (Vec::new(), 0);
        for n in 0..500 {
            front.crash_plain(&[7, u8::try_from(n % 250).unwrap(), u8::from(n < 250)]);
            unreported.push(front.now);
            if evidence(front.wait(Duration::from_millis(1))).is_some() {
                reports += 1;
                unreported.clear();
            }
            let oldest = unreported.first().copied().unwrap_or(front.now);
            assert!(front.now.since(oldest) <= Duration::from_millis(100), "{n}");
        }
        assert!((5..=6).contains(&reports), "{reports}");
    };
    lost_connection_is_no_evidence: for failure in [Failure::Broken, Failure::Silent, Failure::Errored] {
        let mut front = Front::new();
        let request = front.dispatched(prompt(&[1, 2], 100)).request;
        front.fail(request, failure);
        assert_eq!(front.evidence(), None);
    };
    stream_in_progress_for_longer_is_no_suspect: {
        let mut front = Front::new();
        let request = front.dispatched(prompt(&[1, 2], 100)).request;
        front.step(Input::ResponseStarted(request, None));
        front.wait(Duration::from_millis(1100));
        front.fail(request, Failure::Crashed);
        assert_eq!(front.evidence(), None);
    };
    response_that_has_just_started_is_a_suspect: {
        let mut front = Front::new();
        let request = front.dispatched(prompt(&[DEADLY], 100)).request;
        front.step(Input::ResponseStarted(request, None));
        front.wait(Duration::from_millis(100));
        front.fail(request, Failure::Crashed);
        assert_eq!(front.evidence().unwrap().crashes[0].parts[0].part, PartId(DEADLY));
    };
    crash_is_repeated_with_the_next_report: {
        let mut front = Front::new();
        for n in 0..2 {
            front.crash(prompt(&[DEADLY], 100 + n));
            assert_eq!(front.evidence().unwrap().crashes.len() as u64, n + 1);
        }
    };
    // Guards against the condemnation of a part that another front serves.
    newly_quarantined_part_that_was_served_is_reported: {
        let mut front = Front::new();
        front.serve(prompt(&[1, 2], 100));
        let outputs = front.impose(2);
        let served = evidence(outputs).unwrap().served;
        assert_eq!(served.iter().map(|served| served.part).collect::<Vec<_>>(), [PartId(2)]);
        // The control process that received the report may fail before it passes it on.
        assert_eq!(evidence(front.renew()).unwrap().served.len(), 1);
        front.wait(11 * SECOND);
        assert_eq!(evidence(front.renew()), None);
    };
    // Guards against a response from before that clears a part of the crashes that it causes since.
    service_counts_from_the_start_of_its_response: {
        let mut front = Front::new();
        let request = front.dispatched(prompt(&[2], 100)).request;
        front.step(Input::ResponseStarted(request, None));
        front.wait(2 * SECOND);
        front.step(Input::Completed(request));
        front.wait(SECOND);
        let served = evidence(front.impose(2)).unwrap().served;
        assert_eq!(served[0].age, 3 * SECOND);
    };
    resumed_stream_in_progress_for_longer_is_no_suspect: {
        let mut front = Front::new();
        let request = front.dispatched(prompt(&[1, 2], 100)).request;
        front.step(Input::ResponseStarted(request, None));
        assert_matches!(front.fail(request, Failure::Broken), Decision::Dispatch(_));
        front.step(Input::ResponseStarted(request, None));
        front.wait(Duration::from_millis(1100));
        front.fail(request, Failure::Crashed);
        assert_eq!(front.evidence(), None);
    };
    rejected_prompt_does_not_count_as_served: {
        let mut front = Front::new();
        let request = front.dispatched(prompt(&[2], 100)).request;
        front.step(Input::ResponseStarted(request, None));
        front.step(Input::Declined(request));
        assert_eq!(evidence(front.impose(2)), None);
    };
    // Guards against a front that keeps crashing engines while it cannot reach the control group.
    // While the control group was down, fronts stopped to repeat crashes that it had never received.
    crashes_while_the_control_group_is_lost_are_reported_afterwards: {
        let mut front = Front::new();
        front.crash(prompt(&[DEADLY], 100));
        let reported = front.evidence().unwrap();
        assert_eq!(reported.crashes.len(), 1);
        front.wait(SECOND);
        front.crash(prompt(&[DEADLY], 101));
        for _ in 0..30 {
            front.wait(SECOND);
        }
        front.renew();
        let found: Vec<_> = (0..12).filter_map(|_| {
            let found = front.evidence();
            front.renew();
            found
        }).collect();
        assert!(found.len() >= 4, "{}", found.len());
        assert!(found.iter().all(|evidence| evidence.crashes.len() == 2));
        assert_eq!(front.evidence(), None);
    };
    isolated_front_rejects_what_crashed_its_own_requests: {
        let mut front = Front::new();
        front.crash_thrice();
        assert_matches!(front.arrive(prompt(&[3, DEADLY], 200)), Decision::Reject(..));
        front.dispatched(prompt(&[1, 4], 201));
        // Until the control group has received the evidence, the decision holds.
        front.renew();
        assert_matches!(front.arrive(prompt(&[3, DEADLY], 202)), Decision::Reject(..));
        front.wait(SECOND);
        front.renew();
        front.wait(SECOND);
        front.renew();
        front.wait(SECOND);
        front.renew();
        front.dispatched(prompt(&[3, DEADLY], 203));
    };
    front_in_touch_leaves_the_decision_to_the_control_group: {
        let mut front = Front::new();
        for n in 0..4 {
            front.wait(SECOND);
            front.renew();
            front.crash(prompt(&[1, DEADLY], 100 + n));
        }
        front.wait(SECOND);
        front.renew();
        front.dispatched(prompt(&[1, DEADLY], 200));
    };
    // Guards against a request that crashes engine after engine whenever it is repeated (BUDGET).
    repeated_request_that_crashes_engines_is_rejected_alone: {
        let mut front = Front::new();
        for n in 0..3 {
            front.wait(SECOND);
            front.serve(prompt(&[1, 5], 200 + n));
            front.crash(prompt(&[1, 5], 100));
        }
        front.wait(SECOND);
        assert_matches!(front.arrive(prompt(&[1, 5], 100)),
            Decision::Reject(Kind::RequestQuarantined, _));
        front.dispatched(prompt(&[1, 5], 101));
    };
    // Guards against the same on routes whose requests have no prompt.
    repeated_plain_request_that_crashes_endpoints_is_rejected_alone: {
        let mut front = Front::new();
        for _ in 0..3 {
            front.wait(SECOND);
            front.crash_plain(b"deadly");
        }
        front.wait(SECOND);
        let decision = front.arrive_plain(b"deadly");
        assert_matches!(decision, Decision::Reject(kind, after)
            if kind == Kind::RequestQuarantined && kind.not_executed() && after > SECOND);
        assert_matches!(front.arrive_plain(b"sound"), Decision::Dispatch(_));
    };
    // Guards against a verdict that the front which repeats the request does not apply.
    quarantined_request_is_rejected_by_a_front_that_saw_no_crash: {
        let mut front = Front::new();
        front.impose(content(b"deadly").identity(None).0);
        assert_matches!(front.arrive_plain(b"deadly"), Decision::Reject(Kind::RequestQuarantined, _));
        assert_matches!(front.arrive_plain(b"sound"), Decision::Dispatch(_));
    };
    // Guards against the condemnation of a request that another front serves.
    newly_quarantined_request_that_was_served_is_reported: {
        let mut front = Front::new();
        let attempt = assert_matches!(front.arrive_plain(b"sound"), Decision::Dispatch(attempt) => *attempt);
        front.step(Input::ResponseStarted(attempt.request, None));
        front.step(Input::Completed(attempt.request));
        let part = content(b"sound").identity(None);
        let served = evidence(front.impose(part.0)).unwrap().served;
        assert_eq!(served.iter().map(|served| served.part).collect::<Vec<_>>(), [part]);
    };
}
