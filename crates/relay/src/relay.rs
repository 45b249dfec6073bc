//! The core itself: requests in, attempts out.

use std::collections::{
    BTreeSet,
    HashMap, //
};
use std::sync::Arc;
use std::time::Duration;

use fault::Kind;
use ids::{
    RequestId,
    Tick, //
};
use plan::Plan;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use slotmap::SlotMap;
use step::{
    Core,
    Outbox, //
};

use crate::budget::Budget;
use crate::choice::Choice;
use crate::fleet::Fleet;
use crate::gate::Gate;
use crate::hold::Hold;
use crate::message::{
    Input,
    Listing,
    Output,
    Seed,
    Trace,
    View, //
};
use crate::request::Request;
use crate::tally::Tally;

/// Why a request is refused, and when to come back.
pub(crate) type Refusal = (Kind, Duration);

/// When to come back after a refusal for want of an endpoint.
pub(crate) const COME_BACK: Duration = Duration::from_millis(250);
/// When to come back after a refusal for want of a view: a group that was stopped as a whole
/// serves again within this time.
pub(crate) const STALE: Refusal = (Kind::ViewStale, Duration::from_secs(1));
/// Fronts assumed before the control group says how many there are.
const ASSUMED_FRONTS: usize = 12;

/// One front's requests.
pub struct Relay<C> {
    pub(crate) seed: Seed,
    pub(crate) choice: C,
    pub(crate) rng: Pcg32,
    pub(crate) plan: Option<Arc<Plan>>,
    pub(crate) edition: u64,
    pub(crate) closed: BTreeSet<String>,
    pub(crate) fresh: Tick,
    pub(crate) stale: bool,
    pub(crate) seen: Tick,
    pub(crate) fronts: usize,
    pub(crate) fleet: Fleet,
    pub(crate) requests: SlotMap<RequestId, Request>,
    pub(crate) budgets: HashMap<String, Budget>,
    pub(crate) tally: Tally,
    pub(crate) hold: Hold,
    pub(crate) gate: Gate,
    pub(crate) draining: bool,
}
impl<C: Choice> Relay<C> {
    /// A front that knows no plan yet.
    pub fn new(seed: Seed, choice: C) -> Self {
        Self {
            choice,
            rng: Pcg32::seed_from_u64(seed.random),
            plan: None,
            edition: 0,
            closed: BTreeSet::new(),
            fresh: Tick::default(),
            stale: true,
            seen: Tick::default(),
            fronts: ASSUMED_FRONTS,
            fleet: Fleet::default(),
            requests: SlotMap::with_key(),
            budgets: HashMap::new(),
            tally: Tally::new(seed.window),
            hold: Hold::default(),
            gate: Gate::default(),
            draining: false,
            seed,
        }
    }

    /// The edition followed.
    pub fn edition(&self) -> u64 {
        self.edition
    }

    fn serves(&self, now: Tick) -> bool {
        !self.draining && self.follows(now)
    }

    fn view(&mut self, now: Tick, view: View, out: &mut Outbox<Output>) {
        if view.edition < self.edition {
            return;
        }
        self.tally.set_wall(view.wall);
        self.fronts = view.fronts.max(1);
        if let Some((plan, closed)) = view.content.filter(|_| view.edition > self.edition) {
            self.edition = view.edition;
            self.plan = plan;
            self.close_zones(now, closed);
            out.push(Output::Trace(Trace::Advanced(self.edition)));
        }
        if view.edition == self.edition {
            self.fresh = self.fresh.max(view.fresh);
            self.seen = self.seen.max(view.at);
        }
        if std::mem::replace(&mut self.stale, now >= self.fresh) && !self.stale {
            out.push(Output::Trace(Trace::Fresh(true)));
        }
        if self.follows(now) {
            for held in self.hold.end() {
                let (ticket, ask) = held.resumed(now);
                self.arrive(now, ticket, ask, out);
            }
        }
    }

    /// Whether there is a plan, by a view that has not run out.
    pub(crate) fn follows(&self, now: Tick) -> bool {
        self.plan.is_some() && now < self.fresh
    }

    /// Endpoints of a zone that opens again may have turned cold meanwhile.
    fn close_zones(&mut self, now: Tick, closed: Vec<String>) {
        let closed: BTreeSet<_> = closed.into_iter().collect();
        let Some(plan) = &self.plan else {
            return;
        };
        let span = |name: &str| {
            let service = plan.services().find(|service| service.name == name);
            let cold = service.and_then(|service| service.cold_start);
            cold.map_or(Duration::ZERO, |cold| cold.duration)
        };
        for zone in self.closed.difference(&closed) {
            self.fleet.cool(now, zone, span);
        }
        self.closed = closed;
    }

    fn relist(&mut self, now: Tick, list: Vec<Listing>, out: &mut Outbox<Output>) {
        if self.fleet.relist(now, list, &mut self.rng) {
            let (all, leaving) = self.fleet.counts();
            out.push(Output::Trace(Trace::Relisted(all, leaving)));
        }
    }
}

impl<C: Choice> Core for Relay<C> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::View(view) => self.view(now, *view, out),
            Input::Listed(list) => self.relist(now, list, out),
            Input::Arrive(ticket, ask) => self.receive(now, ticket, ask, out),
            Input::Began(id, load) => self.began(now, id, load),
            Input::Failed(ticket, id, failure) => self.failed(now, ticket, id, failure, out),
            Input::Done(id) => {
                let at = self.requests.get(id).and_then(|request| request.at);
                if let Some(endpoint) = at.and_then(|at| self.fleet.get_mut(at)) {
                    endpoint.health.succeeded(now);
                }
                self.end(id);
            }
            Input::Gone(id) => self.end(id),
            Input::Usage(ticket, sealed) => {
                let windows = self.tally.unsealed(now, sealed);
                out.push(Output::Usage(ticket, windows));
            }
            Input::Ready(ticket) => out.push(Output::Ready(ticket, self.serves(now))),
            Input::Drain => self.draining = true,
        }
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if !self.stale && now >= self.fresh {
            self.stale = true;
            self.hold.begin(now);
            out.push(Output::Trace(Trace::Fresh(false)));
        }
        for (ticket, name) in self.hold.expire(now) {
            self.turn_away(now, ticket, &name, STALE, out);
        }
        self.release_waiting(now, out);
    }

    fn deadline(&self) -> Option<Tick> {
        let fresh = (!self.stale).then_some(self.fresh);
        [fresh, self.hold.deadline(), self.gate.deadline()]
            .into_iter()
            .flatten()
            .min()
    }
}
