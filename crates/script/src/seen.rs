//! What a scenario shows.

use crate::node::Node;
use crate::verb::Verb;
use crate::world::World;

impl World {
    /// The control hosts that hold the lease.
    fn leaders(&self) -> Vec<usize> {
        let leads = |n: &usize| {
            let now = self.clock(Node::Control(*n)).at(self.now);
            self.hosts[*n]
                .core
                .as_ref()
                .is_some_and(|core| core.lease(now).is_some())
        };
        (0..self.hosts.len()).filter(leads).collect()
    }

    pub(crate) fn leader_text(&self) -> String {
        match self.leaders().as_slice() {
            [] => "nobody holds the lease".to_owned(),
            [n] => format!("c{n} holds the lease"),
            more => format!("VIOLATION {more:?} hold the lease"),
        }
    }

    /// As [`Self::leader_text`], where it does not matter which host it is.
    pub(crate) fn lease_text(&self) -> String {
        match self.leaders().as_slice() {
            [_] => "one host holds the lease".to_owned(),
            _ => self.leader_text(),
        }
    }

    /// The verb with the leader's name in place of the word `leader`.
    pub(crate) fn named(&self, verb: &Verb) -> Verb {
        let mut verb = verb.clone();
        if let [n] = self.leaders().as_slice() {
            let words = verb.plain.iter_mut().filter(|word| *word == "leader");
            words.for_each(|word| *word = format!("c{n}"));
        }
        verb
    }

    pub(crate) fn runs_text(&self) -> String {
        let rows = self
            .runs
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
            .follows
            .iter()
            .map(|(node, (revision, _))| format!("{node} {revision}"));
        rows.collect::<Vec<_>>().join("\n")
    }
}
