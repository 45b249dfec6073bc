//! The decision core: handles inputs from clients, the control group and endpoints, and outputs
//! decisions.

use std::collections::{
    BTreeSet,
    HashMap, //
};
use std::sync::Arc;
use std::time::Duration;

use fault::Kind;
use ids::{
    EndpointId,
    RequestId,
    Tick, //
};
use plan::Plan;
use quarantine::Quarantine;
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg32;
use slotmap::SlotMap;
use step::{
    Core,
    Outbox, //
};

use crate::backlog::BacklogQueue;
use crate::balance::Balancer;
use crate::duplicates::Duplicates;
use crate::endpoints::Endpoints;
use crate::exposure::Versions;
use crate::front_count::FrontCount;
use crate::message::{
    EndpointInfo,
    Event,
    Input,
    Notice,
    Output,
    RelayOptions,
    View, //
};
use crate::outcome::Progress;
use crate::part_filter::PartFilter;
use crate::rate_limit::RateLimit;
use crate::request::Request;
use crate::retry_budget::RetryBudget;
use crate::usage_count::UsageCount;
use crate::view_wait::ViewWait;

/// Why a request is rejected, and the delay after which the caller may retry.
pub(crate) type Rejection = (Kind, Duration);

/// Retry delay after a rejection that depends on the endpoints or on the request itself.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Rejection for lack of a valid view. A control group that was restarted as a whole serves again
/// within the retry delay of 1 s.
pub(crate) const VIEW_EXPIRED: Rejection = (Kind::ViewStale, Duration::from_secs(1));

/// The decision core of one front.
pub struct Relay<B> {
    pub(crate) options: RelayOptions,
    pub(crate) balancer: B,
    pub(crate) rng: Pcg32,
    pub(crate) plan: Option<Arc<Plan>>,
    /// The generation of the deployment in effect.
    pub(crate) generation: u64,
    /// Closed zones.
    pub(crate) closed: BTreeSet<String>,
    /// When the view expires.
    pub(crate) view_expiry: Tick,
    /// Whether the view's expiry has been reported. Before the first view, it counts as reported.
    pub(crate) view_expired: bool,
    /// When the view was requested.
    pub(crate) view_requested: Tick,
    /// Number of fronts that subscribe to the deployment.
    pub(crate) fronts: FrontCount,
    pub(crate) endpoints: Endpoints,
    /// Whether a listing has arrived, an empty one included.
    pub(crate) listed: bool,
    pub(crate) duplicates: Duplicates,
    pub(crate) requests: SlotMap<RequestId, Request>,
    /// Retry budgets by service.
    pub(crate) retry_budgets: HashMap<String, RetryBudget>,
    pub(crate) usage: UsageCount,
    pub(crate) view_wait: ViewWait,
    pub(crate) backlog_queue: BacklogQueue,
    pub(crate) part_filter: PartFilter,
    pub(crate) versions: Versions,
    pub(crate) draining: bool,
}

impl<B: Balancer> Relay<B> {
    /// Creates the core of a front that has no plan yet.
    pub fn new(options: RelayOptions, balancer: B) -> Self {
        Self {
            balancer,
            rng: Pcg32::seed_from_u64(options.rng_seed),
            plan: None,
            generation: 0,
            closed: BTreeSet::new(),
            view_expiry: Tick::default(),
            view_expired: true,
            view_requested: Tick::default(),
            fronts: FrontCount::default(),
            endpoints: Endpoints::default(),
            listed: false,
            duplicates: Duplicates::default(),
            requests: SlotMap::with_key(),
            retry_budgets: HashMap::new(),
            usage: UsageCount::new(options.usage_window),
            view_wait: ViewWait::default(),
            backlog_queue: BacklogQueue::default(),
            part_filter: PartFilter::default(),
            versions: Versions::default(),
            draining: false,
            options,
        }
    }

    /// The generation of the deployment in effect.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the front can serve requests. Without a listing, it knows no endpoint.
    fn ready(&self, now: Tick) -> bool {
        !self.draining && self.listed && self.has_valid_view(now)
    }

