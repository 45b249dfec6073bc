//! The HTTP fronts: messages from the system's own processes, and the operators' interface.

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
use serde::Serialize;
use serde::de::DeserializeOwned;
use usage::Report;
use wire::{
    Answer,
    ClaimAsk,
    DeploymentAnswer,
    DeploymentAsk,
    Mail,
    Sealer,
    SettleAsk,
    Side,
    TallyAsk,
    ViewAnswer,
    ViewAsk,
    paths, //
};

use crate::admin::{
    self,
    AdminKind,
    Operators, //
};
use crate::effects::{
    ControlInbox,
    Waiting, //
};
use crate::order::OrderKind;

/// What an answer to one of the system's own processes holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerKind {
    View,
    Claim,
    Settle,
    Usage,
    Deployment,
    Join,
    Tally,
}

/// The form an answer takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// Sealed, for a process of the system.
    Peer(PeerKind),
    /// JSON, for an operator.
    Admin(AdminKind),
    /// For an operator of the plan.
    Order(OrderKind),
}

/// Takes requests on the event loop.
pub(crate) struct Front {
    pub(crate) id: MemberId,
    pub(crate) host: HostName,
    pub(crate) sealer: Sealer,
    pub(crate) operators: Operators,
    pub(crate) inbox: ControlInbox,
    pub(crate) tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
}

impl Handler for Front {
    fn handle(&self, exchange: Exchange) {
        let path = exchange.head.uri.path().to_owned();
        match path.as_str() {
            paths::MAIL => self.mail(exchange),
            paths::IDENTITY => self.identity(exchange),
            paths::VIEW => self.peer(exchange, paths::VIEW, PeerKind::View, view),
            paths::CLAIM => self.peer(exchange, paths::CLAIM, PeerKind::Claim, claim),
            paths::SETTLE => self.peer(exchange, paths::SETTLE, PeerKind::Settle, settle),
            paths::USAGE => {
                self.counters.count(Counter::UsageMerged);
                let usage = |report: Report| Request::Command(Command::MergeUsage(report));
                self.peer(exchange, paths::USAGE, PeerKind::Usage, usage);
            }
            paths::DEPLOYMENT => self.peer(
                exchange,
                paths::DEPLOYMENT,
                PeerKind::Deployment,
                deployment,
            ),
            paths::JOIN => self.peer(exchange, paths::JOIN, PeerKind::Join, Request::Join),
            paths::TALLY => {
                self.counters.count(Counter::UsageMerged);
                self.peer(exchange, paths::TALLY, PeerKind::Tally, tally);
            }
            "/counters" => admin::counters(exchange, &self.counters),
            _ => self.admin(exchange),
        }
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        self.counters.refuse(kind);
        admin::refuse(exchange, kind.response().status, kind.response().text, None);
    }
}

impl Front {
    fn mail(&self, exchange: Exchange) {
        let Some(mail) = self.open::<Mail>(paths::MAIL, &exchange) else {
            return self.reject(exchange, Kind::PeerInvalid);
        };
        let envelope = govern::Envelope {
            from: mail.from,
            address: mail.address,
            to: mail.to,
            messages: mail.messages,
        };
        let _ = self.inbox.send(Input::Envelope(envelope));
        exchange.reply(200, HeaderMap::new(), Vec::new());
    }

    fn identity(&self, exchange: Exchange) {
        if self.open::<()>(paths::IDENTITY, &exchange).is_none() {
            return self.reject(exchange, Kind::PeerInvalid);
        }
        let answer = Answer::Done((self.id, self.host.clone()));
        match self.sealer.seal(paths::ANSWER, &answer) {
            Ok(bytes) => exchange.reply(200, HeaderMap::new(), bytes),
            Err(_) => self.reject(exchange, Kind::Internal),
        }
    }

    fn peer<T: DeserializeOwned>(
        &self,
        exchange: Exchange,
        path: &str,
        kind: PeerKind,
        question: impl FnOnce(T) -> Request,
    ) {
        let Some(ask) = self.open::<T>(path, &exchange) else {
            return self.reject(exchange, Kind::PeerInvalid);
        };
        self.ask(exchange, Form::Peer(kind), question(ask));
    }

    fn admin(&self, exchange: Exchange) {
        match admin::question(&exchange, &self.operators) {
            Ok((kind, question)) => self.ask(exchange, Form::Admin(kind), question),
            Err(fault) => admin::refuse(exchange, fault.status, &fault.text, None),
        }
    }

    fn ask(&self, exchange: Exchange, form: Form, question: Request) {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let waiting = Waiting {
            ticket,
            exchange,
            form,
        };
        // If the core has ended, the exchange is dropped and the asker sees a closed connection.
        let _ = self.inbox.call(waiting, Input::Request(ticket, question));
    }

    fn open<T: DeserializeOwned>(&self, path: &str, exchange: &Exchange) -> Option<T> {
        match self.sealer.open(path, &exchange.body) {
            Ok(message) => Some(message),
            Err(fault) => {
                event!(self.log, PeerRefused, "fault" => fault.to_string());
                None
            }
        }
    }
}

fn view(ask: ViewAsk) -> Request {
    let id = SubscriberId {
        host: ask.host,
        kind: match ask.side {
            Side::Entry => SubscriberKind::Entry,
            Side::Agent => SubscriberKind::Agent,
        },
        incarnation: ask.run,
    };
    Request::View(id, ask.revision, ask.wait)
}

