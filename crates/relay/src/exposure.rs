//! Which versions of a service get requests, before, during and after a rollout.
//!
//! The version that a rollout introduces is the new side, all other versions in use are the old side.
//! A front sends the new side at most the stage's share of the requests that it sends to the service
//! since it knows the order, plus its part of the slack. The bound on all fronts together follows
//! without communication (docs/design/rollouts-fronts.md).

use std::collections::{
    BTreeSet,
    HashMap,
    HashSet, //
};
use std::time::Duration;

use ids::{
    EndpointId,
    Tick, //
};
use rollout::{
    Exposure,
    Stage,
    Stages,
    Tally, //
};

use crate::endpoint::Endpoint;
use crate::endpoints::Endpoints;
use crate::outcome::{
    Flight,
    RouteTimes,
    Tallies, //
};
use crate::request::Request;

/// Divisor of the slack that fronts use. The rest covers fronts that were counted late.
const SLACK_DIVISOR: f64 = 2.0;
/// Requests that a front may owe the new side. More are not made up for, since they would reach few
/// endpoints at once.
const MAX_CREDIT: f64 = 2.0;
/// Factor on the share while the front owes the new side a request. Without it, the bound cuts off the
/// random excess but not the random lack, and the new side gets less than its share.
const CATCH_UP_FACTOR: f64 = 2.0;
/// Time after which the listed versions count as in use if no version in use is listed any more. A
/// view, without which the front sends nothing, expires sooner, so an order for them would be known.
const ADOPT_DELAY: Duration = Duration::from_secs(5);
/// Time after which outcomes are no longer counted if the new version still gets no requests or all.
/// The stage does not state whether the order has ended; by then it has.
const COUNT_SPAN: Duration = Duration::from_secs(120);

/// The bound on the requests that a version gets before a rollout has ended, over all fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// The largest share of the service's requests.
    pub share: f64,
    /// Requests allowed in addition to the share.
    pub slack: f64,
}

/// One side of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Old,
    New,
}

/// What a request's next attempts depend on in a rollout.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trial {
    /// The order for which the side was drawn, and the side.
    pub(crate) drawn: Option<(u64, Side)>,
    /// The version that streams events to the caller; only this version may resume the stream.
    pub(crate) pinned: Option<String>,
    /// The current attempt.
    pub(crate) flight: Option<Flight>,
}

/// The newest order of a service.
#[derive(Clone, Debug)]
pub(crate) struct Rollout {
    pub(crate) stage: Stage,
    changed_at: Tick,
    /// Whether the front knew the order before its first step, or knew that there was none. Otherwise
    /// an earlier process of this front may have used the slack already.
    witnessed: bool,
    /// Whether the version was the only one in use before the order, which then changes nothing.
    pub(crate) moot: bool,
    /// Requests that the new side was entitled to by the shares, less those beyond [`MAX_CREDIT`].
    earned: f64,
    /// Attempts sent to the new side.
    sent: u64,
    /// The endpoints of the new version that get a share of the requests.
    pub(crate) exposed: HashSet<EndpointId>,
    pub(crate) tallies: Tallies,
}

impl Rollout {
    fn new(now: Tick, stage: Stage, witnessed: bool, moot: bool) -> Self {
        Self {
            stage,
            changed_at: now,
            witnessed,
            moot,
            earned: 0.0,
            sent: 0,
            exposed: HashSet::new(),
            tallies: Tallies::default(),
        }
    }

    /// The side of a version.
    pub(crate) fn side(&self, version: &str) -> Side {
        if !self.moot && self.stage.version == version {
            Side::New
        } else {
            Side::Old
        }
    }

    /// Whether outcomes still count.
    pub(crate) fn counts(&self, now: Tick) -> bool {
        let stepping = matches!(self.stage.exposure, Exposure::Share(_));
        !self.moot && (stepping || now.since(self.changed_at) < COUNT_SPAN)
    }

    /// The share of the requests that the stage states; none unless requests are split between the
    /// sides. It may exceed the bound where a service has so few requests that the slack covers the
    /// rest.
    pub(crate) fn share(&self) -> Option<f64> {
        match self.stage.exposure {
            Exposure::Share(share) if !self.moot && share > 0.0 => Some(share.min(1.0)),
            _ => None,
        }
    }

