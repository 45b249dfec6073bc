//! Checks which requests the entry's core attempts, which it retries, and when it reports that a
//! request was not executed.

use std::time::Duration;

use conf::{
    Change,
    Content,
    Method,
    Update, //
};
use fault::Kind;
use ids::{
    Digest,
    Incarnation,
    RequestId,
    Revision,
    Tick,
    Ticket,
    Tokens, //
};
use ledger::Fingerprint;
use route::{
    Arrival,
    AttemptOutcome,
    AttemptSpec,
    ClaimResult,
    Decision,
    Entry,
    EntryOptions,
    Input,
    LoadReport,
    Output,
    PowerOfTwo,
    RequestTarget, //
};
use step::{
    Core,
    Outbox, //
};

struct Harness {
    entry: Entry<PowerOfTwo>,
    now: Tick,
    serial: u64,
}

fn configuration() -> Vec<Change> {
    let mut json = r#"[{"put-zone": {"name": "near", "region": "home"}},
        {"put-zone": {"name": "far", "region": "away"}},
        {"put-class": {"name": "field", "tier": 0, "first_ms": 1000, "gap_ms": 66}},
        {"put-account": {"name": "norte"}},
        {"put-route": {"name": "crew", "class": "field", "serves": {"model": "crew"}}},
        {"put-route": {"name": "permits", "class": "field",
            "serves": {"service": {"prefix": "/permits", "idempotent": ["GET"]}}}},
        {"put-grant": {"name": "k", "account": "norte", "digest": "DIGEST"}}"#
        .replace("DIGEST", &format!("{:064x}", 1));
    for n in 0..4 {
        let zone = if n < 2 { "near" } else { "far" };
        json += &format!(
            r#",{{"put-endpoint": {{"name": "e{n}", "zone": "{zone}", "routes": ["crew", "permits"],
                "agent": "127.0.0.1:{}", "slots": 4}}}}"#,
            9000 + n
        );
    }
    serde_json::from_str(&(json + "]")).unwrap()
}

fn digest() -> Digest {
    format!("{:064x}", 1).parse().unwrap()
}

impl Harness {
    fn new() -> Self {
        let options = EntryOptions {
            incarnation: Incarnation(7),
            zone: "near".try_into().unwrap(),
            rng_seed: 3,
        };
        let mut harness = Self {
            entry: Entry::new(options, PowerOfTwo),
            now: Tick(1_000_000),
            serial: 0,
        };
        harness.view(configuration(), 1);
        harness
    }

    fn view(&mut self, changes: Vec<Change>, revision: u64) {
        let update = Update {
            revision: Revision(revision),
            content: Content::Full(changes),
        };
        let valid_until = self.now + Duration::from_secs(1000);
        self.input(Input::View(update, valid_until));
    }

    fn input(&mut self, input: Input) -> Vec<Decision> {
        let mut out = Outbox::default();
        self.entry.step(self.now, input, &mut out);
        let decisions = out.drain().filter_map(|output| match output {
            Output::Decision(_, decision) => Some(decision),
            _ => None,
        });
        decisions.collect()
    }

    fn arrive(&mut self, key: Option<Digest>, target: RequestTarget) -> Decision {
        self.arrive_with_body(key, target, 0)
    }

    fn arrive_with_body(
        &mut self,
        key: Option<Digest>,
        target: RequestTarget,
        body: u8,
    ) -> Decision {
        self.serial += 1;
        let arrival = Arrival {
            ticket: Ticket(self.serial),
            key,
            target,
            class: None,
            input_tokens: Tokens(10),
            prefix_hash: None,
            request_key: None,
            fingerprint: Fingerprint([body; 32]),
        };
        self.input(Input::Arrive(arrival)).remove(0)
    }

    fn call_model(&mut self) -> AttemptSpec {
        let target = RequestTarget::Model("crew".try_into().unwrap());
        attempt(self.arrive(Some(digest()), target))
    }

    fn post_booking(&mut self) -> RequestId {
        let target = RequestTarget::Path(Method::Post, "/permits/book".to_owned());
        match self.arrive(Some(digest()), target) {
            Decision::Claim(claim) => claim.id,
            decision => panic!("{decision:?}"),
        }
    }

    fn call_model_with_body(&mut self, body: u8) -> Decision {
        let target = RequestTarget::Model("crew".try_into().unwrap());
        self.arrive_with_body(Some(digest()), target, body)
    }

    fn ended(&mut self, id: RequestId, outcome: AttemptOutcome) -> Decision {
        self.input(Input::Ended(id, outcome)).remove(0)
    }
}

fn attempt(decision: Decision) -> AttemptSpec {
    match decision {
        Decision::Attempt(spec) => *spec,
        decision => panic!("{decision:?}"),
    }
}

fn overloaded() -> AttemptOutcome {
    AttemptOutcome::Rejected(Kind::Overloaded, LoadReport::default())
}

