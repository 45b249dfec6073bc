//! Rollouts: an acknowledged order survives the loss of hosts, its state never goes back, and its
//! verdict follows from the fronts' counts whichever host leads.

mod group;

use assert_matches::assert_matches;
use govern::{
    Outcome,
    Reply,
    Request,
    SubscriberId,
    SubscriberKind, //
};
use group::{
    EMPTY_PLAN,
    Group, //
};
use ids::Incarnation;
use rollout::{
    Effect,
    Exposure,
    FrontTally,
    Order,
    Outcomes,
    RawOrder,
    RouteTally,
    Stages,
    State,
    Tally, //
};

/// Time from an order to its deadline, in milliseconds.
const DURATION_MS: u64 = 12_000;
/// Requests of the model front in one of its steps.
const REQUESTS: f64 = 90.0;

/// A group of three, a mirror that a front polls, and what the front counted.
struct Trial {
    group: Group,
    mirror: usize,
    /// Milliseconds since the order.
    now_ms: u64,
    /// The part of the new version's requests that fail.
    failing: f64,
    /// Requests sent to the old and to the new version.
    sent: (f64, f64),
    exposure: Exposure,
    /// The states that were read, without repetitions.
    states: Vec<State>,
}

fn request(version: &str, service: &str) -> Request {
    let raw = RawOrder {
        service: service.to_owned(),
        version: version.to_owned(),
        duration_s: DURATION_MS as f64 / 1000.0,
    };
    Request::Order(raw.try_into().unwrap())
}

fn group() -> Group {
    let mut group = Group::bootstrap();
    assert!(group.install(1));
    group
}

/// Sends an order to a host.
fn order(group: &mut Group, n: usize, version: &str, service: &str) -> Option<Reply> {
    let sent = group.request(n, request(version, service));
    group.advance(100);
    group.reply(sent)
}

/// Sends the leader an order. Returns its effect.
fn effect(group: &mut Group, version: &str) -> Effect {
    let leader = group.leader().unwrap();
    match order(group, leader, version, "s") {
        Some(Reply::Outcome(Outcome::Rollout(effect))) => effect,
        reply => panic!("{reply:?}"),
    }
}

/// Reads the orders through a host.
fn read(group: &mut Group, n: usize) -> Option<Vec<Order>> {
    let sent = group.request(n, Request::Orders);
    group.advance(100);
    match group.reply(sent) {
        Some(Reply::Orders(orders)) => Some(orders),
        _ => None,
    }
}

/// The stages that a host sends to a front that has none.
fn stages(group: &mut Group, n: usize) -> Option<Stages> {
    group.deployment(n, u64::MAX)?.rollouts
}

impl Trial {
    fn start(failing: f64) -> Self {
        let mut group = group();
        let mirror = group.add_mirror();
        group.advance(1000);
        assert_eq!(effect(&mut group, "v2"), Effect::Opened(1));
        Self {
            group,
            mirror,
            now_ms: 100,
            failing,
            sent: (0.0, 0.0),
            exposure: Exposure::None,
            states: Vec::new(),
        }
    }

    /// Polls, sends requests and reports for 400 ms. Reads the state through a member.
    fn step(&mut self, member: usize) {
        if let Some(stages) = stages(&mut self.group, self.mirror) {
            self.exposure = stages.stages[0].exposure;
        }
        let share = match self.exposure {
            Exposure::None => 0.0,
            Exposure::Share(share) => share,
            Exposure::All => 1.0,
        };
        self.sent.0 += REQUESTS * (1.0 - share);
        self.sent.1 += REQUESTS * share;
        let outcomes = |sent: f64, failing: f64| Outcomes {
            sent: sent as u64,
            failed: (sent * failing) as u64,
            started: (sent * (1.0 - failing)) as u64,
            start_ms: sent * (1.0 - failing),
            slow: 0,
        };
        let route = RouteTally {
            route: "r".to_owned(),
            old: outcomes(self.sent.0, 0.001),
            new: outcomes(self.sent.1, self.failing),
        };
        let report = FrontTally {
            host: "front".try_into().unwrap(),
            incarnation: Incarnation(1),
            tallies: vec![Tally {
                id: 1,
                routes: vec![route],
            }],
        };
        let front = SubscriberId {
            host: "front".try_into().unwrap(),
            kind: SubscriberKind::Entry,
            incarnation: Incarnation(1),
        };
        self.group
            .request(self.mirror, Request::FrontCounts(front, report));
        if let Some(orders) = read(&mut self.group, member) {
            let state = orders[0].state;
            if self.states.last() != Some(&state) {
                self.states.push(state);
            }
        }
        self.now_ms += 400;
    }

