//! Operators' commands about the plan. Any control host receives them; a host that is not the
//! leader redirects the operator to the leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

use edge::{
    Exchange,
    Handler, //
};
use fault::Kind;
use govern::{
    Command,
    Input,
    Outcome,
    Reply,
    Request, //
};
use ids::Ticket;
use obs::{
    Counter,
    Counters,
    Logger,
    event, //
};
use oxhttp::model::header::{
    CONTENT_TYPE,
    LOCATION, //
};
use oxhttp::model::{
    HeaderMap,
    HeaderValue, //
};
use rollout::{
    Effect,
    Order, //
};

use crate::admin;
use crate::api::ResponseFormat;
use crate::effects::{
    ControlInbox,
    PendingRequest, //
};
use crate::platform::{
    CommandError,
    OperatorCommand,
    PlatformCodec,
    RolloutCommand, //
};

/// The content of the response to a command that succeeded.
#[derive(Clone, Debug)]
pub(crate) enum CommandKind {
    /// An empty body: the command was carried out.
    Done,
    /// The plan's document.
    Document,
    /// The state of a service's rollout, and its encoding.
    Order(String, fn(&Order) -> Vec<u8>),
}

/// Receives commands on the server's event loop.
pub(crate) struct CommandHandler<C> {
    pub(crate) codec: C,
    /// Whether the settings allow rollouts.
    pub(crate) rollouts: bool,
    pub(crate) inbox: ControlInbox,
    pub(crate) tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
}

impl<C: PlatformCodec> Handler for CommandHandler<C> {
    fn handle(&self, exchange: Exchange) {
        if self.rollouts {
            match self.codec.decode_rollout(&exchange.head, &exchange.body) {
                Ok(Some(command)) => return self.rollout(exchange, command),
                Ok(None) => {}
                Err(error) => return self.reject_command(exchange, &error),
            }
        }
        let command = match self.codec.decode_command(&exchange.head, &exchange.body) {
            Ok(command) => command,
            Err(error) => return self.reject_command(exchange, &error),
        };
        event!(self.log, CommandDecided, "path" => exchange.head.uri.path().to_owned(),
        "version" => match &command {
            OperatorCommand::Install(document) => Some(document.version),
            _ => None,
        });
        self.counters.count(Counter::Proposed);
        let (kind, request) = match command {
            OperatorCommand::Read => (CommandKind::Document, Request::Document),
            OperatorCommand::Install(document) => (
                CommandKind::Done,
                Request::Command(Command::Install(document)),
            ),
            OperatorCommand::SetZoneClosed(zone, closed) => (
                CommandKind::Done,
                Request::Command(Command::SetZoneClosed(zone, closed)),
            ),
        };
        self.submit(exchange, kind, request);
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        self.counters.count_error(kind);
        admin::reject(exchange, kind.response().status, kind.response().text, None);
    }
}

impl<C: PlatformCodec> CommandHandler<C> {
    fn rollout(&self, exchange: Exchange, command: RolloutCommand) {
        let (kind, request) = match command {
            RolloutCommand::Order(order) => {
                event!(self.log, CommandDecided,
                    "path" => exchange.head.uri.path().to_owned(),
                    "service" => order.service().to_owned(),
                    "to" => order.version().to_owned());
                self.counters.count(Counter::Proposed);
                (CommandKind::Done, Request::Order(order))
            }
            RolloutCommand::Read(service) => (
                CommandKind::Order(service, C::encode_order),
                Request::Orders,
            ),
        };
        self.submit(exchange, kind, request);
    }

    /// Sends a request to the core, which replies through [`crate::effects::ControlEffects`].
    fn submit(&self, exchange: Exchange, kind: CommandKind, request: Request) {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let pending = PendingRequest {
            ticket,
            exchange,
            format: ResponseFormat::Command(kind),
        };
        // If the control thread has ended, the exchange is dropped and the connection closed.
        let _ = self.inbox.call(pending, Input::Request(ticket, request));
    }

    fn reject_command(&self, exchange: Exchange, error: &CommandError) {
        event!(self.log, CommandDecided, "path" => exchange.head.uri.path().to_owned(),
            "status" => error.status, "fault" => error.text.clone());
        admin::reject(exchange, error.status, &error.text, None);
    }
}

/// Responds to a command. `port` is the port on which control hosts receive commands.
pub(crate) fn reply(exchange: Exchange, kind: CommandKind, reply: Reply, port: u16) {
    match (kind, reply) {
        (CommandKind::Done, Reply::Outcome(Outcome::Rollout(Effect::InProgress))) => {
            let text = "a rollout of the service is in progress";
            admin::reject(exchange, 409, text, None);
        }
        (CommandKind::Done, Reply::UnknownService) => {
            admin::reject(exchange, 422, "the plan has no such service", None);
        }
        (CommandKind::Order(service, encode), Reply::Orders(orders)) => {
            match orders.iter().find(|order| order.service == service) {
                Some(order) => json(exchange, encode(order)),
                None => admin::reject(exchange, 404, "the service had no rollout", None),
            }
        }
        (CommandKind::Done, Reply::Outcome(_)) => {
            exchange.reply(200, HeaderMap::new(), Vec::new());
        }
        (CommandKind::Document, Reply::Document(Some(document))) => {
            json(exchange, document.bytes.into());
        }
        (CommandKind::Document, Reply::Document(None)) => {
            admin::reject(exchange, 503, "there is no plan yet", None);
        }
        (_, Reply::NotLeader(Some(leader))) => redirect(exchange, leader, port),
        _ => admin::reject(
            exchange,
            503,
            "the control group did not answer; it may yet be done",
            None,
        ),
    }
}

fn json(exchange: Exchange, body: Vec<u8>) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    exchange.reply(200, headers, body);
}

/// Redirects the operator to the leader.
fn redirect(exchange: Exchange, leader: SocketAddr, port: u16) {
    let mut address = leader;
    address.set_port(port);
    let path = exchange.head.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let Ok(location) = HeaderValue::from_str(&format!("http://{address}{path}")) else {
        return admin::reject(exchange, 503, "the leader cannot be named", None);
    };
    let mut headers = HeaderMap::new();
    headers.insert(LOCATION, location);
    exchange.reply(307, headers, Vec::new());
}
