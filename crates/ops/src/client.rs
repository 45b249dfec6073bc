//! Calls to the operators' interface.

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
    ConfigAnswer,
    ErrorAnswer,
    KeyAnswer,
    NewKey,
    NewMember,
    Propose,
    ProposeAnswer,
    StatusAnswer,
    UsageAnswer, //
};

/// How long one call may take.
const CALL_PATIENCE: Duration = Duration::from_secs(3);
/// How long a leader is looked for.
const LEADER_PATIENCE: Duration = Duration::from_secs(15);
/// Pause before another round over the hosts, and between two looks at who has confirmed.
const PAUSE: Duration = Duration::from_millis(150);

/// Why an operator's request was not carried out.
#[derive(Debug)]
pub enum OperatorError {
    /// No control host could be reached: the last fault.
    Unreachable(String),
    /// The control group refused: status and reason.
    Rejected(u16, String),
    /// The answer was not understood.
    InvalidResponse(String),
    /// Made on another revision than the current one, or breaks a rule.
    NotAccepted(Box<Verdict>),
    /// Not every process confirmed the revision in time.
    NotConfirmed(Revision),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(fault) => write!(f, "no control host answered: {fault}"),
            Self::Rejected(_, text) => f.write_str(text),
            Self::InvalidResponse(fault) => write!(f, "the answer was not understood: {fault}"),
            Self::NotAccepted(verdict) => write_verdict(f, verdict),
            Self::NotConfirmed(revision) => {
                write!(
                    f,
                    "revision {revision} was not confirmed by every process in time"
                )
            }
        }
    }
}

fn write_verdict(f: &mut fmt::Formatter<'_>, verdict: &Verdict) -> fmt::Result {
    match verdict {
        Verdict::Accepted(revision) => write!(f, "accepted as revision {revision}"),
        Verdict::Conflict { current, since } => {
            write!(f, "the configuration is at revision {current} by now")?;
            for accepted in since {
                for change in &accepted.changes {
                    let (revision, operator) = (accepted.revision, &accepted.operator);
                    write!(f, "\n  revision {revision} by {operator}: {change}")?;
                }
            }
            Ok(())
        }
        Verdict::Invalid(fault) => write!(f, "{fault}"),
        Verdict::NameReused(name) => {
            write!(
                f,
                "the request name {:?} was used for other changes",
                name.as_ref()
            )
        }
    }
}

impl std::error::Error for OperatorError {}

/// An operator at the control group.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    hosts: Vec<SocketAddr>,
    key: Secret,
}

impl OperatorClient {
    /// An operator with a key, who knows some control hosts.
    pub fn new(hosts: Vec<SocketAddr>, key: Secret) -> Self {
        Self { hosts, key }
    }

    /// Where each control host that answers stands.
    ///
    /// # Errors
    ///
    /// [`OperatorError`] if none answers.
    pub fn status(&self) -> Result<Vec<StatusAnswer>, OperatorError> {
        let mut hosts = self.hosts.clone();
        let mut answers: Vec<StatusAnswer> = Vec::new();
        let mut last = None;
        let mut at = 0;
        while at < hosts.len() {
            match self.call_one::<(), StatusAnswer>(hosts[at], "GET", "/v1/status", None) {
                Ok(answer) => {
                    let more = answer.members.iter().map(|m| m.address);
                    let more: Vec<_> = more.filter(|a| !hosts.contains(a)).collect();
                    hosts.extend(more);
                    answers.push(answer);
                }
                Err(fault) => last = Some(fault),
            }
            at += 1;
        }
        match last {
            Some(fault) if answers.is_empty() => Err(fault),
            _ => Ok(answers),
        }
    }

