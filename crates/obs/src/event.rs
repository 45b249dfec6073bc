//! The catalogue of log events. Numbers are never reused.

/// How serious an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Expected in normal service.
    Info,
    /// Worth a look if it repeats.
    Warning,
    /// Needs an operator.
    Error,
}

/// A row of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct EventRow {
    /// The event.
    pub event: Event,
    /// Its number, such as 1001.
    pub number: u16,
    /// How serious it is.
    pub severity: Severity,
    /// What happened.
    pub text: &'static str,
}

macro_rules! events {
    ($($number:literal $event:ident $severity:ident $text:literal;)+) => {
        /// Everything that is logged.
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
    1001 Started Info "the process serves";
    1002 Stopping Info "the process was told to stop and takes no new work";
    1003 Stopped Info "the process ended";
    1004 SettingsInvalid Error "the settings are not valid";
    1005 ListenFailed Error "the address cannot be listened on";
    1006 SettingsChanged Info "the process was told that its settings changed; they are read when needed";
    1101 ViewAdvanced Info "the process follows a newer configuration";
    1102 ViewRejected Warning "an update of the configuration was not taken";
    1103 ViewExpired Warning "the view of the configuration passed its freshness bound";
    1104 ControlUnreachable Warning "a control host did not answer";
    1105 ControlReached Info "a control host answers again";
    1106 ViewValid Info "the view of the configuration is fresh";
    1201 ListUnavailable Warning "the list of endpoints could not be read";
    1202 ListAvailable Info "the list of endpoints can be read again";
    1203 ListEntriesSkipped Warning "entries of the list of endpoints could not be read";
    1204 EndpointsChanged Info "endpoints came, went or began to leave";
    2001 RequestFailed Info "a request was refused";
    2002 AttemptFailed Warning "an attempt failed at an endpoint";
    2003 StreamAborted Warning "an answer broke off before its end";
    2004 SettlementFailed Warning "the outcome of a claimed request could not be recorded";
    2005 AttemptSent Info "a request was sent to an endpoint";
    2006 AttemptRetried Info "a request is sent once more after a failure";
    2007 RetryBudgetExhausted Info "a retry was not made because the budget was spent";
    2008 EndpointEjected Warning "an endpoint is left out after failures";
    2009 RequestAnswered Info "an endpoint's whole answer was passed on";
    2010 StreamEnded Info "a streamed answer ended whole";
    2011 RequestRejected Info "a request is not to be served";
    2012 RequestQueued Info "a request waits for engines with less to read";
    3001 EngineFailed Warning "the engine beside the agent failed";
    3002 EngineCold Info "the engine turned cold";
    3003 UsageDeferred Warning "a usage report was not acknowledged and will be sent again";
    4001 Elected Info "the host leads the control group";
    4002 SteppedDown Info "the host no longer leads the control group";
    4003 JournalTruncated Warning "an unfinished record was cut from the journal";
    4004 DiskFailed Error "the disk failed; the process stops";
    4005 PeerRejected Warning "a message from another host was refused";
    4006 Compacted Info "the log was replaced by a snapshot";
    4007 MembersChanged Info "the members of the control group changed";
    4008 JoinRequested Info "the host asks to be taken into the control group";
    4101 ProposalAccepted Info "a change of the configuration was accepted";
    4102 ProposalRejected Info "a change of the configuration was refused";
    4103 OrderDecided Info "an operator's order was taken up or refused";
    4201 WindowSealed Info "a usage window was sealed";
    4202 WindowDelivered Info "a usage window was accepted by the billing interface";
    4203 WindowDeferred Warning "a usage window was not accepted and will be sent again";
    4204 WindowSent Info "a usage window is sent to the billing interface";
    4301 OrderSent Info "an order was sent to the platform";
    4302 OrderUnconfirmed Warning "an order to the platform was not confirmed";
}

impl Event {
    /// The event's row in the catalogue.
    pub fn row(self) -> &'static EventRow {
        &EVENTS[self as usize]
    }
}
