//! The decision core of the agent: authorizes, queues, starts and rejects requests at one endpoint.

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
    Rate,
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
use crate::rate_limit::RateLimit;
use crate::window::Window;

/// Maximum number of queued requests, as a multiple of the endpoint's slots.
const QUEUE_SLOTS_FACTOR: u32 = 4;
/// Tokens added to the input tokens of a request in the estimate of its cost, until a request of
/// its account and class has completed.
const DEFAULT_OUTPUT_TOKENS: u64 = 128;
/// Divisor that gives the weight of the newest value in a moving average.
const SMOOTHING_DIVISOR: u32 = 8;
/// Divisor of the concurrency limit that gives the number of requests that higher tiers may start
/// above the limit, so that the engine preempts requests of lower tiers.
const PREEMPTION_DIVISOR: u32 = 2;
/// Number of additional starts included in an arrival's expected wait, so that the arrival is not
/// late if other requests start from reserves ahead of it.
const RESERVE_MARGIN_STARTS: u32 = 2;

/// Shortest wait for the engine's own limit on its rate, above the resolution of the clock.
const MIN_LIMIT_WAIT: Duration = Duration::from_millis(1);

new_key_type! {
    struct RunningKey;
}

/// A request that runs at the engine.
#[derive(Clone, Debug)]
struct Running {
    tier: Tier,
    class: ClassId,
    account: AccountId,
    weight: u32,
    cost: Tokens,
    /// Whether the request started from its class's reserve. Such a request does not count as
    /// preemptible.
    reserved: bool,
    started_at: Tick,
    first_target: Duration,
    gap_target: Duration,
}

/// The names with which a queued request is authorized again when it starts.
#[derive(Clone, Debug)]
struct Credentials {
    grant: Option<GrantName>,
    account: AccountName,
    route: RouteName,
}

/// The admission controller of one endpoint. Generic over the queueing policy `Q`.
#[derive(Clone, Debug)]
pub struct Agent<Q> {
    endpoint: EndpointName,
    config: Config,
    /// When the configuration becomes too old to start requests.
    valid_until: Tick,
    window: Window,
    queue: Q,
    credentials: BTreeMap<Ticket, Credentials>,
    running: SlotMap<RunningKey, Running>,
    /// The running requests by ticket.
    tickets: BTreeMap<Ticket, RunningKey>,
    engine: Option<EngineStatus>,
    /// The limit that the engine states on its rate of requests.
    limit: Option<RateLimit>,
    /// When a queued request may start that only this limit delays.
    limited_until: Option<Tick>,
    /// Moving average of the tokens that the completed requests of an account in a class used. The
    /// average is added to the input tokens of a request in the estimate of its cost.
    estimates: BTreeMap<(ClassId, AccountId), u64>,
    /// Average time between two starts whose slots were available to a tier: starts of this tier or
    /// a lower one.
    turnover: [Duration; Tier::COUNT],
    /// Time of the last such start, by tier.
    last_start: [Tick; Tier::COUNT],
    draining: bool,
}

impl<Q: QueuePolicy> Agent<Q> {
    /// Creates the agent of an endpoint. The engine's caches are assumed to be cold.
    pub fn new(endpoint: EndpointName, queue: Q) -> Self {
        Self {
            endpoint,
            config: Config::default(),
            valid_until: Tick::default(),
            window: Window::cold(1),
            queue,
            credentials: BTreeMap::new(),
            running: SlotMap::with_key(),
            tickets: BTreeMap::new(),
            engine: None,
            limit: None,
            limited_until: None,
            estimates: BTreeMap::new(),
            turnover: [Duration::ZERO; Tier::COUNT],
            last_start: [Tick::default(); Tier::COUNT],
            draining: false,
        }
    }

    /// The current load.
    pub fn load(&self) -> Load {
        let mut busy = self.queue.tier_counts();
        for request in self.running.values() {
            busy[request.tier.index()] += 1;
        }
        Load {
            busy,
            limit: self.window.limit(),
        }
    }

    /// The configuration as of the last update from the control group.
    pub fn config(&self) -> &Config {
        &self.config
    }

    fn apply_view(&mut self, update: &Update, valid_until: Tick) {
        if self.config.apply_update(update).is_err() {
            return;
        }
        self.valid_until = self.valid_until.max(valid_until);
        let id = self.config.find_endpoint(&self.endpoint);
        if let Some(endpoint) = id.and_then(|id| self.config.endpoint(id)) {
            self.window.resize(endpoint.spec.slots);
        }
    }

