//! How entries and agents follow the configuration: forward only, without gaps.

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

/// What brings a follower to a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Update {
    /// The revision reached.
    pub revision: Revision,
    /// How it is reached.
    pub content: Content,
}

/// The content of an [`Update`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Content {
    /// The follower has that revision already.
    Same,
    /// The accepted proposals in between, oldest first.
    Delta(Vec<Accepted>),
    /// The whole configuration.
    Full(Vec<Change>),
}

/// Why an update was not taken; the configuration is as before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// It leads to an older revision than the follower's: offered, held.
    Older(Revision, Revision),
    /// It does not begin at the follower's revision: offered, held.
    Gap(Revision, Revision),
    /// It breaks a rule, so it was made by another configuration.
    Invalid(ChangeError),
}

impl fmt::Display for UpdateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Older(offered, held) => {
                write!(f, "revision {offered} is older than revision {held}")
            }
            Self::Gap(offered, held) => {
                write!(
                    f,
                    "the update to revision {offered} does not begin at revision {held}"
                )
            }
            Self::Invalid(fault) => write!(f, "the update breaks a rule: {fault}"),
        }
    }
}

impl std::error::Error for UpdateError {}

impl Config {
    /// Moves forward by an update. Returns whether anything changed.
    ///
    /// # Errors
    ///
    /// [`UpdateError`] if the update would move back, leaves a gap or breaks a rule.
    pub fn apply_update(&mut self, update: &Update) -> Result<bool, UpdateError> {
        let held = self.revision();
        if update.revision < held {
            return Err(UpdateError::Older(update.revision, held));
        }
        match &update.content {
            Content::Same if update.revision != held => {
                return Err(UpdateError::Gap(update.revision, held));
            }
            Content::Same => {}
            Content::Full(_) if update.revision == held => {}
            Content::Full(changes) => {
                *self = Self::import(update.revision, changes).map_err(UpdateError::Invalid)?;
            }
            Content::Delta(accepted) => self.apply_delta(update.revision, accepted)?,
        }
        Ok(self.revision() != held)
    }

    fn apply_delta(&mut self, to: Revision, accepted: &[Accepted]) -> Result<(), UpdateError> {
        let mut next = self.clone();
        for step in accepted
            .iter()
            .filter(|step| step.revision > self.revision())
        {
            if step.revision != next.revision().next() {
                return Err(UpdateError::Gap(to, self.revision()));
            }
            next.apply_all(&step.changes)
                .map_err(UpdateError::Invalid)?;
        }
        if next.revision() != to {
            return Err(UpdateError::Gap(to, self.revision()));
        }
        *self = next;
        Ok(())
    }
}
