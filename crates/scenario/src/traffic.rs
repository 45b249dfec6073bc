//! The path of a request: entries, agents and back ends.

use admit::Outcome;
use fault::Kind;
use govern::{
    Command,
    Request, //
};
use ids::{
    Ticket,
    Tokens, //
};
use ledger::{
    Fingerprint,
    Settlement, //
};
use route::{
    Arrival,
    AttemptOutcome,
    AttemptSpec,
    Decision,
    Input,
    RequestTarget, //
};
use step::{
    Core,
    Outbox, //
};

use crate::directive::{
    Directive,
    DirectiveError, //
};
use crate::node::Node;
use crate::setup::{
    BASE_PORT,
    digest,
    load_report, //
};
use crate::simulation::{
    CALL_TIMEOUT_US,
    Caller,
    Event,
    InFlight,
    NETWORK_DELAY_US,
    PendingRequest,
    SERVICE_TIME_US,
    Simulation, //
};

impl Simulation {
    /// Sends a client's request to an entry and advances the time for the response. A paused entry
    /// does not receive the request.
    pub(crate) fn call(&mut self, directive: &Directive) -> Result<(), DirectiveError> {
        let Node::Entry(n) = directive.node(0)? else {
            return Err(DirectiveError::Argument("call".to_owned(), "1".to_owned()));
        };
        self.last_id += 1;
        let ticket = Ticket(self.last_id);
        let invalid = |name: &str| DirectiveError::Argument("call".to_owned(), name.to_owned());
        let body = directive.named.get("body").cloned().unwrap_or_default();
        let request_key = directive.named.get("request-key");
        let target = format!("{}{body}", request_key.map_or("model", String::as_str));
        let request_target = match request_key {
            Some(_) => RequestTarget::Path(conf::Method::Post, "/permits".to_owned()),
            None => RequestTarget::Model("crew".try_into().map_err(|_| invalid("model"))?),
        };
        let key = directive.named.get("key").map(|key| digest(key));
        let arrival = Arrival {
            ticket,
            key,
            target: request_target,
            class: None,
            input_tokens: Tokens(10),
            prefix_hash: None,
            request_key: request_key
                .map(|key| key.parse())
                .transpose()
                .map_err(|_| invalid("request-key"))?,
            fingerprint: Fingerprint(digest(&body).0),
        };
        let label = directive
            .named
            .get("label")
            .cloned()
            .unwrap_or_else(|| "call".to_owned());
        let request = PendingRequest {
            label,
            entry: n,
            target,
            claim: None,
        };
        self.requests.insert(ticket, request);
        if self.paused.contains_key(&Node::Entry(n)) {
            return Ok(());
        }
        self.step_entry(n, Input::Arrive(arrival));
        let wait = directive.option("wait", 4000)?;
        self.advance(wait * 1000);
        Ok(())
    }