/// An attempt ends in this way, a second after it was sent.
fn crash(harness: &mut Harness, id: RequestId, outcome: AttemptOutcome) -> Decision {
    harness.now = harness.now + Duration::from_secs(1);
    harness.ended(id, outcome)
}

/// Three calls of a request end in this way. Returns the decision on a call that follows.
fn decision_after_three_crashes(body: u8, outcome: AttemptOutcome) -> Decision {
    let mut harness = Harness::new();
    for _ in 0..3 {
        let spec = attempt(harness.call_model_with_body(1));
        let decision = crash(&mut harness, spec.id, outcome);
        if let Decision::Attempt(next) = decision {
            harness.input(Input::Ended(next.id, AttemptOutcome::Cancelled));
        }
    }
    harness.now = harness.now + Duration::from_secs(1);
    harness.call_model_with_body(body)
}

/// Rejects a request at every endpoint. Returns how many endpoints were tried, and the final
/// decision.
fn reject_everywhere() -> (usize, Decision) {
    let mut harness = Harness::new();
    let mut spec = harness.call_model();
    let mut tried = std::collections::BTreeSet::from([spec.endpoint.clone()]);
    loop {
        match harness.ended(spec.id, overloaded()) {
            Decision::Attempt(next) => {
                assert!(
                    tried.insert(next.endpoint.clone()),
                    "{} was tried twice",
                    next.endpoint
                );
                spec = *next;
            }
            decision => return (tried.len(), decision),
        }
    }
}

/// The final decision on a request whose first attempt may have been executed, and whose later
/// attempts are rejected without being executed.
fn lost_then_rejected() -> Decision {
    let mut harness = Harness::new();
    let id = harness.call_model().id;
    let mut decision = harness.ended(id, AttemptOutcome::Lost(Kind::EndpointFailed));
    while let Decision::Attempt(spec) = decision {
        decision = harness.ended(spec.id, overloaded());
    }
    decision
}

fn claimed_then_lost() -> Decision {
    let mut harness = Harness::new();
    let id = harness.post_booking();
    let spec = attempt(
        harness
            .input(Input::Claimed(id, ClaimResult::Granted))
            .remove(0),
    );
    assert!(spec.once);
    harness.ended(id, AttemptOutcome::Lost(Kind::EndpointTimeout))
}

fn claimed_then_rejected() {
    let mut harness = Harness::new();
    let id = harness.post_booking();
    let first = attempt(
        harness
            .input(Input::Claimed(id, ClaimResult::Granted))
            .remove(0),
    );
    let second = attempt(harness.ended(id, overloaded()));
    assert_ne!(first.endpoint, second.endpoint);
    assert_ne!(first.attempt, second.attempt);
}

/// The number of retries among requests whose first attempts all fail.
fn retries(requests: usize) -> usize {
    let mut harness = Harness::new();
    let mut count = 0;
    for _ in 0..requests {
        let id = harness.call_model().id;
        if let Decision::Attempt(spec) =
            harness.ended(id, AttemptOutcome::Lost(Kind::EndpointFailed))
        {
            count += 1;
            harness.ended(spec.id, AttemptOutcome::Served(LoadReport::default()));
        }
        harness.now = harness.now + Duration::from_secs(1);
    }
    count
}

/// Sends requests one after the other. Returns how many were sent to each endpoint.
fn endpoint_counts(
    harness: &mut Harness,
    requests: usize,
) -> std::collections::BTreeMap<String, usize> {
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..requests {
        let spec = harness.call_model();
        *counts.entry(spec.endpoint.to_string()).or_default() += 1;
        harness.ended(
            spec.id,
            AttemptOutcome::Served(LoadReport {
                limit: 4,
                ..LoadReport::default()
            }),
        );
    }
    counts
}

fn requests_to_failing_endpoint() -> usize {
    let mut harness = Harness::new();
    let mut failures = 0;
    while failures < 3 {
        let spec = harness.call_model();
        let outcome = if spec.endpoint.as_ref() == "e0" {
            failures += 1;
            AttemptOutcome::Unreached
        } else {
            AttemptOutcome::Served(LoadReport {
                limit: 4,
                ..LoadReport::default()
            })
        };
        if let Decision::Attempt(next) = harness.ended(spec.id, outcome) {
            harness.ended(
                next.id,
                AttemptOutcome::Served(LoadReport {
                    limit: 4,
                    ..LoadReport::default()
                }),
            );
        }
    }
    endpoint_counts(&mut harness, 50)
        .get("e0")
        .copied()
        .unwrap_or(0)
}

fn revoke_key_between_attempts() -> Decision {
    let mut harness = Harness::new();
    let id = harness.call_model().id;
    let mut changes = configuration();
    changes.push(Change::WithdrawGrant("k".try_into().unwrap()));
    harness.view(changes, 2);
    harness.ended(id, overloaded())
}

