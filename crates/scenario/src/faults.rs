//! Injected faults (partitions, pauses, crashes, failed disks) and proposals of operators.

use admit::{
    Agent,
    Tiered, //
};
use conf::{
    Change,
    Proposal, //
};
use fault::Kind;
use govern::Request;
use ids::Revision;
use route::AttemptOutcome;

use crate::directive::{
    Directive,
    DirectiveError, //
};
use crate::node::Node;
use crate::setup::new_entry;
use crate::simulation::{
    CALL_TIMEOUT_US,
    Caller,
    Event,
    NETWORK_DELAY_US,
    Simulation, //
};

impl Simulation {
    /// Blocks both directions between a node and another one, or between a node and all others.
    pub(crate) fn partition(&mut self, directive: &Directive) -> Result<(), DirectiveError> {
        let node = directive.node(0)?;
        let peers: Vec<_> = match directive.positional.get(1) {
            Some(_) => vec![directive.node(1)?],
            None => self.nodes(),
        };
        for peer in peers {
            self.blocked_links.extend([(node, peer), (peer, node)]);
        }
        Ok(())
    }

    pub(crate) fn nodes(&self) -> Vec<Node> {
        let controls = (0..self.hosts.len()).map(Node::Control);
        let entries = (0..self.entries.len()).map(Node::Entry);
        let agents = (0..self.agents.len()).map(Node::Agent);
        controls.chain(entries).chain(agents).collect()
    }

    /// Resumes a paused node: delivers its queued events in order.
    pub(crate) fn resume(&mut self, node: Node) {
        for event in self.paused.remove(&node).unwrap_or_default() {
            self.deliver(event);
        }
        self.schedule_wake(node);
    }

    /// Crashes a node. Requests that an agent was running fail at their entries; requests of a
    /// crashed entry are dropped.
    pub(crate) fn crash(&mut self, node: Node) {
        self.down.insert(node);
        match node {
            Node::Control(n) => self.hosts[n].core = None,
            Node::Agent(n) => {
                let failed: Vec<_> = self
                    .in_flight
                    .iter()
                    .filter(|(_, attempt)| attempt.agent == n)
                    .map(|(id, _)| *id)
                    .collect();
                for id in failed {
                    if let Some(attempt) = self.in_flight.remove(&id) {
                        let outcome = AttemptOutcome::Lost(Kind::EndpointFailed);
                        self.schedule_event(
                            NETWORK_DELAY_US,
                            Event::AttemptEnded(attempt.entry, attempt.spec.id, outcome),
                        );
                    }
                }
                self.held_attempts.retain(|(agent, _)| *agent != n);
            }
            Node::Entry(n) => {
                self.in_flight.retain(|_, attempt| attempt.entry != n);
                self.requests.retain(|_, request| request.entry != n);
            }
        }
    }

    /// Restarts a node: a control host from its disk, an entry or an agent with empty state.
    pub(crate) fn restart(&mut self, node: Node) -> Result<(), DirectiveError> {
        let invalid = |_| DirectiveError::Argument("restart".to_owned(), "1".to_owned());
        self.down.remove(&node);
        match node {
            Node::Control(n) => self.start_host(n).map_err(invalid)?,
            Node::Entry(n) => {
                self.last_id += 1;
                self.entries[n] = new_entry(n + self.last_id as usize * 100).map_err(invalid)?;
                self.subscribe(node);
            }
            Node::Agent(n) => {
                let name = format!("agent-{n}");
                let name = name
                    .as_str()
                    .try_into()
                    .map_err(|_| invalid(String::new()))?;
                self.agents[n] = Agent::new(name, Tiered::default());
                self.subscribe(node);
            }
        }
        Ok(())
    }

    /// Makes every further append to a control host's log fail.
    pub(crate) fn fail_disk(&mut self, node: Node) {
        if let Node::Control(n) = node {
            self.hosts[n].disk_failed = true;
        }
    }

    /// Proposes a change with the label and the base revision of a directive, and advances the time
    /// for the reply.
    pub(crate) fn propose(
        &mut self,
        directive: &Directive,
        change: serde_json::Value,
    ) -> Result<(), DirectiveError> {
        let invalid = |_| DirectiveError::Argument(directive.name.clone(), "1".to_owned());
        let change: Change = serde_json::from_value(change).map_err(invalid)?;
        let label = directive
            .named
            .get("label")
            .cloned()
            .unwrap_or_else(|| directive.name.clone());
        let base = directive
            .named
            .get("base")
            .map(|_| directive.option("base", 0))
            .transpose()?;
        self.change_on(&label, vec![change], base.map(Revision));
        self.advance(directive.option("wait", 4000)? * 1000);
        Ok(())
    }

    /// Proposes changes that do not depend on a base revision.
    pub(crate) fn change(&mut self, label: &str, changes: Vec<Change>) {
        self.change_on(label, changes, None);
    }

    /// Proposes changes on a base revision, under a label that is also the name of the proposal.
    pub(crate) fn change_on(&mut self, label: &str, changes: Vec<Change>, base: Option<Revision>) {
        let names = (label.try_into(), "operator".try_into());
        let (Ok(name), Ok(operator)) = names else {
            return;
        };
        let proposal = Proposal {
            name,
            operator,
            base,
            changes,
        };
        self.send_request(
            Caller::Change(label.to_owned()),
            Request::Propose(proposal),
            0,
            CALL_TIMEOUT_US,
        );
    }
}
