//! What a scenario shows.

use crate::node::Node;
use crate::world::World;

impl World {
    pub(crate) fn leader_text(&self) -> String {
        let leads = |n: &usize| {
            let now = self.clock(Node::Control(*n)).at(self.now);
            self.hosts[*n]
                .core
                .as_ref()
                .is_some_and(|core| core.authority(now).is_some())
        };
        let leaders: Vec<_> = (0..self.hosts.len()).filter(leads).collect();
        match leaders.as_slice() {
            [] => "nobody holds the lease".to_owned(),
            [n] => format!("c{n} holds the lease"),
            more => format!("VIOLATION {more:?} hold the lease"),
        }
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
