//! The endpoints that the list names.

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
use crate::lanes::Lanes;
use crate::message::EndpointInfo;

/// All endpoints, by key and by instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fleet {
    endpoints: SlotMap<EndpointId, Endpoint>,
    instances: HashMap<String, EndpointId>,
    /// By service; drawn anew with each list, not with each request.
    lanes: HashMap<String, Lanes>,
}

impl Fleet {
    /// Takes a newer list. Endpoints that it does not name are gone. Returns whether any came,
    /// went or began to leave.
    pub(crate) fn relist(&mut self, now: Tick, list: Vec<EndpointInfo>, rng: &mut Pcg32) -> bool {
        let named: HashSet<String> = list.iter().map(|l| l.instance.clone()).collect();
        let before = self.endpoints.len();
        self.instances
            .retain(|instance, _| named.contains(instance));
        self.endpoints
            .retain(|_, endpoint| named.contains(&endpoint.listing.instance));
        let mut changed = self.endpoints.len() != before;
        for listing in list {
            match self.instances.get(&listing.instance) {
                Some(id) => {
                    if let Some(endpoint) = self.endpoints.get_mut(*id) {
                        changed |= endpoint.listing.draining != listing.draining;
                        endpoint.relist(now, listing);
                    }
                }
                None => {
                    let instance = listing.instance.clone();
                    let endpoint = Endpoint::new(now, listing, rng.random_range(0.0..1.0));
                    let id = self.endpoints.insert(endpoint);
                    self.instances.insert(instance, id);
                    changed = true;
                }
            }
        }
        self.draw_lanes();
        changed
    }

    /// How many endpoints there are, and how many of them leave.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let draining = self.endpoints.values().filter(|e| e.listing.draining);
        (self.endpoints.len(), draining.count())
    }

    pub(crate) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Forgets an endpoint until the list names it again.
    pub(crate) fn forget(&mut self, id: EndpointId) {
        if let Some(endpoint) = self.endpoints.remove(id) {
            self.instances.remove(&endpoint.listing.instance);
            self.draw_lanes();
        }
    }

    /// The endpoints of a service, in a fixed order.
    pub(crate) fn of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> {
        self.endpoints
            .iter()
            .filter(move |(_, endpoint)| endpoint.listing.service == service)
    }

    /// The lanes of a service; none if it has no endpoint.
    pub(crate) fn lanes(&self, service: &str) -> Option<&Lanes> {
        self.lanes.get(service)
    }

    fn draw_lanes(&mut self) {
        let services = self.endpoints.values().map(|e| e.listing.service.clone());
        let services: BTreeSet<_> = services.collect();
        let lanes = services.into_iter().map(|service| {
            let lanes = Lanes::of(self.of(&service));
            (service, lanes)
        });
        self.lanes = lanes.collect();
    }

    /// Takes the endpoints of a zone for cold from now on.
    pub(crate) fn cool(&mut self, now: Tick, zone: &str, span: impl Fn(&str) -> Duration) {
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|endpoint| endpoint.listing.zone == zone) {
            let until = now + span(&endpoint.listing.service);
            endpoint.cold_until = endpoint.cold_until.max(until);
        }
    }
}
