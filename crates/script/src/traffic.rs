//! The path of a request: entries, agents, and what runs at them.

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

use crate::node::Node;
use crate::setup::{
    BASE_PORT,
    advert,
    digest, //
};
use crate::verb::{
    Verb,
    VerbError, //
};
use crate::world::{
    CALL_PATIENCE,
    Event,
    Flight,
    HOP,
    Pending,
    SERVICE,
    Waiter,
    World, //
};

impl World {
    pub(crate) fn call(&mut self, verb: &Verb) -> Result<(), VerbError> {
        let Node::Entry(n) = verb.node(0)? else {
            return Err(VerbError::Argument("call".to_owned(), "1".to_owned()));
        };
        self.serial += 1;
        let ticket = Ticket(self.serial);
        let bad = |which: &str| VerbError::Argument("call".to_owned(), which.to_owned());
        let body = verb.named.get("body").cloned().unwrap_or_default();
        let once = verb.named.get("once");
        let target = format!("{}{body}", once.map_or("model", String::as_str));
        let asked = match once {
            Some(_) => RequestTarget::Path(conf::Method::Post, "/permits".to_owned()),
            None => RequestTarget::Model("crew".try_into().map_err(|_| bad("model"))?),
        };
        let key = verb.named.get("key").map(|key| digest(key));
        let arrival = Arrival {
            ticket,
            key,
            target: asked,
            class: None,
            input_tokens: Tokens(10),
            prefix_hash: None,
            request_key: once
                .map(|key| key.parse())
                .transpose()
                .map_err(|_| bad("once"))?,
            fingerprint: Fingerprint(digest(&body).0),
        };
        let label = verb
            .named
            .get("as")
            .cloned()
            .unwrap_or_else(|| "call".to_owned());
        let request = Pending {
            label,
            entry: n,
            target,
            claim: None,
        };
        self.requests.insert(ticket, request);
        if self.paused.contains_key(&Node::Entry(n)) {
            return Ok(());
        }
        self.entry(n, Input::Arrive(arrival));
        let span = verb.option("wait", 4000)?;
        self.advance(span * 1000);
        Ok(())
    }

