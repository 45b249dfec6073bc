//! Replication of the configuration to entries and agents. A replica only moves to newer revisions
//! and never skips one within a delta.

use std::fmt;

use ids::Revision;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::change::{
    Change,
    ChangeError, //
};
use crate::config::Config;
use crate::registry::Accepted;

/// A message that brings a replica to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// The revision after the update.
    pub revision: Revision,
    /// How the replica reaches that revision.
    pub content: Content,
}

/// The content of an [`Update`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Content {
    /// The replica already has that revision.
    Same,
    /// The accepted proposals between the replica's revision and the new one, oldest first.
    Delta(Vec<Accepted>),
    /// The complete configuration, as the changes that rebuild it.
    Full(Vec<Change>),
}

/// Why an update is rejected; the configuration is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// The update's revision is older than the replica's: the update's and the replica's revision.
    Older(Revision, Revision),
    /// The update does not connect to the replica's revision: the update's and the replica's
    /// revision.
    Gap(Revision, Revision),
    /// The update violates an invariant, so it was not created from this configuration.
    Invalid(ChangeError),
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Older(update, current) => write!(
                f,
                "the update to revision {update} is older than the current revision {current}"
            ),
            Self::Gap(update, current) => write!(
                f,
                "the update to revision {update} does not connect to the current revision {current}"
            ),
            Self::Invalid(error) => write!(f, "the update is invalid: {error}"),
        }
    }
}

impl std::error::Error for UpdateError {}

impl Config {
    /// Applies an update and returns whether the revision changed.
    ///
    /// # Errors
    ///
    /// Returns an [`UpdateError`] if the update's revision is older, if the update leaves a gap, or
    /// if it violates an invariant.
    pub fn apply_update(&mut self, update: &Update) -> Result<bool, UpdateError> {
        let current = self.revision();
        if update.revision < current {
            return Err(UpdateError::Older(update.revision, current));
        }
        match &update.content {
            Content::Same if update.revision != current => {
                return Err(UpdateError::Gap(update.revision, current));
            }
            Content::Same => {}
            Content::Full(_) if update.revision == current => {}
            Content::Full(changes) => {
                *self = Self::import(update.revision, changes).map_err(UpdateError::Invalid)?;
            }
            Content::Delta(accepted) => self.apply_delta(update.revision, accepted)?,
        }
        Ok(self.revision() != current)
    }

    fn apply_delta(&mut self, to: Revision, accepted: &[Accepted]) -> Result<(), UpdateError> {
        let mut next = self.clone();
        for proposal in accepted
            .iter()
            .filter(|proposal| proposal.revision > self.revision())
        {
            if proposal.revision != next.revision().next() {
                return Err(UpdateError::Gap(to, self.revision()));
            }
            next.apply_all(&proposal.changes)
                .map_err(UpdateError::Invalid)?;
        }
        if next.revision() != to {
            return Err(UpdateError::Gap(to, self.revision()));
        }
        *self = next;
        Ok(())
    }
}
