//! Callers that leave at any moment: whatever the core keeps for their requests is released.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ids::{
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
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use relay::{
    Decision,
    EndpointInfo,
    Failure,
    Holdings,
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

const ENGINES: u16 = 3;
/// Tokens of a prompt that is queued while the engines have a backlog.
const LONG: u64 = 20_000;

fn plan() -> Arc<Plan> {
    let route = |name: &str, rank| RouteSpec {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        retry: RetryPolicy::ResumableStream,
        timeout: Duration::from_secs(4),
        latency_target: Duration::from_millis(300),
        event_gap: Duration::from_millis(100),
        rank,
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
        routes: vec![route("urgent", 0), route("low", 2)],
        services: vec![service],
        accounts: None,
        limits: None,
    };
    Arc::new(Plan::try_from(spec).unwrap())
}

fn list(engines: impl Iterator<Item = u16>) -> Vec<EndpointInfo> {
    let info = |n| EndpointInfo {
        instance: format!("m{n}"),
        service: "m".to_owned(),
        address: ([10, 0, 0, 1], 1000 + n).into(),
        zone: "a".to_owned(),
        slots: 64,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: 0,
        version: String::new(),
    };
    engines.map(info).collect()
}

/// A front and its callers.
struct Front {
    relay: Relay<PredictedLatency>,
    now: Tick,
    /// The last ticket.
    ticket: u64,
    /// Callers whose request the core has not decided on, by ticket.
    undecided: BTreeSet<u64>,
    /// Requests with an attempt in flight.
    dispatched: Vec<RequestId>,
}

impl Front {
    /// A front without a view.
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
            ticket: 0,
            undecided: BTreeSet::new(),
            dispatched: Vec::new(),
        }
    }

    /// A front with a view and engines.
    fn ready() -> Self {
        let mut front = Self::new();
        front.view();
        front.step(Input::Endpoints(list(0..ENGINES)));
        front
    }

    /// Handles an input, and returns its outputs. Checks that each ticket gets one reply.
    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Outbox::default();
        self.relay.step(self.now, input, &mut out);
        self.collect(out)
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        let mut out = Outbox::default();
        self.relay.wake(self.now, &mut out);
        self.collect(out);
    }

    fn collect(&mut self, mut out: Outbox<Output>) -> Vec<Output> {
        let outputs: Vec<_> = out.drain().collect();
        for output in &outputs {
            let Output::Reply(ticket, decision) = output else {
                continue;
            };
            assert!(self.undecided.remove(&ticket.0), "a second reply");
            if let Decision::Dispatch(attempt) = decision {
                self.dispatched.push(attempt.request);
            }
        }
        outputs
    }

    fn view(&mut self) {
        let view = View {
            generation: 1,
            deployment: Some((Some(plan()), Vec::new())),
            valid_until: self.now + Duration::from_secs(2),
            fronts: 1,
            wall_clock: (1_000_000_000, self.now),
            requested_at: self.now,
            quarantine: None,
        };
        self.step(Input::View(Box::new(view)));
    }

    fn next_ticket(&mut self) -> Ticket {
        self.ticket += 1;
        self.undecided.insert(self.ticket);
        Ticket(self.ticket)
    }

    /// A request arrives. Returns the ticket of the decision on it.
    fn arrive(&mut self, route: &str, tokens: u64) -> Ticket {
        let ticket = self.next_ticket();
        let head = RequestHead {
            host: "h".to_owned(),
            path: format!("/{route}/x"),
            timeout: Some(Duration::from_secs(4)),
            prompt: Some(Prompt {
                input_tokens: tokens,
                max_output: 100,
                parts: vec![(ticket.0, tokens)],
            }),
            ..RequestHead::default()
        };
        self.step(Input::Request(ticket, Box::new(head)));
        ticket
    }

    fn fail(&mut self, request: RequestId, failure: Failure) {
        let ticket = self.next_ticket();
        self.step(Input::AttemptFailed(ticket, request, failure));
    }

    fn holdings(&mut self) -> Holdings {
        let outputs = self.step(Input::Holdings(Ticket(0)));
        let holdings = outputs.iter().find_map(|output| match output {
            Output::Holdings(_, holdings) => Some(*holdings),
            _ => None,
        });
        holdings.unwrap()
    }

    /// The caller of a new request leaves before it has received the decision, and nothing is left.
    fn withdraw(mut self, ticket: Ticket, before: Holdings) {
        assert_eq!(self.holdings(), before);
        self.step(Input::Withdrawn(ticket));
        assert_eq!(self.holdings(), Holdings::default());
        assert!(self.undecided.is_empty(), "a ticket without a reply");
    }
}

