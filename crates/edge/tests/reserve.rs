//! Reserved addresses.

use std::net::TcpListener;

use edge::reserve_address;

fn no_two_share_an_address() {
    let one = reserve_address().expect("there is a port");
    let other = reserve_address().expect("there is a port");
    assert_ne!(one.ip(), other.ip());
    assert!(one.ip().is_loopback() && other.ip().is_loopback());
}

fn another_listener_does_not_take_it() {
    let reserved = reserve_address().expect("there is a port");
    // The common loopback address is where everybody else's ports are.
    let _others = TcpListener::bind(("127.0.0.1", reserved.port()));
    TcpListener::bind(reserved).expect("the reserved address is free");
}

case::cases! {
    addresses_differ: no_two_share_an_address();
    same_port_of_another_address: another_listener_does_not_take_it();
}
