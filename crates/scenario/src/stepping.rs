//! Steps the cores of control hosts, performs their outputs, and wakes the cores of all nodes.

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
use crate::simulation::{
    Caller,
    DISK_SYNC_US,
    Event,
    NETWORK_DELAY_US,
    Simulation, //
};

impl Simulation {
    /// Starts a control host from its disk.
    pub(crate) fn start_host(&mut self, n: usize) -> Result<(), String> {
        let now = self.clock_rate(Node::Control(n)).local_time(self.now);
        let rng_seed = self.last_id + n as u64 * 7919 + 1;
        self.hosts[n].start(now, rng_seed)?;
        self.schedule_wake(Node::Control(n));
        Ok(())
    }

    /// Passes an input to the core of a control host and performs its outputs.
    pub(crate) fn step_control(&mut self, n: usize, input: govern::Input) {
        let now = self.clock_rate(Node::Control(n)).local_time(self.now);
        let mut out = Outbox::default();
        if let Some(core) = &mut self.hosts[n].core {
            core.step(now, input, &mut out);
        }
        self.perform_control_outputs(n, out);
    }

    /// Performs the outputs of a control host. If its disk has failed, the host halts at its first
    /// append to the log and the remaining outputs are dropped.
    pub(crate) fn perform_control_outputs(&mut self, n: usize, mut out: Outbox<govern::Output>) {
        let node = Node::Control(n);
        let outputs: Vec<_> = out.drain().collect();
        for output in outputs {
            match output {
                govern::Output::Persist(seq, record) => {
                    if self.hosts[n].disk_failed {
                        self.schedule_event(0, Event::Wake(node));
                        self.step_control(n, govern::Input::Halt);
                        return;
                    }
                    self.hosts[n].disk.records.push(record);
                    let incarnation = self.hosts[n].incarnation;
                    self.schedule_event(DISK_SYNC_US, Event::Synced(n, incarnation, seq));
                }
                govern::Output::Rotate(seq, meta, state, record) => {
                    let disk = &mut self.hosts[n].disk;
                    (disk.meta, disk.state, disk.records) = (meta, state.into(), vec![record]);
                    let incarnation = self.hosts[n].incarnation;
                    self.schedule_event(DISK_SYNC_US, Event::Synced(n, incarnation, seq));
                }
                govern::Output::Send(to, _, message) => {
                    let to = to.0 as usize - 1;
                    let envelope = Envelope {
                        from: self.hosts[n].id,
                        address: address(n),
                        to: self.hosts[to].id,
                        messages: vec![message],
                    };
                    self.send(node, Node::Control(to), Event::Envelope(to, envelope));
                }
                govern::Output::Reply(ticket, reply) => {
                    if let Some(call) = self.tickets.remove(&(n, ticket)) {
                        self.send_reply(n, call, reply);
                    }
                }
                govern::Output::DeliverWindow(..)
                | govern::Output::DeliverStatement(..)
                | govern::Output::FetchListing
                | govern::Output::RequestFeed(..)
                | govern::Output::RequestJoin(..)
                | govern::Output::RequestLeave(..)
                | govern::Output::Event(_) => {}
            }
        }
        self.schedule_wake(node);
    }

    /// Sends a reply to its caller. Operators and settlements are always reachable.
    pub(crate) fn send_reply(&mut self, n: usize, call: u64, reply: Reply) {
        let receiver = match self.calls.get(&call).map(|call| &call.caller) {
            Some(Caller::View(node, _)) => Some(*node),
            Some(Caller::Claim(entry, _)) => Some(Node::Entry(*entry)),
            _ => None,
        };
        if receiver.is_none_or(|node| self.connected(Node::Control(n), node)) {
            self.schedule_event(NETWORK_DELAY_US, Event::Response(call, reply));
        }
    }

    /// Schedules a wake-up at the deadline of a core, at least 1 µs from now.
    pub(crate) fn schedule_wake(&mut self, node: Node) {
        let deadline = match node {
            Node::Control(n) => self.hosts[n].core.as_ref().and_then(Core::deadline),
            Node::Agent(n) => self.agents[n].deadline(),
            Node::Entry(_) => None,
        };
        if let Some(deadline) = deadline {
            let at = self.clock_rate(node).true_time(deadline).max(self.now + 1);
            self.schedule_event(at - self.now, Event::Wake(node));
        }
    }

    /// Wakes a core whose deadline has passed. Does nothing if the deadline was moved after the
    /// wake-up was scheduled.
    pub(crate) fn wake(&mut self, node: Node) {
        let now = self.clock_rate(node).local_time(self.now);
        match node {
            Node::Control(n) => {
                let mut out = Outbox::default();
                let Some(core) = self.hosts[n].core.as_mut() else {
                    return;
                };
                if core.deadline().is_some_and(|at| at <= now) {
                    core.wake(now, &mut out);
                    self.perform_control_outputs(n, out);
                }
            }
            Node::Agent(n) => {
                if self.agents[n].deadline().is_some_and(|at| at <= now) {
                    let mut out = Outbox::default();
                    self.agents[n].wake(now, &mut out);
                    self.perform_agent_outputs(n, out);
                }
            }
            Node::Entry(_) => {}
        }
    }
}
