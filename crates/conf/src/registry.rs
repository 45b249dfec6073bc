//! Decides on operators' proposals: one line of revisions, duplicates recognised, history kept.

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

/// How many accepted proposals are kept for deltas and conflict reports.
const HISTORY_LEN: usize = 1024;
/// How many decided proposals are kept to answer resends.
const DECIDED_LEN: usize = 16_384;

/// A request to change the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Proposal {
    /// Names the request, so that a resend gets the first answer.
    pub name: ProposalName,
    /// Who asks.
    pub operator: OperatorName,
    /// The revision the request was made on; none for a change that does not depend on others,
    /// such as a new key.
    pub base: Option<Revision>,
    /// The changes, all or none.
    pub changes: Vec<Change>,
}

/// An accepted proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Accepted {
    /// The revision it made.
    pub revision: Revision,
    /// Who asked.
    pub operator: OperatorName,
    /// The changes.
    pub changes: Vec<Change>,
}

/// The answer to a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// In the configuration from this revision on.
    Accepted(Revision),
    /// Made on another revision than the current one.
    Conflict {
        /// The current revision.
        current: Revision,
        /// What was accepted since the proposal's base, as far as it is kept.
        since: Vec<Accepted>,
    },
    /// Breaks a rule of the configuration.
    Invalid(ChangeError),
    /// The name was used by a proposal with other content.
    NameReused(ProposalName),
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct Decided {
    proposal: Proposal,
    verdict: Verdict,
}

/// The configuration with its history.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    config: Config,
    history: VecDeque<Accepted>,
    decided: BTreeMap<ProposalName, Decided>,
    order: VecDeque<ProposalName>,
}

/// A [`Registry`] as a snapshot holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RegistryState {
    revision: Revision,
    changes: Vec<Change>,
    history: VecDeque<Accepted>,
    decided: Vec<Decided>,
}

impl Registry {
    /// The current configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Decides on a proposal. The same proposals in the same order give the same verdicts.
    pub fn decide(&mut self, proposal: &Proposal) -> Verdict {
        if let Some(decided) = self.decided.get(&proposal.name) {
            if decided.proposal != *proposal {
                return Verdict::NameReused(proposal.name.clone());
            }
            return decided.verdict.clone();
        }
        let verdict = self.judge(proposal);
        self.remember(proposal, &verdict);
        verdict
    }

    /// What a follower at `revision` needs to reach the current configuration.
    pub fn update_since(&self, revision: Revision) -> Update {
        let current = self.config.revision();
        let content = match self.since(revision) {
            Some(since) if since.is_empty() => Content::Same,
            Some(since) => Content::Delta(since),
            None => Content::Full(self.config.export()),
        };
        Update {
            revision: current,
            content,
        }
    }

    /// The registry as a snapshot holds it.
    pub fn export(&self) -> RegistryState {
        RegistryState {
            revision: self.config.revision(),
            changes: self.config.export(),
            history: self.history.clone(),
            decided: self
                .order
                .iter()
                .map(|name| self.decided[name].clone())
                .collect(),
        }
    }

    fn judge(&mut self, proposal: &Proposal) -> Verdict {
        let current = self.config.revision();
        if let Some(base) = proposal.base.filter(|base| *base != current) {
            return Verdict::Conflict {
                current,
                since: self.since(base).unwrap_or_default(),
            };
        }
        let revision = match self.config.apply_all(&proposal.changes) {
            Ok(revision) => revision,
            Err(fault) => return Verdict::Invalid(fault),
        };
        self.history.push_back(Accepted {
            revision,
            operator: proposal.operator.clone(),
            changes: proposal.changes.clone(),
        });
        if self.history.len() > HISTORY_LEN {
            self.history.pop_front();
        }
        Verdict::Accepted(revision)
    }

    fn remember(&mut self, proposal: &Proposal, verdict: &Verdict) {
        let decided = Decided {
            proposal: proposal.clone(),
            verdict: verdict.clone(),
        };
        self.decided.insert(proposal.name.clone(), decided);
        self.order.push_back(proposal.name.clone());
        if self.order.len() <= DECIDED_LEN {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.decided.remove(&oldest);
        }
    }

    /// What was accepted after `revision`; none if that is no longer kept or lies ahead.
    fn since(&self, revision: Revision) -> Option<Vec<Accepted>> {
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
        let order = state
            .decided
            .iter()
            .map(|d| d.proposal.name.clone())
            .collect();
        let decided = state
            .decided
            .into_iter()
            .map(|d| (d.proposal.name.clone(), d))
            .collect();
        Ok(Self {
            config: Config::import(state.revision, &state.changes)?,
            history: state.history,
            decided,
            order,
        })
    }
}