fn deployment(ask: DeploymentAsk) -> Request {
    let versions = DeploymentVersions {
        generation: ask.edition,
        directory: ask.directory,
    };
    Request::Deployment(follower(ask.host, ask.run), versions, ask.wait)
}

fn tally(ask: TallyAsk) -> Request {
    let reporter = usage::Reporter {
        host: ask.host.to_string(),
        incarnation: ask.run.0,
    };
    Request::Tally((reporter, ask.windows))
}

fn follower(host: HostName, run: Incarnation) -> SubscriberId {
    SubscriberId {
        host,
        kind: SubscriberKind::Entry,
        incarnation: run,
    }
}

fn claim(ask: ClaimAsk) -> Request {
    Request::Command(Command::Claim {
        key: (ask.account, ask.key),
        fingerprint: ask.fingerprint,
        attempt: ask.attempt,
        // The core puts its own time in.
        now: 0,
    })
}

fn settle(ask: SettleAsk) -> Request {
    Request::Command(Command::Settle {
        key: (ask.account, ask.key),
        attempt: ask.attempt,
        settlement: ask.settlement,
    })
}

/// Writes answers.
pub(crate) struct Replies {
    pub(crate) sealer: Sealer,
    pub(crate) cluster: ClusterName,
    pub(crate) host: HostName,
    /// How long followers of the deployment may go by an answer.
    pub(crate) fresh: Duration,
    /// Where control hosts take orders about the plan.
    pub(crate) port: u16,
}

impl Replies {
    /// Answers one of the system's own processes.
    pub(crate) fn peer(&self, exchange: Exchange, kind: PeerKind, reply: Reply) {
        match (kind, reply) {
            (PeerKind::View, Reply::View(update, hosts)) => {
                let answer = ViewAnswer {
                    update,
                    fresh: VIEW_TTL,
                    hosts,
                };
                self.seal(exchange, &Answer::Done(answer));
            }
            (PeerKind::Claim, Reply::Outcome(Outcome::Claimed(claimed))) => {
                self.seal(exchange, &Answer::Done(claimed));
            }
            (PeerKind::Settle, Reply::Outcome(Outcome::Settled(taken))) => {
                self.seal(exchange, &Answer::Done(taken));
            }
            (PeerKind::Usage, Reply::Outcome(Outcome::Applied)) => {
                self.seal(exchange, &Answer::Done(()));
            }
            (PeerKind::Deployment, Reply::Deployment(reply)) => {
                let answer = DeploymentAnswer {
                    copy: reply.copy,
                    directory: reply.directory,
                    age: reply.age,
                    leader: reply.leader,
                    fresh: self.fresh,
                    hosts: reply.hosts,
                    followers: reply.subscribers as u64,
                    wall: reply.unix_ms,
                };
                self.seal(exchange, &Answer::Done(answer));
            }
            (PeerKind::Join, Reply::Member(_)) => self.seal(exchange, &Answer::Done(())),
            (PeerKind::Tally, Reply::LastSealed(last)) => {
                self.seal(exchange, &Answer::Done(last));
            }
            (kind, Reply::NotLeader(leader)) => self.elsewhere(exchange, kind, leader),
            (kind, _) => self.unavailable(exchange, kind),
        }
    }

    fn elsewhere(&self, exchange: Exchange, kind: PeerKind, leader: Option<SocketAddr>) {
        match kind {
            PeerKind::View => self.seal(exchange, &Answer::<ViewAnswer>::Elsewhere(leader)),
            PeerKind::Claim => self.seal(exchange, &Answer::<Claimed>::Elsewhere(leader)),
            PeerKind::Settle => self.seal(exchange, &Answer::<bool>::Elsewhere(leader)),
            PeerKind::Deployment => {
                self.seal(exchange, &Answer::<DeploymentAnswer>::Elsewhere(leader))
            }
            PeerKind::Tally => self.seal(exchange, &Answer::<Option<u64>>::Elsewhere(leader)),
            PeerKind::Usage | PeerKind::Join => {
                self.seal(exchange, &Answer::<()>::Elsewhere(leader));
            }
        }
    }

    fn unavailable(&self, exchange: Exchange, kind: PeerKind) {
        match kind {
            PeerKind::View => self.seal(exchange, &Answer::<ViewAnswer>::Unavailable),
            PeerKind::Claim => self.seal(exchange, &Answer::<Claimed>::Unavailable),
            PeerKind::Settle => self.seal(exchange, &Answer::<bool>::Unavailable),
            PeerKind::Deployment => self.seal(exchange, &Answer::<DeploymentAnswer>::Unavailable),
            PeerKind::Tally => self.seal(exchange, &Answer::<Option<u64>>::Unavailable),
            PeerKind::Usage | PeerKind::Join => {
                self.seal(exchange, &Answer::<()>::Unavailable);
            }
        }
    }

    fn seal<T: Serialize>(&self, exchange: Exchange, answer: &Answer<T>) {
        match self.sealer.seal(paths::ANSWER, answer) {
            Ok(bytes) => exchange.reply(200, HeaderMap::new(), bytes),
            Err(_) => exchange.reply(500, HeaderMap::new(), Vec::new()),
        }
    }
}
