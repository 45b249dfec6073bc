//! The HTTP interface: sealed messages from the system's own processes, and the operators'
//! interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::time::Duration;

use agree::MemberId;
use edge::{
    Exchange,
    Handler, //
};
use fault::Kind;
use govern::{
    Command,
    DeploymentReply,
    DeploymentVersions,
    Input,
    Outcome,
    Reply,
    Request,
    SubscriberId,
    SubscriberKind,
    VIEW_TTL, //
};
use ids::{
    ClusterName,
    HostName,
    Incarnation,
    Ticket, //
};
use ledger::Claimed;
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use oxhttp::model::HeaderMap;
use rollout::FrontTally;
use serde::Serialize;
use serde::de::DeserializeOwned;
use usage::Report;
use wire::{
    ClaimRequest,
    DeploymentRequest,
    DeploymentResponse,
    Envelope,
    EvidenceRequest,
    FeedRequest,
    FeedResponse,
    PeerResponse,
    RolloutRequest,
    Sealer,
    SettleRequest,
    TallyRequest,
    ViewRequest,
    ViewResponse,
    paths, //
};

use crate::admin::{
    self,
    AdminKind,
    Operators, //
};
use crate::command::CommandKind;
use crate::effects::{
    ControlInbox,
    PendingRequest, //
};

/// The kind of a request from one of the system's own processes, which determines the type of the
/// response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerKind {
    View,
    Claim,
    Settle,
    Usage,
    Deployment,
    Feed,
    Join,
    Leave,
    Tally,
    Evidence,
    FrontCounts,
}

/// The format of a response.
#[derive(Clone, Debug)]
pub(crate) enum ResponseFormat {
    /// Sealed, for a process of the system.
    Peer(PeerKind),
    /// JSON, for an operator.
    Admin(AdminKind),
    /// The response to an operator's command about the plan.
    Command(CommandKind),
}

/// Receives requests on the server's event loop.
pub(crate) struct ApiHandler {
    pub(crate) id: MemberId,
    pub(crate) host: HostName,
    pub(crate) sealer: Sealer,
    pub(crate) operators: Operators,
    pub(crate) inbox: ControlInbox,
    pub(crate) tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
}

impl Handler for ApiHandler {
    fn handle(&self, exchange: Exchange) {
        let path = exchange.head.uri.path().to_owned();
        match path.as_str() {
            paths::ENVELOPE => self.receive_envelope(exchange),
            paths::IDENTITY => self.send_identity(exchange),
            paths::VIEW => self.peer_request(exchange, paths::VIEW, PeerKind::View, view),
            paths::CLAIM => self.peer_request(exchange, paths::CLAIM, PeerKind::Claim, claim),
            paths::SETTLE => self.peer_request(exchange, paths::SETTLE, PeerKind::Settle, settle),
            paths::USAGE => {
                self.counters.count(Counter::UsageMerged);
                let usage = |report: Report| Request::Command(Command::MergeUsage(report));
                self.peer_request(exchange, paths::USAGE, PeerKind::Usage, usage);
            }
            paths::DEPLOYMENT => self.peer_request(
                exchange,
                paths::DEPLOYMENT,
                PeerKind::Deployment,
                deployment,
            ),
            paths::FEED => self.peer_request(exchange, paths::FEED, PeerKind::Feed, feed),
            paths::JOIN => self.peer_request(exchange, paths::JOIN, PeerKind::Join, Request::Join),
            paths::LEAVE => {
                self.peer_request(exchange, paths::LEAVE, PeerKind::Leave, Request::Leave)
            }
            paths::TALLY => {
                self.counters.count(Counter::UsageMerged);
                self.peer_request(exchange, paths::TALLY, PeerKind::Tally, tally);
            }
            paths::EVIDENCE => {
                self.peer_request(exchange, paths::EVIDENCE, PeerKind::Evidence, evidence);
            }
            paths::ROLLOUT => {
                self.peer_request(
                    exchange,
                    paths::ROLLOUT,
                    PeerKind::FrontCounts,
                    front_counts,
                );
            }
            "/counters" => admin::counters(exchange, &self.counters),
            _ => self.admin_request(exchange),
        }
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        self.counters.count_error(kind);
        admin::reject(exchange, kind.response().status, kind.response().text, None);
    }
}

impl ApiHandler {
    fn receive_envelope(&self, exchange: Exchange) {
        let Some(envelope) = self.open::<Envelope>(paths::ENVELOPE, &exchange) else {
            return self.reject(exchange, Kind::PeerInvalid);
        };
        let envelope = govern::Envelope {
            from: envelope.from,
            address: envelope.address,
            to: envelope.to,
            messages: envelope.messages,
        };
        let _ = self.inbox.send(Input::Envelope(envelope));
        exchange.reply(200, HeaderMap::new(), Vec::new());
    }

    fn send_identity(&self, exchange: Exchange) {
        if self.open::<()>(paths::IDENTITY, &exchange).is_none() {
            return self.reject(exchange, Kind::PeerInvalid);
        }
        let response = PeerResponse::Done((self.id, self.host.clone()));
        match self.sealer.seal(paths::RESPONSE, &response) {
            Ok(bytes) => exchange.reply(200, HeaderMap::new(), bytes),
            Err(_) => self.reject(exchange, Kind::Internal),
        }
    }

