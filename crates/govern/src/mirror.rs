//! The core of a control process without a disk. It is not a member of the control group and never
//! votes. It copies the deployment, the directory, the quarantine and the stages of rollouts
//! from the leader, serves them to fronts, passes the fronts' usage and evidence on, and refers all other requests to the leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ids::{
    Tick,
    Ticket,
    millis, //
};
use plan::{
    DeploymentSnapshot,
    Distributor, //
};
use quarantine::{
    Evidence,
    Quarantine, //
};
use rollout::{
    FrontTally,
    Stages, //
};
use step::{
    Core,
    Outbox, //
};
use usage::Tally;

use crate::directory::DirectoryReader;
use crate::feed::{
    FeedPosition,
    Uplink, //
};
use crate::message::{
    DeploymentReply,
    DeploymentVersions,
    FeedError,
    FeedReply,
    Input,
    Output,
    Reply,
    Request, //
};
use crate::plan::SUBSCRIBER_ACTIVE;
use crate::subscribers::{
    MAX_WAIT,
    SubscriberId, //
};

/// Share of a front's wait after which a renewed copy is sent to it even without an update, as a
/// divisor. The front's next request then waits along with this process's next request.
const RENEWAL_DIVISOR: u32 = 2;

/// Options of a mirror.
#[derive(Clone, Debug)]
pub struct MirrorOptions {
    /// This process.
    pub id: SubscriberId,
    /// Where fronts reach it.
    pub distributor: Distributor,
    /// Control hosts that know the leader.
    pub seeds: Vec<SocketAddr>,
}

/// A front's request that waits for an update.
#[derive(Clone, Copy, Debug)]
struct Pending {
    ticket: Ticket,
    held: DeploymentVersions,
    received_at: Tick,
    max_wait: Duration,
}

/// The core of a mirror.
#[derive(Debug)]
pub struct Mirror {
    uplink: Uplink,
    /// Hosts to request the feed from: the members of the group, and the seed hosts.
    hosts: Vec<SocketAddr>,
    /// The index in `hosts` of the host to try while the leader is unknown.
    next_host: usize,
    leader: Option<SocketAddr>,
    /// The members of the group.
    members: Vec<SocketAddr>,
    snapshot: Option<DeploymentSnapshot>,
    quarantine: Quarantine,
    stages: Stages,
    /// When the copy expires. Fronts must not use it any longer.
    valid_until: Tick,
    reader: DirectoryReader,
    /// The leader's Unix time in milliseconds, and when it was received.
    wall_clock: (u64, Tick),
    pending: Vec<Pending>,
    /// The fronts that poll this process, with the time of their last request.
    fronts: BTreeMap<SubscriberId, Tick>,
}

impl Mirror {
    /// Creates a mirror without a copy.
    pub fn new(options: MirrorOptions) -> Self {
        Self {
            uplink: Uplink::new(options.id, options.distributor),
            hosts: options.seeds,
            next_host: 0,
            leader: None,
            members: Vec::new(),
            snapshot: None,
            quarantine: Quarantine::default(),
            stages: Stages::default(),
            valid_until: Tick::default(),
            reader: DirectoryReader::default(),
            wall_clock: (0, Tick::default()),
            pending: Vec::new(),
            fronts: BTreeMap::new(),
        }
    }

