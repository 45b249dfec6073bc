//! The agent's promises: tiers, reserves, shares, the ramp, and who may run at all.

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

/// Slots of the endpoint.
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

/// An agent, its clock and what it asked for.
struct Rig {
    agent: Agent<Tiered>,
    now: Tick,
    serial: u64,
    changes: Vec<Change>,
    revision: u64,
    started: Vec<u64>,
    bounced: Vec<(u64, Kind)>,
    drained: bool,
}

impl Rig {
    fn cold(reserve: u8) -> Self {
        let mut rig = Self {
            agent: Agent::new("e".try_into().unwrap(), Tiered::default()),
            now: Tick(1_000_000),
            serial: 0,
            changes: configuration(reserve),
            revision: 1,
            started: Vec::new(),
            bounced: Vec::new(),
            drained: false,
        };
        rig.view(Duration::from_secs(1_000_000));
        rig
    }

    fn warm(reserve: u8) -> Self {
        let mut rig = Self::cold(reserve);
        for _ in 0..2 * SLOTS {
            let ticket = rig.arrive("field", "small");
            rig.input(Input::FirstToken(Ticket(ticket)));
            rig.done(ticket);
        }
        rig.started.clear();
        rig
    }

    fn view(&mut self, fresh: Duration) {
        let update = Update {
            revision: Revision(self.revision),
            content: Content::Full(self.changes.clone()),
        };
        self.revision += 1;
        self.input(Input::View(update, self.now + fresh));
    }

    fn change(&mut self, json: &str) {
        self.changes
            .extend(serde_json::from_str::<Vec<Change>>(json).unwrap());
        self.view(Duration::from_secs(1_000_000));
    }

    fn input(&mut self, input: Input) {
        let mut out = Outbox::default();
        self.agent.step(self.now, input, &mut out);
        self.take(out);
    }

