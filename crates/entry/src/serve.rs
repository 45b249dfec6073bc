//! Serves one request, from its arrival to its response, on a traffic thread.

use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use crossbeam::channel::{
    Receiver,
    Sender,
    bounded, //
};
use edge::Exchange;
use fault::Kind;
use ids::{
    Digest,
    DigestKey,
    Ticket, //
};
use ledger::Settlement;
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use peer::ControlClient;
use route::{
    Arrival,
    AttemptOutcome,
    AttemptSpec,
    Claim,
    ClaimResult,
    Decision,
    Input, //
};
use serde_json::json;

use crate::api::{
    ClientRequest,
    ProxyRequest, //
};
use crate::attempt::{
    AttemptRunner,
    Caller, //
};
use crate::claim::{
    self,
    RecordedResponse, //
};
use crate::control::{
    Attachment,
    EntryInbox, //
};
use crate::credential;
use crate::response;
use crate::settle::PendingSettlement;

/// Capacity of the channel that carries a request's decisions to its traffic thread. After
/// a decision, the core sends no other before the next input for the request.
const DECISION_CHANNEL_CAPACITY: usize = 2;

/// The state shared by the traffic threads.
pub(crate) struct Service {
    pub(crate) inbox: EntryInbox,
    pub(crate) control: ControlClient,
    pub(crate) digests: DigestKey,
    pub(crate) attempts: AttemptRunner,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
    pub(crate) next_ticket: Arc<AtomicU64>,
    /// Settlements to be retried in the background.
    pub(crate) settlements: Sender<PendingSettlement>,
}

impl Service {
    /// Serves one exchange.
    pub(crate) fn serve(&self, exchange: Exchange) {
        self.counters.count(Counter::Received);
        let parsed = ClientRequest::try_from(&exchange);
        let key = credential::find(&exchange.head).map(|key| key.map(|k| self.digests.digest(&k)));
        match (key, parsed) {
            (_, Ok(ClientRequest::Ready)) => self.check_readiness(exchange),
            (Err(kind), _) | (_, Err(kind)) => self.reject(exchange, kind),
            (Ok(key), Ok(ClientRequest::ListModels)) => self.list_models(exchange, key),
            (Ok(key), Ok(ClientRequest::Proxy(request))) => self.proxy(exchange, key, *request),
        }
    }

    /// Rejects an exchange that has not been submitted to the core.
    pub(crate) fn reject(&self, exchange: Exchange, kind: Kind) {
        self.record_rejection(kind);
        response::send_error(exchange, kind);
    }

    fn record_rejection(&self, kind: Kind) {
        self.counters.count_error(kind);
        event!(self.log, RequestFailed, "kind" => kind.response().code);
    }

    fn ticket(&self) -> Ticket {
        Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends the core an input with a new ticket. Returns the channel for the decisions on it, or
    /// `None` if the core has ended.
    fn submit(&self, input: impl FnOnce(Ticket) -> Input) -> Option<Receiver<Decision>> {
        let (tx, rx) = bounded(DECISION_CHANNEL_CAPACITY);
        let ticket = self.ticket();
        self.inbox
            .call(Attachment::Request(ticket, tx), input(ticket))
            .ok()?;
        Some(rx)
    }

    fn check_readiness(&self, exchange: Exchange) {
        match self
            .submit(Input::Ready)
            .and_then(|decisions| decisions.recv().ok())
        {
            Some(Decision::Done) => response::send_json(exchange, 200, &json!({"ready": true})),
            Some(Decision::Fail(kind)) => response::send_error(exchange, kind),
            _ => response::send_error(exchange, Kind::Draining),
        }
    }

    fn list_models(&self, exchange: Exchange, key: Option<Digest>) {
        let decisions = self.submit(|ticket| Input::Models(ticket, key));
        match decisions.and_then(|decisions| decisions.recv().ok()) {
            Some(Decision::Models(models)) => {
                let row = |m: &ids::ModelName| json!({"id": m, "object": "model", "created": 0, "owned_by": "bergamothinge"});
                let rows: Vec<_> = models.iter().map(row).collect();
                response::send_json(exchange, 200, &json!({"object": "list", "data": rows}));
            }
            Some(Decision::Fail(kind)) => self.reject(exchange, kind),
            _ => self.reject(exchange, Kind::Draining),
        }
    }

    fn proxy(&self, exchange: Exchange, key: Option<Digest>, request: ProxyRequest) {
        let arrival = |ticket| {
            Input::Arrive(Arrival {
                ticket,
                key,
                target: request.target.clone(),
                class: request.class.clone(),
                input_tokens: request.input_tokens,
                prefix_hash: request.prefix_hash,
                request_key: request.request_key.clone(),
                fingerprint: request.fingerprint,
            })
        };
        let Some(decisions) = self.submit(arrival) else {
            return self.reject(exchange, Kind::Draining);
        };
        let mut in_flight = InFlight {
            service: self,
            request: &request,
            caller: Caller::Waiting(exchange),
            claim: None,
            response: None,
        };
        for decision in decisions {
            if in_flight.carry_out(decision) {
                return;
            }
        }
        // The channel closed without a final decision, since the core has ended.
        in_flight.fail(Kind::Internal);
    }
}

/// A request that was submitted to the core and has no final decision yet.
struct InFlight<'a> {
    service: &'a Service,
    request: &'a ProxyRequest,
    caller: Caller,
    /// The claim to be settled, if one is held or may still be committed.
    claim: Option<Claim>,
    /// The buffered response of the last attempt, unless the attempt failed or streamed it.
    response: Option<RecordedResponse>,
}

