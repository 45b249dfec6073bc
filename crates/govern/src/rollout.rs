//! Rollouts of service versions: orders, the fronts' counts, and the leader's decisions.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use ids::{
    Tick,
    Ticket, //
};
use rollout::{
    Ages,
    Change,
    Decision,
    Effect,
    FrontTally,
    Judge,
    Limits,
    OrderRequest,
    Service, //
};
use step::Outbox;

use crate::command::{
    Codec,
    Command, //
};
use crate::govern::Govern;
use crate::message::{
    Event,
    Output,
    Reply, //
};
use crate::subscribers::SubscriberId;

/// Fronts whose counts a process holds at most. Above it, the one that reported first is dropped; its
/// front repeats its counts.
const MAX_FRONTS: usize = 4096;
/// Routes in one request to the leader above which the other counts wait for the next request. It
/// keeps the request far below the limit of a body's size.
const MAX_ROUTES: usize = 16 * 1024;
/// Interval at which all counts are sent again. The leader may have been elected since, even if no
/// request failed.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time since a front's last report after which its counts are dropped. The leader commits the sums.
const REPORT_TTL: Duration = Duration::from_secs(60);

/// Options of a control host that accepts rollouts.
#[derive(Clone, Debug)]
pub struct RolloutOptions {
    /// Bounds on what a bad version may do.
    pub limits: Limits,
    /// Returns the services of a plan's document; none if it cannot be read.
    pub services: fn(&[u8]) -> Option<Vec<Service>>,
}

/// The counts that fronts reported to this process. They are kept after the leader has them, so that
/// a new leader gets them too.
#[derive(Debug, Default)]
pub(crate) struct FrontCounts {
    held: BTreeMap<SubscriberId, (Tick, FrontTally)>,
    unsent: BTreeSet<SubscriberId>,
    /// The fronts whose counts are in the request in progress.
    sending: BTreeSet<SubscriberId>,
    repeated_at: Tick,
}

impl FrontCounts {
    /// Replaces a front's counts.
    pub(crate) fn add(&mut self, now: Tick, front: SubscriberId, report: FrontTally) {
        self.sending.remove(&front);
        self.unsent.insert(front.clone());
        self.held.insert(front, (now, report));
        if self.held.len() > MAX_FRONTS {
            let oldest = self.held.iter().min_by_key(|(_, (at, _))| *at);
            let oldest = oldest.map(|(front, _)| front.clone());
            oldest.and_then(|front| self.held.remove(&front));
        }
    }

    /// All counts, for a host that leads itself.
    pub(crate) fn all(&self) -> impl Iterator<Item = &FrontTally> {
        self.held.values().map(|(_, report)| report)
    }

    /// Takes the counts for a request to the leader.
    pub(crate) fn send(&mut self, now: Tick) -> Vec<FrontTally> {
        if now.since(self.repeated_at) >= REPEAT_INTERVAL {
            self.repeated_at = now;
            self.held.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
            self.repeat();
        }
        let mut reports = Vec::new();
        let mut routes = 0;
        while routes < MAX_ROUTES {
            let Some(front) = self.unsent.pop_first() else {
                break;
            };
            if let Some((_, report)) = self.held.get(&front) {
                let tallies = report.tallies.iter();
                routes += 1 + tallies.map(|tally| tally.routes.len()).sum::<usize>();
                reports.push(report.clone());
                self.sending.insert(front);
            }
        }
        reports
    }

    /// Records that the leader has the counts that were sent.
    pub(crate) fn sent(&mut self) {
        self.sending.clear();
    }

    /// Sends all counts again, because the leader may be another one.
    pub(crate) fn repeat(&mut self) {
        self.sending.clear();
        self.unsent = self.held.keys().cloned().collect();
    }
}

/// What a member of the group keeps for rollouts besides the replicated orders.
#[derive(Debug, Default)]
pub(crate) struct RolloutState {
    /// The time since each running order.
    pub(crate) ages: Ages,
    /// The judge, while this host leads.
    judge: Option<Judge>,
    /// The decision that is in the log and not committed.
    decided: Option<Decision>,
    /// The services of the deployment with this generation.
    services: Option<(u64, Option<Vec<Service>>)>,
}

impl RolloutState {
    /// Resets what this host kept as leader.
    pub(crate) fn step_down(&mut self) {
        self.judge = None;
        self.decided = None;
    }
}

impl<K: Codec> Govern<K> {
    /// Handles an operator's order as leader with a valid lease.
    pub(crate) fn order(
        &mut self,
        now: Tick,
        ticket: Ticket,
        request: OrderRequest,
        out: &mut Outbox<Output>,
    ) {
        if !self.node.leads() {
            return out.push(Output::Reply(ticket, Reply::NotLeader(self.leader())));
        }
        // With a lease this host has applied all orders and plans of earlier terms.
        if self.node.lease(now).is_none() || self.rollout_options().is_none() {
            return out.push(Output::Reply(ticket, Reply::Unavailable));
        }
        self.read_services();
        let services = self.rollouts.services.as_ref();
        let Some(services) = services.and_then(|(_, services)| services.as_ref()) else {
            return out.push(Output::Reply(ticket, Reply::Unavailable));
        };
        if !services.iter().any(|known| known.name == request.service()) {
            return out.push(Output::Reply(ticket, Reply::UnknownService));
        }
        self.propose(now, Some(ticket), &Command::Rollout(request.into()), out);
    }

