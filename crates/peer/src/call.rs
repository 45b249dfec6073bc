//! Sealed calls to the control group.

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
    Answer,
    Sealer,
    WireError,
    paths, //
};

/// Pause between two rounds over all control hosts.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// How long one control host may take for one call.
const CALL_PATIENCE: Duration = Duration::from_secs(2);

/// Why a call to the control group failed.
#[derive(Debug)]
pub enum PeerError {
    /// The call failed on its way.
    Call(CallError),
    /// The answer was not understood.
    Wire(WireError),
    /// The host refused the message: status.
    Rejected(u16),
    /// No host could do it in time; it may yet be done.
    Unavailable,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(fault) => fault.fmt(f),
            Self::Wire(fault) => fault.fmt(f),
            Self::Rejected(status) => write!(f, "the control host answered with status {status}"),
            Self::Unavailable => f.write_str("no control host could answer in time"),
        }
    }
}

impl std::error::Error for PeerError {}

#[derive(Debug)]
struct Known {
    hosts: Vec<SocketAddr>,
    first: usize,
}

/// The control group as a process knows it. Clones share what they learn.
#[derive(Clone)]
pub struct ControlClient {
    sealer: Sealer,
    known: Arc<RwLock<Known>>,
}

impl ControlClient {
    /// Starts from the hosts in the settings.
    pub fn new(sealer: Sealer, hosts: Vec<SocketAddr>) -> Self {
        let known = Known { hosts, first: 0 };
        Self {
            sealer,
            known: Arc::new(RwLock::new(known)),
        }
    }

    /// Calls until a host has done it, following hints to the leader.
    ///
    /// # Errors
    ///
    /// [`PeerError::Unavailable`] after `patience`. The call must be safe to repeat.
    pub fn call<T, R>(&self, path: &str, ask: &T, patience: Duration) -> Result<R, PeerError>
    where
        T: Serialize,
        R: DeserializeOwned,
    {
        let end = Instant::now() + patience;
        let body = self.seal(path, ask)?;
        let mut hint = None;
        while Instant::now() < end {
            for host in self.host_order(hint.take()) {
                match self.send(host, path, body.clone(), CALL_PATIENCE.min(patience)) {
                    Ok(Answer::Done(answer)) => {
                        self.prefer(host);
                        return Ok(answer);
                    }
                    Ok(Answer::Elsewhere(leader)) => {
                        hint = leader;
                        if hint.is_some() {
                            break;
                        }
                    }
                    Ok(Answer::Unavailable) | Err(_) => {}
                }
            }
            if hint.is_none() {
                std::thread::sleep(ROUND_PAUSE);
            }
        }
        Err(PeerError::Unavailable)
    }

    /// Calls one host once.
    ///
    /// # Errors
    ///
    /// [`PeerError`], with the reason.
    pub fn send<R: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<Answer<R>, PeerError> {
        let client = Client::new(patience);
        let reply = client
            .call(host, "POST", path, &[], body)
            .map_err(PeerError::Call)?;
        if reply.status != 200 {
            return Err(PeerError::Rejected(reply.status));
        }
        self.sealer
            .open(paths::ANSWER, &reply.body)
            .map_err(PeerError::Wire)
    }

    /// Asks one host once, for what any host can answer.
    ///
    /// # Errors
    ///
    /// [`PeerError`], with the reason; [`PeerError::Unavailable`] if it could not answer.
    pub fn call_host<T, R>(
        &self,
        host: SocketAddr,
        path: &str,
        ask: &T,
        patience: Duration,
    ) -> Result<R, PeerError>
    where
        T: Serialize,
        R: DeserializeOwned,
    {
        let body = self.seal(path, ask)?;
        match self.send(host, path, body, patience)? {
            Answer::Done(answer) => Ok(answer),
            Answer::Elsewhere(_) | Answer::Unavailable => Err(PeerError::Unavailable),
        }
    }

    /// Seals a message of this cluster.
    ///
    /// # Errors
    ///
    /// [`PeerError::Wire`] for a value that the format cannot hold.
    pub fn seal<T: Serialize>(&self, path: &str, ask: &T) -> Result<Vec<u8>, PeerError> {
        self.sealer.seal(path, ask).map_err(PeerError::Wire)
    }

    /// Takes over the hosts that the group itself names.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>) {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        if hosts.is_empty() || known.hosts == hosts {
            return;
        }
        let preferred = known.hosts.get(known.first).copied();
        let first = hosts.iter().position(|host| Some(*host) == preferred);
        *known = Known {
            hosts,
            first: first.unwrap_or_default(),
        };
    }

    /// Adds hosts that the settings name now.
    pub fn add_hosts(&self, hosts: &[SocketAddr]) {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        for host in hosts {
            if !known.hosts.contains(host) {
                known.hosts.push(*host);
            }
        }
    }

    /// Begins with another host than other processes do.
    pub fn rotate(&self, random: u64) {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        let hosts = known.hosts.len().max(1) as u64;
        known.first = usize::try_from(random % hosts).unwrap_or_default();
    }

    /// The hosts to be asked, the hinted or last useful one first.
    pub fn host_order(&self, hint: Option<SocketAddr>) -> Vec<SocketAddr> {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        let first = known.first.min(known.hosts.len());
        let turned = known.hosts[first..]
            .iter()
            .chain(&known.hosts[..first])
            .copied();
        let rest = turned.filter(|host| Some(*host) != hint);
        hint.into_iter().chain(rest).collect()
    }

    /// Asks this host first from now on.
    pub fn prefer(&self, host: SocketAddr) {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(at) = known.hosts.iter().position(|other| *other == host) {
            known.first = at;
        }
    }
}
