//! Checks the agent's admission control: tiers, reserves, fair queueing, the concurrency limit of
//! cold engines, and authorization.

use std::time::Duration;

use admit::{
    Agent,
    Arrival,
    EngineStatus,
    Input,
    Outcome,
    Output,
    Tiered, //
};
use conf::{
    Change,
    Content,
    Update, //
};
use fault::Kind;
use ids::{
    Incarnation,
    Revision,
    Tick,
    Ticket,
    Tokens, //
};
use step::{
    Core,
    Outbox, //
};

/// Number of slots of the endpoint.
const SLOTS: u32 = 4;

fn configuration(reserve: u8) -> Vec<Change> {
    let json = format!(
        r#"[{{"put-zone": {{"name": "z", "region": "r"}}}},
        {{"put-class": {{"name": "field", "tier": 0, "first_ms": 1000, "gap_ms": 66}}}},
        {{"put-class": {{"name": "batch", "tier": 3, "first_ms": 1000, "gap_ms": 66, "reserve": {reserve}}}}},
        {{"put-account": {{"name": "large"}}}}, {{"put-account": {{"name": "small"}}}},
        {{"put-route": {{"name": "field", "class": "field", "serves": {{"model": "field"}}}}}},
        {{"put-route": {{"name": "batch", "class": "batch", "serves": {{"model": "batch"}}}}}},
        {{"put-grant": {{"name": "k-large", "account": "large", "digest": "{:064x}"}}}},
        {{"put-grant": {{"name": "k-small", "account": "small", "digest": "{:064x}"}}}},
        {{"put-endpoint": {{"name": "e", "zone": "z", "routes": ["field", "batch"],
            "agent": "127.0.0.1:1", "slots": {SLOTS}}}}}]"#,
        1, 2
    );
    serde_json::from_str(&json).unwrap()
}

/// An agent with its clock and its collected outputs.
struct Harness {
    agent: Agent<Tiered>,
    now: Tick,
    serial: u64,
    changes: Vec<Change>,
    revision: u64,
    started: Vec<u64>,
    /// Number of started requests that a test has finished.
    finished: usize,
    rejected: Vec<(u64, Kind)>,
    drained: bool,
}

impl Harness {
    fn cold(reserve: u8) -> Self {
        let mut harness = Self {
            agent: Agent::new("e".try_into().unwrap(), Tiered::default()),
            now: Tick(1_000_000),
            serial: 0,
            changes: configuration(reserve),
            revision: 1,
            started: Vec::new(),
            finished: 0,
            rejected: Vec::new(),
            drained: false,
        };
        harness.view(Duration::from_secs(1_000_000));
        harness
    }

    fn warm(reserve: u8) -> Self {
        let mut harness = Self::cold(reserve);
        for _ in 0..2 * SLOTS {
            let ticket = harness.arrive("field", "small");
            harness.input(Input::FirstToken(Ticket(ticket)));
            harness.finish(ticket);
        }
        harness.started.clear();
        harness
    }

    fn view(&mut self, valid_for: Duration) {
        let update = Update {
            revision: Revision(self.revision),
            content: Content::Full(self.changes.clone()),
        };
        self.revision += 1;
        self.input(Input::View(update, self.now + valid_for));
    }

    fn change(&mut self, json: &str) {
        self.changes
            .extend(serde_json::from_str::<Vec<Change>>(json).unwrap());
        self.view(Duration::from_secs(1_000_000));
    }

    fn input(&mut self, input: Input) {
        let mut out = Outbox::default();
        self.agent.step(self.now, input, &mut out);
        self.collect(out);
    }

    fn collect(&mut self, mut out: Outbox<Output>) {
        for output in out.drain() {
            match output {
                Output::Start(ticket, _) => self.started.push(ticket.0),
                Output::Reject(ticket, kind, _) => self.rejected.push((ticket.0, kind)),
                Output::Drained => self.drained = true,
                _ => {}
            }
        }
    }

    fn arrive(&mut self, route: &str, account: &str) -> u64 {
        self.arrive_with(route, account, Duration::from_secs(60))
    }

