//! Requests for the feed from the control group's leader, on a dedicated thread.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crossbeam::channel::{
    Receiver,
    Sender,
    bounded, //
};
use govern::{
    DeploymentReply,
    FeedError,
    FeedReply,
    FeedRequest,
    Input, //
};
use obs::{
    Logger,
    event, //
};
use peer::{
    ControlClient,
    PeerError, //
};
use step::Worker;
use wire::{
    DeploymentResponse,
    FeedResponse,
    PeerResponse,
    QuarantineReport,
    RolloutReport,
    paths, //
};

use crate::effects::ControlInbox;
use crate::settings::Settings;

/// Time that a loaded leader needs to respond once it has stopped holding a request.
const RESPONSE_TIME: Duration = Duration::from_millis(500);

/// A request, and the host that it is sent to.
pub(crate) type FeedJob = (SocketAddr, Box<FeedRequest>);

/// The channel to the feed thread. The core has at most one request in progress.
pub(crate) fn channel() -> (Sender<FeedJob>, Receiver<FeedJob>) {
    bounded(1)
}

/// Requests the feed and sends the results to the core.
pub(crate) struct FeedClient {
    pub(crate) control: ControlClient,
    /// The settings file. It is read again for the seeds when a host does not respond.
    pub(crate) settings: PathBuf,
    pub(crate) inbox: ControlInbox,
    pub(crate) log: Logger,
    /// Whether the last request succeeded.
    pub(crate) reachable: bool,
}

/// Starts the feed thread. It ends when all senders are dropped.
pub(crate) fn start(mut client: FeedClient, jobs: Receiver<FeedJob>) -> std::io::Result<Worker> {
    Worker::start("control-feed", move || {
        let (host, request) = jobs.recv().ok()?;
        let result = client.request(host, *request);
        client.inbox.send(Input::Feed(result)).ok()
    })
}

impl FeedClient {
    fn request(
        &mut self,
        host: SocketAddr,
        request: FeedRequest,
    ) -> Result<Box<FeedReply>, FeedError> {
        let timeout = request.max_wait + RESPONSE_TIME;
        let sent = self
            .control
            .seal(paths::FEED, &encode(request))
            .and_then(|body| self.control.send(host, paths::FEED, body, timeout));
        match sent {
            Ok(PeerResponse::Done(response)) => {
                if !std::mem::replace(&mut self.reachable, true) {
                    event!(self.log, ControlReached);
                }
                Ok(Box::new(decode(response)))
            }
            Ok(PeerResponse::NotLeader(leader)) => Err(FeedError::NotLeader(leader)),
            Ok(PeerResponse::Unavailable) => {
                self.report_unreachable(host, &PeerError::Unavailable);
                Err(FeedError::Unreachable(self.seeds()))
            }
            Err(error) => {
                self.report_unreachable(host, &error);
                Err(FeedError::Unreachable(self.seeds()))
            }
        }
    }

    /// Logs that a host did not respond, if the previous request succeeded.
    fn report_unreachable(&mut self, host: SocketAddr, error: &PeerError) {
        if std::mem::replace(&mut self.reachable, false) {
            event!(self.log, ControlUnreachable,
                "control" => host.to_string(), "fault" => error.to_string());
        }
    }

    /// The seeds in the current settings file; they may have been replaced since this process
    /// started.
    fn seeds(&self) -> Vec<SocketAddr> {
        match Settings::try_from(self.settings.as_path()) {
            Ok(settings) => settings.seeds(),
            Err(error) => {
                event!(self.log, SettingsInvalid, "fault" => error.to_string());
                Vec::new()
            }
        }
    }
}

fn encode(request: FeedRequest) -> wire::FeedRequest {
    wire::FeedRequest {
        host: request.id.host,
        incarnation: request.id.incarnation,
        distributor: request.distributor,
        subscribers: request.subscribers as u64,
        generation: request.generation,
        directory_version: request.directory,
        tallies: request.tallies,
        max_wait: request.max_wait,
        quarantine: QuarantineReport {
            version: request.quarantine.unwrap_or_default(),
            evidence: request.evidence,
        },
        rollouts: RolloutReport {
            version: request.rollouts.unwrap_or_default(),
            tallies: request.counts,
        },
    }
}

fn decode(response: FeedResponse) -> FeedReply {
    let DeploymentResponse {
        snapshot,
        directory,
        directory_age,
        leader,
        ttl,
        control_hosts,
        subscribers,
        unix_ms,
        distributors,
        quarantine,
        rollouts,
    } = response.deployment;
    FeedReply {
        deployment: DeploymentReply {
            snapshot,
            directory,
            directory_age,
            leader,
            hosts: control_hosts,
            subscribers: usize::try_from(subscribers).unwrap_or(usize::MAX),
            unix_ms,
            distributors,
            ttl: Some(ttl),
            quarantine,
            rollouts,
        },
        last_sealed: response.last_sealed,
    }
}