    fn peer_request<T: DeserializeOwned>(
        &self,
        exchange: Exchange,
        path: &str,
        kind: PeerKind,
        convert: impl FnOnce(T) -> Request,
    ) {
        let Some(message) = self.open::<T>(path, &exchange) else {
            return self.reject(exchange, Kind::PeerInvalid);
        };
        self.submit(exchange, ResponseFormat::Peer(kind), convert(message));
    }

    fn admin_request(&self, exchange: Exchange) {
        match admin::decode_request(&exchange, &self.operators) {
            Ok((kind, request)) => self.submit(exchange, ResponseFormat::Admin(kind), request),
            Err(error) => admin::reject(exchange, error.status, &error.text, None),
        }
    }

    /// Sends a request to the core, which replies through [`crate::effects::ControlEffects`].
    fn submit(&self, exchange: Exchange, format: ResponseFormat, request: Request) {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let pending = PendingRequest {
            ticket,
            exchange,
            format,
        };
        // If the control thread has ended, the exchange is dropped and the connection closed.
        let _ = self.inbox.call(pending, Input::Request(ticket, request));
    }

    /// Verifies and decodes a sealed message. Logs an invalid one.
    fn open<T: DeserializeOwned>(&self, path: &str, exchange: &Exchange) -> Option<T> {
        match self.sealer.open(path, &exchange.body) {
            Ok(message) => Some(message),
            Err(error) => {
                event!(self.log, PeerRejected, "fault" => error.to_string());
                None
            }
        }
    }
}

fn view(message: ViewRequest) -> Request {
    let id = SubscriberId {
        host: message.host,
        kind: match message.kind {
            wire::SubscriberKind::Entry => SubscriberKind::Entry,
            wire::SubscriberKind::Agent => SubscriberKind::Agent,
            wire::SubscriberKind::Distributor => SubscriberKind::Distributor,
        },
        incarnation: message.incarnation,
    };
    Request::View(id, message.revision, message.max_wait)
}

fn deployment(message: DeploymentRequest) -> Request {
    let versions = DeploymentVersions {
        generation: message.generation,
        directory: message.directory_version,
        quarantine: message.quarantine_version,
        rollouts: message.rollout_version,
    };
    Request::Deployment(
        front_subscriber(message.host, message.incarnation),
        versions,
        message.max_wait,
    )
}

fn feed(message: FeedRequest) -> Request {
    Request::Feed(Box::new(govern::FeedRequest {
        id: SubscriberId {
            host: message.host,
            kind: SubscriberKind::Distributor,
            incarnation: message.incarnation,
        },
        distributor: message.distributor,
        subscribers: usize::try_from(message.subscribers).unwrap_or(usize::MAX),
        generation: message.generation,
        directory: message.directory_version,
        // A process that gets the deployment from the log gets the quarantine and the stages from there
        // too.
        quarantine: message.generation.and(Some(message.quarantine.version)),
        rollouts: message.generation.and(Some(message.rollouts.version)),
        tallies: message.tallies,
        evidence: message.quarantine.evidence,
        counts: message.rollouts.tallies,
        max_wait: message.max_wait,
    }))
}

fn tally(message: TallyRequest) -> Request {
    let reporter = usage::Reporter {
        host: message.host.to_string(),
        incarnation: message.incarnation.0,
    };
    Request::Tally((reporter, message.windows))
}

fn evidence(message: EvidenceRequest) -> Request {
    let front = front_subscriber(message.host, message.incarnation);
    Request::Evidence(front, message.evidence)
}

fn front_counts(message: RolloutRequest) -> Request {
    let FrontTally {
        host, incarnation, ..
    } = &message.report;
    let front = front_subscriber(host.clone(), *incarnation);
    Request::FrontCounts(front, message.report)
}

/// Identifies a front as a subscriber. A front subscribes with the kind of an entry.
fn front_subscriber(host: HostName, incarnation: Incarnation) -> SubscriberId {
    SubscriberId {
        host,
        kind: SubscriberKind::Entry,
        incarnation,
    }
}

fn claim(message: ClaimRequest) -> Request {
    Request::Command(Command::Claim {
        key: (message.account, message.key),
        fingerprint: message.fingerprint,
        attempt: message.attempt,
        // The core sets the time.
        now: 0,
    })
}

fn settle(message: SettleRequest) -> Request {
    Request::Command(Command::Settle {
        key: (message.account, message.key),
        attempt: message.attempt,
        settlement: message.settlement,
    })
}

/// Builds and sends the responses to requests.
pub(crate) struct Responder {
    pub(crate) sealer: Sealer,
    pub(crate) cluster: ClusterName,
    pub(crate) host: HostName,
    /// How long a front may use a view of the deployment.
    pub(crate) view_ttl: Duration,
    /// The port on which control hosts receive commands about the plan.
    pub(crate) port: u16,
}

