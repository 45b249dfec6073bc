//! The connection of one request to the decision core.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

use fault::Kind;
use ids::{
    RequestId,
    Ticket, //
};
use obs::Counters;
use relay::{
    Attempt,
    Decision,
    Failure,
    Input,
    Load,
    RequestHead, //
};
use smol::channel::bounded;

use crate::control::{
    Attachment,
    CoreUsage,
    FrontInbox, //
};

/// The next step of a request, as the core decides.
pub(crate) enum NextStep {
    /// Send an attempt.
    Attempt(Box<Attempt>),
    /// End the request: respond with an error of this kind, and state the time after which the
    /// caller may retry. `None` forwards the endpoint's last response instead.
    End(Option<(Kind, Duration)>),
}

/// What the core may keep on behalf of a client.
#[derive(Clone, Copy, Debug)]
enum Claim {
    None,
    /// A new request whose decision the client has not received. The core may have made it.
    Undecided(Ticket),
    /// A request in progress, after its first attempt was dispatched.
    Dispatched(RequestId),
}

/// Communicates with the core on behalf of one request. Dropping the client ends the request in the
/// core if it is still in progress. The task that owns the client may be dropped at any await, so
/// whatever the core keeps is recorded here before the client waits.
pub(crate) struct CoreClient {
    inbox: FrontInbox,
    tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    claim: Cell<Claim>,
}

impl CoreClient {
    pub(crate) fn new(inbox: FrontInbox, tickets: Arc<AtomicU64>, counters: Counters) -> Self {
        Self {
            inbox,
            tickets,
            counters,
            claim: Cell::new(Claim::None),
        }
    }

    fn next_ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Submits a request to the core and waits for its decision.
    pub(crate) async fn submit(&self, request: RequestHead) -> NextStep {
        let ticket = self.next_ticket();
        self.claim.set(Claim::Undecided(ticket));
        let next = self
            .decision(ticket, Input::Request(ticket, Box::new(request)))
            .await;
        self.claim.set(match &next {
            NextStep::Attempt(attempt) => Claim::Dispatched(attempt.request),
            NextStep::End(_) => Claim::None,
        });
        next
    }

    /// Reports a failed attempt to the core and waits for its decision.
    pub(crate) async fn attempt_failed(&self, request: RequestId, failure: Failure) -> NextStep {
        let ticket = self.next_ticket();
        let next = self
            .decision(ticket, Input::AttemptFailed(ticket, request, failure))
            .await;
        if let NextStep::End(_) = &next {
            self.claim.set(Claim::None);
        }
        next
    }

    /// Sends an input to the core and waits for the decision on it.
    async fn decision(&self, ticket: Ticket, input: Input) -> NextStep {
        let (tx, rx) = bounded(1);
        let sent = self.inbox.call(Attachment::Decision(ticket, tx), input);
        let decision = match sent {
            Ok(()) => rx.recv().await.ok(),
            Err(_) => None,
        };
        match decision {
            Some(Decision::Dispatch(attempt)) => NextStep::Attempt(attempt),
            Some(Decision::Reject(kind, retry_after)) => NextStep::End(Some((kind, retry_after))),
            Some(Decision::PassThrough) => NextStep::End(None),
            None => NextStep::End(Some((Kind::Draining, Duration::ZERO))),
        }
    }

    pub(crate) fn response_started(&self, request: RequestId, load: Option<Load>) {
        let _ = self.inbox.send(Input::ResponseStarted(request, load));
    }

    pub(crate) fn completed(&self, request: RequestId) {
        self.claim.set(Claim::None);
        let _ = self.inbox.send(Input::Completed(request));
    }

    pub(crate) fn declined(&self, request: RequestId) {
        self.claim.set(Claim::None);
        let _ = self.inbox.send(Input::Declined(request));
    }

    /// Queries the core for whether the front is ready to serve.
    pub(crate) async fn ready(&self) -> bool {
        let ticket = self.next_ticket();
        let (tx, rx) = bounded(1);
        let sent = self
            .inbox
            .call(Attachment::Ready(ticket, tx), Input::Ready(ticket));
        sent.is_ok() && rx.recv().await.unwrap_or(false)
    }

    /// Queries the core for what it keeps for requests in progress; none if the core has ended.
    pub(crate) async fn usage(&self) -> Option<CoreUsage> {
        let ticket = self.next_ticket();
        let (tx, rx) = bounded(1);
        self.inbox
            .call(Attachment::Holdings(ticket, tx), Input::Holdings(ticket))
            .ok()?;
        rx.recv().await.ok()
    }
}