/// A front with a long prompt in the backlog queue, and its ticket.
fn queued() -> (Front, Ticket) {
    let mut front = Front::ready();
    for _ in 0..60 {
        front.arrive("urgent", 9000);
    }
    let ticket = front.arrive("low", LONG);
    assert_eq!(front.holdings().queued, 1);
    for request in std::mem::take(&mut front.dispatched) {
        front.step(Input::Cancelled(request));
    }
    (front, ticket)
}

/// Callers arrive, fail, are served and leave at random, while engines come and go and the view
/// expires. Once all of them have left, nothing is kept.
fn history(seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut front = Front::ready();
    let failures = [
        Failure::Full,
        Failure::Broken,
        Failure::Crashed,
        Failure::Misdirected,
        Failure::Silent,
        Failure::Unreached,
    ];
    for _ in 0..400 {
        let pick = rng.random_range(0..1000usize);
        let request = (!front.dispatched.is_empty())
            .then(|| pick % front.dispatched.len())
            .map(|index| front.dispatched[index]);
        match rng.random_range(0..12) {
            0..=3 => {
                let tokens = [500, 9000, LONG][pick % 3];
                let ticket = front.arrive(["urgent", "low"][pick % 2], tokens);
                // The caller leaves at once, whether or not the decision was made.
                if pick.is_multiple_of(5) {
                    front.step(Input::Withdrawn(ticket));
                }
            }
            4 => {
                let waiting = front.undecided.iter().nth(pick % 4).copied();
                if let Some(ticket) = waiting {
                    front.step(Input::Withdrawn(Ticket(ticket)));
                }
            }
            5 => front.view(),
            6 => {
                let gone = pick as u16 % ENGINES;
                front.step(Input::Endpoints(list((0..ENGINES).filter(|n| *n != gone))));
            }
            7 => drop(front.step(Input::Endpoints(list(0..ENGINES)))),
            8 => front.advance(Duration::from_millis(pick as u64)),
            step => {
                let Some(request) = request else { continue };
                front.dispatched.retain(|id| *id != request);
                match step {
                    9 => front.fail(request, failures[pick % failures.len()]),
                    10 => {
                        front.step(Input::ResponseStarted(request, None));
                        front.step(Input::Completed(request));
                    }
                    _ => drop(front.step(Input::Cancelled(request))),
                }
            }
        }
    }
    for request in std::mem::take(&mut front.dispatched) {
        front.step(Input::Cancelled(request));
    }
    for ticket in front.undecided.clone() {
        front.step(Input::Withdrawn(Ticket(ticket)));
    }
    assert_eq!(front.holdings(), Holdings::default(), "seed {seed}");
    assert!(front.undecided.is_empty(), "seed {seed}");
}

case::cases! {
    // A front kept each of these requests for good, as load of its endpoint.
    decision_that_nobody_received_is_withdrawn: {
        let mut front = Front::ready();
        let ticket = front.arrive("urgent", 500);
        let before = Holdings { requests: 1, attempts: 1, pending_tokens: 500, ..Holdings::default() };
        front.withdraw(ticket, before);
    };
    // These kept a place in the queue until the end of their wait.
    queued_request_is_withdrawn: {
        let (front, ticket) = queued();
        front.withdraw(ticket, Holdings { requests: 1, queued: 1, ..Holdings::default() });
    };
    held_request_is_withdrawn: {
        let mut front = Front::new();
        let ticket = front.arrive("urgent", 500);
        front.withdraw(ticket, Holdings { held: 1, ..Holdings::default() });
    };
    rejected_request_is_not_withdrawn_twice: {
        let mut front = Front::ready();
        let ticket = front.arrive("none", 500);
        front.withdraw(ticket, Holdings::default());
    };
    later_decision_of_a_withdrawn_request_is_none: {
        let mut front = Front::ready();
        let ticket = front.arrive("urgent", 500);
        front.step(Input::Withdrawn(ticket));
        let request = front.dispatched[0];
        front.fail(request, Failure::Broken);
        assert_eq!(front.holdings(), Holdings::default());
    };
    nothing_is_left_of_random_callers: (0..200).for_each(history);
}
