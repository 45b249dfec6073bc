//! Client for the operators' HTTP API of the control group.

use std::fmt;
use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

use conf::{
    Change,
    Verdict, //
};
use edge::{
    CallError,
    Client, //
};
use ids::{
    ProposalName,
    Revision,
    Secret, //
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{
    ConfigResponse,
    ErrorResponse,
    KeyResponse,
    NewKey,
    NewMember,
    ProposeRequest,
    ProposeResponse,
    StatusResponse,
    UsageResponse, //
};

/// Timeout of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which the client stops searching for a leader that executes a request.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause before the control hosts are tried again, and between two polls for the applied revision.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Why an operator's request failed.
#[derive(Debug)]
pub enum OperatorError {
    /// No control host could be reached, or none leads the group. Holds the last error.
    Unreachable(String),
    /// The control group rejected the request. Holds the HTTP status and the reason.
    Rejected(u16, String),
    /// A request could not be encoded, or a response or the configuration could not be decoded.
    InvalidResponse(String),
    /// The control group did not accept the proposed changes: they conflict with a newer revision or
    /// are invalid.
    NotAccepted(Box<Verdict>),
    /// Not every subscribed process applied the revision before the timeout.
    NotConfirmed(Revision),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(error) => write!(f, "the control group is unavailable: {error}"),
            Self::Rejected(_, text) => f.write_str(text),
            Self::InvalidResponse(error) => {
                write!(f, "invalid message to or from the control group: {error}")
            }
            Self::NotAccepted(verdict) => write_verdict(f, verdict),
            Self::NotConfirmed(revision) => {
                write!(
                    f,
                    "timed out before every process applied revision {revision}"
                )
            }
        }
    }
}

fn write_verdict(f: &mut fmt::Formatter<'_>, verdict: &Verdict) -> fmt::Result {
    match verdict {
        Verdict::Accepted(revision) => write!(f, "accepted as revision {revision}"),
        Verdict::Conflict { current, since } => {
            write!(
                f,
                "conflict: the configuration is now at revision {current}"
            )?;
            for accepted in since {
                for change in &accepted.changes {
                    let (revision, operator) = (accepted.revision, &accepted.operator);
                    write!(f, "\n  revision {revision} by {operator}: {change}")?;
                }
            }
            Ok(())
        }
        Verdict::Invalid(error) => write!(f, "{error}"),
        Verdict::NameReused(name) => {
            write!(
                f,
                "the proposal name {:?} was already used for different changes",
                name.as_ref()
            )
        }
    }
}

impl std::error::Error for OperatorError {}

/// Client of the control group that authenticates with an operator's key.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    hosts: Vec<SocketAddr>,
    key: Secret,
}

impl OperatorClient {
    /// Creates a client that contacts the given control hosts.
    pub fn new(hosts: Vec<SocketAddr>, key: Secret) -> Self {
        Self { hosts, key }
    }

    /// Returns the status of each control host that responds. Sends the request to the configured hosts
    /// and to the group members that their responses name.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if no host responds.
    pub fn status(&self) -> Result<Vec<StatusResponse>, OperatorError> {
        let mut hosts = self.hosts.clone();
        let mut responses: Vec<StatusResponse> = Vec::new();
        let mut last_error = None;
        let mut next = 0;
        while next < hosts.len() {
            match self.request_from::<(), StatusResponse>(hosts[next], "GET", "/v1/status", None) {
                Ok(status) => {
                    let members = status.members.iter().map(|m| m.address);
                    let unknown: Vec<_> = members.filter(|a| !hosts.contains(a)).collect();
                    hosts.extend(unknown);
                    responses.push(status);
                }
                Err(error) => last_error = Some(error),
            }
            next += 1;
        }
        match last_error {
            Some(error) if responses.is_empty() => Err(error),
            _ => Ok(responses),
        }
    }

    /// Returns the current configuration, as confirmed by the leader.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if the request fails.
    pub fn config(&self) -> Result<ConfigResponse, OperatorError> {
        self.request::<(), _>("GET", "/v1/config", None)
    }

    /// Returns the usage windows.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if the request fails.
    pub fn usage(&self) -> Result<UsageResponse, OperatorError> {
        self.request::<(), _>("GET", "/v1/usage", None)
    }

    /// Proposes changes that are based on a revision. A retry after a lost response reuses the
    /// proposal's name, so that the control group applies the changes at most once.
    ///
    /// # Errors
    ///
    /// [`OperatorError::NotAccepted`] if the changes conflict or are invalid; other variants if the
    /// request fails.
    pub fn propose(&self, base: Revision, changes: Vec<Change>) -> Result<Revision, OperatorError> {
        let name = format!("p-{:032x}", rand::random::<u128>());
        let name = ProposalName::try_from(name.as_str());
        let proposal = ProposeRequest {
            name: name.map_err(|error| OperatorError::InvalidResponse(error.to_string()))?,
            base,
            changes,
        };
        let response: ProposeResponse = self.request("POST", "/v1/changes", Some(&proposal))?;
        match response.verdict {
            Verdict::Accepted(revision) => Ok(revision),
            verdict => Err(OperatorError::NotAccepted(Box::new(verdict))),
        }
    }