    fn apply_view(&mut self, now: Tick, view: View, out: &mut Outbox<Output>) {
        self.apply_quarantine(now, view.wall_clock, view.quarantine, out);
        self.renew_versions(now, out);
        if view.generation < self.generation {
            return;
        }
        self.usage.set_wall_clock(view.wall_clock);
        self.fronts.record(now, view.fronts);
        if let Some((plan, closed)) = view
            .deployment
            .filter(|_| view.generation > self.generation)
        {
            self.generation = view.generation;
            self.plan = plan;
            self.close_zones(now, closed);
            if let Some(list) = self.duplicates.take_ambiguous(now) {
                self.update_endpoints(now, list, out);
            }
            out.push(Output::Event(Event::Advanced(self.generation)));
        }
        if view.generation == self.generation {
            self.view_expiry = self.view_expiry.max(view.valid_until);
            self.view_requested = self.view_requested.max(view.requested_at);
        }
        let expired = now >= self.view_expiry;
        if std::mem::replace(&mut self.view_expired, expired) && !self.view_expired {
            out.push(Output::Event(Event::ViewFresh(true)));
        }
        if self.has_valid_view(now) {
            for held in self.view_wait.end() {
                let (ticket, head) = held.release(now);
                self.admit_and_dispatch(now, ticket, head, out);
            }
        }
    }

    /// Whether the front has a plan and its view has not expired.
    pub(crate) fn has_valid_view(&self, now: Tick) -> bool {
        self.plan.is_some() && now < self.view_expiry
    }

    /// Sets the closed zones. Endpoints of a reopened zone count as cold, since they may have
    /// become cold while they got no requests.
    fn close_zones(&mut self, now: Tick, closed: Vec<String>) {
        let closed: BTreeSet<_> = closed.into_iter().collect();
        let Some(plan) = &self.plan else {
            return;
        };
        let cold_duration = |name: &str| {
            let service = plan.services().find(|service| service.name == name);
            let cold = service.and_then(|service| service.cold_start);
            cold.map_or(Duration::ZERO, |cold| cold.duration)
        };
        for zone in self.closed.difference(&closed) {
            self.endpoints.mark_cold(now, zone, cold_duration);
        }
        self.closed = closed;
        self.expose();
    }

    fn apply_quarantine(
        &mut self,
        now: Tick,
        wall_clock: (u64, Tick),
        quarantine: Option<Arc<Quarantine>>,
        out: &mut Outbox<Output>,
    ) {
        if let Some(quarantine) = &quarantine {
            let (version, parts) = (quarantine.version(), quarantine.parts().count());
            out.push(Output::Event(Event::QuarantineChanged(version, parts)));
        }
        if let Some(evidence) = self.part_filter.renew(now, wall_clock, quarantine) {
            out.push(Output::Evidence(evidence));
        }
    }

    /// Records that a request and the parts of its prompt were served, as of the start of the response: a
    /// part may have become the cause of crashes while the response was in progress.
    fn record_service(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(id) {
            let began = request.answering_since.unwrap_or(request.sent_at);
            self.part_filter.served(began, &request.parts);
        }
    }

    /// Ends a request to which an endpoint responded.
    fn responded(&mut self, now: Tick, id: RequestId) {
        let endpoint = self.requests.get(id).and_then(|request| request.endpoint);
        if let Some(endpoint) = endpoint.and_then(|id| self.endpoints.get_mut(id)) {
            endpoint.health.record_success(now);
        }
        self.end(id);
    }

