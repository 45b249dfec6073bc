//! The entry's promises: who runs, what may be repeated, and when "not run" is true.

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
    PowerOfTwo, //
    RequestTarget,
};
use step::{
    Core,
    Outbox, //
};

struct Rig {
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

impl Rig {
    fn new() -> Self {
        let options = EntryOptions {
            incarnation: Incarnation(7),
            zone: "near".try_into().unwrap(),
            rng_seed: 3,
        };
        let mut rig = Self {
            entry: Entry::new(options, PowerOfTwo),
            now: Tick(1_000_000),
            serial: 0,
        };
        rig.view(configuration(), 1);
        rig
    }

    fn view(&mut self, changes: Vec<Change>, revision: u64) {
        let update = Update {
            revision: Revision(revision),
            content: Content::Full(changes),
        };
        let fresh = self.now + Duration::from_secs(1000);
        self.input(Input::View(update, fresh));
    }

    fn input(&mut self, input: Input) -> Vec<Decision> {
        let mut out = Outbox::default();
        self.entry.step(self.now, input, &mut out);
        let verdicts = out.drain().filter_map(|output| match output {
            Output::Decision(_, verdict) => Some(verdict),
            _ => None,
        });
        verdicts.collect()
    }

    fn arrive(&mut self, key: Option<Digest>, target: RequestTarget) -> Decision {
        self.serial += 1;
        let arrival = Arrival {
            ticket: Ticket(self.serial),
            key,
            target,
            class: None,
            input_tokens: Tokens(10),
            prefix_hash: None,
            request_key: None,
            fingerprint: Fingerprint([0; 32]),
        };
        self.input(Input::Arrive(arrival)).remove(0)
    }

    fn model(&mut self) -> AttemptSpec {
        let target = RequestTarget::Model("crew".try_into().unwrap());
        plan(self.arrive(Some(digest()), target))
    }

    fn booking(&mut self) -> RequestId {
        let target = RequestTarget::Path(Method::Post, "/permits/book".to_owned());
        match self.arrive(Some(digest()), target) {
            Decision::Claim(claim) => claim.id,
            other => panic!("{other:?}"),
        }
    }

