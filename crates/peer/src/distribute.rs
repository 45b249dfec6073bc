//! The order in which a front polls the control processes that distribute the deployment.

use std::cmp::Reverse;
use std::net::SocketAddr;

use ids::HostName;
use plan::Distributor;

/// Returns the distributors in the order in which a host polls them: those of its own zone first.
/// Within a zone the order is pseudo-random and differs between hosts, so that the hosts spread over
/// the distributors. When a distributor leaves, only the hosts that polled it move.
pub fn distributor_order(
    host: &HostName,
    zone: &str,
    distributors: &[Distributor],
) -> Vec<SocketAddr> {
    let mut order: Vec<_> = distributors.iter().collect();
    order.sort_by_cached_key(|distributor| {
        let digest = blake3::hash(format!("{host} {}", distributor.address).as_bytes());
        (distributor.zone != zone, Reverse(*digest.as_bytes()))
    });
    order
        .into_iter()
        .map(|distributor| distributor.address)
        .collect()
}