    fn generation(&self) -> u64 {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.generation)
    }

    /// The version of the directory that this process serves; 0 if it serves none.
    fn served_version(&self, now: Tick) -> u64 {
        let directory = self.reader.directory(now);
        directory.map_or(0, |directory| directory.version)
    }

    fn handle_request(
        &mut self,
        now: Tick,
        ticket: Ticket,
        request: Request,
        out: &mut Outbox<Output>,
    ) {
        match request {
            Request::Deployment(id, held, max_wait) => {
                self.fronts.insert(id, now);
                self.pending.push(Pending {
                    ticket,
                    held,
                    received_at: now,
                    max_wait: max_wait.min(MAX_WAIT),
                });
                self.reply_to_fronts(now, out);
            }
            Request::Tally(tally) => out.push(Output::Reply(ticket, self.tally(now, tally))),
            Request::Evidence(front, evidence) => {
                out.push(Output::Reply(ticket, self.evidence(now, front, evidence)));
            }
            Request::FrontCounts(front, report) => {
                out.push(Output::Reply(ticket, self.front_counts(now, front, report)));
            }
            _ => out.push(Output::Reply(ticket, Reply::NotLeader(self.leader))),
        }
    }

    /// Passes a front's usage on to the leader, or refers the front to the leader while this process
    /// has lost touch with it.
    fn tally(&mut self, now: Tick, tally: Tally) -> Reply {
        if !self.uplink.in_touch(now) {
            return Reply::NotLeader(self.leader);
        }
        self.uplink.add_tally(tally);
        Reply::LastSealed(self.uplink.last_sealed)
    }

    /// Passes a front's evidence on to the leader, or refers the front to the leader while this process
    /// has lost touch with it.
    fn evidence(&mut self, now: Tick, front: SubscriberId, evidence: Evidence) -> Reply {
        if !self.uplink.in_touch(now) {
            return Reply::NotLeader(self.leader);
        }
        self.uplink.reports.add(now, front, evidence);
        Reply::Recorded
    }

    /// Passes a front's counts for rollouts on to the leader, or refers the front to the leader while
    /// this process has lost touch with it.
    fn front_counts(&mut self, now: Tick, front: SubscriberId, report: FrontTally) -> Reply {
        if !self.uplink.in_touch(now) {
            return Reply::NotLeader(self.leader);
        }
        self.uplink.counts.add(now, front, report);
        Reply::Recorded
    }

    /// Renews the copy. Its validity counts from when the request for it was sent.
    fn renew(&mut self, now: Tick, reply: FeedReply) {
        let sent_at = self.uplink.replied(now, &reply);
        let deployment = reply.deployment;
        self.leader = deployment.leader;
        for host in &deployment.hosts {
            if !self.hosts.contains(host) {
                self.hosts.push(*host);
            }
        }
        self.members = deployment.hosts;
        // A copy that goes back to an older generation, quarantine or stage is never valid.
        let (snapshot, quarantine) = (deployment.snapshot, deployment.quarantine);
        let stages = deployment.rollouts;
        let older = |snapshot: &DeploymentSnapshot| snapshot.generation < self.generation();
        let earlier = |quarantine: &Quarantine| quarantine.version() < self.quarantine.version();
        let before = |stages: &Stages| stages.version < self.stages.version;
        if snapshot.as_ref().is_some_and(older)
            || quarantine.as_ref().is_some_and(earlier)
            || stages.as_ref().is_some_and(before)
        {
            return;
        }
        if let Some(snapshot) = snapshot {
            self.snapshot = Some(snapshot);
        }
        if let Some(quarantine) = quarantine {
            self.quarantine = quarantine;
        }
        if let Some(stages) = stages {
            self.stages = stages;
        }
        self.reader
            .adopt(now, deployment.directory, deployment.directory_age);
        self.wall_clock = (deployment.unix_ms, now);
        let ttl = deployment.ttl.unwrap_or_default();
        self.valid_until = self.valid_until.max(sent_at + ttl);
    }

    /// Handles a failed request: the next one goes to the host named as leader, or to another host.
    fn feed_failed(&mut self, now: Tick, error: FeedError) {
        self.uplink.failed(now);
        match error {
            FeedError::NotLeader(Some(leader)) if Some(leader) != self.leader => {
                self.leader = Some(leader);
                return;
            }
            FeedError::NotLeader(_) => {}
            FeedError::Unreachable(seeds) => {
                for seed in seeds {
                    if !self.hosts.contains(&seed) {
                        self.hosts.push(seed);
                    }
                }
            }
        }
        self.leader = None;
        self.next_host = self.next_host.wrapping_add(1);
    }

    /// Requests the feed if the next request is due.
    fn request_feed(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let next = self.next_host.checked_rem(self.hosts.len());
        let next = next.and_then(|next| self.hosts.get(next).copied());
        let Some(host) = self.leader.or(next) else {
            return;
        };
        self.fronts
            .retain(|_, at| now.since(*at) <= SUBSCRIBER_ACTIVE);
        let held = FeedPosition {
            generation: Some(self.generation()),
            directory: self.reader.version(),
            quarantine: Some(self.quarantine.version()),
            rollouts: Some(self.stages.version),
        };
        self.uplink.request(now, host, held, self.fronts.len(), out);
    }

    /// Replies to the fronts that have an update, whose wait is over, or that have waited for a
    /// while as the copy was renewed.
    fn reply_to_fronts(&mut self, now: Tick, out: &mut Outbox<Output>) {
        for pending in std::mem::take(&mut self.pending) {
            match self.reply(now, &pending) {
                Some(reply) => out.push(Output::Reply(pending.ticket, reply)),
                None => self.pending.push(pending),
            }
        }
    }

    fn reply(&self, now: Tick, pending: &Pending) -> Option<Reply> {
        let waited = now.since(pending.received_at);
        let over = waited >= pending.max_wait;
        let valid = now < self.valid_until && self.uplink.in_touch(now);
        let held = pending.held;
        let quarantine = self.quarantine.version();
        let behind = self.generation() < held.generation
            || quarantine < held.quarantine
            || self.stages.version < held.rollouts;
        if !valid || behind {
            return over.then_some(Reply::Unavailable);
        }
        let update = self.generation() > held.generation
            || self.served_version(now) > held.directory
            || quarantine > held.quarantine
            || self.stages.version > held.rollouts;
        let renewed = self.uplink.refreshed_at >= Some(pending.received_at)
            && waited >= pending.max_wait / RENEWAL_DIVISOR;
        (update || renewed || over).then(|| self.deployment_reply(now, pending))
    }

    fn deployment_reply(&self, now: Tick, pending: &Pending) -> Reply {
        let (unix_ms, received_at) = self.wall_clock;
        let held = pending.held;
        let newer = |snapshot: &&DeploymentSnapshot| snapshot.generation > held.generation;
        let quarantine = &self.quarantine;
        let directory = self.reader.directory(now);
        Reply::Deployment(Box::new(DeploymentReply {
            snapshot: self.snapshot.as_ref().filter(newer).cloned(),
            directory: directory
                .filter(|directory| directory.version > held.directory)
                .cloned(),
            directory_age: self.reader.age(now),
            leader: self.leader,
            hosts: self.members.clone(),
            subscribers: self.uplink.subscribers.max(self.fronts.len()),
            unix_ms: unix_ms.saturating_add(millis(now.since(received_at))),
            distributors: self.uplink.distributors.clone(),
            // The front counts from when it sent its request, which was earlier.
            ttl: Some(self.valid_until.since(pending.received_at)),
            quarantine: (quarantine.version() > held.quarantine).then(|| quarantine.clone()),
            rollouts: (self.stages.version > held.rollouts).then(|| self.stages.clone()),
        }))
    }
}

impl Core for Mirror {
    type Input = Input;
    type Output = Output;

    fn step(&mut self, now: Tick, input: Input, out: &mut Outbox<Output>) {
        match input {
            Input::Request(ticket, request) => self.handle_request(now, ticket, request, out),
            Input::Feed(Ok(reply)) => {
                self.renew(now, *reply);
                self.reply_to_fronts(now, out);
            }
            Input::Feed(Err(error)) => self.feed_failed(now, error),
            // A mirror is no member, leads nothing and stores nothing.
            Input::Envelope(_)
            | Input::Synced(_)
            | Input::WindowDelivered(..)
            | Input::StatementDelivered(..)
            | Input::Listing(_)
            | Input::TransferLeadership
            | Input::Leave
            | Input::Halt => {}
        }
        self.request_feed(now, out);
    }

    fn wake(&mut self, now: Tick, out: &mut Outbox<Output>) {
        self.reply_to_fronts(now, out);
        self.request_feed(now, out);
    }

    fn deadline(&self) -> Option<Tick> {
        let waits = self
            .pending
            .iter()
            .map(|pending| pending.received_at + pending.max_wait);
        waits.chain(self.uplink.deadline()).min()
    }
}
