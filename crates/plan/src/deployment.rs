//! The replicated aggregate: the plan in force and the closed zones.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

/// A plan's document as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// The version it carries.
    pub version: u64,
    /// Its bytes; operators read back exactly these.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// The plan in force and the closed zones, under a generation that rises with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Deployment {
    generation: u64,
    document: Option<Document>,
    closed: BTreeSet<String>,
}

/// The list of endpoints as the leader of the control group read it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Directory {
    /// Rises with each list that differs from the one before, also over leaders.
    pub version: u64,
    /// The list's pages as they were read.
    pub pages: Vec<serde_bytes::ByteBuf>,
}

/// What a follower of the deployment holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeploymentSnapshot {
    /// The generation.
    pub generation: u64,
    /// The plan in force; none before the first.
    pub document: Option<Document>,
    /// The zones that get no new work.
    pub closed: Vec<String>,
}

impl Deployment {
    /// The generation: 0 at first, one more for each change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The plan in force.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Puts a document in force if its version is above the one held. Returns whether it did.
    ///
    /// Another document under the version held, and any older one, changes nothing.
    pub fn install(&mut self, document: Document) -> bool {
        let held = self.document.as_ref().map(|held| held.version);
        if held.is_some_and(|held| document.version <= held) {
            return false;
        }
        self.document = Some(document);
        self.generation += 1;
        true
    }

    /// Closes or opens a zone. Returns whether that changed anything.
    pub fn set_zone(&mut self, zone: &str, closed: bool) -> bool {
        let changed = if closed {
            self.closed.insert(zone.to_owned())
        } else {
            self.closed.remove(zone)
        };
        self.generation += u64::from(changed);
        changed
    }

    /// What a follower needs.
    pub fn snapshot(&self) -> DeploymentSnapshot {
        DeploymentSnapshot {
            generation: self.generation,
            document: self.document.clone(),
            closed: self.closed.iter().cloned().collect(),
        }
    }
}