impl Drop for CoreClient {
    fn drop(&mut self) {
        // If the core has ended, it keeps nothing.
        let _ = match self.claim.get() {
            Claim::None => Ok(()),
            Claim::Undecided(ticket) => self.inbox.send(Input::Withdrawn(ticket)),
            Claim::Dispatched(request) => self.inbox.send(Input::Cancelled(request)),
        };
    }
}

#[cfg(test)]
mod tests {
    use std::pin::pin;

    use ids::{
        Clock,
        Monotonic, //
    };
    use plan::{
        Plan,
        PlanSpec,
        RetryPolicy,
        RouteSpec,
        ServiceSpec, //
    };
    use relay::{
        EndpointInfo,
        Holdings,
        PredictedLatency,
        Relay,
        RelayOptions,
        View, //
    };
    use smol::future::poll_once;

    use super::*;
    use crate::control::FrontEffects;

    /// A view of a plan with one route, which needs no key.
    fn view(clock: Monotonic) -> View {
        let route = RouteSpec {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            retry: RetryPolicy::Idempotent,
            timeout: Duration::from_secs(60),
            latency_target: Duration::from_secs(1),
            event_gap: Duration::ZERO,
            rank: 0,
            shares: vec![plan::Share {
                service: "p".to_owned(),
                weight: 1,
            }],
            attempts: 1,
            open: true,
        };
        let service = ServiceSpec {
            name: "p".to_owned(),
            connections: 10,
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
        let plan = Plan::try_from(spec).unwrap();
        View {
            generation: 1,
            deployment: Some((Some(Arc::new(plan)), Vec::new())),
            valid_until: clock.now() + Duration::from_secs(60),
            fronts: 1,
            wall_clock: (1_000_000_000, clock.now()),
            requested_at: clock.now(),
            quarantine: None,
        }
    }

    fn endpoint() -> EndpointInfo {
        EndpointInfo {
            instance: "p0".to_owned(),
            service: "p".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "a".to_owned(),
            slots: 8,
            draining: false,
            cold_remaining: Duration::ZERO,
            started_ms: 0,
            version: String::new(),
        }
    }

    /// Starts a core with the inputs given. Drops the task of a request after the core has handled
    /// the request and before the task has looked for the decision.
    fn drop_task(inputs: impl FnOnce(Monotonic) -> Vec<Input>, before: Holdings) {
        let clock = Monotonic::start();
        let options = RelayOptions {
            zone: "a".to_owned(),
            usage_window: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_extra: 60.0,
            retry_window: Duration::from_secs(10),
            rng_seed: 7,
        };
        let (evidence, _reports) = crossbeam::channel::unbounded();
        let counters = Counters::local();
        let effects = FrontEffects::new(evidence, clock, counters.clone(), obs::discard());
        let core = Relay::new(options, PredictedLatency);
        let control = step::ControlThread::start("test-control", core, effects, clock).unwrap();
        for input in inputs(clock) {
            control.inbox().send(input).unwrap();
        }
        let tickets = Arc::new(AtomicU64::new(0));
        let client = || CoreClient::new(control.inbox(), Arc::clone(&tickets), counters.clone());
        let head = RequestHead {
            host: "h".to_owned(),
            path: "/x".to_owned(),
            ..RequestHead::default()
        };
        let usage = || smol::block_on(client().usage()).unwrap();
        {
            let client = client();
            let mut submit = pin!(client.submit(head));
            assert!(smol::block_on(poll_once(submit.as_mut())).is_none());
            assert_eq!(usage().holdings, before);
        }
        let after = usage();
        assert_eq!((after.holdings, after.replies), (Holdings::default(), 0));
        control.close().unwrap();
    }

    case::cases! {
        // The core kept the request for good, as load of its endpoint.
        task_that_never_sees_its_attempt_leaves_nothing: drop_task(
            |clock| vec![Input::View(Box::new(view(clock))), Input::Endpoints(vec![endpoint()])],
            Holdings { requests: 1, attempts: 1, ..Holdings::default() },
        );
        task_that_waits_for_a_view_leaves_nothing: drop_task(
            |_| Vec::new(),
            Holdings { held: 1, ..Holdings::default() },
        );
    }
}