    /// Runs until the deadline. The leader is lost at a time and comes back two seconds later.
    fn run(&mut self, lost_ms: Option<u64>) {
        let mut down = None;
        while self.now_ms < DURATION_MS {
            if lost_ms.is_some_and(|at| (at..at + 400).contains(&self.now_ms)) {
                let leader = self.group.leader().unwrap();
                self.group.crash(leader);
                down = Some((leader, self.now_ms + 2000));
            }
            if let Some((n, _)) = down.take_if(|(_, until)| *until <= self.now_ms) {
                self.group.start(n);
            }
            let up = (0..3).find(|n| down.is_none_or(|(lost, _)| lost != *n));
            self.step(up.unwrap());
        }
    }
}

/// Runs an order to its verdict, with a leader lost at each of these times.
fn ends(failing: f64, state: State, losses: impl IntoIterator<Item = Option<u64>>) {
    for lost in losses {
        let mut trial = Trial::start(failing);
        trial.run(lost);
        // The states never go back: first running, then the verdict.
        assert_eq!(trial.states, [State::Running, state], "lost at {lost:?}");
        let (old, new) = trial.sent;
        let allowed = 0.1 * (old + new) + 50.0;
        assert!(
            state == State::Done || new <= allowed,
            "{new} of {old}, lost at {lost:?}"
        );
    }
}

fn each_step() -> impl Iterator<Item = Option<u64>> {
    (0..11).map(|n| Some(n * 1000))
}

case::cases! {
    good_version_is_done_by_the_deadline: ends(0.0, State::Done, [None]);
    bad_version_is_rolled_back: ends(0.4, State::RolledBack, [None]);
    good_version_with_a_leader_lost_in_each_step: ends(0.0, State::Done, each_step());
    bad_version_with_a_leader_lost_in_each_step: ends(0.4, State::RolledBack, each_step());
    order_is_read_back_at_all_hosts: {
        let mut group = group();
        assert_eq!(effect(&mut group, "v2"), Effect::Opened(1));
        for n in 0..3 {
            let orders = read(&mut group, n).unwrap();
            assert_eq!((orders[0].version.as_str(), orders[0].state), ("v2", State::Running));
        }
    };
    acknowledged_order_survives_the_loss_of_all_hosts: {
        let mut group = group();
        assert_eq!(effect(&mut group, "v2"), Effect::Opened(1));
        (0..3).for_each(|n| group.lose_power(n, 0));
        (0..3).for_each(|n| group.start(n));
        group.advance(3000);
        assert_eq!(read(&mut group, 0).unwrap()[0].version, "v2");
        assert_eq!(effect(&mut group, "v2"), Effect::InProgress);
    };
    second_order_is_in_progress: {
        let mut group = group();
        effect(&mut group, "v2");
        assert_eq!(effect(&mut group, "v2"), Effect::InProgress);
        assert_eq!(effect(&mut group, "v3"), Effect::InProgress);
    };
    order_for_an_unknown_service_changes_nothing: {
        let mut group = group();
        let leader = group.leader().unwrap();
        let reply = order(&mut group, leader, "v2", "t");
        assert_matches!(reply, Some(Reply::UnknownService));
        assert_eq!(read(&mut group, leader), Some(Vec::new()));
    };
    host_that_does_not_lead_refers_to_the_leader: {
        let mut group = group();
        let leader = group.leader().unwrap();
        let reply = order(&mut group, (leader + 1) % 3, "v2", "s");
        assert_matches!(reply, Some(Reply::NotLeader(Some(at))) if at == group.address_of(leader));
    };
    host_without_a_quorum_does_not_acknowledge: {
        let mut group = group();
        let leader = group.leader().unwrap();
        group.isolate(leader);
        let sent = group.request(leader, request("v2", "s"));
        group.advance(4000);
        assert_matches!(group.reply(sent), Some(Reply::Unavailable | Reply::NotLeader(_)));
    };
    plan_without_the_service_rolls_back: {
        let mut group = group();
        effect(&mut group, "v2");
        assert!(group.install(EMPTY_PLAN));
        group.advance(1000);
        assert_eq!(read(&mut group, 0).unwrap()[0].state, State::RolledBack);
    };
    group_without_orders_has_no_stages: assert_eq!(stages(&mut group(), 0), None);
}
