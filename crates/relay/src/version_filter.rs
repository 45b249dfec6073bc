//! Filters a request's candidates by the version of the endpoints.

use std::collections::BTreeSet;

use ids::EndpointId;
use rollout::Exposure;

use crate::endpoint::Endpoint;
use crate::exposure::{
    ExposureBounds,
    Rollout,
    Side,
    Versions, //
};
use crate::request::Request;

/// Whether the endpoints of the new version are candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    /// They are not.
    None,
    /// Those that are exposed; they are preferred.
    Exposed,
    /// All of them; they are preferred.
    All,
}

impl Rollout {
    /// Whether the endpoints of the new version are candidates for a request. Only a first attempt is
    /// exposed, and the resumption of a stream that the new version has started.
    fn admits(&self, request: &Request, bounds: ExposureBounds, fronts: usize) -> Admission {
        if self.moot {
            return Admission::None;
        }
        if self.stage.exposure == Exposure::All {
            return Admission::All;
        }
        let Some(share) = self.share() else {
            return Admission::None;
        };
        let first = request.attempts == 0;
        let drawn = first && request.trial.drawn == Some((self.stage.id, Side::New));
        let earning = if first { share } else { 0.0 };
        let within = self.credit(earning, bounds, fronts).1 >= 1.0;
        if within && (drawn || request.trial.pinned.is_some()) {
            Admission::Exposed
        } else {
            Admission::None
        }
    }
}

/// Excludes the endpoints whose version may not get a request.
pub(crate) struct VersionFilter<'a> {
    /// The versions in use; none if all versions get requests.
    in_use: Option<&'a BTreeSet<String>>,
    rollout: Option<(&'a Rollout, Admission)>,
    pinned: Option<&'a str>,
}

impl VersionFilter<'_> {
    /// Whether an endpoint may get the request.
    pub(crate) fn admits(&self, id: EndpointId, endpoint: &Endpoint) -> bool {
        let version = endpoint.info.version.as_str();
        let Some(in_use) = self.in_use else {
            return true;
        };
        if self.pinned.is_some_and(|pinned| pinned != version) {
            return false;
        }
        match self.rollout {
            Some((rollout, admission)) if rollout.side(version) == Side::New => match admission {
                Admission::None => false,
                Admission::Exposed => rollout.exposed.contains(&id),
                Admission::All => true,
            },
            _ => in_use.contains(version),
        }
    }

    /// Keeps only the candidates of the new version, if it is admitted and has any.
    pub(crate) fn prefer(&self, candidates: &mut Vec<(EndpointId, &Endpoint)>) {
        let Some((rollout, _)) = self.rollout else {
            return;
        };
        let new = |endpoint: &Endpoint| rollout.side(&endpoint.info.version) == Side::New;
        if candidates.iter().any(|(_, endpoint)| new(endpoint)) {
            candidates.retain(|(_, endpoint)| new(endpoint));
        }
    }
}

impl Versions {
    /// The filter of a request's candidates.
    pub(crate) fn filter<'a>(
        &'a self,
        service: &str,
        request: &'a Request,
        fronts: usize,
    ) -> VersionFilter<'a> {
        let versions = self.bounds.zip(self.services.get(service));
        let rollout = versions.and_then(|(bounds, versions)| {
            let rollout = versions.rollout.as_ref()?;
            Some((rollout, rollout.admits(request, bounds, fronts)))
        });
        VersionFilter {
            in_use: versions.map(|(_, versions)| &versions.in_use),
            rollout,
            pinned: request.trial.pinned.as_deref(),
        }
    }
}
