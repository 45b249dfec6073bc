//! The endpoints that the current listing contains.

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
use rand::RngExt;
use rand_pcg::Pcg32;
use slotmap::SlotMap;

use crate::endpoint::Endpoint;
use crate::lane_size::LaneSize;
use crate::lanes::{
    Lane,
    Lanes,
    is_long, //
};
use crate::message::{
    EndpointInfo,
    Load,
    Prompt, //
};
use crate::speed::Speed;
use crate::stated::Stated;
use crate::typical::{
    Typical,
    TypicalValues, //
};

/// How long the statements of an endpoint that the listing omits are kept.
const OMITTED_LIFETIME: Duration = Duration::from_secs(60);

/// What a front observes when a response starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observed<'a> {
    /// The request's prompt; none for plain requests.
    pub(crate) prompt: Option<&'a Prompt>,
    /// Time from the dispatch of the request, in milliseconds.
    pub(crate) elapsed_ms: f64,
    /// The part of that time beyond what an idle endpoint needs, in milliseconds.
    pub(crate) delay: f64,
    /// The load that the endpoint reported.
    pub(crate) load: Option<Load>,
}

/// All endpoints, by key and by instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoints {
    endpoints: SlotMap<EndpointId, Endpoint>,
    instances: HashMap<String, EndpointId>,
    /// Lanes by service; recomputed when the set of endpoints changes, not for each request.
    lanes: HashMap<String, Lanes>,
    /// The size of the lane for short prompts, by service.
    lane_sizes: HashMap<String, LaneSize>,
    /// What is typical of the endpoints in each lane of a service.
    typical: HashMap<(String, Lane), Typical>,
    /// The learned speed of each service's endpoints.
    speeds: HashMap<String, Speed>,
    /// What endpoints that the listing omits have stated, by instance: a listing may lack an
    /// endpoint for a moment.
    omitted: HashMap<String, Omitted>,
}

/// What an endpoint that the listing omits has stated.
#[derive(Clone, Copy, Debug)]
struct Omitted {
    stated: Stated,
    started_ms: u64,
    omitted_at: Tick,
}

impl Omitted {
    fn new(now: Tick, endpoint: &Endpoint) -> Self {
        Self {
            stated: endpoint.stated,
            started_ms: endpoint.info.started_ms,
            omitted_at: now,
        }
    }
}

impl Endpoints {
    /// Applies a newer listing and removes the endpoints that it omits. Returns whether an endpoint
    /// was added or removed or changed between serving and draining.
    pub(crate) fn update(&mut self, now: Tick, list: Vec<EndpointInfo>, rng: &mut Pcg32) -> bool {
        self.omitted
            .retain(|_, omitted| now.since(omitted.omitted_at) < OMITTED_LIFETIME);
        let listed: HashSet<String> = list.iter().map(|info| info.instance.clone()).collect();
        let before = self.endpoints.len();
        self.instances
            .retain(|instance, _| listed.contains(instance));
        let omitted = |endpoint: &Endpoint| !listed.contains(&endpoint.info.instance);
        for endpoint in self.endpoints.values().filter(|e| omitted(e)) {
            let instance = endpoint.info.instance.clone();
            self.omitted.insert(instance, Omitted::new(now, endpoint));
        }
        self.endpoints.retain(|_, endpoint| !omitted(endpoint));
        let mut changed = self.endpoints.len() != before;
        for info in list {
            match self.instances.get(&info.instance) {
                Some(id) => {
                    if let Some(endpoint) = self.endpoints.get_mut(*id) {
                        changed |= endpoint.info.draining != info.draining;
                        endpoint.update(now, info);
                    }
                }
                None => {
                    let instance = info.instance.clone();
                    let started_ms = info.started_ms;
                    // Random bucket levels keep fronts from sending to a cold endpoint at the
                    // same times.
                    let mut endpoint = Endpoint::new(now, info, rng.random_range(0.0..1.0));
                    let omitted = self.omitted.remove(&instance);
                    if let Some(omitted) = omitted.filter(|o| o.started_ms == started_ms) {
                        endpoint.stated = omitted.stated;
                    }
                    let id = self.endpoints.insert(endpoint);
                    self.instances.insert(instance, id);
                    changed = true;
                }
            }
        }
        self.update_lanes();
        changed
    }

