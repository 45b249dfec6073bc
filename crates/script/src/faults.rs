//! What a scenario does to nodes, and what operators ask for.

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

use crate::node::Node;
use crate::setup::entry;
use crate::verb::{
    Verb,
    VerbError, //
};
use crate::world::{
    CALL_PATIENCE,
    Event,
    HOP,
    Waiter,
    World, //
};

impl World {
    pub(crate) fn cut(&mut self, verb: &Verb) -> Result<(), VerbError> {
        let node = verb.node(0)?;
        let others: Vec<_> = match verb.plain.get(1) {
            Some(_) => vec![verb.node(1)?],
            None => self.nodes(),
        };
        for other in others {
            self.cut.extend([(node, other), (other, node)]);
        }
        Ok(())
    }

    pub(crate) fn nodes(&self) -> Vec<Node> {
        let controls = (0..self.hosts.len()).map(Node::Control);
        let entries = (0..self.entries.len()).map(Node::Entry);
        let agents = (0..self.agents.len()).map(Node::Agent);
        controls.chain(entries).chain(agents).collect()
    }

    pub(crate) fn resume(&mut self, node: Node) {
        for event in self.paused.remove(&node).unwrap_or_default() {
            self.deliver(event);
        }
        self.schedule(node);
    }

    pub(crate) fn crash(&mut self, node: Node) {
        self.down.insert(node);
        match node {
            Node::Control(n) => self.hosts[n].core = None,
            Node::Agent(n) => {
                let lost: Vec<_> = self
                    .flights
                    .iter()
                    .filter(|(_, f)| f.agent == n)
                    .map(|(id, _)| *id)
                    .collect();
                for id in lost {
                    if let Some(flight) = self.flights.remove(&id) {
                        let ended = AttemptOutcome::Lost(Kind::EndpointFailed);
                        self.post(HOP, Event::Back(flight.entry, flight.plan.id, ended));
                    }
                }
                self.held.retain(|(at, _)| *at != n);
            }
            Node::Entry(n) => {
                self.flights.retain(|_, flight| flight.entry != n);
                self.requests.retain(|_, request| request.entry != n);
            }
        }
    }

    pub(crate) fn restart(&mut self, node: Node) -> Result<(), VerbError> {
        let fault = |_| VerbError::Argument("restart".to_owned(), "1".to_owned());
        self.down.remove(&node);
        match node {
            Node::Control(n) => self.start_host(n).map_err(fault)?,
            Node::Entry(n) => {
                self.serial += 1;
                self.entries[n] = entry(n + self.serial as usize * 100).map_err(fault)?;
                self.follow(node);
            }
            Node::Agent(n) => {
                let name = format!("agent-{n}");
                let name = name.as_str().try_into().map_err(|_| fault(String::new()))?;
                self.agents[n] = Agent::new(name, Tiered::default());
                self.follow(node);
            }
        }
        Ok(())
    }

    pub(crate) fn fail_disk(&mut self, node: Node) {
        if let Node::Control(n) = node {
            self.hosts[n].broken = true;
        }
    }

    pub(crate) fn propose(
        &mut self,
        verb: &Verb,
        change: serde_json::Value,
    ) -> Result<(), VerbError> {
        let fault = |_| VerbError::Argument(verb.name.clone(), "1".to_owned());
        let change: Change = serde_json::from_value(change).map_err(fault)?;
        let label = verb
            .named
            .get("as")
            .cloned()
            .unwrap_or_else(|| verb.name.clone());
        let base = verb
            .named
            .get("base")
            .map(|_| verb.option("base", 0))
            .transpose()?;
        self.change_on(&label, vec![change], base.map(Revision));
        self.advance(verb.option("wait", 4000)? * 1000);
        Ok(())
    }

    pub(crate) fn change(&mut self, label: &str, changes: Vec<Change>) {
        self.change_on(label, changes, None);
    }

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
        self.ask(
            Waiter::Change(label.to_owned()),
            Request::Propose(proposal),
            0,
            CALL_PATIENCE,
        );
    }
}
