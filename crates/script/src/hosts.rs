//! The control hosts of a scenario: their cores, disks and outputs.

use govern::{
    Envelope,
    Reply, //
};

use step::{
    Core,
    Outbox, //
};

use crate::node::Node;
use crate::setup::address;
use crate::world::{
    Event,
    HOP,
    SYNC,
    Waiter,
    World, //
};

impl World {
    pub(crate) fn start_host(&mut self, n: usize) -> Result<(), String> {
        let now = self.clock(Node::Control(n)).at(self.now);
        let random = self.serial + n as u64 * 7919 + 1;
        self.hosts[n].start(now, random)?;
        self.schedule(Node::Control(n));
        Ok(())
    }

    pub(crate) fn control(&mut self, n: usize, input: govern::Input) {
        let now = self.clock(Node::Control(n)).at(self.now);
        let mut out = Outbox::default();
        if let Some(core) = &mut self.hosts[n].core {
            core.step(now, input, &mut out);
        }
        self.control_did(n, out);
    }

    pub(crate) fn control_did(&mut self, n: usize, mut out: Outbox<govern::Output>) {
        let me = Node::Control(n);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                govern::Output::Persist(seq, record) => {
                    if self.hosts[n].broken {
                        self.post(0, Event::Wake(me));
                        self.control(n, govern::Input::Halt);
                        return;
                    }
                    self.hosts[n].disk.records.push(record);
                    let run = self.hosts[n].run;
                    self.post(SYNC, Event::Synced(n, run, seq));
                }
                govern::Output::Rotate(seq, meta, state, record) => {
                    let disk = &mut self.hosts[n].disk;
                    (disk.meta, disk.state, disk.records) = (meta, state, vec![record]);
                    let run = self.hosts[n].run;
                    self.post(SYNC, Event::Synced(n, run, seq));
                }
                govern::Output::Send(to, _, message) => {
                    let to = to.0 as usize - 1;
                    let mail = Envelope {
                        from: self.hosts[n].id,
                        address: address(n),
                        to: self.hosts[to].id,
                        messages: vec![message],
                    };
                    self.send(me, Node::Control(to), Event::Mail(to, mail));
                }
                govern::Output::Reply(ticket, reply) => {
                    if let Some(call) = self.tickets.remove(&(n, ticket)) {
                        self.reply(n, call, reply);
                    }
                }
                govern::Output::DeliverWindow(..)
                | govern::Output::DeliverStatement(..)
                | govern::Output::FetchListing
                | govern::Output::RequestJoin(..)
                | govern::Output::Event(_) => {}
            }
        }
        self.schedule(me);
    }

    pub(crate) fn reply(&mut self, n: usize, call: u64, reply: Reply) {
        let back = match self.calls.get(&call).map(|call| &call.waiter) {
            Some(Waiter::View(node, _)) => Some(*node),
            Some(Waiter::Claim(entry, _)) => Some(Node::Entry(*entry)),
            _ => None,
        };
        if back.is_none_or(|node| self.connected(Node::Control(n), node)) {
            self.post(HOP, Event::Answer(call, reply));
        }
    }

    pub(crate) fn schedule(&mut self, node: Node) {
        let deadline = match node {
            Node::Control(n) => self.hosts[n].core.as_ref().and_then(Core::deadline),
            Node::Agent(n) => self.agents[n].deadline(),
            Node::Entry(_) => None,
        };
        if let Some(deadline) = deadline {
            let at = self.clock(node).until(deadline).max(self.now + 1);
            self.post(at - self.now, Event::Wake(node));
        }
    }

    pub(crate) fn wake(&mut self, node: Node) {
        let now = self.clock(node).at(self.now);
        match node {
            Node::Control(n) => {
                let mut out = Outbox::default();
                let Some(core) = self.hosts[n].core.as_mut() else {
                    return;
                };
                if core.deadline().is_some_and(|at| at <= now) {
                    core.wake(now, &mut out);
                    self.control_did(n, out);
                }
            }
            Node::Agent(n) => {
                if self.agents[n].deadline().is_some_and(|at| at <= now) {
                    let mut out = Outbox::default();
                    self.agents[n].wake(now, &mut out);
                    self.agent_did(n, out);
                }
            }
            Node::Entry(_) => {}
        }
    }
}
