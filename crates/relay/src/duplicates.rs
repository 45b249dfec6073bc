//! Listings with several entries of one instance.

use std::collections::HashMap;
use std::net::SocketAddr;

use ids::Tick;

use crate::message::EndpointInfo;

/// Where an instance is, and when it started.
type Place = (String, SocketAddr, u64);

/// Chooses among several entries of one instance. An entry of another writer may repeat an engine's
/// identity; it then names a service that the plan lacks, lacks fields, or contradicts the entry in
/// use.
#[derive(Clone, Debug, Default)]
pub(crate) struct Duplicates {
    /// The places of the instances according to the entries in use.
    places: HashMap<String, Place>,
    /// The last listing and when it arrived, if it has several entries of an instance: another plan
    /// may lead to another choice.
    ambiguous: Option<(Tick, Vec<EndpointInfo>)>,
}

impl Duplicates {
    /// Returns one entry for each instance. `known` states whether the plan names a service.
    pub(crate) fn resolve(
        &mut self,
        now: Tick,
        list: Vec<EndpointInfo>,
        known: impl Fn(&str) -> bool,
    ) -> Vec<EndpointInfo> {
        let total = list.len();
        let mut chosen: HashMap<&str, usize> = HashMap::with_capacity(total);
        for (n, info) in list.iter().enumerate() {
            let weight = |n: usize| {
                let info = &list[n];
                let complete = info.started_ms > 0 && info.slots > 0;
                let in_use = self.places.get(&info.instance) == Some(&place(info));
                // An engine that drains does not become ready again. Of equal entries, the one on
                // the page that was read last counts.
                let key = (known(&info.service), complete, in_use, info.draining);
                (key, n)
            };
            let held = chosen.entry(&info.instance).or_insert(n);
            if weight(n) > weight(*held) {
                *held = n;
            }
        }
        let mut kept: Vec<_> = chosen.into_values().collect();
        kept.sort_unstable();
        let resolved: Vec<_> = kept.iter().map(|n| list[*n].clone()).collect();
        let places = resolved
            .iter()
            .map(|info| (info.instance.clone(), place(info)));
        self.places = places.collect();
        self.ambiguous = (resolved.len() < total).then_some((now, list));
        resolved
    }

    /// The last listing, if its choice depends on the plan.
    pub(crate) fn take_ambiguous(&mut self, now: Tick) -> Option<Vec<EndpointInfo>> {
        let (listed_at, mut list) = self.ambiguous.take()?;
        let held = now.since(listed_at);
        for info in &mut list {
            info.cold_remaining = info.cold_remaining.saturating_sub(held);
        }
        Some(list)
    }
}

fn place(info: &EndpointInfo) -> Place {
    (info.service.clone(), info.address, info.started_ms)
}
