//! The aggregate that the control group replicates: the current plan and the closed zones.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// A plan's document as the operator sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// The version of the plan.
    pub version: u64,
    /// The unmodified bytes, which copies of the document share. An operator who reads the plan gets
    /// exactly these.
    pub bytes: Bytes,
}

/// The current plan and the closed zones. Each change increments the generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Deployment {
    generation: u64,
    document: Option<Document>,
    closed: BTreeSet<String>,
}

/// The versioned set of endpoints that the control group distributes to fronts. The leader of the
/// group reads it from the platform's listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Directory {
    /// Increases when the listing changes, and when a new leader first reads it.
    pub version: u64,
    /// The unmodified pages of the platform's listing.
    pub pages: Vec<serde_bytes::ByteBuf>,
}

/// A control process that distributes the deployment and the directory to the fronts of its zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Distributor {
    /// The address at which it serves other processes.
    pub address: SocketAddr,
    /// Its availability zone; empty if unknown.
    pub zone: String,
}

/// The deployment at one generation, as replicas receive it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeploymentSnapshot {
    /// The generation of the deployment.
    pub generation: u64,
    /// The current plan; `None` before the first plan is installed.
    pub document: Option<Document>,
    /// The zones that get no new requests.
    pub closed: Vec<String>,
}

impl Deployment {
    /// Returns the generation: initially 0, incremented by each change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the current plan.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Replaces the current plan if the version of `document` is higher. Returns whether it did.
    ///
    /// A document with the current version or a lower one changes nothing, whatever its content.
    pub fn install(&mut self, document: Document) -> bool {
        let current = self.document.as_ref().map(|current| current.version);
        if current.is_some_and(|current| document.version <= current) {
            return false;
        }
        self.document = Some(document);
        self.generation += 1;
        true
    }

    /// Closes or opens a zone. Returns whether the zone's state changed.
    pub fn set_zone(&mut self, zone: &str, closed: bool) -> bool {
        let changed = if closed {
            self.closed.insert(zone.to_owned())
        } else {
            self.closed.remove(zone)
        };
        self.generation += u64::from(changed);
        changed
    }

    /// Returns the current state for replicas.
    pub fn snapshot(&self) -> DeploymentSnapshot {
        DeploymentSnapshot {
            generation: self.generation,
            document: self.document.clone(),
            closed: self.closed.iter().cloned().collect(),
        }
    }
}
