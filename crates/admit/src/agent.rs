//! The agent's core: checks, queues, starts and bounces requests for one endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use conf::{
    AccessError,
    Config,
    Permit,
    Update, //
};
use fault::Kind;
use ids::{
    AccountId,
    AccountName,
    ClassId,
    EndpointName,
    GrantName,
    RouteName,
    Tick,
    Ticket,
    Tier,
    Tokens, //
};
use slotmap::{
    SlotMap,
    new_key_type, //
};
use step::{
    Core,
    Outbox, //
};

use crate::message::{
    Arrival,
    EngineStatus,
    Event,
    Input,
    Load,
    Outcome,
    Output, //
};
use crate::queue::{
    QueuePolicy,
    QueuedRequest, //
};
use crate::window::Window;

/// Requests that may wait, as a multiple of the slots.
const QUEUE_FACTOR: u32 = 4;
/// Tokens an answer is taken to have until the class's answers have been seen.
const FIRST_GUESS: u64 = 128;
/// Weight of the newest value in a moving average, as a divisor.
const SMOOTHING: u32 = 8;
/// Of the slots, how many may be overdrawn by higher tiers whose start makes the engine pause
/// lower ones, as a divisor.
const OVERDRAFT_DIVISOR: u32 = 2;
/// Turns of a slot that an arrival must be able to spare, so that a reserve can be granted in
/// between without making it late.
const SPARE_TURNS: u32 = 2;

new_key_type! {
    struct RunKey;
}

#[derive(Clone, Debug)]
struct Running {
    tier: Tier,
    class: ClassId,
    account: AccountId,
    weight: u32,
    cost: Tokens,
    reserved: bool,
    began: Tick,
    first: Duration,
    gap: Duration,
}

/// A request that waits, with what must be checked again at its start.
#[derive(Clone, Debug)]
struct Claimant {
    grant: Option<GrantName>,
    account: AccountName,
    route: RouteName,
}

/// The agent of one endpoint.
#[derive(Clone, Debug)]
pub struct Agent<Q> {
    endpoint: EndpointName,
    config: Config,
    fresh: Tick,
    window: Window,
    queue: Q,
    claimants: BTreeMap<Ticket, Claimant>,
    running: SlotMap<RunKey, Running>,
    tickets: BTreeMap<Ticket, RunKey>,
    engine: Option<EngineStatus>,
    outputs: BTreeMap<(ClassId, AccountId), u64>,
    /// Usual time between two starts that a tier could have had: its own and lower ones.
    turnover: [Duration; Tier::COUNT],
    started: [Tick; Tier::COUNT],
    draining: bool,
}

impl<Q: QueuePolicy> Agent<Q> {
    /// The agent of an endpoint whose engine is taken to be cold.
    pub fn new(endpoint: EndpointName, queue: Q) -> Self {
        Self {
            endpoint,
            config: Config::default(),
            fresh: Tick::default(),
            window: Window::cold(1),
            queue,
            claimants: BTreeMap::new(),
            running: SlotMap::with_key(),
            tickets: BTreeMap::new(),
            engine: None,
            outputs: BTreeMap::new(),
            turnover: [Duration::ZERO; Tier::COUNT],
            started: [Tick::default(); Tier::COUNT],
            draining: false,
        }
    }

    /// The load now.
    pub fn load(&self) -> Load {
        let mut busy = self.queue.by_tier();
        for run in self.running.values() {
            busy[run.tier.index()] += 1;
        }
        Load {
            busy,
            limit: self.window.limit(),
        }
    }