    fn arrive(&mut self, now: Tick, arrival: &Arrival, out: &mut Outbox<Output>) {
        let item = match self.resolve(now, arrival) {
            Ok(item) => item,
            Err(kind) => return self.reject(arrival.ticket, kind, out),
        };
        if self.queue.ahead_of(item.tier) == 0 && self.can_start(now, item.tier) {
            return self.start(now, item, false, out);
        }
        if self.expected_wait(now, &item) > arrival.remaining {
            return self.reject(arrival.ticket, Kind::Overloaded, out);
        }
        if !self.make_room(item.tier, out) {
            return self.reject(arrival.ticket, Kind::Overloaded, out);
        }
        let credentials = Credentials {
            grant: arrival.grant.clone(),
            account: arrival.account.clone(),
            route: arrival.route.clone(),
        };
        self.credentials.insert(arrival.ticket, credentials);
        self.queue.push(item);
        out.push(Output::Event(Event::Queued));
        self.dispatch(now, out);
    }

    /// Authorizes an arrival and resolves its class, weight, reserve and cost.
    fn resolve(&self, now: Tick, arrival: &Arrival) -> Result<QueuedRequest, Kind> {
        if self.draining {
            return Err(Kind::Draining);
        }
        if arrival.endpoint != self.endpoint {
            return Err(Kind::EndpointMissing);
        }
        let permit = self.authorize(
            now,
            arrival.grant.as_ref(),
            &arrival.account,
            &arrival.route,
        )?;
        let class = self
            .config
            .find_class(&arrival.class)
            .unwrap_or(permit.class);
        // The entry's class may be lower than the permitted one, but not higher.
        let class = self.config.class(class).map_or(permit.class, |requested| {
            self.config.lower_class(permit.class, &requested.spec.name)
        });
        let reserve = self
            .config
            .class(class)
            .map_or(0, |class| class.spec.reserve.into());
        let account = self.config.account(permit.account);
        let output = self
            .estimates
            .get(&(class, permit.account))
            .copied()
            .unwrap_or(DEFAULT_OUTPUT_TOKENS);
        Ok(QueuedRequest {
            ticket: arrival.ticket,
            tier: self.config.tier_of(class),
            class,
            account: permit.account,
            weight: account.map_or(1, |account| account.spec.weight),
            reserve,
            cost: Tokens(arrival.input_tokens.0 + output),
            queued_at: now,
            target: now + arrival.target_remaining,
            deadline: now + arrival.remaining,
        })
    }

    /// Repeats the entry's authorization with the agent's own configuration view.
    fn authorize(
        &self,
        now: Tick,
        grant: Option<&GrantName>,
        account: &AccountName,
        route: &RouteName,
    ) -> Result<Permit, Kind> {
        if now >= self.valid_until {
            return Err(Kind::ViewStale);
        }
        let missing = Err(Kind::EndpointMissing);
        let Some(id) = self.config.find_endpoint(&self.endpoint) else {
            return missing;
        };
        if !self.config.accepts_requests(id) {
            return Err(Kind::ZoneClosed);
        }
        let route = self.config.find_route(route);
        let endpoint = self.config.endpoint(id);
        let Some(route) = route.filter(|r| endpoint.is_some_and(|e| e.routes.contains(r))) else {
            return missing;
        };
        self.config
            .reauthorize(grant, account, route)
            .map_err(|error| match error {
                AccessError::KeyMissing => Kind::KeyMissing,
                AccessError::KeyInvalid => Kind::KeyInvalid,
                AccessError::Forbidden => Kind::AccountForbidden,
                AccessError::RouteMissing => Kind::RouteUnknown,
            })
    }

    /// Whether a request of this tier may start now.
    fn can_start(&self, now: Tick, tier: Tier) -> bool {
        self.has_slot(tier) && self.limit.is_none_or(|limit| limit.can_start(now))
    }

    /// Whether the concurrency limit allows a request of this tier to start. At a warm engine a tier may exceed the
    /// concurrency limit while requests of lower tiers run, as the engine schedules by priority
    /// and preempts the lower tiers.
    fn has_slot(&self, tier: Tier) -> bool {
        let running = count(self.running.len());
        let limit = self.window.limit();
        if running < limit {
            return true;
        }
        let preemptible = |request: &&Running| tier.outranks(request.tier) && !request.reserved;
        let lower = count(self.running.values().filter(preemptible).count());
        let excess = running - limit;
        self.window.is_warm() && excess < lower.min(limit / PREEMPTION_DIVISOR)
    }

