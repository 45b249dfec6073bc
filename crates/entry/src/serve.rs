//! Carries one request from its arrival to its answer, on a traffic thread.

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

use crate::answer;
use crate::api::{
    Ask,
    Wanted, //
};
use crate::attempt::{
    Attempter,
    Caller, //
};
use crate::claim::{
    self,
    Recorded, //
};
use crate::control::{
    Attachment,
    EntryInbox, //
};
use crate::credential;
use crate::settle::Due;

/// Verdicts that may wait for a traffic thread; the core sends one and waits for the next input.
const VERDICTS_WAITING: usize = 2;

/// What traffic threads share.
pub(crate) struct Service {
    pub(crate) inbox: EntryInbox,
    pub(crate) control: ControlClient,
    pub(crate) digests: DigestKey,
    pub(crate) attempter: Attempter,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
    pub(crate) tickets: Arc<AtomicU64>,
    pub(crate) settler: Sender<Due>,
}

impl Service {
    /// Answers one exchange.
    pub(crate) fn serve(&self, exchange: Exchange) {
        self.counters.count(Counter::Received);
        let wanted = Wanted::try_from(&exchange);
        let key = credential::find(&exchange.head).map(|key| key.map(|k| self.digests.digest(&k)));
        match (key, wanted) {
            (_, Ok(Wanted::Ready)) => self.ready(exchange),
            (Err(kind), _) | (_, Err(kind)) => self.refuse(exchange, kind),
            (Ok(key), Ok(Wanted::Models)) => self.models(exchange, key),
            (Ok(key), Ok(Wanted::Request(ask))) => self.request(exchange, key, *ask),
        }
    }

    /// Refuses an exchange before it got to the core.
    pub(crate) fn refuse(&self, exchange: Exchange, kind: Kind) {
        self.note_refusal(kind);
        answer::refuse(exchange, kind);
    }

    fn note_refusal(&self, kind: Kind) {
        self.counters.refuse(kind);
        event!(self.log, RequestRefused, "kind" => kind.response().code);
    }