    fn take(&mut self, mut out: Outbox<Output>) {
        for output in out.drain() {
            match output {
                Output::Start(ticket, _) => self.started.push(ticket.0),
                Output::Reject(ticket, kind, _) => self.bounced.push((ticket.0, kind)),
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

    fn done(&mut self, ticket: u64) {
        self.input(Input::Done(Ticket(ticket), Outcome::Served, Tokens(20)));
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.agent.deadline().filter(|at| *at <= end) {
            self.now = at;
            let mut out = Outbox::default();
            self.agent.wake(self.now, &mut out);
            self.take(out);
        }
        self.now = end;
    }

    fn limit(&self) -> u32 {
        self.agent.load().limit
    }

    fn kind_of(&self, ticket: u64) -> Option<Kind> {
        self.bounced
            .iter()
            .find(|(t, _)| *t == ticket)
            .map(|(_, kind)| *kind)
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Ten minutes in which the highest tier alone asks for more than there is. Returns how many of
/// each tier started, and whether a start from the reserve made a request of the highest tier late.
fn endless_overload(reserve: u8) -> (usize, usize) {
    let mut rig = Rig::warm(reserve);
    let mut running: Vec<u64> = Vec::new();
    let (mut field, mut batch) = (0, 0);
    let mut batches = std::collections::BTreeSet::new();
    // From the first moment on there is no slot that the highest tier does not want.
    rig.fill(SLOTS, "field", "large");
    for _ in 0..6000 {
        rig.pass(ms(100));
        for _ in 0..3 {
            rig.arrive_with("field", "large", ms(1000));
        }
        batches.insert(rig.arrive_with("batch", "small", Duration::from_secs(600)));
        for ticket in std::mem::take(&mut rig.started) {
            if batches.contains(&ticket) {
                batch += 1
            } else {
                field += 1
            }
            rig.input(Input::FirstToken(Ticket(ticket)));
            running.push(ticket);
        }
        if !running.is_empty() {
            let ticket = running.remove(0);
            rig.done(ticket);
        }
    }
    (field, batch)
}

fn queue_of_low_gives_way() {
    let mut rig = Rig::warm(0);
    rig.fill(SLOTS, "field", "large");
    let waiting: Vec<_> = (0..SLOTS * 4)
        .map(|_| rig.arrive("batch", "large"))
        .collect();
    assert!(rig.bounced.is_empty(), "{:?}", rig.bounced);
    let high = rig.arrive("field", "small");
    assert_eq!(rig.bounced, [(*waiting.last().unwrap(), Kind::Shed)]);
    let first = rig.started[0];
    rig.done(first);
    assert_eq!(rig.started.last(), Some(&high));
}

fn high_never_gives_way() {
    let mut rig = Rig::warm(0);
    rig.fill(SLOTS * 5, "field", "large");
    let low = rig.arrive("batch", "small");
    assert_eq!(rig.bounced, [(low, Kind::Overloaded)]);
}

fn shares() -> (usize, usize) {
    let mut rig = Rig::warm(0);
    rig.fill(SLOTS, "field", "large");
    let large: Vec<_> = (0..8).map(|_| rig.arrive("field", "large")).collect();
    let small: Vec<_> = (0..8).map(|_| rig.arrive("field", "small")).collect();
    (0..8).for_each(|n| rig.done(rig.started[n]));
    let count = |of: &[u64]| rig.started.iter().filter(|t| of.contains(t)).count();
    (count(&large), count(&small))
}

fn withdrawn_while_waiting() {
    let mut rig = Rig::warm(0);
    rig.fill(SLOTS, "field", "small");
    let waits = rig.arrive("field", "large");
    rig.change(r#"[{"withdraw-grant": "k-large"}]"#);
    rig.done(rig.started[0]);
    assert_eq!(rig.kind_of(waits), Some(Kind::KeyInvalid));
    assert!(!rig.started.contains(&waits));
}

fn refused(change: &str) -> Option<Kind> {
    let mut rig = Rig::warm(0);
    rig.change(change);
    let ticket = rig.arrive("field", "large");
    rig.kind_of(ticket)
}

fn stale() -> Option<Kind> {
    let mut rig = Rig::cold(0);
    rig.now = rig.now + Duration::from_secs(2_000_000);
    let ticket = rig.arrive("field", "large");
    rig.kind_of(ticket)
}

fn foreign_key() -> Option<Kind> {
    let mut rig = Rig::warm(0);
    rig.serial += 1;
    let arrival = Arrival {
        ticket: Ticket(rig.serial),
        endpoint: "e".try_into().unwrap(),
        account: "small".try_into().unwrap(),
        grant: Some("k-large".try_into().unwrap()),
        route: "field".try_into().unwrap(),
        class: "field".try_into().unwrap(),
        remaining: ms(1000),
        target_remaining: ms(1000),
        input_tokens: Tokens(1),
    };
    rig.input(Input::Arrive(arrival));
    rig.kind_of(rig.serial)
}

fn many_entries_at_once() -> usize {
    let mut rig = Rig::cold(0);
    rig.fill(30, "field", "large");
    rig.started.len()
}

fn cooled_by(disturb: impl Fn(&mut Rig)) -> (u32, u32) {
    let mut rig = Rig::warm(0);
    rig.input(Input::EngineStatus(EngineStatus {
        incarnation: Incarnation(1),
        cache_flushes: 0,
    }));
    let before = rig.limit();
    disturb(&mut rig);
    (before, rig.limit())
}

fn drained() {
    let mut rig = Rig::warm(0);
    let running: Vec<_> = (0..SLOTS).map(|_| rig.arrive("field", "large")).collect();
    let waits = rig.arrive("field", "large");
    rig.input(Input::Drain);
    assert_eq!(rig.kind_of(waits), Some(Kind::Draining));
    assert!(!rig.drained);
    running.iter().for_each(|ticket| rig.done(*ticket));
    assert!(rig.drained);
    let late = rig.arrive("field", "large");
    assert_eq!(rig.kind_of(late), Some(Kind::Draining));
}

case::cases! {
    full_queue_of_the_lowest_gives_way_to_the_highest: queue_of_low_gives_way();
    full_queue_of_the_highest_gives_way_to_none: high_never_gives_way();
    overdraft_for_the_highest_while_lower_ones_run: {
        let mut rig = Rig::warm(0);
        rig.fill(SLOTS, "batch", "large");
        let high = rig.arrive("field", "small");
        assert!(rig.started.contains(&high));
    };
    no_overdraft_among_equals: {
        let mut rig = Rig::warm(0);
        rig.fill(SLOTS, "field", "large");
        let next = rig.arrive("field", "small");
        assert!(!rig.started.contains(&next));
    };
    no_class_starves_in_ten_minutes: {
        let (field, batch) = endless_overload(5);
        assert!(batch * 100 >= (field + batch) * 5 * 8 / 10, "{batch} of {}", field + batch);
        assert!(field > batch * 5, "{field} {batch}");
    };
    without_a_reserve_tiers_are_strict: assert_eq!(endless_overload(0).1, 0);
    accounts_share_what_waits: {
        let (large, small) = shares();
        assert!(large.abs_diff(small) <= 1, "{large} {small}");
    };
    withdrawn_key_is_checked_again_at_the_start: withdrawn_while_waiting();
    closed_zone: assert_eq!(refused(r#"[{"put-zone": {"name": "z", "region": "r", "open": false}}]"#), Some(Kind::ZoneClosed));
    closed_account: assert_eq!(refused(r#"[{"close-account": "large"}]"#), Some(Kind::KeyInvalid));
    leaving_endpoint: assert_eq!(
        refused(r#"[{"put-endpoint": {"name": "e", "zone": "z", "routes": ["field"], "agent": "127.0.0.1:1",
            "slots": 4, "leaving": true}}]"#),
        Some(Kind::ZoneClosed)
    );
    stale_view: assert_eq!(stale(), Some(Kind::ViewStale));
    key_of_another_account: assert_eq!(foreign_key(), Some(Kind::AccountForbidden));
    cold_endpoint_gets_one_however_many_ask: assert_eq!(many_entries_at_once(), 1);
    ramp_grows_with_first_tokens_in_time: assert_eq!(Rig::warm(0).limit(), SLOTS);
    restarted_engine_is_cold: assert_eq!(
        cooled_by(|rig| rig.input(Input::EngineStatus(EngineStatus { incarnation: Incarnation(2), cache_flushes: 0 }))),
        (SLOTS, 1)
    );
    lost_caches_are_cold: assert_eq!(
        cooled_by(|rig| rig.input(Input::EngineStatus(EngineStatus { incarnation: Incarnation(1), cache_flushes: 1 }))),
        (SLOTS, 1)
    );
    slow_first_tokens_are_a_sign_of_cold: assert_eq!(
        cooled_by(|rig| (0..3).for_each(|_| {
            let ticket = rig.arrive("field", "large");
            rig.pass(ms(3500));
            rig.input(Input::FirstToken(Ticket(ticket)));
            rig.done(ticket);
        })),
        (SLOTS, 1)
    );
    waiting_too_long_is_not_run: {
        let mut rig = Rig::warm(0);
        rig.fill(SLOTS, "field", "large");
        let waits = rig.arrive_with("field", "large", ms(500));
        rig.pass(ms(600));
        assert_eq!(rig.kind_of(waits), Some(Kind::DeadlinePassed));
    };
    drain_finishes_what_runs: drained();
}
