//! The replicated state machine. It is deterministic: the same commands in the same order give the
//! same state on every host.

use conf::{
    ChangeError,
    Registry,
    RegistryState, //
};
use ledger::Ledger;
use plan::Deployment;
use quarantine::{
    Quarantine,
    Record, //
};
use rollout::Orders;
use serde::ser::SerializeStruct;
use serde::{
    Deserialize,
    Serialize,
    Serializer, //
};
use usage::{
    Statements,
    UsageWindows, //
};

use crate::command::{
    Command,
    Outcome, //
};

/// The state that the control group replicates.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    /// The configuration.
    pub registry: Registry,
    /// Claims of requests.
    pub ledger: Ledger,
    /// Usage windows of agents' reports.
    pub usage: UsageWindows,
    /// The installed plan and the closed zones.
    pub deployment: Deployment,
    /// Usage windows of the wall clock, from fronts' tallies.
    pub statements: Statements,
    /// The prompt parts in quarantine.
    pub quarantine: Quarantine,
    /// The orders of rollouts.
    pub rollouts: Orders,
    /// The crashes that count against requests and prompt parts.
    pub crashes: Record,
}

/// The stored form of a [`Machine`].
// Parts at the end are not stored before their first change, so that hosts of the versions before can
// load the snapshot.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct MachineSnapshot {
    registry: RegistryState,
    ledger: Ledger,
    usage: UsageWindows,
    deployment: Deployment,
    statements: Statements,
    #[serde(default)]
    quarantine: Quarantine,
    #[serde(default)]
    rollouts: Orders,
    #[serde(default)]
    crashes: Record,
}

impl Serialize for MachineSnapshot {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        // The fields have no names, so each one is stored with those behind it.
        let crashes = self.crashes.version() > 0;
        let orders = crashes || self.rollouts.version() > 0;
        let quarantine = orders || self.quarantine.version() > 0;
        let count = 5 + usize::from(quarantine) + usize::from(orders) + usize::from(crashes);
        let mut out = s.serialize_struct("MachineSnapshot", count)?;
        out.serialize_field("registry", &self.registry)?;
        out.serialize_field("ledger", &self.ledger)?;
        out.serialize_field("usage", &self.usage)?;
        out.serialize_field("deployment", &self.deployment)?;
        out.serialize_field("statements", &self.statements)?;
        if quarantine {
            out.serialize_field("quarantine", &self.quarantine)?;
        }
        if orders {
            out.serialize_field("rollouts", &self.rollouts)?;
        }
        if crashes {
            out.serialize_field("crashes", &self.crashes)?;
        }
        out.end()
    }
}

impl Machine {
    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command {
            Command::Propose(proposal) => Outcome::Verdict(self.registry.decide(&proposal)),
            Command::Claim {
                key,
                fingerprint,
                attempt,
                now,
            } => Outcome::Claimed(self.ledger.claim(key, fingerprint, attempt, now)),
            Command::Settle {
                key,
                attempt,
                settlement,
            } => Outcome::Settled(self.ledger.settle(&key, attempt, settlement)),
            Command::MergeUsage(report) => {
                self.usage.merge(&report);
                Outcome::Applied
            }
            Command::SealWindow { number, end } => {
                self.usage.seal(number, end);
                Outcome::Applied
            }
            Command::AcceptWindow(number) => {
                self.usage.accept(number);
                Outcome::Applied
            }
            Command::Install(document) => {
                self.deployment.install(document);
                Outcome::Applied
            }
            Command::SetZoneClosed(zone, closed) => {
                self.deployment.set_zone(&zone, closed);
                Outcome::Applied
            }
            Command::RecordTallies(tallies) => {
                tallies
                    .into_iter()
                    .for_each(|tally| self.statements.record(tally));
                Outcome::Applied
            }
            Command::SealStatement(window) => {
                self.statements.seal(window);
                Outcome::Applied
            }
            Command::AcceptStatement(window) => {
                self.statements.accept(window);
                Outcome::Applied
            }
            Command::Quarantine(sentences) => {
                self.quarantine.impose(sentences);
                Outcome::Applied
            }
            Command::Release(parts) => {
                self.quarantine.lift(&parts);
                Outcome::Applied
            }
            Command::RecordCrashes { at_ms, evidence } => {
                self.crashes.add(at_ms, &evidence);
                Outcome::CrashesRecorded
            }
            Command::Rollout(change) => Outcome::Rollout(self.rollouts.apply(change)),
        }
    }

    /// Returns the state in its stored form.
    pub fn export(&self) -> MachineSnapshot {
        MachineSnapshot {
            registry: self.registry.export(),
            ledger: self.ledger.clone(),
            usage: self.usage.clone(),
            deployment: self.deployment.clone(),
            statements: self.statements.clone(),
            quarantine: self.quarantine.clone(),
            rollouts: self.rollouts.clone(),
            crashes: self.crashes.clone(),
        }
    }
}

impl TryFrom<MachineSnapshot> for Machine {
    type Error = ChangeError;

    fn try_from(state: MachineSnapshot) -> Result<Self, ChangeError> {
        Ok(Self {
            registry: state.registry.try_into()?,
            ledger: state.ledger,
            usage: state.usage,
            deployment: state.deployment,
            statements: state.statements,
            quarantine: state.quarantine,
            rollouts: state.rollouts,
            crashes: state.crashes,
        })
    }
}
