//! The leader's judgement on prompt parts: it puts parts that crash engines into quarantine, and
//! releases them once their time is over, a later response to them was complete, or another part
//! explains the crashes.

use std::time::Duration;

use ids::{
    PartId,
    Tick,
    millis, //
};
use quarantine::{
    Evidence,
    Quarantine,
    Record,
    Sentence,
    Suspects, //
};

/// How long a part stays in quarantine.
const QUARANTINE_SPAN: Duration = Duration::from_secs(15 * 60);
/// Interval between judgements. Each one goes through all crashes on record.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time after the last evidence in which it leads to a verdict. Fronts repeat their evidence.
const DELIBERATION: Duration = Duration::from_secs(5);
/// Added to the process's clock, which starts at zero: crashes may be older than the process.
const CLOCK_LEAD: Duration = Duration::from_secs(3600);
/// Time after a part's quarantine began in which it is revised if, by what fronts report then, another
/// part explains the crashes.
const REVISION_SPAN: Duration = Duration::from_secs(2);

/// What a judgement changes about the quarantine.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Judgement {
    /// Parts to put into quarantine.
    pub(crate) imposed: Vec<(PartId, Sentence)>,
    /// Parts to release.
    pub(crate) released: Vec<PartId>,
}

/// Interval between additions to the replicated record. Fronts repeat each crash for longer, so a new
/// leader also receives what its predecessor had not recorded.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// The leader's state for judging parts. It starts from the replicated record with each term.
#[derive(Debug, Default)]
pub(crate) struct Judge {
    suspects: Suspects,
    /// What is added to Unix time for the record, whose time never goes back. None before the record
    /// was read in this term.
    lead_ms: Option<u64>,
    /// Since when there is evidence that may not be on record.
    unrecorded_since: Option<Tick>,
    /// Whether a command that adds to the record is in the log and not committed.
    pub(crate) recording: bool,
    judged_at: Option<Tick>,
    /// When new evidence was last recorded.
    recorded_at: Option<Tick>,
    /// Whether a command that imposes quarantine is in the log and not committed.
    pub(crate) imposing: bool,
    /// Whether a command that releases parts is in the log and not committed.
    pub(crate) releasing: bool,
}

impl Judge {
    /// Records evidence, whose ages count from `now`.
    pub(crate) fn record(&mut self, now: Tick, evidence: &Evidence) {
        if self.suspects.record(now + CLOCK_LEAD, evidence) {
            self.recorded_at = Some(now);
            self.unrecorded_since.get_or_insert(now);
        }
    }

    /// Reads the replicated record, once in each term. Returns whether it is read for the first time.
    /// `unix_ms` is the time now.
    pub(crate) fn read_record(&mut self, now: Tick, unix_ms: u64, record: &Record) -> bool {
        if self.lead_ms.is_some() {
            return false;
        }
        self.lead_ms = Some(record.at_ms().saturating_sub(unix_ms));
        let now_ms = record.at_ms().max(unix_ms);
        if self
            .suspects
            .record(now + CLOCK_LEAD, &record.evidence(now_ms))
        {
            self.recorded_at = Some(now);
        }
        true
    }

    /// Returns evidence to add to the replicated record, and the time from which its ages count, if an
    /// addition is due.
    pub(crate) fn unrecorded(
        &mut self,
        now: Tick,
        unix_ms: u64,
        record: &Record,
    ) -> Option<(u64, Evidence)> {
        let since = self.unrecorded_since?;
        if self.recording || now.since(since) < RECORD_INTERVAL {
            return None;
        }
        let now_ms = unix_ms.saturating_add(self.lead_ms?);
        let evidence = self.suspects.all_evidence(now + CLOCK_LEAD);
        let missing = record.missing(now_ms, evidence);
        // What did not fit follows with the next addition.
        self.unrecorded_since = (!missing.is_empty()).then_some(now);
        (!missing.is_empty()).then_some((now_ms, missing))
    }

    /// Returns whether a judgement is due, and if so records that it takes place.
    pub(crate) fn start_if_due(&mut self, now: Tick) -> bool {
        let due = self.judged_at.is_none_or(|at| now.since(at) >= INTERVAL);
        if due {
            self.judged_at = Some(now);
        }
        due
    }

    /// Returns what is to be changed. `unix_ms` converts to Unix time in milliseconds; a time before
    /// this process started becomes that of its start.
    pub(crate) fn judge(
        &self,
        now: Tick,
        unix_ms: impl Fn(Tick) -> u64,
        quarantine: &Quarantine,
    ) -> Judgement {
        let mut judgement = Judgement::default();
        let record_now = now + CLOCK_LEAD;
        let deliberates = self
            .recorded_at
            .is_some_and(|at| now.since(at) < DELIBERATION);
        if deliberates && !self.imposing {
            let quarantined = |part| quarantine.sentence(part).is_some();
            let verdicts = self.suspects.verdicts(record_now, quarantined).into_iter();
            let until_ms = unix_ms(now).saturating_add(millis(QUARANTINE_SPAN));
            let sentences = verdicts.map(|verdict| {
                let since_ms = unix_ms(verdict.since - CLOCK_LEAD);
                (verdict.part, Sentence { since_ms, until_ms })
            });
            judgement.imposed = sentences.collect();
        }
        if !self.releasing {
            // It is unknown which of two times before the start is the earlier one.
            let started_ms = unix_ms(Tick::default());
            let recent = |sentence: &Sentence| {
                let left_ms = sentence.until_ms.saturating_sub(unix_ms(now));
                left_ms > millis(QUARANTINE_SPAN - REVISION_SPAN)
            };
            let settled = |part| {
                let sentence = quarantine.sentence(part);
                sentence.is_some_and(|sentence| !recent(&sentence))
            };
            let ended = |(part, sentence): &(PartId, Sentence)| {
                let since_ms = sentence.since_ms.max(started_ms);
                let served_at = self.suspects.served_at(*part);
                let served = served_at.is_some_and(|at| unix_ms(at - CLOCK_LEAD) > since_ms);
                let left_ms = sentence.until_ms.saturating_sub(unix_ms(now));
                let explained =
                    recent(sentence) && self.suspects.explained(record_now, *part, settled);
                served || explained || left_ms == 0
            };
            let ended = quarantine.parts().filter(ended);
            judgement.released = ended.map(|(part, _)| part).collect();
        }
        judgement
    }
}
