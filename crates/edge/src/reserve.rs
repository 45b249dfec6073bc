//! Addresses for listeners that are started in a moment.

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

/// Second octets in use, from 1.
const OCTETS: u32 = 254;

/// Finds a free port on a loopback address of the caller's own. On the common one another process
/// or the near end of a connection may take the port before it is used.
///
/// # Errors
///
/// The operating system's, if there is no port.
pub fn reserve_address() -> io::Result<SocketAddr> {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let taken = TAKEN.fetch_add(1, Ordering::Relaxed) % OCTETS;
    let second = u8::try_from(taken + 1).unwrap_or(1);
    let [_, _, third, fourth] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, second, third, fourth);
    TcpListener::bind((address, 0))?.local_addr()
}
