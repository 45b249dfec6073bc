//! How fronts spread over the control processes that distribute the deployment.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ids::HostName;
use peer::distributor_order;
use plan::Distributor;

fn host(zone: usize, n: usize) -> HostName {
    format!("front-{zone}-{n}").as_str().try_into().unwrap()
}

/// `each` distributors in each of `zones` zones.
fn distributors(zones: usize, each: usize) -> Vec<Distributor> {
    let distributor = |zone: usize, n: usize| Distributor {
        address: SocketAddr::from((
            [10, u8::try_from(zone).unwrap(), 0, u8::try_from(n).unwrap()],
            7340,
        )),
        zone: format!("z{zone}"),
    };
    (0..zones)
        .flat_map(|zone| (0..each).map(move |n| distributor(zone, n)))
        .collect()
}

/// The number of fronts that poll each distributor first, for 21 fronts in each of five zones.
fn load(list: &[Distributor]) -> BTreeMap<SocketAddr, usize> {
    let mut load = BTreeMap::new();
    for (zone, n) in (0..5).flat_map(|zone| (0..21).map(move |n| (zone, n))) {
        let order = distributor_order(&host(zone, n), &format!("z{zone}"), list);
        *load.entry(order[0]).or_default() += 1;
    }
    load
}

case::cases! {
    a_hundred_fronts_poll_in_their_zone_and_spread: {
        let list = distributors(5, 5);
        let load = load(&list);
        assert!(load.len() >= 24, "{load:?}");
        assert!(load.values().all(|fronts| *fronts <= 10), "{load:?}");
        let in_zone = |zone: u8| {
            let zone = load.iter().filter(|(address, _)| match address {
                SocketAddr::V4(address) => address.ip().octets()[1] == zone,
                SocketAddr::V6(_) => false,
            });
            zone.map(|(_, fronts)| fronts).sum::<usize>()
        };
        assert_eq!((0..5).map(in_zone).collect::<Vec<_>>(), [21; 5]);
    };
    other_zones_follow_as_a_fallback: {
        let list = distributors(3, 2);
        let order = distributor_order(&host(1, 0), "z1", &list);
        assert_eq!(order.len(), 6);
        let zones: Vec<_> = order[..2].iter().map(|a| a.ip().to_string()).collect();
        assert!(zones.iter().all(|ip| ip.starts_with("10.1.")), "{zones:?}");
    };
    departure_of_a_distributor_moves_only_its_fronts: {
        let list = distributors(1, 5);
        let rest: Vec<_> = list.iter().skip(1).cloned().collect();
        for n in 0..50 {
            let before = distributor_order(&host(0, n), "z0", &list)[0];
            let after = distributor_order(&host(0, n), "z0", &rest)[0];
            assert!(before == after || before == list[0].address);
        }
    };
    front_in_an_unknown_zone_has_all_distributors: {
        assert_eq!(distributor_order(&host(0, 0), "elsewhere", &distributors(3, 2)).len(), 6);
        assert!(distributor_order(&host(0, 0), "z0", &[]).is_empty());
    };
}