    fn fill(&mut self, count: u32, route: &str, account: &str) {
        for _ in 0..count {
            self.arrive(route, account);
        }
    }

    fn arrive_with(&mut self, route: &str, account: &str, remaining: Duration) -> u64 {
        self.serial += 1;
        let arrival = Arrival {
            ticket: Ticket(self.serial),
            endpoint: "e".try_into().unwrap(),
            account: account.try_into().unwrap(),
            grant: Some(format!("k-{account}").as_str().try_into().unwrap()),
            route: route.try_into().unwrap(),
            class: route.try_into().unwrap(),
            remaining,
            target_remaining: remaining,
            input_tokens: Tokens(10),
        };
        self.input(Input::Arrive(arrival));
        self.serial
    }

    fn finish(&mut self, ticket: u64) {
        self.input(Input::Done(Ticket(ticket), Outcome::Served, Tokens(20)));
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.agent.deadline().filter(|at| *at <= end) {
            self.now = at;
            let mut out = Outbox::default();
            self.agent.wake(self.now, &mut out);
            self.collect(out);
        }
        self.now = end;
    }

    fn limit(&self) -> u32 {
        self.agent.load().limit
    }

    fn rejection(&self, ticket: u64) -> Option<Kind> {
        self.rejected
            .iter()
            .find(|(rejected, _)| *rejected == ticket)
            .map(|(_, kind)| *kind)
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Simulates ten minutes in which the highest tier alone exceeds the endpoint's capacity. Returns
/// the numbers of started requests of the highest and the lowest tier.
fn starts_under_overload(reserve: u8) -> (usize, usize) {
    let mut harness = Harness::warm(reserve);
    let mut running: Vec<u64> = Vec::new();
    let (mut field, mut batch) = (0, 0);
    let mut batches = std::collections::BTreeSet::new();
    // Requests of the highest tier occupy all slots from the start.
    harness.fill(SLOTS, "field", "large");
    for _ in 0..6000 {
        harness.advance(ms(100));
        for _ in 0..3 {
            harness.arrive_with("field", "large", ms(1000));
        }
        batches.insert(harness.arrive_with("batch", "small", Duration::from_secs(600)));
        for ticket in std::mem::take(&mut harness.started) {
            if batches.contains(&ticket) {
                batch += 1
            } else {
                field += 1
            }
            harness.input(Input::FirstToken(Ticket(ticket)));
            running.push(ticket);
        }
        if !running.is_empty() {
            let ticket = running.remove(0);
            harness.finish(ticket);
        }
    }
    (field, batch)
}

fn low_tier_is_shed_for_high_tier() {
    let mut harness = Harness::warm(0);
    harness.fill(SLOTS, "field", "large");
    let queued: Vec<_> = (0..SLOTS * 4)
        .map(|_| harness.arrive("batch", "large"))
        .collect();
    assert!(harness.rejected.is_empty(), "{:?}", harness.rejected);
    let high = harness.arrive("field", "small");
    assert_eq!(harness.rejected, [(*queued.last().unwrap(), Kind::Shed)]);
    let first = harness.started[0];
    harness.finish(first);
    assert_eq!(harness.started.last(), Some(&high));
}

fn high_tier_is_not_shed_for_low_tier() {
    let mut harness = Harness::warm(0);
    harness.fill(SLOTS * 5, "field", "large");
    let low = harness.arrive("batch", "small");
    assert_eq!(harness.rejected, [(low, Kind::Overloaded)]);
}

fn starts_by_account() -> (usize, usize) {
    let mut harness = Harness::warm(0);
    harness.fill(SLOTS, "field", "large");
    let large: Vec<_> = (0..8).map(|_| harness.arrive("field", "large")).collect();
    let small: Vec<_> = (0..8).map(|_| harness.arrive("field", "small")).collect();
    (0..8).for_each(|n| harness.finish(harness.started[n]));
    let count = |of: &[u64]| harness.started.iter().filter(|t| of.contains(t)).count();
    (count(&large), count(&small))
}

fn revoke_key_of_queued_request() {
    let mut harness = Harness::warm(0);
    harness.fill(SLOTS, "field", "small");
    let queued = harness.arrive("field", "large");
    harness.change(r#"[{"withdraw-grant": "k-large"}]"#);
    harness.finish(harness.started[0]);
    assert_eq!(harness.rejection(queued), Some(Kind::KeyInvalid));
    assert!(!harness.started.contains(&queued));
}

/// Starts within ten seconds at an engine that states a limit of two requests a second, while ten
/// requests a second arrive and end at once.
fn starts_under_rate_limit() -> usize {
    let mut harness = Harness::warm(0);
    harness.input(Input::RateLimit(Some(2.0.try_into().unwrap())));
    for _ in 0..100 {
        harness.arrive_with("field", "large", ms(1000));
        harness.advance(ms(100));
        while let Some(ticket) = harness.started.get(harness.finished).copied() {
            harness.finished += 1;
            harness.finish(ticket);
        }
    }
    harness.started.len()
}

fn limit_of_engine_ends() {
    let mut harness = Harness::warm(0);
    harness.input(Input::RateLimit(Some(0.0.try_into().unwrap())));
    harness.fill(SLOTS, "field", "large");
    assert_eq!(harness.started.len(), 0);
    // The end of the limit is noticed by the response to a request that starts nevertheless.
    harness.advance(ms(5000));
    assert_eq!(harness.started.len(), 1);
    harness.input(Input::RateLimit(None));
    assert_eq!(harness.started.len(), SLOTS as usize);
}

fn rejection_after(change: &str) -> Option<Kind> {
    let mut harness = Harness::warm(0);
    harness.change(change);
    let ticket = harness.arrive("field", "large");
    harness.rejection(ticket)
}

fn rejection_on_stale_view() -> Option<Kind> {
    let mut harness = Harness::cold(0);
    harness.now = harness.now + Duration::from_secs(2_000_000);
    let ticket = harness.arrive("field", "large");
    harness.rejection(ticket)
}

fn rejection_of_foreign_key() -> Option<Kind> {
    let mut harness = Harness::warm(0);
    harness.serial += 1;
    let arrival = Arrival {
        ticket: Ticket(harness.serial),
        endpoint: "e".try_into().unwrap(),
        account: "small".try_into().unwrap(),
        grant: Some("k-large".try_into().unwrap()),
        route: "field".try_into().unwrap(),
        class: "field".try_into().unwrap(),
        remaining: ms(1000),
        target_remaining: ms(1000),
        input_tokens: Tokens(1),
    };
    harness.input(Input::Arrive(arrival));
    harness.rejection(harness.serial)
}

fn starts_on_cold_engine() -> usize {
    let mut harness = Harness::cold(0);
    harness.fill(30, "field", "large");
    harness.started.len()
}

/// The limits before and after `cause` acts on a warm agent.
fn limits_before_and_after(cause: impl Fn(&mut Harness)) -> (u32, u32) {
    let mut harness = Harness::warm(0);
    harness.input(Input::EngineStatus(EngineStatus {
        incarnation: Incarnation(1),
        cache_flushes: 0,
    }));
    let before = harness.limit();
    cause(&mut harness);
    (before, harness.limit())
}

fn drain_agent() {
    let mut harness = Harness::warm(0);
    let running: Vec<_> = (0..SLOTS)
        .map(|_| harness.arrive("field", "large"))
        .collect();
    let queued = harness.arrive("field", "large");
    harness.input(Input::Drain);
    assert_eq!(harness.rejection(queued), Some(Kind::Draining));
    assert!(!harness.drained);
    running.iter().for_each(|ticket| harness.finish(*ticket));
    assert!(harness.drained);
    let late = harness.arrive("field", "large");
    assert_eq!(harness.rejection(late), Some(Kind::Draining));
}

case::cases! {
    // Guards against an agent that ignores the limit which its engine states.
    engine_gets_no_more_than_the_rate_that_it_states: {
        let starts = starts_under_rate_limit();
        assert!((19..=21).contains(&starts), "{starts}");
    };
    engine_gets_all_queued_requests_once_its_limit_ends: limit_of_engine_ends();
    full_queue_sheds_lowest_tier_for_highest: low_tier_is_shed_for_high_tier();
    queue_full_of_highest_tier_rejects_lowest: high_tier_is_not_shed_for_low_tier();
    highest_tier_preempts_running_lower_tier: {
        let mut harness = Harness::warm(0);
        harness.fill(SLOTS, "batch", "large");
        let high = harness.arrive("field", "small");
        assert!(harness.started.contains(&high));
    };
    no_preemption_within_a_tier: {
        let mut harness = Harness::warm(0);
        harness.fill(SLOTS, "field", "large");
        let next = harness.arrive("field", "small");
        assert!(!harness.started.contains(&next));
    };
    reserve_prevents_starvation_under_overload: {
        let (field, batch) = starts_under_overload(5);
        assert!(batch * 100 >= (field + batch) * 5 * 8 / 10, "{batch} of {}", field + batch);
        assert!(field > batch * 5, "{field} {batch}");
    };
    without_a_reserve_tiers_are_strict: assert_eq!(starts_under_overload(0).1, 0);
    accounts_of_a_class_are_queued_fairly: {
        let (large, small) = starts_by_account();
        assert!(large.abs_diff(small) <= 1, "{large} {small}");
    };
    queued_request_is_authorized_again_at_its_start: revoke_key_of_queued_request();
    endpoint_in_a_closed_zone_rejects_requests: assert_eq!(rejection_after(r#"[{"put-zone": {"name": "z", "region": "r", "open": false}}]"#), Some(Kind::ZoneClosed));
    request_of_a_closed_account_is_rejected: assert_eq!(rejection_after(r#"[{"close-account": "large"}]"#), Some(Kind::KeyInvalid));
    draining_endpoint_rejects_requests: assert_eq!(
        rejection_after(r#"[{"put-endpoint": {"name": "e", "zone": "z", "routes": ["field"], "agent": "127.0.0.1:1",
            "slots": 4, "leaving": true}}]"#),
        Some(Kind::ZoneClosed)
    );
    request_on_a_stale_view_is_rejected: assert_eq!(rejection_on_stale_view(), Some(Kind::ViewStale));
    key_of_another_account_is_rejected: assert_eq!(rejection_of_foreign_key(), Some(Kind::AccountForbidden));
    cold_engine_gets_one_request_at_a_time: assert_eq!(starts_on_cold_engine(), 1);
    limit_grows_with_first_tokens_within_target: assert_eq!(Harness::warm(0).limit(), SLOTS);
    engine_restart_resets_the_limit: assert_eq!(
        limits_before_and_after(|harness| harness.input(Input::EngineStatus(EngineStatus { incarnation: Incarnation(2), cache_flushes: 0 }))),
        (SLOTS, 1)
    );
    cache_flush_resets_the_limit: assert_eq!(
        limits_before_and_after(|harness| harness.input(Input::EngineStatus(EngineStatus { incarnation: Incarnation(1), cache_flushes: 1 }))),
        (SLOTS, 1)
    );
    slow_first_tokens_reset_the_limit: assert_eq!(
        limits_before_and_after(|harness| (0..3).for_each(|_| {
            let ticket = harness.arrive("field", "large");
            harness.advance(ms(3500));
            harness.input(Input::FirstToken(Ticket(ticket)));
            harness.finish(ticket);
        })),
        (SLOTS, 1)
    );
    queued_request_expires_at_its_deadline: {
        let mut harness = Harness::warm(0);
        harness.fill(SLOTS, "field", "large");
        let queued = harness.arrive_with("field", "large", ms(500));
        harness.advance(ms(600));
        assert_eq!(harness.rejection(queued), Some(Kind::DeadlinePassed));
    };
    drain_rejects_queued_and_finishes_running_requests: drain_agent();
}
