//! Calls to the control group, with sealed messages.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{
    Arc,
    PoisonError,
    RwLock, //
};
use std::time::{
    Duration,
    Instant, //
};

use edge::{
    CallError,
    Client, //
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{
    PeerResponse,
    Sealer,
    WireError,
    paths, //
};

/// Pause after a round over all control hosts in which no host named a leader.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of a call to one control host.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call to the control group failed.
#[derive(Debug)]
pub enum PeerError {
    /// The HTTP call failed.
    Call(CallError),
    /// The response could not be verified or decoded, or the request could not be encoded.
    Wire(WireError),
    /// The host rejected the request with this HTTP status.
    Rejected(u16),
    /// No host completed the request in time. The request may still be carried out.
    Unavailable,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => error.fmt(f),
            Self::Wire(error) => error.fmt(f),
            Self::Rejected(status) => write!(f, "the control host responded with status {status}"),
            Self::Unavailable => f.write_str("no control host completed the request in time"),
        }
    }
}

impl std::error::Error for PeerError {}

/// The hosts of the control group, in a fixed order.
#[derive(Debug)]
struct Hosts {
    addresses: Vec<SocketAddr>,
    /// The index of the host that is called first.
    first: usize,
}

/// A client of the control group. Clones share the list of its hosts.
#[derive(Clone)]
pub struct ControlClient {
    sealer: Sealer,
    hosts: Arc<RwLock<Hosts>>,
}

impl ControlClient {
    /// Creates a client with the hosts that the settings name.
    pub fn new(sealer: Sealer, hosts: Vec<SocketAddr>) -> Self {
        let hosts = Hosts {
            addresses: hosts,
            first: 0,
        };
        Self {
            sealer,
            hosts: Arc::new(RwLock::new(hosts)),
        }
    }

    /// Calls one host after the other until one completes the request. A host that does not lead
    /// names the leader, which is called next. The request must be idempotent.
    ///
    /// # Errors
    ///
    /// [`PeerError::Unavailable`] after `timeout`; [`PeerError::Wire`] if the request cannot be
    /// encoded.
    pub fn call<T, R>(&self, path: &str, request: &T, timeout: Duration) -> Result<R, PeerError>
    where
        T: Serialize,
        R: DeserializeOwned,
    {
        let deadline = Instant::now() + timeout;
        let body = self.seal(path, request)?;
        let mut hint = None;
        while Instant::now() < deadline {
            for host in self.host_order(hint.take()) {
                match self.send(host, path, body.clone(), HOST_TIMEOUT.min(timeout)) {
                    Ok(PeerResponse::Done(response)) => {
                        self.prefer(host);
                        return Ok(response);
                    }
                    Ok(PeerResponse::NotLeader(leader)) => {
                        hint = leader;
                        if hint.is_some() {
                            break;
                        }
                    }
                    Ok(PeerResponse::Unavailable) | Err(_) => {}
                }
            }
            if hint.is_none() {
                std::thread::sleep(ROUND_PAUSE);
            }
        }
        Err(PeerError::Unavailable)
    }

    /// Sends a sealed request to one host, once.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the call fails, the host rejects it, or the response is invalid.
    pub fn send<R: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<PeerResponse<R>, PeerError> {
        let client = Client::new(timeout);
        let response = client
            .call(host, "POST", path, &[], body)
            .map_err(PeerError::Call)?;
        if response.status != 200 {
            return Err(PeerError::Rejected(response.status));
        }
        self.sealer
            .open(paths::RESPONSE, &response.body)
            .map_err(PeerError::Wire)
    }

    /// Calls one host once, with a request that any host can complete.
    ///
    /// # Errors
    ///
    /// [`PeerError::Unavailable`] if the host could not complete the request; otherwise as
    /// [`ControlClient::send`].
    pub fn call_host<T, R>(
        &self,
        host: SocketAddr,
        path: &str,
        request: &T,
        timeout: Duration,
    ) -> Result<R, PeerError>
    where
        T: Serialize,
        R: DeserializeOwned,
    {
        let body = self.seal(path, request)?;
        match self.send(host, path, body, timeout)? {
            PeerResponse::Done(response) => Ok(response),
            PeerResponse::NotLeader(_) | PeerResponse::Unavailable => Err(PeerError::Unavailable),
        }
    }

    /// Encodes and seals a message to a path.
    ///
    /// # Errors
    ///
    /// [`PeerError::Wire`] if the message cannot be encoded.
    pub fn seal<T: Serialize>(&self, path: &str, message: &T) -> Result<Vec<u8>, PeerError> {
        self.sealer.seal(path, message).map_err(PeerError::Wire)
    }

    /// Replaces the list with the hosts that the control group reports. The preferred host stays
    /// preferred if it is among them. An empty list is ignored.
    pub fn set_hosts(&self, addresses: Vec<SocketAddr>) {
        let mut hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        if addresses.is_empty() || hosts.addresses == addresses {
            return;
        }
        let preferred = hosts.addresses.get(hosts.first).copied();
        let first = addresses.iter().position(|host| Some(*host) == preferred);
        *hosts = Hosts {
            addresses,
            first: first.unwrap_or_default(),
        };
    }

    /// Adds the hosts that are not in the list yet.
    pub fn add_hosts(&self, addresses: &[SocketAddr]) {
        let mut hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        for address in addresses {
            if !hosts.addresses.contains(address) {
                hosts.addresses.push(*address);
            }
        }
    }

    /// Prefers the host that a random number selects, so that the processes of a cluster spread
    /// over the hosts.
    pub fn rotate(&self, random: u64) {
        let mut hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        let count = hosts.addresses.len().max(1) as u64;
        hosts.first = usize::try_from(random % count).unwrap_or_default();
    }

    /// The hosts in the order in which they are called: the hinted one, the preferred one, and then
    /// the others.
    pub fn host_order(&self, hint: Option<SocketAddr>) -> Vec<SocketAddr> {
        let hosts = self.hosts.read().unwrap_or_else(PoisonError::into_inner);
        let first = hosts.first.min(hosts.addresses.len());
        let rotated = hosts.addresses[first..]
            .iter()
            .chain(&hosts.addresses[..first])
            .copied();
        let rest = rotated.filter(|host| Some(*host) != hint);
        hint.into_iter().chain(rest).collect()
    }

    /// Calls this host first from now on, if it is in the list.
    pub fn prefer(&self, host: SocketAddr) {
        let mut hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(index) = hosts.addresses.iter().position(|address| *address == host) {
            hosts.first = index;
        }
    }
}