impl Responder {
    /// Responds to one of the system's own processes.
    pub(crate) fn respond(&self, exchange: Exchange, kind: PeerKind, reply: Reply) {
        match (kind, reply) {
            (PeerKind::View, Reply::View(update, hosts)) => {
                let response = ViewResponse {
                    update,
                    ttl: VIEW_TTL,
                    control_hosts: hosts,
                };
                self.send(exchange, &PeerResponse::Done(response));
            }
            (PeerKind::Claim, Reply::Outcome(Outcome::Claimed(claimed))) => {
                self.send(exchange, &PeerResponse::Done(claimed));
            }
            (PeerKind::Settle, Reply::Outcome(Outcome::Settled(settled))) => {
                self.send(exchange, &PeerResponse::Done(settled));
            }
            (PeerKind::Usage, Reply::Outcome(Outcome::Applied)) => {
                self.send(exchange, &PeerResponse::Done(()));
            }
            (PeerKind::Deployment, Reply::Deployment(reply)) => {
                let response = self.deployment_response(*reply);
                self.send(exchange, &PeerResponse::Done(response));
            }
            (PeerKind::Feed, Reply::Feed(reply)) => {
                let response = FeedResponse {
                    deployment: self.deployment_response(reply.deployment),
                    last_sealed: reply.last_sealed,
                };
                self.send(exchange, &PeerResponse::Done(response));
            }
            (PeerKind::Join, Reply::Member(_)) => self.send(exchange, &PeerResponse::Done(())),
            (PeerKind::Leave, Reply::Member(result)) => {
                self.send(exchange, &PeerResponse::Done(result.is_ok()));
            }
            (PeerKind::Tally, Reply::LastSealed(last)) => {
                self.send(exchange, &PeerResponse::Done(last));
            }
            (PeerKind::Evidence | PeerKind::FrontCounts, Reply::Recorded) => {
                self.send(exchange, &PeerResponse::Done(()))
            }
            (kind, Reply::NotLeader(leader)) => self.not_leader(exchange, kind, leader),
            (kind, _) => self.unavailable(exchange, kind),
        }
    }

    fn deployment_response(&self, reply: DeploymentReply) -> DeploymentResponse {
        DeploymentResponse {
            snapshot: reply.snapshot,
            directory: reply.directory,
            directory_age: reply.directory_age,
            leader: reply.leader,
            ttl: reply
                .ttl
                .map_or(self.view_ttl, |ttl| ttl.min(self.view_ttl)),
            control_hosts: reply.hosts,
            subscribers: reply.subscribers as u64,
            unix_ms: reply.unix_ms,
            distributors: reply.distributors,
            quarantine: reply.quarantine,
            rollouts: reply.rollouts,
        }
    }

    fn not_leader(&self, exchange: Exchange, kind: PeerKind, leader: Option<SocketAddr>) {
        match kind {
            PeerKind::View => self.send(exchange, &PeerResponse::<ViewResponse>::NotLeader(leader)),
            PeerKind::Claim => self.send(exchange, &PeerResponse::<Claimed>::NotLeader(leader)),
            PeerKind::Settle | PeerKind::Leave => {
                self.send(exchange, &PeerResponse::<bool>::NotLeader(leader));
            }
            PeerKind::Deployment => self.send(
                exchange,
                &PeerResponse::<DeploymentResponse>::NotLeader(leader),
            ),
            PeerKind::Feed => self.send(exchange, &PeerResponse::<FeedResponse>::NotLeader(leader)),
            PeerKind::Tally => self.send(exchange, &PeerResponse::<Option<u64>>::NotLeader(leader)),
            PeerKind::Usage | PeerKind::Join | PeerKind::Evidence | PeerKind::FrontCounts => {
                self.send(exchange, &PeerResponse::<()>::NotLeader(leader));
            }
        }
    }

    fn unavailable(&self, exchange: Exchange, kind: PeerKind) {
        match kind {
            PeerKind::View => self.send(exchange, &PeerResponse::<ViewResponse>::Unavailable),
            PeerKind::Claim => self.send(exchange, &PeerResponse::<Claimed>::Unavailable),
            PeerKind::Settle | PeerKind::Leave => {
                self.send(exchange, &PeerResponse::<bool>::Unavailable);
            }
            PeerKind::Deployment => {
                self.send(exchange, &PeerResponse::<DeploymentResponse>::Unavailable)
            }
            PeerKind::Feed => self.send(exchange, &PeerResponse::<FeedResponse>::Unavailable),
            PeerKind::Tally => self.send(exchange, &PeerResponse::<Option<u64>>::Unavailable),
            PeerKind::Usage | PeerKind::Join | PeerKind::Evidence | PeerKind::FrontCounts => {
                self.send(exchange, &PeerResponse::<()>::Unavailable);
            }
        }
    }

    fn send<T: Serialize>(&self, exchange: Exchange, response: &PeerResponse<T>) {
        match self.sealer.seal(paths::RESPONSE, response) {
            Ok(bytes) => exchange.reply(200, HeaderMap::new(), bytes),
            Err(_) => exchange.reply(500, HeaderMap::new(), Vec::new()),
        }
    }
}