    /// The number of endpoints, and how many of them are draining.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let draining = self.endpoints.values().filter(|e| e.info.draining);
        (self.endpoints.len(), draining.count())
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Removes an endpoint until a listing contains it again.
    pub(crate) fn remove(&mut self, now: Tick, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.remove(id) {
            let instance = endpoint.info.instance.clone();
            self.instances.remove(&instance);
            self.omitted.insert(instance, Omitted::new(now, &endpoint));
            self.update_lanes();
        }
    }

    /// The endpoints of a service, in a fixed order.
    pub(crate) fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> {
        self.endpoints
            .iter()
            .filter(move |(_, endpoint)| endpoint.info.service == service)
    }

    /// The lanes of a service; none if it has no endpoint.
    pub(crate) fn lanes(&self, service: &str) -> Option<&Lanes> {
        self.lanes.get(service)
    }

    /// The speed of a service's endpoints.
    pub(crate) fn speed(&self, service: &str) -> Speed {
        self.speeds.get(service).copied().unwrap_or_default()
    }

    /// What is typical of the endpoints that serve a prompt, or a plain request, of a service.
    pub(crate) fn typical(
        &self,
        now: Tick,
        service: &str,
        prompt: Option<&Prompt>,
    ) -> TypicalValues {
        let typical = self.typical.get(&(service.to_owned(), Lane::of(prompt)));
        typical.map_or_else(TypicalValues::default, |typical| typical.values(now))
    }

    /// Records the start of a response and the load that its endpoint reported. Returns the new size
    /// of the lane for short prompts, as a share of the service's engines, if it changed.
    pub(crate) fn record_response(
        &mut self,
        now: Tick,
        id: EndpointId,
        observed: &Observed<'_>,
    ) -> Option<f64> {
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.record_delay(now, observed.delay);
        if let Some(load) = observed.load {
            endpoint.record_load(now, load);
        }
        let service = endpoint.info.service.clone();
        let others = endpoint.reported_others();
        let tokens = observed.prompt.map_or(0, Prompt::unique_tokens);
        let queue_ms = self.typical(now, &service, observed.prompt).delay;
        let speed = self.speeds.entry(service.clone()).or_default();
        speed.record(tokens, observed.elapsed_ms, queue_ms);
        let key = (service.clone(), Lane::of(observed.prompt));
        let typical = self.typical.entry(key).or_default();
        typical.record(now, observed.delay, others);
        // The size of the lane follows the demand of the prompts that it is reserved for.
        let load = observed.load?;
        if is_long(observed.prompt?) || !self.lanes.get(&service)?.contains(id) {
            return None;
        }
        let size = self.lane_sizes.entry(service).or_default();
        let share = size.record(now, load).then_some(size.share());
        if share.is_some() {
            self.update_lanes();
        }
        share
    }

    fn update_lanes(&mut self) {
        let services = self.endpoints.values().map(|e| e.info.service.clone());
        let services: BTreeSet<_> = services.collect();
        let lanes = services.into_iter().map(|service| {
            let size = self.lane_sizes.get(&service).copied().unwrap_or_default();
            let lanes = Lanes::new(size, self.of_service(&service));
            (service, lanes)
        });
        self.lanes = lanes.collect();
    }

    /// Marks the endpoints of a zone as cold, for a duration by service.
    pub(crate) fn mark_cold(&mut self, now: Tick, zone: &str, duration: impl Fn(&str) -> Duration) {
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|endpoint| endpoint.info.zone == zone) {
            let until = now + duration(&endpoint.info.service);
            endpoint.cold_until = endpoint.cold_until.max(until);
        }
    }
}