    /// Applies what an endpoint states about itself.
    fn record_notice(
        &mut self,
        now: Tick,
        id: EndpointId,
        notice: Notice,
        out: &mut Outbox<Output>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let instance = endpoint.info.instance.clone();
        let stated = &mut endpoint.stated;
        if notice.leaving && !std::mem::replace(&mut stated.leaving, true) {
            out.push(Output::Event(Event::Leaving(instance.clone())));
        }
        if let Some(span) = notice.retry_after {
            let span = stated.pause(now, span);
            out.push(Output::Event(Event::Paused(instance.clone(), span)));
        }
        if notice.rate_limit.is_none() && !notice.executed {
            return;
        }
        let before = stated.limit.map(|limit| limit.rate());
        match (&mut stated.limit, notice.rate_limit) {
            (Some(limit), Some(rate)) => limit.set_rate(now, rate, self.fronts.get()),
            (limit, rate) => {
                // Random levels keep fronts from sending at the same times.
                let level = self.rng.random_range(0.0..1.0);
                *limit = rate.map(|rate| RateLimit::new(now, rate, level));
            }
        }
        if before != notice.rate_limit {
            let event = Event::RateLimited(instance, notice.rate_limit);
            out.push(Output::Event(event));
        }
    }

    fn update_endpoints(&mut self, now: Tick, list: Vec<EndpointInfo>, out: &mut Outbox<Output>) {
        self.listed = true;
        let plan = self.plan.as_ref();
        let known = |name: &str| {
            plan.is_some_and(|plan| plan.services().any(|service| service.name == name))
        };
        let list = self.duplicates.resolve(now, list, known);
        if self.endpoints.update(now, list, &mut self.rng) {
            let (total, draining) = self.endpoints.counts();
            out.push(Output::Event(Event::EndpointsChanged(total, draining)));
        }
        self.versions.listed(now, &self.endpoints);
        self.expose();
    }
}

impl<B: Balancer> Core for Relay<B> {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::View(view) => self.apply_view(now, *view, out),
            Input::Endpoints(list) => self.update_endpoints(now, list, out),
            Input::Request(ticket, head) => self.receive(now, ticket, head, out),
            Input::Stages(stages) => self.apply_stages(now, stages, out),
            Input::ResponseStarted(id, load) => {
                self.observe(now, id, Progress::Started);
                self.response_started(now, id, load, out);
            }
            Input::StreamStarted(id) => self.pin_version(id),
            Input::Noticed(id, notice) => self.record_notice(now, id, notice, out),
            Input::AttemptFailed(ticket, id, failure) => {
                self.observe(now, id, Progress::Failed(failure));
                self.attempt_failed(now, ticket, id, failure, out);
            }
            Input::Completed(id) => {
                self.observe(now, id, Progress::Completed);
                self.record_service(id);
                self.responded(now, id);
            }
            Input::Declined(id) => {
                self.observe(now, id, Progress::Declined);
                self.responded(now, id);
            }
            Input::Withdrawn(ticket) => self.withdraw(now, ticket, out),
            Input::Cancelled(id) => self.cancel(now, id),
            Input::Usage(ticket, sealed) => {
                let windows = self.usage.unsealed(now, sealed);
                out.push(Output::Usage(ticket, windows));
            }
            Input::Tallies(ticket) => {
                out.push(Output::Tallies(ticket, self.versions.tallies(now)));
            }
            Input::Ready(ticket) => out.push(Output::Ready(ticket, self.ready(now))),
            Input::Holdings(ticket) => out.push(Output::Holdings(ticket, self.holdings())),
            Input::Drain => self.draining = true,
        }
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        if !self.view_expired && now >= self.view_expiry {
            self.view_expired = true;
            self.view_wait.start(now);
            out.push(Output::Event(Event::ViewFresh(false)));
        }
        for (ticket, name) in self.view_wait.expire(now) {
            self.reject(now, ticket, &name, VIEW_EXPIRED, out);
        }
        self.poll_queue(now, out);
        if let Some(evidence) = self.part_filter.due_evidence(now) {
            out.push(Output::Evidence(evidence));
        }
    }

    fn deadline(&self) -> Option<Tick> {
        let view_expiry = (!self.view_expired).then_some(self.view_expiry);
        let waits = [
            view_expiry,
            self.view_wait.deadline(),
            self.backlog_queue.deadline(),
            self.part_filter.deadline(),
        ];
        waits.into_iter().flatten().min()
    }
}