    /// Requests that the new side may still get if the next one adds `share` to its entitlement, or
    /// what the bound allows; without and with this front's part of the slack.
    pub(crate) fn credit(&self, share: f64, bounds: ExposureBounds, fronts: usize) -> (f64, f64) {
        let credit = self.earned + share.min(bounds.share) - self.sent as f64;
        let slack = if self.witnessed {
            bounds.slack / (SLACK_DIVISOR * fronts.max(1) as f64)
        } else {
            0.0
        };
        (credit, credit + slack)
    }
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceVersions {
    /// The versions in use, apart from the new version of the rollout.
    pub(crate) in_use: BTreeSet<String>,
    /// The versions of the listed endpoints that are not draining.
    listed: BTreeSet<String>,
    /// Since when no version in use is listed.
    missing_since: Option<Tick>,
    pub(crate) rollout: Option<Rollout>,
    /// Whether requests have prompts, so that the endpoints are divided into lanes.
    prompts: bool,
    /// Typical times of the old side, by route.
    pub(crate) times: HashMap<String, RouteTimes>,
}

impl ServiceVersions {
    /// The listed versions that no rollout governs.
    fn free_versions(&self) -> BTreeSet<String> {
        let governed = self.rollout.as_ref().map(|rollout| &rollout.stage.version);
        let free = self.listed.iter().filter(|v| Some(*v) != governed);
        free.cloned().collect()
    }

    /// Updates the versions in use. Returns whether versions replaced those that are not listed any
    /// more.
    fn review(&mut self, now: Tick) -> bool {
        if self.listed.is_empty() || !self.in_use.is_disjoint(&self.listed) {
            self.missing_since = None;
            return false;
        }
        let free = self.free_versions();
        if self.in_use.is_empty() && !free.is_empty() {
            self.in_use = free;
            return false;
        }
        let since = *self.missing_since.get_or_insert(now);
        if now.since(since) < ADOPT_DELAY {
            return false;
        }
        if !free.is_empty() {
            self.in_use = free;
            return true;
        }
        // A front that has never seen another version in use than that of the order: the order is for
        // the version that was in use before.
        if let Some(rollout) = self.rollout.as_mut().filter(|_| self.in_use.is_empty()) {
            rollout.moot = true;
            self.in_use = self.listed.clone();
            return true;
        }
        false
    }

    /// Applies the newest order's stage. Returns whether it differs from the one before.
    fn advance(&mut self, now: Tick, stage: &Stage, informed: bool) -> bool {
        match &mut self.rollout {
            Some(rollout) if rollout.stage.id > stage.id || rollout.stage == *stage => false,
            Some(rollout) if rollout.stage.id == stage.id => {
                rollout.stage = stage.clone();
                rollout.changed_at = now;
                true
            }
            _ => {
                self.end();
                let moot = self.in_use.len() == 1 && self.in_use.contains(&stage.version);
                if !moot {
                    self.in_use.remove(&stage.version);
                }
                let witnessed = informed || stage.exposure == Exposure::None;
                self.rollout = Some(Rollout::new(now, stage.clone(), witnessed, moot));
                true
            }
        }
    }

    /// Ends the rollout. A version that got all requests is the only one in use from now on.
    fn end(&mut self) {
        if let Some(rollout) = self.rollout.take()
            && rollout.stage.exposure == Exposure::All
        {
            self.in_use = BTreeSet::from([rollout.stage.version]);
        }
    }

    /// Chooses the endpoints of the new version that get a share of the requests: so many in each lane
    /// that each gets about the load of an old one. All fronts choose the same, from the listing.
    fn expose(&mut self, service: &str, endpoints: &Endpoints, closed: &BTreeSet<String>) {
        let Some(rollout) = &mut self.rollout else {
            return;
        };
        let open = endpoints.of_service(service).filter(|(_, endpoint)| {
            !endpoint.info.draining && !closed.contains(&endpoint.info.zone)
        });
        // Plain requests have no lanes.
        let lanes = endpoints.lanes(service).filter(|_| self.prompts);
        let lane = |id| usize::from(lanes.is_some_and(|lanes| lanes.contains(id)));
        let mut new = [Vec::new(), Vec::new()];
        let mut old = [0, 0];
        for (id, endpoint) in open {
            if rollout.side(&endpoint.info.version) == Side::New {
                new[lane(id)].push((&endpoint.info.instance, id));
            } else if self.in_use.contains(&endpoint.info.version) {
                old[lane(id)] += 1;
            }
        }
        let share = rollout.share();
        let counts = old.map(|old| share.map_or(0, |share| exposed_count(share, old)));
        new.iter_mut().for_each(|lane| lane.sort_unstable());
        let chosen = new
            .iter()
            .zip(counts)
            .flat_map(|(lane, count)| lane.iter().take(count));
        rollout.exposed = chosen.map(|(_, id)| *id).collect();
    }
}

/// The number of new endpoints among which a share of the requests gives each the load of one of the
/// old endpoints, or somewhat less: with more load, a good version looks slow.
fn exposed_count(share: f64, old: usize) -> usize {
    let share = share.clamp(0.0, 1.0);
    let count = old as f64 * share / (1.0 - share);
    // The conversion saturates, also for a share of 1.
    (count.ceil() as usize).max(1)
}

/// The versions of all services, and the bound that a rollout keeps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    /// Without bounds, all versions get requests.
    pub(crate) bounds: Option<ExposureBounds>,
    /// Version of the stages.
    stages_version: u64,
    /// Whether the control group has stated the stages, or that there are none.
    informed: bool,
    pub(crate) services: HashMap<String, ServiceVersions>,
}