fn request_on_stale_view() -> Decision {
    let mut harness = Harness::new();
    harness.now = harness.now + Duration::from_secs(2000);
    harness.arrive(
        Some(digest()),
        RequestTarget::Model("crew".try_into().unwrap()),
    )
}

fn first_decision(key: Option<Digest>, model: &str) -> Decision {
    Harness::new().arrive(key, RequestTarget::Model(model.try_into().unwrap()))
}

fn needs_claim(method: Method) -> bool {
    let target = RequestTarget::Path(method, "/permits/1".to_owned());
    matches!(
        Harness::new().arrive(Some(digest()), target),
        Decision::Claim(_)
    )
}

case::cases! {
    // Guards against a request that crashes endpoint after endpoint whenever it is repeated.
    repeated_request_that_crashes_endpoints_is_rejected_alone:
        for outcome in [AttemptOutcome::Lost(Kind::EndpointCrashed), AttemptOutcome::Crashed] {
            let decision = decision_after_three_crashes(1, outcome);
            assert_eq!(decision, Decision::Fail(Kind::RequestQuarantined));
            attempt(decision_after_three_crashes(2, outcome));
        };
    request_whose_connections_break_without_a_crash_is_served:
        for outcome in [AttemptOutcome::Lost(Kind::EndpointFailed), AttemptOutcome::Broken] {
            attempt(decision_after_three_crashes(1, outcome));
        };
    crashed_request_is_not_retried_once_it_has_crashed_three_endpoints: {
        let mut harness = Harness::new();
        let mut decision = harness.call_model_with_body(1);
        let mut crashes = 0;
        while let Decision::Attempt(spec) = decision {
            crashes += 1;
            decision = crash(&mut harness, spec.id, AttemptOutcome::Lost(Kind::EndpointCrashed));
        }
        // The verdict waits for a moment after the third crash.
        assert!(crashes <= 4, "{crashes}");
        assert_eq!(decision, Decision::Fail(Kind::EndpointCrashed));
    };
    missing_key_is_rejected: assert_eq!(first_decision(None, "crew"), Decision::Fail(Kind::KeyMissing));
    unknown_key_is_rejected: assert_eq!(first_decision(Some(Digest([9; 32])), "crew"), Decision::Fail(Kind::KeyInvalid));
    unknown_model_is_rejected: assert_eq!(first_decision(Some(digest()), "other"), Decision::Fail(Kind::RouteUnknown));
    request_on_a_stale_view_is_rejected: assert_eq!(request_on_stale_view(), Decision::Fail(Kind::ViewStale));
    every_endpoint_is_tried_once: assert_eq!(reject_everywhere(), (4, Decision::Fail(Kind::Overloaded)));
    not_executed_is_never_reported_after_a_lost_attempt: assert_eq!(lost_then_rejected(), Decision::Fail(Kind::EndpointFailed));
    key_revoked_between_attempts_prevents_a_retry: assert_eq!(revoke_key_between_attempts(), Decision::Fail(Kind::KeyInvalid));
    broken_stream_is_not_retried: {
        let mut harness = Harness::new();
        let id = harness.call_model().id;
        assert_eq!(harness.ended(id, AttemptOutcome::Broken), Decision::Fail(Kind::StreamBroken));
    };
    lost_non_idempotent_request_is_not_retried: assert_eq!(claimed_then_lost(), Decision::Fail(Kind::EndpointTimeout));
    rejected_non_idempotent_request_is_retried_elsewhere: claimed_then_rejected();
    request_without_granted_claim_is_not_attempted: {
        let mut harness = Harness::new();
        let id = harness.post_booking();
        let rejected = ClaimResult::Rejected(Kind::ControlUnavailable);
        assert_eq!(harness.input(Input::Claimed(id, rejected)), [Decision::Fail(Kind::ControlUnavailable)]);
    };
    idempotent_method_needs_no_claim: assert!(!needs_claim(Method::Get));
    non_idempotent_method_needs_claim: assert!(needs_claim(Method::Put));
    retry_budget_limits_retries: {
        let count = retries(100);
        assert!((10..=35).contains(&count), "{count}");
    };
    failing_endpoint_is_ejected: assert_eq!(requests_to_failing_endpoint(), 0);
    endpoints_in_the_own_zone_are_preferred: {
        let counts = endpoint_counts(&mut Harness::new(), 100);
        let near: usize = ["e0", "e1"].iter().filter_map(|e| counts.get(*e)).sum();
        assert!(near >= 75, "{counts:?}");
    };
    second_outcome_of_a_request_is_ignored: {
        let mut harness = Harness::new();
        let id = harness.call_model().id;
        harness.ended(id, AttemptOutcome::Served(LoadReport::default()));
        assert_eq!(harness.input(Input::Ended(id, AttemptOutcome::Broken)), []);
    };
}
