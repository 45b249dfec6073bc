//! Free addresses for listeners in tests and local clusters.

use std::io;
use std::net::{
    Ipv4Addr,
    SocketAddr,
    TcpListener, //
};
use std::sync::atomic::{
    AtomicU32,
    Ordering, //
};

/// Number of values of the second octet; they start at 1.
const SECOND_OCTETS: u32 = 254;

/// Finds a free port on a loopback address that no other call in this process and, mostly, no other
/// process uses. On 127.0.0.1, another listener or the local end of a connection could occupy the
/// port before the caller binds it.
///
/// # Errors
///
/// The operating system's error if no port is free.
pub fn reserve_address() -> io::Result<SocketAddr> {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed) % SECOND_OCTETS;
    let second = u8::try_from(call + 1).unwrap_or(1);
    let [_, _, third, fourth] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, second, third, fourth);
    TcpListener::bind((address, 0))?.local_addr()
}