    /// Passes an input to the core of an entry and performs its decisions.
    pub(crate) fn step_entry(&mut self, n: usize, input: Input) {
        let now = self.clock_rate(Node::Entry(n)).local_time(self.now);
        let mut out = Outbox::default();
        self.entries[n].step(now, input, &mut out);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            if let route::Output::Decision(ticket, decision) = output {
                self.perform_decision(ticket, decision);
            }
        }
    }

    /// Performs an entry's decision on a request.
    pub(crate) fn perform_decision(&mut self, ticket: Ticket, decision: Decision) {
        let Some(request) = self.requests.get(&ticket).cloned() else {
            return;
        };
        let label = &request.label;
        match decision {
            Decision::Attempt(spec) => self.attempt(request, *spec),
            Decision::Claim(claim) => {
                let claim_request = Request::Command(Command::Claim {
                    key: (claim.account.clone(), claim.key.clone()),
                    fingerprint: claim.fingerprint,
                    attempt: claim.attempt,
                    now: 0,
                });
                let id = claim.id;
                if let Some(request) = self.requests.get_mut(&ticket) {
                    request.claim = Some(claim);
                }
                let first_host = self.last_id as usize % self.hosts.len();
                self.send_request(
                    Caller::Claim(request.entry, id),
                    claim_request,
                    first_host,
                    CALL_TIMEOUT_US,
                );
            }
            Decision::Fail(kind) => {
                let execution = kind.response().execution.as_str();
                self.log.push(format!("{label}: {kind} {execution}"));
                let settlement = if kind.not_executed() {
                    Settlement::NotRun
                } else {
                    Settlement::Unknown
                };
                // These errors mean that the claim was not granted to this request, so the request
                // must not settle it.
                let not_granted = matches!(
                    kind,
                    Kind::ClaimRunning | Kind::ClaimUnknown | Kind::ClaimConflict
                );
                if !not_granted {
                    self.settle(&request, settlement);
                }
            }
            Decision::Replay(response) => {
                let response = String::from_utf8_lossy(&response).into_owned();
                self.log
                    .push(format!("{label}: recorded response {response}"));
            }
            Decision::Done => {
                self.log.push(format!("{label}: served"));
                self.settle(
                    &request,
                    Settlement::Answered(request.target.clone().into_bytes()),
                );
            }
            Decision::Models(_) => {}
        }
    }

    /// Settles the claim of a request, if it has one.
    pub(crate) fn settle(&mut self, request: &PendingRequest, settlement: Settlement) {
        let Some(claim) = &request.claim else {
            return;
        };
        let settle_request = Request::Command(Command::Settle {
            key: (claim.account.clone(), claim.key.clone()),
            attempt: claim.attempt,
            settlement,
        });
        self.send_request(Caller::Settle, settle_request, 0, CALL_TIMEOUT_US);
    }

    /// Sends an attempt to an agent; fails it at once if the agent is not reachable.
    pub(crate) fn attempt(&mut self, request: PendingRequest, spec: AttemptSpec) {
        let agent = usize::from(spec.agent.port()) - usize::from(BASE_PORT);
        let (from, to) = (Node::Entry(request.entry), Node::Agent(agent));
        if !self.connected(from, to) {
            let outcome = AttemptOutcome::Unreached;
            return self.schedule_event(
                NETWORK_DELAY_US,
                Event::AttemptEnded(request.entry, spec.id, outcome),
            );
        }
        self.last_id += 1;
        let attempt = InFlight {
            entry: request.entry,
            agent,
            spec,
            target: request.target,
        };
        self.in_flight.insert(self.last_id, attempt);
        self.schedule_event(NETWORK_DELAY_US, Event::Attempt(agent, self.last_id));
    }

    /// Passes an attempt to the core of its agent.
    pub(crate) fn deliver_attempt(&mut self, n: usize, id: u64) {
        let Some(attempt) = self.in_flight.get(&id) else {
            return;
        };
        let spec = &attempt.spec;
        let arrival = admit::Arrival {
            ticket: Ticket(id),
            endpoint: spec.endpoint.clone(),
            account: spec.account.clone(),
            grant: spec.grant.clone(),
            route: spec.route.clone(),
            class: spec.class.clone(),
            remaining: spec.remaining,
            target_remaining: spec.target_remaining,
            input_tokens: spec.input_tokens,
        };
        self.step_agent(n, admit::Input::Arrive(arrival));
    }

    /// Passes an input to the core of an agent and performs its outputs.
    pub(crate) fn step_agent(&mut self, n: usize, input: admit::Input) {
        let now = self.clock_rate(Node::Agent(n)).local_time(self.now);
        let mut out = Outbox::default();
        self.agents[n].step(now, input, &mut out);
        self.perform_agent_outputs(n, out);
    }

    /// Performs the outputs of an agent: counts each start as an execution and returns rejections.
    pub(crate) fn perform_agent_outputs(&mut self, n: usize, mut out: Outbox<admit::Output>) {
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                admit::Output::Start(ticket, _) => {
                    if let Some(attempt) = self.in_flight.get(&ticket.0) {
                        *self.executions.entry(attempt.target.clone()).or_default() += 1;
                    }
                    if self.hold_responses {
                        self.held_attempts.push_back((n, ticket.0));
                    } else {
                        self.schedule_event(SERVICE_TIME_US, Event::ServiceComplete(n, ticket.0));
                    }
                }
                admit::Output::Reject(ticket, kind, load) => {
                    self.end_attempt(ticket.0, |_| {
                        AttemptOutcome::Rejected(kind, load_report(load))
                    });
                }
                _ => {}
            }
        }
        self.schedule_wake(Node::Agent(n));
    }

    /// Removes an attempt and reports its outcome to the entry.
    pub(crate) fn end_attempt(
        &mut self,
        id: u64,
        outcome: impl FnOnce(&InFlight) -> AttemptOutcome,
    ) {
        let Some(attempt) = self.in_flight.remove(&id) else {
            return;
        };
        let outcome = outcome(&attempt);
        let (from, to) = (Node::Agent(attempt.agent), Node::Entry(attempt.entry));
        if self.connected(from, to) {
            self.schedule_event(
                NETWORK_DELAY_US,
                Event::AttemptEnded(attempt.entry, attempt.spec.id, outcome),
            );
        } else {
            // The outcome cannot reach the entry, which times out after 10 s.
            let timeout = AttemptOutcome::Lost(Kind::EndpointTimeout);
            self.schedule_event(
                10_000_000,
                Event::AttemptEnded(attempt.entry, attempt.spec.id, timeout),
            );
        }
    }

    /// Reports an attempt that a back end has served to its agent and to the entry.
    pub(crate) fn complete_service(&mut self, n: usize, id: u64) {
        self.step_agent(n, admit::Input::FirstToken(Ticket(id)));
        self.step_agent(
            n,
            admit::Input::Done(Ticket(id), Outcome::Served, Tokens(10)),
        );
        let load = self.agents[n].load();
        self.end_attempt(id, |_| AttemptOutcome::Served(load_report(load)));
    }

    /// Releases all held responses.
    pub(crate) fn release_responses(&mut self) {
        self.hold_responses = false;
        while let Some((n, id)) = self.held_attempts.pop_front() {
            self.schedule_event(0, Event::ServiceComplete(n, id));
        }
        self.advance(100_000);
    }
}
