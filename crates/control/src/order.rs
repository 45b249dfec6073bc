//! Operators' orders about the plan: taken by any control host, sent on to the leader.

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

use crate::admin;
use crate::effects::{
    ControlInbox,
    Waiting, //
};
use crate::front::Form;
use crate::protocol::{
    OperatorCommand,
    PlatformCodec, //
};

/// What an answer to an order holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OrderKind {
    /// That it was carried out.
    Done,
    /// The plan's document.
    Document,
}

/// Takes orders on the event loop.
pub(crate) struct Orders<D> {
    pub(crate) protocol: D,
    pub(crate) inbox: ControlInbox,
    pub(crate) tickets: Arc<AtomicU64>,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
}

impl<D: PlatformCodec> Handler for Orders<D> {
    fn handle(&self, exchange: Exchange) {
        let order = match self.protocol.decode_command(&exchange.head, &exchange.body) {
            Ok(order) => order,
            Err(refusal) => {
                event!(self.log, PlanAsked, "path" => exchange.head.uri.path().to_owned(),
                    "status" => refusal.status, "fault" => refusal.text.clone());
                return admin::refuse(exchange, refusal.status, &refusal.text, None);
            }
        };
        event!(self.log, PlanAsked, "path" => exchange.head.uri.path().to_owned(),
        "version" => match &order {
            OperatorCommand::Install(document) => Some(document.version),
            _ => None,
        });
        self.counters.count(Counter::Proposed);
        let (kind, question) = match order {
            OperatorCommand::Read => (OrderKind::Document, Request::Document),
            OperatorCommand::Install(document) => (
                OrderKind::Done,
                Request::Command(Command::Install(document)),
            ),
            OperatorCommand::SetZoneClosed(zone, closed) => (
                OrderKind::Done,
                Request::Command(Command::SetZoneClosed(zone, closed)),
            ),
        };
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let waiting = Waiting {
            ticket,
            exchange,
            form: Form::Order(kind),
        };
        // If the core has ended, the exchange is dropped and the asker sees a closed connection.
        let _ = self.inbox.call(waiting, Input::Request(ticket, question));
    }

    fn reject(&self, exchange: Exchange, kind: Kind) {
        self.counters.refuse(kind);
        admin::refuse(exchange, kind.response().status, kind.response().text, None);
    }
}

/// Answers an order. `port` is where control hosts take orders.
pub(crate) fn reply(exchange: Exchange, kind: OrderKind, reply: Reply, port: u16) {
    match (kind, reply) {
        (OrderKind::Done, Reply::Outcome(_)) => {
            exchange.reply(200, HeaderMap::new(), Vec::new());
        }
        (OrderKind::Document, Reply::Document(Some(document))) => {
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            exchange.reply(200, headers, document.bytes);
        }
        (OrderKind::Document, Reply::Document(None)) => {
            admin::refuse(exchange, 503, "there is no plan yet", None);
        }
        (_, Reply::NotLeader(Some(leader))) => redirect(exchange, leader, port),
        _ => admin::refuse(
            exchange,
            503,
            "the control group did not answer; it may yet be done",
            None,
        ),
    }
}

/// Sends the operator to the leader.
fn redirect(exchange: Exchange, leader: SocketAddr, port: u16) {
    let mut at = leader;
    at.set_port(port);
    let path = exchange.head.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str());
    let Ok(location) = HeaderValue::from_str(&format!("http://{at}{path}")) else {
        return admin::refuse(exchange, 503, "the leader cannot be named", None);
    };
    let mut headers = HeaderMap::new();
    headers.insert(LOCATION, location);
    exchange.reply(307, headers, Vec::new());
}
