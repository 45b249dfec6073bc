//! The registry applies operators' proposals in order, detects retries and conflicts, and keeps a
//! bounded history of accepted proposals.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use ids::{
    OperatorName,
    ProposalName,
    Revision, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::change::{
    Change,
    ChangeError, //
};
use crate::config::Config;
use crate::update::{
    Content,
    Update, //
};

/// Number of accepted proposals retained for deltas and conflict reports.
const MAX_HISTORY: usize = 1024;
/// Number of decided proposals retained to respond to retries with the original verdict.
const MAX_DECIDED: usize = 16_384;

/// A request to change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// Idempotency key of the request; a retry gets the verdict of the first request.
    pub name: ProposalName,
    /// The operator who sent the proposal.
    pub operator: OperatorName,
    /// The revision that the proposal is based on; `None` for changes that do not depend on others,
    /// such as a new key.
    pub base: Option<Revision>,
    /// The changes, which are applied atomically.
    pub changes: Vec<Change>,
}

/// An accepted proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that the proposal created.
    pub revision: Revision,
    /// The operator who sent the proposal.
    pub operator: OperatorName,
    /// The applied changes.
    pub changes: Vec<Change>,
}

/// The decision on a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The proposal was applied and created this revision.
    Accepted(Revision),
    /// The proposal is based on a revision other than the current one.
    Conflict {
        /// The current revision.
        current: Revision,
        /// The proposals accepted after the proposal's base revision; empty if the history does not
        /// reach back that far.
        since: Vec<Accepted>,
    },
    /// The proposal violates an invariant of the configuration.
    Invalid(ChangeError),
    /// A proposal with the same name and different content was decided before.
    NameReused(ProposalName),
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Decided {
    proposal: Proposal,
    verdict: Verdict,
}

/// The configuration with its history and the proposals decided recently.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    config: Config,
    history: VecDeque<Accepted>,
    decided: BTreeMap<ProposalName, Decided>,
    /// Names of the decided proposals, oldest first.
    decided_order: VecDeque<ProposalName>,
}

/// The state of a [`Registry`] in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegistryState {
    revision: Revision,
    changes: Vec<Change>,
    history: VecDeque<Accepted>,
    decided: Vec<Decided>,
}

impl Registry {
    /// Returns the current configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Applies or rejects a proposal. Decisions are deterministic: registries that receive the same
    /// proposals in the same order reach the same verdicts.
    pub fn decide(&mut self, proposal: &Proposal) -> Verdict {
        if let Some(decided) = self.decided.get(&proposal.name) {
            if decided.proposal != *proposal {
                return Verdict::NameReused(proposal.name.clone());
            }
            return decided.verdict.clone();
        }
        let verdict = self.evaluate(proposal);
        self.record(proposal, &verdict);
        verdict
    }

    /// Returns the update that brings a replica at `revision` to the current configuration.
    pub fn update_since(&self, revision: Revision) -> Update {
        let current = self.config.revision();
        let content = match self.accepted_since(revision) {
            Some(since) if since.is_empty() => Content::Same,
            Some(since) => Content::Delta(since),
            None => Content::Full(self.config.export()),
        };
        Update {
            revision: current,
            content,
        }
    }

    /// Returns the state for a snapshot.
    pub fn export(&self) -> RegistryState {
        RegistryState {
            revision: self.config.revision(),
            changes: self.config.export(),
            history: self.history.clone(),
            decided: self
                .decided_order
                .iter()
                .map(|name| self.decided[name].clone())
                .collect(),
        }
    }

    fn evaluate(&mut self, proposal: &Proposal) -> Verdict {
        let current = self.config.revision();
        if let Some(base) = proposal.base.filter(|base| *base != current) {
            return Verdict::Conflict {
                current,
                since: self.accepted_since(base).unwrap_or_default(),
            };
        }
        let revision = match self.config.apply_all(&proposal.changes) {
            Ok(revision) => revision,
            Err(error) => return Verdict::Invalid(error),
        };
        self.history.push_back(Accepted {
            revision,
            operator: proposal.operator.clone(),
            changes: proposal.changes.clone(),
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        Verdict::Accepted(revision)
    }

    fn record(&mut self, proposal: &Proposal, verdict: &Verdict) {
        let decided = Decided {
            proposal: proposal.clone(),
            verdict: verdict.clone(),
        };
        self.decided.insert(proposal.name.clone(), decided);
        self.decided_order.push_back(proposal.name.clone());
        if self.decided_order.len() <= MAX_DECIDED {
            return;
        }
        if let Some(oldest) = self.decided_order.pop_front() {
            self.decided.remove(&oldest);
        }
    }

    /// Returns the proposals accepted after `revision`, or `None` if `revision` is newer than the
    /// current revision or the history does not reach back to it.
    fn accepted_since(&self, revision: Revision) -> Option<Vec<Accepted>> {
        let current = self.config.revision();
        if revision == current {
            return Some(Vec::new());
        }
        let oldest = self.history.front()?.revision;
        if revision > current || revision.next() < oldest {
            return None;
        }
        let newer = self
            .history
            .iter()
            .filter(|accepted| accepted.revision > revision);
        Some(newer.cloned().collect())
    }
}

impl TryFrom<RegistryState> for Registry {
    type Error = ChangeError;

    fn try_from(state: RegistryState) -> Result<Self, ChangeError> {
        let decided_order = state
            .decided
            .iter()
            .map(|decided| decided.proposal.name.clone())
            .collect();
        let decided = state
            .decided
            .into_iter()
            .map(|decided| (decided.proposal.name.clone(), decided))
            .collect();
        Ok(Self {
            config: Config::import(state.revision, &state.changes)?,
            history: state.history,
            decided,
            decided_order,
        })
    }
}