impl InFlight<'_> {
    /// Carries out a decision of the core. Returns whether it was the final one.
    fn carry_out(&mut self, decision: Decision) -> bool {
        match decision {
            Decision::Claim(claim) => self.make_claim(claim),
            Decision::Attempt(spec) => self.attempt(&spec),
            Decision::Fail(kind) => {
                self.fail(kind);
                return true;
            }
            Decision::Replay(bytes) => {
                self.replay(&bytes);
                return true;
            }
            Decision::Done => {
                self.complete();
                return true;
            }
            Decision::Models(_) => {}
        }
        false
    }

    fn make_claim(&mut self, claim: Claim) {
        let result = claim::claim(&self.service.control, &claim);
        let id = claim.id;
        match &result {
            ClaimResult::Granted => {
                self.service.counters.count(Counter::Claimed);
                self.claim = Some(claim);
            }
            // The claim may still be committed, although the request will not be executed. It is kept
            // so that it is released.
            ClaimResult::Rejected(Kind::ControlUnavailable) => self.claim = Some(claim),
            ClaimResult::Rejected(_) | ClaimResult::Completed(_) => {}
        }
        let _ = self.service.inbox.send(Input::Claimed(id, result));
    }

    fn attempt(&mut self, spec: &AttemptSpec) {
        let inbox = &self.service.inbox;
        let on_first_byte = || {
            let _ = inbox.send(Input::FirstByte(spec.id));
        };
        let attempts = &self.service.attempts;
        let result = attempts.run(
            spec,
            &self.request.endpoint_request,
            self.request.stream,
            &mut self.caller,
            on_first_byte,
        );
        if !matches!(
            result.outcome,
            AttemptOutcome::Served(_) | AttemptOutcome::Cancelled | AttemptOutcome::Rejected(..)
        ) {
            event!(self.service.log, AttemptFailed,
                "endpoint" => spec.endpoint.to_string(), "ended" => format!("{:?}", result.outcome));
        }
        self.response = result.response;
        let _ = inbox.send(Input::Ended(spec.id, result.outcome));
    }

    /// Settles the claim, and responds with an error or ends the stream with one.
    fn fail(&mut self, kind: Kind) {
        self.settle(if kind.not_executed() {
            Settlement::NotRun
        } else {
            Settlement::Unknown
        });
        self.service.record_rejection(kind);
        match std::mem::replace(&mut self.caller, Caller::Disconnected) {
            Caller::Waiting(exchange) => response::send_error(exchange, kind),
            Caller::Streaming(mut stream) => {
                let counter = if kind == Kind::CallerGone {
                    Counter::CallerDisconnected
                } else {
                    Counter::StreamAborted
                };
                self.service.counters.count(counter);
                event!(self.service.log, StreamAborted, "kind" => kind.response().code);
                let _ = stream.write(response::error_event(kind));
            }
            Caller::Disconnected => {}
        }
    }

    fn replay(&mut self, bytes: &[u8]) {
        let Ok(recorded) = wire::decode::<RecordedResponse>(bytes) else {
            return self.fail(Kind::ClaimUnknown);
        };
        self.service.counters.count(Counter::Replayed);
        self.send_response(recorded);
    }

    /// Ends a streamed response, or settles the claim and sends the buffered response.
    fn complete(&mut self) {
        self.service.counters.count(Counter::Answered);
        let Some(response) = self.response.take() else {
            if let Caller::Streaming(stream) =
                std::mem::replace(&mut self.caller, Caller::Disconnected)
            {
                let _ = stream.close();
            }
            return;
        };
        // The response is recorded before it is sent, so that a caller that received it and resends
        // the request never finds the claim still running.
        if self.claim.is_some() {
            let settlement =
                wire::encode(&response).map_or(Settlement::Unknown, Settlement::Answered);
            self.settle(settlement);
        }
        self.send_response(response);
    }

    fn send_response(&mut self, recorded: RecordedResponse) {
        if let Caller::Waiting(exchange) = std::mem::replace(&mut self.caller, Caller::Disconnected)
        {
            let headers = response::forwarded_headers(&recorded.headers);
            exchange.reply(recorded.status, headers, recorded.body);
        }
    }

    /// Records the result of the request's execution with its claim, if it has one.
    fn settle(&mut self, settlement: Settlement) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        // A response is recorded before it is sent to the caller. Other settlements, and a response
        // that could not be recorded in time, are left to the background thread.
        let has_response = matches!(settlement, Settlement::Answered(_));
        let settled = has_response
            && claim::settle(&self.service.control, &claim, settlement.clone()).is_ok();
        if !settled {
            let _ = self
                .service
                .settlements
                .send(PendingSettlement::new(claim, settlement));
        }
    }
}