    /// The view of the configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    fn view(&mut self, update: &Update, fresh: Tick) {
        if self.config.follow(update).is_err() {
            return;
        }
        self.fresh = self.fresh.max(fresh);
        let spec = self.config.find_endpoint(&self.endpoint);
        if let Some(endpoint) = spec.and_then(|id| self.config.endpoint(id)) {
            self.window.resize(endpoint.spec.slots);
        }
    }

    fn arrive(&mut self, now: Tick, arrival: &Arrival, out: &mut Outbox<Output>) {
        let item = match self.examine(now, arrival) {
            Ok(item) => item,
            Err(kind) => return self.bounce(arrival.ticket, kind, out),
        };
        if self.queue.ahead_of(item.tier) == 0 && self.has_slot(item.tier) {
            return self.start(now, item, false, out);
        }
        if self.wait_for(&item) > arrival.remaining {
            return self.bounce(arrival.ticket, Kind::Overloaded, out);
        }
        if !self.make_room(item.tier, out) {
            return self.bounce(arrival.ticket, Kind::Overloaded, out);
        }
        let claimant = Claimant {
            grant: arrival.grant.clone(),
            account: arrival.account.clone(),
            route: arrival.route.clone(),
        };
        self.claimants.insert(arrival.ticket, claimant);
        self.queue.push(item);
        out.push(Output::Event(Event::Queued));
        self.dispatch(now, out);
    }

    fn examine(&self, now: Tick, arrival: &Arrival) -> Result<QueuedRequest, Kind> {
        if self.draining {
            return Err(Kind::Draining);
        }
        if arrival.endpoint != self.endpoint {
            return Err(Kind::EndpointMissing);
        }
        let permit = self.permit(
            now,
            arrival.grant.as_ref(),
            &arrival.account,
            &arrival.route,
        )?;
        let class = self
            .config
            .find_class(&arrival.class)
            .unwrap_or(permit.class);
        // An entry may lower a class and never raise it.
        let class = self.config.class(class).map_or(permit.class, |wish| {
            self.config.lower_class(permit.class, &wish.spec.name)
        });
        let reserve = self
            .config
            .class(class)
            .map_or(0, |class| class.spec.reserve.into());
        let account = self.config.account(permit.account);
        let output = self
            .outputs
            .get(&(class, permit.account))
            .copied()
            .unwrap_or(FIRST_GUESS);
        Ok(QueuedRequest {
            ticket: arrival.ticket,
            tier: self.config.tier_of(class),
            class,
            account: permit.account,
            weight: account.map_or(1, |account| account.spec.weight),
            reserve,
            cost: Tokens(arrival.input_tokens.0 + output),
            since: now,
            target: now + arrival.target_remaining,
            due: now + arrival.remaining,
        })
    }

    /// Repeats the entry's decision on this agent's own view.
    fn permit(
        &self,
        now: Tick,
        grant: Option<&GrantName>,
        account: &AccountName,
        route: &RouteName,
    ) -> Result<Permit, Kind> {
        if now >= self.fresh {
            return Err(Kind::ViewStale);
        }
        let missing = Err(Kind::EndpointMissing);
        let Some(id) = self.config.find_endpoint(&self.endpoint) else {
            return missing;
        };
        if !self.config.takes_work(id) {
            return Err(Kind::ZoneClosed);
        }
        let route = self.config.find_route(route);
        let endpoint = self.config.endpoint(id);
        let Some(route) = route.filter(|r| endpoint.is_some_and(|e| e.routes.contains(r))) else {
            return missing;
        };
        self.config
            .recheck(grant, account, route)
            .map_err(|fault| match fault {
                AccessError::KeyMissing => Kind::KeyMissing,
                AccessError::KeyInvalid => Kind::KeyInvalid,
                AccessError::Forbidden => Kind::AccountForbidden,
                AccessError::RouteMissing => Kind::RouteUnknown,
            })
    }

    /// Whether a request of this tier may start now. A warm engine may be overdrawn by a tier
    /// that outranks running work: the engine honours priorities and pauses the lower one.
    fn has_slot(&self, tier: Tier) -> bool {
        let running = count(self.running.len());
        let limit = self.window.limit();
        if running < limit {
            return true;
        }
        let pausable = |run: &&Running| tier.outranks(run.tier) && !run.reserved;
        let lower = count(self.running.values().filter(pausable).count());
        let overdrawn = running - limit;
        self.window.is_warm() && overdrawn < lower.min(limit / OVERDRAFT_DIVISOR)
    }

    /// How long an arrival is likely to wait, with some turns to spare. A class with a reserve
    /// waits for its part of all starts at most.
    fn wait_for(&self, item: &QueuedRequest) -> Duration {
        let ahead = count(self.queue.ahead_of(item.tier));
        let strict = self.turnover[item.tier.index()].saturating_mul(ahead + 1 + SPARE_TURNS);
        if item.reserve == 0 {
            return strict;
        }
        let own = count(self.queue.of_class(item.class));
        let any = self.turnover[Tier::HIGHEST.index()];
        let reserved = any.saturating_mul((own + 1) * 100 / u32::from(item.reserve));
        strict.min(reserved)
    }

    /// Makes room in the queue, by sending away a lower tier if it is full.
    fn make_room(&mut self, tier: Tier, out: &mut Outbox<Output>) -> bool {
        let spec = self
            .config
            .find_endpoint(&self.endpoint)
            .and_then(|id| self.config.endpoint(id));
        let slots = spec.map_or(1, |endpoint| endpoint.spec.slots);
        if count(self.queue.len()) < slots.saturating_mul(QUEUE_FACTOR) {
            return true;
        }
        match self.queue.give_way(tier) {
            Some(item) => {
                self.claimants.remove(&item.ticket);
                self.bounce(item.ticket, Kind::Shed, out);
                true
            }
            None => false,
        }
    }

    fn dispatch(&mut self, now: Tick, out: &mut Outbox<Output>) {
        while let Some(tier) = self.next_tier() {
            if !self.has_slot(tier) {
                return;
            }
            // An overdraft is for the tier that it was granted to, never for a reserve.
            let free = count(self.running.len()) < self.window.limit();
            let turnover = if free {
                self.turnover
            } else {
                [Duration::MAX; Tier::COUNT]
            };
            let Some((item, reserved)) = self.queue.pop(now, &turnover) else {
                return;
            };
            let Some(claimant) = self.claimants.remove(&item.ticket) else {
                continue;
            };
            let Claimant {
                grant,
                account,
                route,
            } = claimant;
            match self.permit(now, grant.as_ref(), &account, &route) {
                Ok(_) => self.start(now, item, reserved, out),
                Err(kind) => self.bounce(item.ticket, kind, out),
            }
        }
    }

    /// The highest tier that waits.
    fn next_tier(&self) -> Option<Tier> {
        if self.queue.is_empty() {
            return None;
        }
        let tiers = (0..Tier::COUNT).filter_map(|n| Tier::try_from(n as u8).ok());
        tiers
            .into_iter()
            .find(|tier| self.queue.ahead_of(*tier) > 0)
    }

    fn start(&mut self, now: Tick, item: QueuedRequest, reserved: bool, out: &mut Outbox<Output>) {
        if count(self.running.len()) >= self.window.limit() {
            out.push(Output::Event(Event::Preempted));
        }
        if reserved {
            out.push(Output::Event(Event::ReserveUsed));
        }
        self.note_start(now, item.tier);
        let target = |f: fn(&conf::Class) -> Duration| {
            self.config.class(item.class).map_or(Duration::MAX, f)
        };
        let run = self.running.insert(Running {
            tier: item.tier,
            class: item.class,
            account: item.account,
            weight: item.weight,
            cost: item.cost,
            reserved,
            began: now,
            first: target(|class| class.spec.first),
            gap: target(|class| class.spec.gap),
        });
        self.tickets.insert(item.ticket, run);
        out.push(Output::Start(item.ticket, item.tier));
    }

    /// A start of one tier is a start that every higher tier could have had.
    fn note_start(&mut self, now: Tick, tier: Tier) {
        let busy = count(self.running.len()) + 1 >= self.window.limit();
        for n in 0..=tier.index() {
            let since = now.since(std::mem::replace(&mut self.started[n], now));
            // Time in which slots were free says nothing of how long a full engine takes.
            if busy {
                self.turnover[n] = (self.turnover[n] * (SMOOTHING - 1) + since) / SMOOTHING;
            }
        }
    }

    fn first(&mut self, now: Tick, ticket: Ticket, out: &mut Outbox<Output>) {
        let Some(run) = self
            .tickets
            .get(&ticket)
            .and_then(|key| self.running.get(*key))
        else {
            return;
        };
        let took = now.since(run.began);
        if took > run.first && self.is_overdrawn() {
            return;
        }
        if self.window.first_token(now, took, run.first) {
            out.push(Output::Event(Event::ColdStart));
        }
        self.dispatch(now, out);
    }

    fn gap(&mut self, now: Tick, ticket: Ticket, gap: Duration) {
        // A request that the engine has paused for a higher tier says nothing of its speed.
        if self.is_overdrawn() {
            return;
        }
        let run = self
            .tickets
            .get(&ticket)
            .and_then(|key| self.running.get(*key));
        if let Some(target) = run.map(|run| run.gap) {
            self.window.token_gap(now, gap, target);
        }
    }

    fn is_overdrawn(&self) -> bool {
        count(self.running.len()) > self.window.limit()
    }

    fn done(
        &mut self,
        now: Tick,
        ticket: Ticket,
        outcome: Outcome,
        tokens: Tokens,
        out: &mut Outbox<Output>,
    ) {
        let Some(run) = self
            .tickets
            .remove(&ticket)
            .and_then(|key| self.running.remove(key))
        else {
            return;
        };
        self.queue
            .settle(run.class, run.account, run.weight, run.cost, tokens);
        if outcome == Outcome::Served {
            let learnt = self
                .outputs
                .entry((run.class, run.account))
                .or_insert(tokens.0);
            *learnt = (*learnt * u64::from(SMOOTHING - 1) + tokens.0) / u64::from(SMOOTHING);
        }
        self.dispatch(now, out);
        out.push(Output::Ended(ticket, self.load()));
        if self.draining && self.running.is_empty() {
            out.push(Output::Drained);
        }
    }

    fn engine(&mut self, engine: EngineStatus, out: &mut Outbox<Output>) {
        let before = self.engine.replace(engine);
        if before.is_some_and(|before| before != engine) {
            self.window.cool();
            out.push(Output::Event(Event::ColdStart));
        }
    }

    fn drain(&mut self, out: &mut Outbox<Output>) {
        self.draining = true;
        for item in self.queue.clear() {
            self.claimants.remove(&item.ticket);
            self.bounce(item.ticket, Kind::Draining, out);
        }
        if self.running.is_empty() {
            out.push(Output::Drained);
        }
    }

    fn bounce(&self, ticket: Ticket, kind: Kind, out: &mut Outbox<Output>) {
        out.push(Output::Reject(ticket, kind, self.load()));
    }
}

impl<Q: QueuePolicy> Core for Agent<Q> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::View(update, fresh) => {
                self.view(&update, fresh);
                out.push(Output::ViewApplied(self.config.revision()));
                self.dispatch(now, out);
            }
            Input::Arrive(arrival) => self.arrive(now, &arrival, out),
            Input::FirstToken(ticket) => self.first(now, ticket, out),
            Input::TokenGap(ticket, gap) => {
                self.gap(now, ticket, gap);
            }
            Input::Done(ticket, outcome, tokens) => self.done(now, ticket, outcome, tokens, out),
            Input::Cancelled(ticket) => {
                self.claimants.remove(&ticket);
                self.queue.remove(ticket);
            }
            Input::EngineStatus(engine) => self.engine(engine, out),
            Input::Drain => self.drain(out),
        }
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        for item in self.queue.expire(now) {
            self.claimants.remove(&item.ticket);
            self.bounce(item.ticket, Kind::DeadlinePassed, out);
        }
        self.dispatch(now, out);
    }

    fn deadline(&self) -> Option<Tick> {
        self.queue.next_due()
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