    /// The expected queueing time of an arrival, with a margin for starts from reserves. For a
    /// class with a reserve, the time is at most the queueing time at the class's share of all
    /// starts. The engine's own limit holds for all classes.
    fn expected_wait(&self, now: Tick, item: &QueuedRequest) -> Duration {
        let ahead = count(self.queue.ahead_of(item.tier));
        let limited = self
            .limit
            .map_or(Duration::ZERO, |limit| limit.wait(now, ahead));
        self.expected_turnover(item, ahead).max(limited)
    }

    /// The expected queueing time behind the requests ahead, by the time between starts.
    fn expected_turnover(&self, item: &QueuedRequest, ahead: u32) -> Duration {
        let strict =
            self.turnover[item.tier.index()].saturating_mul(ahead + 1 + RESERVE_MARGIN_STARTS);
        if item.reserve == 0 {
            return strict;
        }
        let own = count(self.queue.class_len(item.class));
        let any_tier = self.turnover[Tier::HIGHEST.index()];
        let reserved = any_tier.saturating_mul((own + 1) * 100 / u32::from(item.reserve));
        strict.min(reserved)
    }

    /// Makes room for an arrival, by shedding a request of a lower tier if the queue is full.
    /// Returns whether there is room.
    fn make_room(&mut self, tier: Tier, out: &mut Outbox<Output>) -> bool {
        let spec = self
            .config
            .find_endpoint(&self.endpoint)
            .and_then(|id| self.config.endpoint(id));
        let slots = spec.map_or(1, |endpoint| endpoint.spec.slots);
        if count(self.queue.len()) < slots.saturating_mul(QUEUE_SLOTS_FACTOR) {
            return true;
        }
        match self.queue.shed(tier) {
            Some(item) => {
                self.credentials.remove(&item.ticket);
                self.reject(item.ticket, Kind::Shed, out);
                true
            }
            None => false,
        }
    }

    /// Starts queued requests while the highest queued tier may start a request.
    fn dispatch(&mut self, now: Tick, out: &mut Outbox<Output>) {
        self.limited_until = None;
        while let Some(tier) = self.next_tier() {
            if !self.has_slot(tier) {
                return;
            }
            if let Some(limit) = self.limit.filter(|limit| !limit.can_start(now)) {
                self.limited_until = Some(now + limit.wait(now, 0).max(MIN_LIMIT_WAIT));
                return;
            }
            // Above the limit no request starts from a reserve: only the tier that preempts lower
            // tiers may exceed the limit. An infinite turnover disables reserves.
            let free = count(self.running.len()) < self.window.limit();
            let turnover = if free {
                self.turnover
            } else {
                [Duration::MAX; Tier::COUNT]
            };
            let Some((item, reserved)) = self.queue.pop(now, &turnover) else {
                return;
            };
            let Some(credentials) = self.credentials.remove(&item.ticket) else {
                continue;
            };
            let Credentials {
                grant,
                account,
                route,
            } = credentials;
            match self.authorize(now, grant.as_ref(), &account, &route) {
                Ok(_) => self.start(now, item, reserved, out),
                Err(kind) => self.reject(item.ticket, kind, out),
            }
        }
    }