impl Versions {
    pub(crate) fn service_mut(&mut self, service: &str) -> Option<&mut ServiceVersions> {
        self.bounds?;
        self.services.get_mut(service)
    }

    /// Applies the stages of all orders. Returns those that changed.
    pub(crate) fn apply(&mut self, now: Tick, stages: Stages) -> Vec<Stage> {
        // Another control process may hold an older copy.
        if self.bounds.is_none() || stages.version < self.stages_version {
            return Vec::new();
        }
        self.stages_version = stages.version;
        let ordered: HashSet<_> = stages.stages.iter().map(|stage| &stage.service).collect();
        for (_, versions) in self
            .services
            .iter_mut()
            .filter(|(s, _)| !ordered.contains(s))
        {
            versions.end();
        }
        let informed = std::mem::replace(&mut self.informed, true);
        let mut changed = stages.stages;
        changed.retain(|stage| {
            let versions = self.services.entry(stage.service.clone()).or_default();
            versions.advance(now, stage, informed)
        });
        changed
    }

    /// Records that a view arrived, which the stages precede. Returns the services in which other
    /// versions now count as in use, since those before are not listed any more.
    pub(crate) fn renew(&mut self, now: Tick) -> Vec<String> {
        self.informed = true;
        let adopted = self.services.iter_mut().filter_map(|(service, versions)| {
            let adopted = versions.review(now);
            adopted.then(|| service.clone())
        });
        adopted.collect()
    }

    /// Applies a listing.
    pub(crate) fn listed(&mut self, now: Tick, endpoints: &Endpoints) {
        if self.bounds.is_none() {
            return;
        }
        for versions in self.services.values_mut() {
            versions.listed.clear();
        }
        for endpoint in endpoints.iter().filter(|e| !e.info.draining) {
            let service = endpoint.info.service.clone();
            let versions = self.services.entry(service).or_default();
            versions.listed.insert(endpoint.info.version.clone());
        }
        for versions in self.services.values_mut() {
            versions.review(now);
        }
    }

    /// Chooses the endpoints of the new versions that get a share of the requests.
    pub(crate) fn expose(&mut self, endpoints: &Endpoints, closed: &BTreeSet<String>) {
        for (service, versions) in &mut self.services {
            versions.expose(service, endpoints, closed);
        }
    }

    /// The order for which a request's side is to be drawn, and the probability of the new side; none
    /// if requests are not split or the side was drawn.
    pub(crate) fn draw(&self, service: &str, trial: &Trial, fronts: usize) -> Option<(u64, f64)> {
        let rollout = self.services.get(service)?.rollout.as_ref()?;
        let bounds = self.bounds?;
        let share = rollout.share()?;
        let id = rollout.stage.id;
        if trial.drawn.is_some_and(|(order, _)| order == id) {
            return None;
        }
        let factor = match rollout.credit(share, bounds, fronts) {
            (credit, _) if credit >= 1.0 => CATCH_UP_FACTOR,
            (_, with_slack) if with_slack >= 1.0 => 1.0,
            _ => 0.0,
        };
        Some((id, (share * factor).clamp(0.0, 1.0)))
    }

    /// Counts an attempt and remembers what its outcome is compared with.
    pub(crate) fn dispatched(
        &mut self,
        now: Tick,
        request: &mut Request,
        endpoint: &Endpoint,
        route: &str,
    ) {
        let Some(bounds) = self.bounds else {
            return;
        };
        let Some(versions) = self.services.get_mut(&endpoint.info.service) else {
            return;
        };
        let version = &endpoint.info.version;
        let rollout = versions.rollout.as_ref();
        let side = rollout.map_or(Side::Old, |rollout| rollout.side(version));
        let mut flight = Flight::new(version, side, request);
        versions.prompts |= request.prompt.is_some();
        if let Some(rollout) = &mut versions.rollout {
            if let Some(share) = rollout.share().filter(|_| request.attempts == 1) {
                let limit = rollout.sent as f64 + MAX_CREDIT;
                let earned = rollout.earned + share.min(bounds.share);
                rollout.earned = earned.min(limit);
            }
            rollout.sent += u64::from(side == Side::New);
            flight.order = Some(rollout.stage.id);
            if rollout.counts(now) {
                rollout.tallies.outcomes(route, side).sent += 1;
            }
        }
        request.trial.flight = Some(flight);
    }

    /// The tallies of all orders whose outcomes count.
    pub(crate) fn tallies(&self, now: Tick) -> Vec<Tally> {
        let rollouts = self.services.values().filter_map(|v| v.rollout.as_ref());
        let counting =
            rollouts.filter(|rollout| rollout.counts(now) && !rollout.tallies.is_empty());
        let mut tallies: Vec<_> = counting
            .map(|rollout| rollout.tallies.report(rollout.stage.id))
            .collect();
        tallies.sort_by_key(|tally| tally.id);
        tallies
    }
}
