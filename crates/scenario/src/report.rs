//! Directives that report the state of a simulation.

use crate::directive::Directive;
use crate::node::Node;
use crate::simulation::Simulation;

impl Simulation {
    /// The control hosts that hold the lease, each by its own clock.
    fn lease_holders(&self) -> Vec<usize> {
        let holds_lease = |n: &usize| {
            let now = self.clock_rate(Node::Control(*n)).local_time(self.now);
            self.hosts[*n]
                .core
                .as_ref()
                .is_some_and(|core| core.lease(now).is_some())
        };
        (0..self.hosts.len()).filter(holds_lease).collect()
    }

    pub(crate) fn leader_text(&self) -> String {
        match self.lease_holders().as_slice() {
            [] => "no host holds the lease".to_owned(),
            [n] => format!("c{n} holds the lease"),
            hosts => format!("VIOLATION {hosts:?} hold the lease"),
        }
    }

    /// Like [`Self::leader_text`], without the name of the host: the elected host may vary.
    pub(crate) fn lease_text(&self) -> String {
        match self.lease_holders().as_slice() {
            [_] => "one host holds the lease".to_owned(),
            _ => self.leader_text(),
        }
    }

    /// Replaces the argument `leader` by the name of the lease holder.
    pub(crate) fn resolve_leader(&self, directive: &Directive) -> Directive {
        let mut directive = directive.clone();
        if let [n] = self.lease_holders().as_slice() {
            let words = directive
                .positional
                .iter_mut()
                .filter(|word| *word == "leader");
            words.for_each(|word| *word = format!("c{n}"));
        }
        directive
    }

    pub(crate) fn executions_text(&self) -> String {
        let rows = self
            .executions
            .iter()
            .map(|(target, count)| format!("{target} {count}"));
        let text = rows.collect::<Vec<_>>().join("\n");
        if text.is_empty() {
            "none".to_owned()
        } else {
            text
        }
    }

    pub(crate) fn revisions_text(&self) -> String {
        let rows = self
            .subscriptions
            .iter()
            .map(|(node, (revision, _))| format!("{node} {revision}"));
        rows.collect::<Vec<_>>().join("\n")
    }
}
