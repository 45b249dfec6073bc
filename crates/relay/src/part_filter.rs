//! Requests and prompt parts that crash engines: the quarantine that the control group decided, and
//! what this front observes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ids::{
    PartId,
    Tick, //
};
use quarantine::{
    Attempt,
    Evidence,
    LocalVerdicts,
    Quarantine,
    Served,
    Suspect,
    Suspects, //
};

/// Time from the announcement of a part's quarantine until it is in force, in which the fronts that
/// served the part report so.
const OBJECTION_SPAN: Duration = Duration::from_millis(800);
/// How long a front repeats that it served a part, since the control process that received the report
/// may fail before it passes it on.
const OBJECTION_REPEAT: Duration = Duration::from_secs(10);
/// How long a front that was out of touch repeats the crashes of that time, for the same reason.
const CATCH_UP_SPAN: Duration = Duration::from_secs(10);
/// Interval at which a front repeats its evidence, since the leader that received it may fail.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a front collects observations of a crash before it reports them, if it has reported nothing
/// lately. A front that ends sooner loses them. The connections to an engine that crashes break within
/// a millisecond or two.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(5);
/// Time since the last view after which the front has lost touch with the control group and decides
/// by its own observations.
const ISOLATED_AFTER: Duration = Duration::from_secs(2);
/// Time after touch is regained in which the front's own decisions still hold: until then the control
/// group has received the front's observations and decided.
const REJOIN_SPAN: Duration = Duration::from_secs(3);

/// Reports of crashes that the control group may not have received, since touch with it was lost.
#[derive(Clone, Copy, Debug)]
struct CatchUp {
    /// When touch was lost.
    since: Tick,
    /// When these reports end.
    until: Tick,
}

/// Rejects requests in quarantine and prompts with parts in quarantine, and collects evidence.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartFilter {
    /// The control group's quarantine.
    listed: Arc<Quarantine>,
    /// When the quarantine of each part in the list is in force.
    in_force: BTreeMap<PartId, Tick>,
    /// Unix time in milliseconds at a tick of the front's clock.
    wall_clock: (u64, Tick),
    /// When the last view arrived; none before the first.
    renewed_at: Option<Tick>,
    /// When the front's own decisions cease to hold after touch was regained.
    rejoined_until: Tick,
    suspects: Suspects,
    catch_up: Option<CatchUp>,
    /// The front's own decisions.
    local: LocalVerdicts,
    /// When to report evidence; none if there is nothing new.
    report_at: Option<Tick>,
    /// When evidence was last reported.
    reported_at: Option<Tick>,
}

impl PartFilter {
    /// Applies a view. Returns evidence on parts that the front served and whose quarantine was
    /// announced recently.
    pub(crate) fn renew(
        &mut self,
        now: Tick,
        wall_clock: (u64, Tick),
        listed: Option<Arc<Quarantine>>,
    ) -> Option<Evidence> {
        if self.isolated(now) {
            self.rejoined_until = now + REJOIN_SPAN;
            self.start_catch_up(now);
        }
        let first = self.renewed_at.replace(now).is_none();
        self.wall_clock = wall_clock;
        // Another control process may hold an older copy.
        if let Some(listed) = listed.filter(|listed| listed.version() >= self.listed.version()) {
            let delay = if first {
                Duration::ZERO
            } else {
                OBJECTION_SPAN
            };
            let before = std::mem::take(&mut self.in_force);
            let in_force = |(part, _)| {
                let known = before.get(&part).copied();
                (part, known.unwrap_or(now + delay))
            };
            self.in_force = listed.parts().map(in_force).collect();
            self.listed = listed;
        }
        self.objections(now)
    }