    /// Proposes changes based on the current revision, and retries on the new revision if another
    /// change is accepted in between. Only for changes that do not depend on the rest of the
    /// configuration.
    ///
    /// # Errors
    ///
    /// As [`OperatorClient::propose`].
    pub fn propose_on_latest(&self, changes: &[Change]) -> Result<Revision, OperatorError> {
        const MAX_ATTEMPTS: usize = 8;
        let mut base = self.config()?.revision;
        for _ in 1..MAX_ATTEMPTS {
            match self.propose(base, changes.to_vec()) {
                Err(OperatorError::NotAccepted(verdict)) => match *verdict {
                    Verdict::Conflict { current, .. } => base = current,
                    verdict => return Err(OperatorError::NotAccepted(Box::new(verdict))),
                },
                result => return result,
            }
        }
        self.propose(base, changes.to_vec())
    }

    /// Waits until every process with a valid view of the configuration has applied a revision.
    ///
    /// # Errors
    ///
    /// [`OperatorError::NotConfirmed`] after `timeout`; other variants if a status request fails.
    pub fn wait_applied(&self, revision: Revision, timeout: Duration) -> Result<(), OperatorError> {
        let deadline = Instant::now() + timeout;
        loop {
            let hosts = self.status()?;
            let subscribers = hosts.iter().flat_map(|host| &host.viewers);
            let mut valid = subscribers.filter(|subscriber| subscriber.fresh_ms > 0);
            if valid.all(|subscriber| subscriber.revision >= revision) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(OperatorError::NotConfirmed(revision));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Creates a key. Only this response contains the key in clear text.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if the request fails. If the response is lost, the key may exist; withdraw it
    /// by its name.
    pub fn new_key(&self, key: &NewKey) -> Result<KeyResponse, OperatorError> {
        self.request("POST", "/v1/keys", Some(key))
    }

    /// Adds a host to the control group.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if the request fails.
    pub fn add_member(&self, member: &NewMember) -> Result<(), OperatorError> {
        self.request("POST", "/v1/members", Some(member))
    }

    /// Removes a host from the control group.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if the request fails.
    pub fn remove_member(&self, id: &str) -> Result<(), OperatorError> {
        self.request::<(), _>("DELETE", &format!("/v1/members/{id}"), None)
    }

    /// Sends a request to each control host in turn until one executes it. A host that is not the
    /// leader rejects the request with status 421 and may name the leader, which is tried next.
    fn request<T: Serialize, R: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<R, OperatorError> {
        let deadline = Instant::now() + LEADER_TIMEOUT;
        let mut leader_hint = None;
        loop {
            let mut last_error =
                OperatorError::Unreachable("no control host is configured".to_owned());
            let hosts: Vec<_> = leader_hint
                .take()
                .into_iter()
                .chain(self.hosts.iter().copied())
                .collect();
            for host in hosts {
                match self.request_from(host, method, path, body) {
                    Err(OperatorError::Rejected(421, text)) => {
                        leader_hint = text.parse().ok();
                        last_error =
                            OperatorError::Unreachable("no control host is the leader".to_owned());
                        if leader_hint.is_some() {
                            break;
                        }
                    }
                    Err(
                        error @ (OperatorError::Rejected(503, _) | OperatorError::Unreachable(_)),
                    ) => last_error = error,
                    result => return result,
                }
            }
            if Instant::now() >= deadline {
                return Err(last_error);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a request to one control host and decodes the response.
    fn request_from<T: Serialize, R: DeserializeOwned>(
        &self,
        host: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<R, OperatorError> {
        let invalid = |error: serde_json::Error| OperatorError::InvalidResponse(error.to_string());
        let body = body.map(serde_json::to_vec).transpose().map_err(invalid)?;
        let authorization = format!("Bearer {}", self.key.reveal());
        let headers = [
            ("authorization", authorization.as_str()),
            ("content-type", "application/json"),
        ];
        let client = Client::new(REQUEST_TIMEOUT);
        let response = client.call(host, method, path, &headers, body.unwrap_or_default());
        let response =
            response.map_err(|error: CallError| OperatorError::Unreachable(error.to_string()))?;
        // For a proposal that is not accepted the status is 409 or 422 and the body is the verdict.
        if response.status == 200 || path == "/v1/changes" && matches!(response.status, 409 | 422) {
            return serde_json::from_slice(&response.body).map_err(invalid);
        }
        let error: ErrorResponse = serde_json::from_slice(&response.body).map_err(invalid)?;
        let text = match error.leader {
            Some(leader) if response.status == 421 => leader.to_string(),
            _ => error.error,
        };
        Err(OperatorError::Rejected(response.status, text))
    }
}