    /// Records a front's counts. A host that does not lead passes them on to the leader, or refers the
    /// front to the leader while it has lost touch with it.
    pub(crate) fn front_counts(
        &mut self,
        now: Tick,
        ticket: Ticket,
        (front, report): (SubscriberId, FrontTally),
        out: &mut Outbox<Output>,
    ) {
        let leads = self.node.lease(now).is_some();
        let follows = !self.node.leads();
        let uplink = self.uplink.as_mut();
        let Some(uplink) = uplink.filter(|uplink| leads || follows && uplink.in_touch(now)) else {
            return self.refer_to_leader(ticket, out);
        };
        uplink.counts.add(now, front, report.clone());
        if leads {
            self.fed_counts(now, &[report]);
        }
        out.push(Output::Reply(ticket, Reply::Recorded));
    }

    /// Records counts as leader.
    pub(crate) fn fed_counts(&mut self, now: Tick, reports: &[FrontTally]) {
        self.start_judge(now);
        if let Some(judge) = &mut self.rollouts.judge {
            let orders = &self.machine.rollouts;
            reports
                .iter()
                .for_each(|report| judge.record(now, report, orders));
        }
    }

    /// Starts judging, with the counts that this host received before it was elected.
    fn start_judge(&mut self, now: Tick) {
        if self.rollouts.judge.is_some() {
            return;
        }
        let mut judge = Judge::new(now);
        let held = self.uplink.iter().flat_map(|uplink| uplink.counts.all());
        held.for_each(|report| judge.record(now, report, &self.machine.rollouts));
        self.rollouts.judge = Some(judge);
    }

    /// Decides on running orders, as leader under a valid lease.
    pub(crate) fn judge_rollouts(&mut self, now: Tick, out: &mut Outbox<Output>) {
        let orders = &self.machine.rollouts;
        if !orders.list().any(|progress| progress.running()) {
            return;
        }
        self.start_judge(now);
        self.read_services();
        let limits = self.rollout_options().map(|options| options.limits);
        let RolloutState {
            ages,
            judge,
            decided,
            services,
        } = &mut self.rollouts;
        let Some(judge) = judge.as_mut() else {
            return;
        };
        if !judge.start_if_due(now) {
            return;
        }
        let services = services.as_ref();
        let services = services.and_then(|(_, services)| services.as_deref());
        let elapsed = |id| ages.elapsed(now, id);
        let decision = judge.decide(
            now,
            limits.as_ref(),
            services,
            &self.machine.rollouts,
            elapsed,
        );
        let Some(decision) = decision else {
            return;
        };
        judge.proposing = true;
        let command = Command::Rollout(decision.change.clone());
        *decided = Some(decision);
        if !self.propose_duty(now, &command, out) {
            self.decision_committed();
        }
    }

    /// Ends the proposal of a decision. Returns the decision.
    fn decision_committed(&mut self) -> Option<Decision> {
        if let Some(judge) = &mut self.rollouts.judge {
            judge.proposing = false;
        }
        self.rollouts.decided.take()
    }

    /// Reports the effect of a committed change, if this host leads.
    pub(crate) fn rollout_changed(&mut self, effect: Effect, out: &mut Outbox<Output>) {
        let decision = match effect {
            Effect::Opened(_) | Effect::InProgress => None,
            Effect::Stepped(_) | Effect::Ended(..) | Effect::Unchanged => self.decision_committed(),
        };
        let id = match effect {
            Effect::Opened(id) | Effect::Stepped(id) | Effect::Ended(id, _) => id,
            Effect::InProgress | Effect::Unchanged => return,
        };
        let progress = self.machine.rollouts.get(id);
        if let Some(progress) = progress.filter(|_| self.node.leads()) {
            let of_order = |decision: &Decision| match decision.change {
                Change::Step { id: of, .. } | Change::End { id: of, .. } => of == id,
                Change::Open { .. } => false,
            };
            let progress = Box::new(progress.clone());
            let decision = decision.filter(of_order).map(Box::new);
            out.push(Output::Event(Event::RolloutChanged(progress, decision)));
        }
    }

    fn rollout_options(&self) -> Option<&RolloutOptions> {
        let plan = self.options.plan.as_ref()?;
        plan.rollouts.as_ref()
    }

    /// Reads the services of the current plan, if it has changed.
    fn read_services(&mut self) {
        let generation = self.machine.deployment.generation();
        let read = self.rollouts.services.as_ref();
        if read.is_some_and(|(read, _)| *read == generation) {
            return;
        }
        let document = self.machine.deployment.document();
        let services = self.rollout_options().zip(document);
        let services = services.and_then(|(options, document)| (options.services)(&document.bytes));
        self.rollouts.services = Some((generation, services));
    }
}
