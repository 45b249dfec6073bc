//! Reserved addresses are distinct and stay free.

use std::net::TcpListener;

use edge::reserve_address;

fn calls_yield_distinct_addresses() {
    let first = reserve_address().expect("a port is free");
    let second = reserve_address().expect("a port is free");
    assert_ne!(first.ip(), second.ip());
    assert!(first.ip().is_loopback() && second.ip().is_loopback());
}

fn port_stays_free_on_reserved_address() {
    let reserved = reserve_address().expect("a port is free");
    // Other listeners and connections use 127.0.0.1.
    let _listener = TcpListener::bind(("127.0.0.1", reserved.port()));
    TcpListener::bind(reserved).expect("the reserved address is free");
}

case::cases! {
    addresses_differ: calls_yield_distinct_addresses();
    listener_on_127_0_0_1_does_not_conflict: port_stays_free_on_reserved_address();
}
