//! Applies rollouts in the decision core: stages, the side of each request, and tallies.

use ids::{
    RequestId,
    Tick, //
};
use rand::RngExt;
use rollout::Stages;
use step::Outbox;

use crate::balance::Balancer;
use crate::exposure::{
    ExposureBounds,
    Side, //
};
use crate::message::{
    Event,
    Output, //
};
use crate::outcome::Progress;
use crate::relay::Relay;

impl<B: Balancer> Relay<B> {
    /// Keeps the bound on the exposure of new versions. Without bounds, all versions of a service get
    /// requests and stages are ignored.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Option<ExposureBounds>) -> Self {
        self.versions.bounds = bounds;
        self
    }

    /// Applies the stages of all orders.
    pub(crate) fn apply_stages(&mut self, now: Tick, stages: Stages, out: &mut Outbox<Output>) {
        for stage in self.versions.apply(now, stages) {
            out.push(Output::Event(Event::StageChanged(stage)));
        }
        self.expose();
    }

    /// Updates the versions in use when a view arrives.
    pub(crate) fn renew_versions(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let adopted = self.versions.renew(now);
        if !adopted.is_empty() {
            self.expose();
        }
        for service in adopted {
            out.push(Output::Event(Event::VersionsReplaced(service)));
        }
    }

    /// Chooses the endpoints of new versions that get a share of the requests.
    pub(crate) fn expose(&mut self) {
        self.versions.expose(&self.endpoints, &self.closed);
    }

    /// Draws the side of a request, once for each order. A retry goes to the old side.
    pub(crate) fn draw_side(&mut self, id: RequestId, service: &str) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let fronts = self.fronts.get();
        let Some((order, probability)) = self.versions.draw(service, &request.trial, fronts) else {
            return;
        };
        let side = if self.rng.random_bool(probability) {
            Side::New
        } else {
            Side::Old
        };
        request.trial.drawn = Some((order, side));
    }

    /// Sends a request that was drawn for the new side to the old one, since the engines of the new
    /// side have too long a backlog. Returns whether the request was drawn for the new side.
    pub(crate) fn redraw_old(&mut self, id: RequestId) -> bool {
        let request = self.requests.get_mut(id);
        match request.and_then(|request| request.trial.drawn.as_mut()) {
            Some((_, side)) => std::mem::replace(side, Side::Old) == Side::New,
            None => false,
        }
    }

    /// Records that a request's events reach the caller: only the same version may resume the stream.
    pub(crate) fn pin_version(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            let trial = &mut request.trial;
            trial.pinned = trial.flight.as_ref().map(|flight| flight.version.clone());
        }
    }

    /// Counts what happened to a request's current attempt.
    pub(crate) fn observe(&mut self, now: Tick, id: RequestId, progress: Progress) {
        let request = self.requests.get_mut(id);
        let Some(request) = request.filter(|request| request.trial.flight.is_some()) else {
            return;
        };
        let plan = request.plan.clone();
        let resolved = plan.route(request.route).zip(plan.service(request.service));
        let Some((route, service)) = resolved else {
            return;
        };
        if let Some(versions) = self.versions.service_mut(&service.name) {
            let speed = self.endpoints.speed(&service.name);
            versions.observe(now, request, &route.name, &speed, progress);
        }
    }
}