    /// The highest tier with a queued request.
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
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
        self.record_start(now, item.tier);
        let target = |f: fn(&conf::Class) -> Duration| {
            self.config.class(item.class).map_or(Duration::MAX, f)
        };
        let key = self.running.insert(Running {
            tier: item.tier,
            class: item.class,
            account: item.account,
            weight: item.weight,
            cost: item.cost,
            reserved,
            started_at: now,
            first_target: target(|class| class.spec.first_token),
            gap_target: target(|class| class.spec.token_gap),
        });
        self.tickets.insert(item.ticket, key);
        out.push(Output::Start(item.ticket, item.tier));
    }

    /// Updates the turnover. The slot of a start was available to every higher tier as well.
    fn record_start(&mut self, now: Tick, tier: Tier) {
        let busy = count(self.running.len()) + 1 >= self.window.limit();
        for n in 0..=tier.index() {
            let since = now.since(std::mem::replace(&mut self.last_start[n], now));
            // While slots are free, the time between starts depends on arrivals, not on the engine.
            if busy {
                self.turnover[n] =
                    (self.turnover[n] * (SMOOTHING_DIVISOR - 1) + since) / SMOOTHING_DIVISOR;
            }
        }
    }

    fn first_token(&mut self, now: Tick, ticket: Ticket, out: &mut Outbox<Output>) {
        let Some(request) = self
            .tickets
            .get(&ticket)
            .and_then(|key| self.running.get(*key))
        else {
            return;
        };
        let elapsed = now.since(request.started_at);
        // Above the limit the request may have been preempted, so a late first token does not
        // measure the engine's speed.
        if elapsed > request.first_target && self.is_over_limit() {
            return;
        }
        if self.window.first_token(now, elapsed, request.first_target) {
            out.push(Output::Event(Event::ColdStart));
        }
        self.dispatch(now, out);
    }

    fn token_gap(&mut self, now: Tick, ticket: Ticket, gap: Duration) {
        // Above the limit, the request may have been preempted, so the gap does not measure the
        // engine's speed.
        if self.is_over_limit() {
            return;
        }
        let request = self
            .tickets
            .get(&ticket)
            .and_then(|key| self.running.get(*key));
        if let Some(target) = request.map(|request| request.gap_target) {
            self.window.token_gap(now, gap, target);
        }
    }

    /// Whether more requests run than the limit allows, so that the engine may have preempted some.
    fn is_over_limit(&self) -> bool {
        count(self.running.len()) > self.window.limit()
    }

    fn finished(
        &mut self,
        now: Tick,
        ticket: Ticket,
        outcome: Outcome,
        tokens: Tokens,
        out: &mut Outbox<Output>,
    ) {
        let Some(request) = self
            .tickets
            .remove(&ticket)
            .and_then(|key| self.running.remove(key))
        else {
            return;
        };
        self.queue.adjust_charge(
            request.class,
            request.account,
            request.weight,
            request.cost,
            tokens,
        );
        if outcome == Outcome::Served {
            let estimate = self
                .estimates
                .entry((request.class, request.account))
                .or_insert(tokens.0);
            *estimate = (*estimate * u64::from(SMOOTHING_DIVISOR - 1) + tokens.0)
                / u64::from(SMOOTHING_DIVISOR);
        }
        self.dispatch(now, out);
        out.push(Output::Ended(ticket, self.load()));
        if self.draining && self.running.is_empty() {
            out.push(Output::Drained);
        }
    }

    fn engine_status(&mut self, status: EngineStatus, out: &mut Outbox<Output>) {
        let previous = self.engine.replace(status);
        if previous.is_some_and(|previous| previous.incarnation != status.incarnation) {
            self.limit = None;
        }
        if previous.is_some_and(|previous| previous != status) {
            self.window.reset();
            out.push(Output::Event(Event::ColdStart));
        }
    }

    fn rate_limit(&mut self, now: Tick, rate: Option<Rate>, out: &mut Outbox<Output>) {
        let before = self.limit.map(|limit| limit.rate());
        match (&mut self.limit, rate) {
            (Some(limit), Some(rate)) => limit.set_rate(now, rate),
            (limit, rate) => *limit = rate.map(|rate| RateLimit::new(now, rate)),
        }
        if before != rate {
            out.push(Output::Event(Event::RateLimited(rate)));
            self.dispatch(now, out);
        }
    }

    fn drain(&mut self, out: &mut Outbox<Output>) {
        self.draining = true;
        for item in self.queue.clear() {
            self.credentials.remove(&item.ticket);
            self.reject(item.ticket, Kind::Draining, out);
        }
        if self.running.is_empty() {
            out.push(Output::Drained);
        }
    }

    fn reject(&self, ticket: Ticket, kind: Kind, out: &mut Outbox<Output>) {
        out.push(Output::Reject(ticket, kind, self.load()));
    }
}

impl<Q: QueuePolicy> Core for Agent<Q> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::View(update, valid_until) => {
                self.apply_view(&update, valid_until);
                out.push(Output::ViewApplied(self.config.revision()));
                self.dispatch(now, out);
            }
            Input::Arrive(arrival) => self.arrive(now, &arrival, out),
            Input::FirstToken(ticket) => self.first_token(now, ticket, out),
            Input::TokenGap(ticket, gap) => {
                self.token_gap(now, ticket, gap);
            }
            Input::Done(ticket, outcome, tokens) => {
                self.finished(now, ticket, outcome, tokens, out)
            }
            Input::Cancelled(ticket) => {
                self.credentials.remove(&ticket);
                self.queue.remove(ticket);
            }
            Input::EngineStatus(status) => self.engine_status(status, out),
            Input::RateLimit(rate) => self.rate_limit(now, rate, out),
            Input::Drain => self.drain(out),
        }
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        for item in self.queue.expire(now) {
            self.credentials.remove(&item.ticket);
            self.reject(item.ticket, Kind::DeadlinePassed, out);
        }
        self.dispatch(now, out);
    }

    fn deadline(&self) -> Option<Tick> {
        let deadlines = [self.queue.next_deadline(), self.limited_until];
        deadlines.into_iter().flatten().min()
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