    /// The configuration in force, confirmed by the leader.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub fn config(&self) -> Result<ConfigAnswer, OperatorError> {
        self.call::<(), _>("GET", "/v1/config", None)
    }

    /// The usage windows.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub fn usage(&self) -> Result<UsageAnswer, OperatorError> {
        self.call::<(), _>("GET", "/v1/usage", None)
    }

    /// Proposes changes made on a revision. Resends after a lost answer under the same name.
    ///
    /// # Errors
    ///
    /// [`OperatorError::NotAccepted`] if they were not accepted; otherwise as for any call.
    pub fn propose(&self, base: Revision, changes: Vec<Change>) -> Result<Revision, OperatorError> {
        let name = format!("p-{:032x}", rand::random::<u128>());
        let name = ProposalName::try_from(name.as_str());
        let propose = Propose {
            name: name.map_err(|fault| OperatorError::InvalidResponse(fault.to_string()))?,
            base,
            changes,
        };
        let answer: ProposeAnswer = self.call("POST", "/v1/changes", Some(&propose))?;
        match answer.verdict {
            Verdict::Accepted(revision) => Ok(revision),
            verdict => Err(OperatorError::NotAccepted(Box::new(verdict))),
        }
    }

    /// Proposes changes on whatever the current revision is. Meant for changes that do not depend
    /// on the rest of the configuration; repeated if another change came in between.
    ///
    /// # Errors
    ///
    /// As [`OperatorClient::propose`].
    pub fn propose_on_latest(&self, changes: &[Change]) -> Result<Revision, OperatorError> {
        const TRIES: usize = 8;
        let mut base = self.config()?.revision;
        for _ in 1..TRIES {
            match self.propose(base, changes.to_vec()) {
                Err(OperatorError::NotAccepted(verdict)) => match *verdict {
                    Verdict::Conflict { current, .. } => base = current,
                    verdict => return Err(OperatorError::NotAccepted(Box::new(verdict))),
                },
                done => return done,
            }
        }
        self.propose(base, changes.to_vec())
    }

    /// Waits until every process that goes by a view has confirmed a revision.
    ///
    /// # Errors
    ///
    /// [`OperatorError::NotConfirmed`] after `patience`.
    pub fn wait_applied(
        &self,
        revision: Revision,
        patience: Duration,
    ) -> Result<(), OperatorError> {
        let end = Instant::now() + patience;
        loop {
            let hosts = self.status()?;
            let viewers = hosts.iter().flat_map(|host| &host.viewers);
            let mut live = viewers.filter(|viewer| viewer.fresh_ms > 0);
            if live.all(|viewer| viewer.revision >= revision) {
                return Ok(());
            }
            if Instant::now() >= end {
                return Err(OperatorError::NotConfirmed(revision));
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Creates a key. Its clear text is in this answer and nowhere else.
    ///
    /// # Errors
    ///
    /// [`OperatorError`]. After a lost answer the key may exist; withdraw it by its name.
    pub fn new_key(&self, key: &NewKey) -> Result<KeyAnswer, OperatorError> {
        self.call("POST", "/v1/keys", Some(key))
    }

    /// Adds a host to the control group.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub fn add_member(&self, member: &NewMember) -> Result<(), OperatorError> {
        self.call("POST", "/v1/members", Some(member))
    }

    /// Removes a host from the control group.
    ///
    /// # Errors
    ///
    /// [`OperatorError`].
    pub fn remove_member(&self, id: &str) -> Result<(), OperatorError> {
        self.call::<(), _>("DELETE", &format!("/v1/members/{id}"), None)
    }

    /// Calls whichever host can do it, following hints to the leader.
    fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<R, OperatorError> {
        let end = Instant::now() + LEADER_PATIENCE;
        let mut hint = None;
        loop {
            let mut last = OperatorError::Unreachable("none is known".to_owned());
            let hosts: Vec<_> = hint
                .take()
                .into_iter()
                .chain(self.hosts.iter().copied())
                .collect();
            for host in hosts {
                match self.call_one(host, method, path, body) {
                    Err(OperatorError::Rejected(421, text)) => {
                        hint = text.parse().ok();
                        last = OperatorError::Unreachable(
                            "no host leads the control group".to_owned(),
                        );
                        if hint.is_some() {
                            break;
                        }
                    }
                    Err(
                        fault @ (OperatorError::Rejected(503, _) | OperatorError::Unreachable(_)),
                    ) => last = fault,
                    done => return done,
                }
            }
            if Instant::now() >= end {
                return Err(last);
            }
            std::thread::sleep(PAUSE);
        }
    }

    fn call_one<T: Serialize, R: DeserializeOwned>(
        &self,
        host: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&T>,
    ) -> Result<R, OperatorError> {
        let malformed =
            |fault: serde_json::Error| OperatorError::InvalidResponse(fault.to_string());
        let body = body
            .map(serde_json::to_vec)
            .transpose()
            .map_err(malformed)?;
        let field = format!("Bearer {}", self.key.reveal());
        let headers = [
            ("authorization", field.as_str()),
            ("content-type", "application/json"),
        ];
        let client = Client::new(CALL_PATIENCE);
        let reply = client.call(host, method, path, &headers, body.unwrap_or_default());
        let reply =
            reply.map_err(|fault: CallError| OperatorError::Unreachable(fault.to_string()))?;
        // A verdict comes with the status of its kind and is an answer all the same.
        if reply.status == 200 || path == "/v1/changes" && matches!(reply.status, 409 | 422) {
            return serde_json::from_slice(&reply.body).map_err(malformed);
        }
        let answer: ErrorAnswer = serde_json::from_slice(&reply.body).map_err(malformed)?;
        let text = match answer.leader {
            Some(leader) if reply.status == 421 => leader.to_string(),
            _ => answer.error,
        };
        Err(OperatorError::Rejected(reply.status, text))
    }
}