    fn ended(&mut self, id: RequestId, ended: AttemptOutcome) -> Decision {
        self.input(Input::Ended(id, ended)).remove(0)
    }
}

fn plan(verdict: Decision) -> AttemptSpec {
    match verdict {
        Decision::Attempt(plan) => *plan,
        other => panic!("{other:?}"),
    }
}

fn full() -> AttemptOutcome {
    AttemptOutcome::Rejected(Kind::Overloaded, LoadReport::default())
}

/// Bounces at every endpoint; returns how many were asked and the answer.
fn all_full() -> (usize, Decision) {
    let mut rig = Rig::new();
    let mut plan = rig.model();
    let mut asked = std::collections::BTreeSet::from([plan.endpoint.clone()]);
    loop {
        match rig.ended(plan.id, full()) {
            Decision::Attempt(next) => {
                assert!(
                    asked.insert(next.endpoint.clone()),
                    "{} twice",
                    next.endpoint
                );
                plan = *next;
            }
            verdict => return (asked.len(), verdict),
        }
    }
}

/// The first attempt may have run; every later one is surely not run.
fn lost_then_full() -> Decision {
    let mut rig = Rig::new();
    let id = rig.model().id;
    let mut verdict = rig.ended(id, AttemptOutcome::Lost(Kind::EndpointFailed));
    while let Decision::Attempt(plan) = verdict {
        verdict = rig.ended(plan.id, full());
    }
    verdict
}

fn once_lost() -> Decision {
    let mut rig = Rig::new();
    let id = rig.booking();
    let plan = plan(
        rig.input(Input::Claimed(id, ClaimResult::Granted))
            .remove(0),
    );
    assert!(plan.once);
    rig.ended(id, AttemptOutcome::Lost(Kind::EndpointTimeout))
}

fn once_bounced() {
    let mut rig = Rig::new();
    let id = rig.booking();
    let first = plan(
        rig.input(Input::Claimed(id, ClaimResult::Granted))
            .remove(0),
    );
    let second = plan(rig.ended(id, full()));
    assert_ne!(first.endpoint, second.endpoint);
    assert_ne!(first.attempt, second.attempt);
}

/// How many of the failing requests were repeated.
fn repeated(requests: usize) -> usize {
    let mut rig = Rig::new();
    let mut count = 0;
    for _ in 0..requests {
        let id = rig.model().id;
        if let Decision::Attempt(plan) = rig.ended(id, AttemptOutcome::Lost(Kind::EndpointFailed)) {
            count += 1;
            rig.ended(plan.id, AttemptOutcome::Served(LoadReport::default()));
        }
        rig.now = rig.now + Duration::from_secs(1);
    }
    count
}

/// Sends requests one by one and returns how many went to each endpoint.
fn spread(rig: &mut Rig, requests: usize) -> std::collections::BTreeMap<String, usize> {
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..requests {
        let plan = rig.model();
        *counts.entry(plan.endpoint.to_string()).or_default() += 1;
        rig.ended(
            plan.id,
            AttemptOutcome::Served(LoadReport {
                limit: 4,
                ..LoadReport::default()
            }),
        );
    }
    counts
}

fn failing_endpoint() -> usize {
    let mut rig = Rig::new();
    let mut failures = 0;
    while failures < 3 {
        let plan = rig.model();
        let ended = if plan.endpoint.as_ref() == "e0" {
            failures += 1;
            AttemptOutcome::Unreached
        } else {
            AttemptOutcome::Served(LoadReport {
                limit: 4,
                ..LoadReport::default()
            })
        };
        if let Decision::Attempt(next) = rig.ended(plan.id, ended) {
            rig.ended(
                next.id,
                AttemptOutcome::Served(LoadReport {
                    limit: 4,
                    ..LoadReport::default()
                }),
            );
        }
    }
    spread(&mut rig, 50).get("e0").copied().unwrap_or(0)
}

fn withdrawn_between_attempts() -> Decision {
    let mut rig = Rig::new();
    let id = rig.model().id;
    let mut changes = configuration();
    changes.push(Change::WithdrawGrant("k".try_into().unwrap()));
    rig.view(changes, 2);
    rig.ended(id, full())
}

fn stale() -> Decision {
    let mut rig = Rig::new();
    rig.now = rig.now + Duration::from_secs(2000);
    rig.arrive(
        Some(digest()),
        RequestTarget::Model("crew".try_into().unwrap()),
    )
}

fn first_answer(key: Option<Digest>, model: &str) -> Decision {
    Rig::new().arrive(key, RequestTarget::Model(model.try_into().unwrap()))
}

fn service(method: Method) -> bool {
    let target = RequestTarget::Path(method, "/permits/1".to_owned());
    matches!(
        Rig::new().arrive(Some(digest()), target),
        Decision::Claim(_)
    )
}

case::cases! {
    no_key: assert_eq!(first_answer(None, "crew"), Decision::Fail(Kind::KeyMissing));
    unknown_key: assert_eq!(first_answer(Some(Digest([9; 32])), "crew"), Decision::Fail(Kind::KeyInvalid));
    unknown_model: assert_eq!(first_answer(Some(digest()), "other"), Decision::Fail(Kind::RouteUnknown));
    stale_view: assert_eq!(stale(), Decision::Fail(Kind::ViewStale));
    every_endpoint_is_asked_once: assert_eq!(all_full(), (4, Decision::Fail(Kind::Overloaded)));
    not_run_is_never_said_after_a_loss: assert_eq!(lost_then_full(), Decision::Fail(Kind::EndpointFailed));
    key_withdrawn_between_attempts: assert_eq!(withdrawn_between_attempts(), Decision::Fail(Kind::KeyInvalid));
    broken_stream_is_not_repeated: {
        let mut rig = Rig::new();
        let id = rig.model().id;
        assert_eq!(rig.ended(id, AttemptOutcome::Broken), Decision::Fail(Kind::StreamBroken));
    };
    lost_booking_is_not_repeated: assert_eq!(once_lost(), Decision::Fail(Kind::EndpointTimeout));
    bounced_booking_goes_elsewhere: once_bounced();
    booking_without_its_claim_does_not_run: {
        let mut rig = Rig::new();
        let id = rig.booking();
        let refused = ClaimResult::Rejected(Kind::ControlUnavailable);
        assert_eq!(rig.input(Input::Claimed(id, refused)), [Decision::Fail(Kind::ControlUnavailable)]);
    };
    reading_is_not_claimed: assert!(!service(Method::Get));
    writing_is_claimed: assert!(service(Method::Put));
    retry_budget_runs_out: {
        let count = repeated(100);
        assert!((10..=35).contains(&count), "{count}");
    };
    failing_endpoint_is_left_out: assert_eq!(failing_endpoint(), 0);
    other_regions_are_for_need: {
        let counts = spread(&mut Rig::new(), 100);
        let near: usize = ["e0", "e1"].iter().filter_map(|e| counts.get(*e)).sum();
        assert!(near >= 75, "{counts:?}");
    };
    answered_twice_changes_nothing: {
        let mut rig = Rig::new();
        let id = rig.model().id;
        rig.ended(id, AttemptOutcome::Served(LoadReport::default()));
        assert_eq!(rig.input(Input::Ended(id, AttemptOutcome::Broken)), []);
    };
}
