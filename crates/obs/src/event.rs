//! The catalogue of log events. An event's number is never reused for another event.

/// The severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Expected in normal operation.
    Info,
    /// Requires investigation if it repeats.
    Warning,
    /// Requires an operator's action.
    Error,
}

/// A row of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct EventRow {
    /// The event.
    pub event: Event,
    /// Its number, such as 1001. See `docs/EVENTS.md` for the ranges.
    pub number: u16,
    /// Its severity.
    pub severity: Severity,
    /// The message, a sentence that states what happened.
    pub text: &'static str,
}

macro_rules! events {
    ($($number:literal $event:ident $severity:ident $text:literal;)+) => {
        /// The log events of all processes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $(#[doc = $text] $event,)+
        }

        /// The catalogue, in the order of the numbers.
        pub const EVENTS: &[EventRow] = &[
            $(EventRow {
                event: Event::$event,
                number: $number,
                severity: Severity::$severity,
                text: $text,
            },)+
        ];
    };
}

events! {
    1001 Started Info "the process started and serves requests";
    1002 Stopping Info "the process received a stop signal and accepts no new requests";
    1003 Stopped Info "the process stopped";
    1004 SettingsInvalid Error "the settings are invalid";
    1005 ListenFailed Error "the process cannot listen on the address";
    1006 SettingsChanged Info "the process received the signal that its settings changed; it reads them when it needs them";
    1101 ViewAdvanced Info "the process applied a newer configuration or deployment";
    1102 ViewRejected Warning "the process rejected an update of the configuration or deployment";
    1103 ViewExpired Warning "the process's view of the deployment expired";
    1104 ControlUnreachable Warning "a control host did not respond";
    1105 ControlReached Info "a control host responds again";
    1106 ViewValid Info "the process's view of the deployment is valid";
    1107 QuarantineChanged Info "the process applied a newer quarantine of prompt parts and requests";
    1201 ListingUnavailable Warning "the endpoint listing could not be read";
    1202 ListingAvailable Info "the endpoint listing can be read again";
    1203 ListingEntriesSkipped Warning "the process skipped invalid entries in the endpoint listing";
    1204 EndpointsChanged Info "endpoints were added, were removed or started to drain";
    1205 ListingIncomplete Warning "the endpoint listing refers to a page that was read before, or to too many pages";
    2001 RequestFailed Info "a request ended with an error response";
    2002 AttemptFailed Warning "an attempt failed at an endpoint";
    2003 StreamAborted Warning "a response was aborted before its end";
    2004 SettlementFailed Warning "the outcome of a claimed request could not be recorded";
    2005 AttemptSent Info "a request was sent to an endpoint";
    2006 AttemptRetried Info "a request is retried after a failed attempt";
    2007 RetryBudgetExhausted Info "a retry was not made because the retry budget was exhausted";
    2008 EndpointEjected Warning "an endpoint was ejected after repeated failures";
    2009 RequestAnswered Info "an endpoint's complete response was forwarded to the caller";
    2010 StreamEnded Info "a streamed response was completed";
    2011 RequestRejected Info "the decision core rejected a request";
    2012 RequestQueued Info "a request was queued because the endpoints' backlog exceeded a limit";
    2013 EndpointCrashed Warning "an endpoint crashed while a request was in progress there";
    2014 EvidenceDeferred Warning "a report of crashes was not acknowledged and will be retried";
    2015 EndpointLimited Info "an endpoint stated another limit on its rate of requests, or that it has none";
    2016 EndpointLeaving Info "an endpoint stated that it is about to leave";
    2017 EndpointPaused Info "an endpoint rejected a request and wants no more for a time";
    2018 StageChanged Info "the part of a service's requests that a new version gets changed";
    2019 VersionsReplaced Warning "no version in use of a service was listed any more, so the listed versions count as in use";
    2020 TallyDeferred Warning "a report on the responses of a new version was not acknowledged and will be retried";
    2021 UploadStalled Warning "a request's body arrived too slowly, and its connection was closed";
    2022 LaneResized Info "the share of engines for short prompts changed with their load";
    3001 EngineFailed Warning "the agent's engine failed";
    3002 EngineCold Info "the engine became cold";
    3003 UsageDeferred Warning "a usage report was not acknowledged and will be retried";
    3004 EngineLimited Info "the engine stated another limit on its rate of requests, or that it has none";
    4001 Elected Info "the host became the leader of the control group";
    4002 SteppedDown Info "the host is no longer the leader of the control group";
    4003 JournalTruncated Warning "an incomplete record was truncated from the journal";
    4004 DiskFailed Error "the disk failed; the process stops";
    4005 PeerRejected Warning "a message from another host was rejected";
    4006 Compacted Info "the log was compacted into a snapshot";
    4007 MembersChanged Info "the members of the control group changed";
    4008 JoinRequested Info "the host requested to join the control group";
    4009 PartQuarantined Warning "a prompt part or request that crashes engines enters quarantine unless a front has served it";
    4010 PartReleased Info "a prompt part or request was released from quarantine";
    4011 CommandDeferred Warning "a command was rejected because too much is not committed or not written to the disk yet";
    4012 SnapshotRejected Warning "the leader's snapshot is larger than the host may receive";
    4013 SnapshotPacked Warning "the disk is full; the snapshot was written in compressed form";
    4014 PeerQueueFull Warning "messages to another host were dropped because its queue was full";
    4015 GroupLeft Info "the stopping host has left the control group, or stays because its vote is needed";
    4016 LeaveFailed Warning "no leader decided the stopping host's request to leave the control group";
    4017 RolloutOrdered Info "an order for a rollout was accepted";
    4018 RolloutStepped Info "a rollout changed the part of the requests that the new version gets";
    4019 RolloutEnded Info "a rollout ended";
    4020 CrashesRecorded Info "crashes that may count towards a quarantine are on the replicated record";
    4101 ProposalAccepted Info "a change of the configuration was accepted";
    4102 ProposalRejected Info "a change of the configuration was rejected";
    4103 CommandDecided Info "an operator's command was accepted or rejected";
    4201 WindowSealed Info "a usage window was sealed";
    4202 WindowDelivered Info "a usage window was accepted by the billing interface";
    4203 WindowDeferred Warning "a usage window was not accepted and will be retried";
    4204 WindowSent Info "a usage window was sent to the billing interface";
    4301 OrderSent Info "an order was sent to the platform";
    4302 OrderUnconfirmed Warning "an order to the platform was not confirmed";
}

impl Event {
    /// Returns the event's row in the catalogue.
    pub fn row(self) -> &'static EventRow {
        &EVENTS[self as usize]
    }
}