    pub(crate) fn entry(&mut self, n: usize, input: Input) {
        let now = self.clock(Node::Entry(n)).at(self.now);
        let mut out = Outbox::default();
        self.entries[n].step(now, input, &mut out);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            if let route::Output::Decision(ticket, verdict) = output {
                self.obey(ticket, verdict);
            }
        }
    }

    pub(crate) fn obey(&mut self, ticket: Ticket, verdict: Decision) {
        let Some(request) = self.requests.get(&ticket).cloned() else {
            return;
        };
        let label = &request.label;
        match verdict {
            Decision::Attempt(plan) => self.attempt(request, *plan),
            Decision::Claim(claim) => {
                let question = Request::Command(Command::Claim {
                    key: (claim.account.clone(), claim.key.clone()),
                    fingerprint: claim.fingerprint,
                    attempt: claim.attempt,
                    now: 0,
                });
                let id = claim.id;
                if let Some(request) = self.requests.get_mut(&ticket) {
                    request.claim = Some(claim);
                }
                let first = self.serial as usize % self.hosts.len();
                self.ask(
                    Waiter::Claim(request.entry, id),
                    question,
                    first,
                    CALL_PATIENCE,
                );
            }
            Decision::Fail(kind) => {
                let run = kind.response().execution.as_str();
                self.log.push(format!("{label}: {kind} {run}"));
                let settlement = if kind.not_executed() {
                    Settlement::NotRun
                } else {
                    Settlement::Unknown
                };
                // A claim that was not granted is somebody else's.
                let foreign = matches!(
                    kind,
                    Kind::ClaimRunning | Kind::ClaimUnknown | Kind::ClaimConflict
                );
                if !foreign {
                    self.settle(&request, settlement);
                }
            }
            Decision::Replay(answer) => {
                let answer = String::from_utf8_lossy(&answer).into_owned();
                self.log.push(format!("{label}: recorded answer {answer}"));
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

    pub(crate) fn settle(&mut self, request: &Pending, settlement: Settlement) {
        let Some(claim) = &request.claim else {
            return;
        };
        let question = Request::Command(Command::Settle {
            key: (claim.account.clone(), claim.key.clone()),
            attempt: claim.attempt,
            settlement,
        });
        self.ask(Waiter::Settle, question, 0, CALL_PATIENCE);
    }

    pub(crate) fn attempt(&mut self, request: Pending, plan: AttemptSpec) {
        let agent = usize::from(plan.agent.port()) - usize::from(BASE_PORT);
        let (from, to) = (Node::Entry(request.entry), Node::Agent(agent));
        if !self.connected(from, to) {
            let ended = AttemptOutcome::Unreached;
            return self.post(HOP, Event::Back(request.entry, plan.id, ended));
        }
        self.serial += 1;
        let flight = Flight {
            entry: request.entry,
            agent,
            plan,
            target: request.target,
        };
        self.flights.insert(self.serial, flight);
        self.post(HOP, Event::Attempt(agent, self.serial));
    }

    pub(crate) fn arrive(&mut self, n: usize, id: u64) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let plan = &flight.plan;
        let arrival = admit::Arrival {
            ticket: Ticket(id),
            endpoint: plan.endpoint.clone(),
            account: plan.account.clone(),
            grant: plan.grant.clone(),
            route: plan.route.clone(),
            class: plan.class.clone(),
            remaining: plan.remaining,
            target_remaining: plan.target_remaining,
            input_tokens: plan.input_tokens,
        };
        self.agent(n, admit::Input::Arrive(arrival));
    }

    pub(crate) fn agent(&mut self, n: usize, input: admit::Input) {
        let now = self.clock(Node::Agent(n)).at(self.now);
        let mut out = Outbox::default();
        self.agents[n].step(now, input, &mut out);
        self.agent_did(n, out);
    }

    pub(crate) fn agent_did(&mut self, n: usize, mut out: Outbox<admit::Output>) {
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                admit::Output::Start(ticket, _) => {
                    if let Some(flight) = self.flights.get(&ticket.0) {
                        *self.runs.entry(flight.target.clone()).or_default() += 1;
                    }
                    if self.hold {
                        self.held.push_back((n, ticket.0));
                    } else {
                        self.post(SERVICE, Event::Served(n, ticket.0));
                    }
                }
                admit::Output::Reject(ticket, kind, load) => {
                    self.back(ticket.0, |_| AttemptOutcome::Rejected(kind, advert(load)));
                }
                _ => {}
            }
        }
        self.schedule(Node::Agent(n));
    }

    pub(crate) fn back(&mut self, id: u64, ended: impl FnOnce(&Flight) -> AttemptOutcome) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let ended = ended(&flight);
        let (from, to) = (Node::Agent(flight.agent), Node::Entry(flight.entry));
        if self.connected(from, to) {
            self.post(HOP, Event::Back(flight.entry, flight.plan.id, ended));
        } else {
            // The entry's time-out, long after.
            let lost = AttemptOutcome::Lost(Kind::EndpointTimeout);
            self.post(10_000_000, Event::Back(flight.entry, flight.plan.id, lost));
        }
    }

    pub(crate) fn served(&mut self, n: usize, id: u64) {
        self.agent(n, admit::Input::FirstToken(Ticket(id)));
        self.agent(
            n,
            admit::Input::Done(Ticket(id), Outcome::Served, Tokens(10)),
        );
        let load = self.agents[n].load();
        self.back(id, |_| AttemptOutcome::Served(advert(load)));
    }

    pub(crate) fn finish(&mut self) {
        self.hold = false;
        while let Some((n, id)) = self.held.pop_front() {
            self.post(0, Event::Served(n, id));
        }
        self.advance(100_000);
    }
}