    fn ticket(&self) -> Ticket {
        Ticket(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    fn ask(&self, input: impl FnOnce(Ticket) -> Input) -> Option<Receiver<Decision>> {
        let (tx, rx) = bounded(VERDICTS_WAITING);
        let ticket = self.ticket();
        self.inbox
            .call(Attachment::Request(ticket, tx), input(ticket))
            .ok()?;
        Some(rx)
    }

    fn ready(&self, exchange: Exchange) {
        match self
            .ask(Input::Ready)
            .and_then(|verdicts| verdicts.recv().ok())
        {
            Some(Decision::Done) => answer::json(exchange, 200, &json!({"ready": true})),
            Some(Decision::Fail(kind)) => answer::refuse(exchange, kind),
            _ => answer::refuse(exchange, Kind::Draining),
        }
    }

    fn models(&self, exchange: Exchange, key: Option<Digest>) {
        let verdicts = self.ask(|ticket| Input::Models(ticket, key));
        match verdicts.and_then(|verdicts| verdicts.recv().ok()) {
            Some(Decision::Models(models)) => {
                let row = |m: &ids::ModelName| json!({"id": m, "object": "model", "created": 0, "owned_by": "bergamothinge"});
                let rows: Vec<_> = models.iter().map(row).collect();
                answer::json(exchange, 200, &json!({"object": "list", "data": rows}));
            }
            Some(Decision::Fail(kind)) => self.refuse(exchange, kind),
            _ => self.refuse(exchange, Kind::Draining),
        }
    }

    fn request(&self, exchange: Exchange, key: Option<Digest>, ask: Ask) {
        let arrival = |ticket| {
            Input::Arrive(Arrival {
                ticket,
                key,
                target: ask.asked.clone(),
                class: ask.class.clone(),
                input_tokens: ask.input,
                prefix_hash: ask.prefix,
                request_key: ask.request.clone(),
                fingerprint: ask.fingerprint,
            })
        };
        let Some(verdicts) = self.ask(arrival) else {
            return self.refuse(exchange, Kind::Draining);
        };
        let mut carried = Carried {
            service: self,
            ask: &ask,
            caller: Caller::Waiting(exchange),
            claim: None,
            whole: None,
        };
        for verdict in verdicts {
            if carried.obey(verdict) {
                return;
            }
        }
        // The core ended under the request.
        carried.refuse(Kind::Internal);
    }
}

/// A request under way.
struct Carried<'a> {
    service: &'a Service,
    ask: &'a Ask,
    caller: Caller,
    claim: Option<Claim>,
    whole: Option<Recorded>,
}

impl Carried<'_> {
    /// Does what the core decided. Returns whether the request is finished.
    fn obey(&mut self, verdict: Decision) -> bool {
        match verdict {
            Decision::Claim(claim) => self.make_claim(claim),
            Decision::Attempt(plan) => self.attempt(&plan),
            Decision::Fail(kind) => {
                self.refuse(kind);
                return true;
            }
            Decision::Replay(bytes) => {
                self.replay(&bytes);
                return true;
            }
            Decision::Done => {
                self.close();
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
            // The claim may yet be committed, although the request will not run.
            ClaimResult::Rejected(Kind::ControlUnavailable) => self.claim = Some(claim),
            ClaimResult::Rejected(_) | ClaimResult::Completed(_) => {}
        }
        let _ = self.service.inbox.send(Input::Claimed(id, result));
    }

    fn attempt(&mut self, plan: &AttemptSpec) {
        let inbox = &self.service.inbox;
        let first = || {
            let _ = inbox.send(Input::FirstByte(plan.id));
        };
        let attempter = &self.service.attempter;
        let done = attempter.run(
            plan,
            &self.ask.call,
            self.ask.stream,
            &mut self.caller,
            first,
        );
        if !matches!(
            done.ended,
            AttemptOutcome::Served(_) | AttemptOutcome::Cancelled | AttemptOutcome::Rejected(..)
        ) {
            event!(self.service.log, AttemptFailed,
                "endpoint" => plan.endpoint.to_string(), "ended" => format!("{:?}", done.ended));
        }
        self.whole = done.whole;
        let _ = inbox.send(Input::Ended(plan.id, done.ended));
    }

    fn refuse(&mut self, kind: Kind) {
        self.settle(if kind.not_executed() {
            Settlement::NotRun
        } else {
            Settlement::Unknown
        });
        self.service.note_refusal(kind);
        match std::mem::replace(&mut self.caller, Caller::Gone) {
            Caller::Waiting(exchange) => answer::refuse(exchange, kind),
            Caller::Streaming(mut stream) => {
                let counter = if kind == Kind::CallerGone {
                    Counter::CallerGone
                } else {
                    Counter::StreamAborted
                };
                self.service.counters.count(counter);
                event!(self.service.log, StreamBroken, "kind" => kind.response().code);
                let _ = stream.write(answer::error_event(kind));
            }
            Caller::Gone => {}
        }
    }

    fn replay(&mut self, bytes: &[u8]) {
        let Ok(recorded) = wire::decode::<Recorded>(bytes) else {
            return self.refuse(Kind::ClaimUnknown);
        };
        self.service.counters.count(Counter::Replayed);
        self.reply(recorded);
    }

    fn close(&mut self) {
        self.service.counters.count(Counter::Answered);
        let Some(whole) = self.whole.take() else {
            if let Caller::Streaming(stream) = std::mem::replace(&mut self.caller, Caller::Gone) {
                let _ = stream.close();
            }
            return;
        };
        // Recorded before it is given, so that a resend never finds the request unanswered.
        if self.claim.is_some() {
            let answer = wire::encode(&whole).map_or(Settlement::Unknown, Settlement::Answered);
            self.settle(answer);
        }
        self.reply(whole);
    }

    fn reply(&mut self, recorded: Recorded) {
        if let Caller::Waiting(exchange) = std::mem::replace(&mut self.caller, Caller::Gone) {
            let headers = answer::pass_back(&recorded.headers);
            exchange.reply(recorded.status, headers, recorded.body);
        }
    }

    fn settle(&mut self, settlement: Settlement) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        // What ran is recorded before the caller is told; the rest can wait.
        let ran = matches!(settlement, Settlement::Answered(_));
        let taken = ran && claim::settle(&self.service.control, &claim, settlement.clone()).is_ok();
        if !taken {
            let _ = self.service.settler.send(Due::new(claim, settlement));
        }
    }
}
