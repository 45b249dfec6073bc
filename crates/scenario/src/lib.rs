//! Runs scenario files against the decision cores of all roles under a simulated clock.
//!
//! A [`Simulation`] holds control hosts, entries and agents. [`Simulation::run`] executes one
//! directive of a scenario and returns its output. The simulated network delivers each message
//! after a fixed delay or, across a partition, not at all.
//!
//! | Directive | Effect |
//! |---|---|
//! | `cluster controls=N entries=N agents=N` | starts the nodes; first in every file |
//! | `call ENTRY key=K request-key=R body=B label=L wait=MS` | sends a client's request |
//! | `withdraw KEY`, `zone ZONE open\|closed`, `account NAME` | propose a change; also `base=REVISION label=L wait=MS` |
//! | `cut NODE [NODE]`, `heal` | block a link or all links of a node; unblock all |
//! | `pause NODE`, `resume [NODE]` | queue the events of a node; deliver them |
//! | `crash NODE`, `restart NODE` | stop a node; start it again |
//! | `drift NODE N` | makes a clock advance N units for each 1000 of true time |
//! | `fail-disk NODE` | makes appends to a control host's log fail |
//! | `hold`, `finish` | hold back responses of back ends; send them |
//! | `advance MS` | advances the simulated time |
//! | `leader`, `lease`, `runs`, `revisions` | report the lease holder, whether exactly one host holds the lease, executions by request, configuration revisions |
//!
//! Nodes are named `c0`, `e0` and `a0` (control hosts, entries, agents); `leader` names the control
//! host that holds the lease.

mod calls;
mod control_host;
mod directive;
mod faults;
mod node;
mod report;
mod setup;
mod simulation;
mod stepping;
mod traffic;

pub use directive::{
    Directive,
    DirectiveError, //
};
pub use simulation::Simulation;