    /// Reports the crashes since touch with the control group was lost, for as long as others are
    /// repeated.
    fn start_catch_up(&mut self, now: Tick) {
        let lost_at = self.renewed_at.unwrap_or_default();
        let unfinished = self.catch_up.filter(|earlier| now < earlier.until);
        self.catch_up = Some(CatchUp {
            since: unfinished.map_or(lost_at, |earlier| earlier.since),
            until: now + CATCH_UP_SPAN,
        });
        self.report_at = Some(now);
    }

    /// The evidence, if it contains services of parts whose quarantine was announced recently.
    fn objections(&self, now: Tick) -> Option<Evidence> {
        let recent = self
            .in_force
            .iter()
            .filter(|(_, from)| now <= **from + OBJECTION_REPEAT);
        let served = recent.filter_map(|(part, _)| {
            let age = now.since(self.suspects.served_at(*part)?);
            Some(Served { part: *part, age })
        });
        let served: Vec<_> = served.collect();
        if served.is_empty() {
            return None;
        }
        let mut evidence = self.suspects.evidence(now);
        evidence.served.extend(served);
        Some(evidence)
    }

    /// One of the parts that is in quarantine, and the time until the end of its quarantine.
    pub(crate) fn quarantined(
        &mut self,
        now: Tick,
        parts: &[PartId],
    ) -> Option<(PartId, Duration)> {
        let (unix_ms, at) = self.wall_clock;
        let unix = Duration::from_millis(unix_ms) + now.since(at);
        let in_force = |part: &&PartId| self.in_force.get(part).is_some_and(|from| *from <= now);
        let listed = parts.iter().filter(in_force).filter_map(|part| {
            let until = Duration::from_millis(self.listed.sentence(*part)?.until_ms);
            Some((*part, until.saturating_sub(unix)))
        });
        let longest = listed.max_by_key(|(_, remaining)| *remaining);
        let longest = longest.filter(|(_, remaining)| !remaining.is_zero());
        if longest.is_some() {
            return longest;
        }
        if !self.isolated(now) && now >= self.rejoined_until {
            return None;
        }
        let rejected = self.local.rejected(now, &self.suspects, parts)?;
        Some((rejected, LocalVerdicts::RETRY_AFTER))
    }

    /// Records that an endpoint crashed while an attempt of a request with these parts was in
    /// progress there.
    pub(crate) fn crashed(
        &mut self,
        now: Tick,
        instance: &str,
        parts: &[PartId],
        attempt: Attempt,
    ) {
        let suspects = Suspect::of_request(parts.iter().copied(), attempt.elapsed);
        self.suspects
            .attempt_crashed(now, instance, attempt, suspects);
        let spaced = self.reported_at.map(|at| at + Suspects::REPORT_DELAY);
        let due_at = (now + FIRST_REPORT_DELAY).max(spaced.unwrap_or_default());
        self.report_at = Some(self.report_at.map_or(due_at, |at| at.min(due_at)));
    }

    /// Records that a request with these parts was served completely, by a response that began at
    /// `began`.
    pub(crate) fn served(&mut self, began: Tick, parts: &[PartId]) {
        for part in parts {
            self.suspects.served(began, *part);
        }
    }

    /// Returns the evidence to report, if it is due.
    pub(crate) fn due_evidence(&mut self, now: Tick) -> Option<Evidence> {
        self.report_at.take_if(|at| *at <= now)?;
        self.catch_up.take_if(|catch_up| catch_up.until <= now);
        let evidence = match self.catch_up {
            Some(CatchUp { since, .. }) => self.suspects.evidence_since(now, since),
            None => self.suspects.evidence(now),
        };
        if evidence.crashes.is_empty() {
            return None;
        }
        self.report_at = Some(now + REPEAT_INTERVAL);
        self.reported_at = Some(now);
        Some(evidence)
    }

    /// When evidence is due.
    pub(crate) fn deadline(&self) -> Option<Tick> {
        self.report_at
    }

    fn isolated(&self, now: Tick) -> bool {
        let renewed_at = self.renewed_at.unwrap_or_default();
        now.since(renewed_at) >= ISOLATED_AFTER
    }
}
