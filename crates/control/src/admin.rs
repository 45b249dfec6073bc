//! The operators' interface: JSON over HTTP. The settings store the digests of operators' keys, not
//! the keys.

use std::net::SocketAddr;

use agree::{
    Member,
    MemberChange,
    MemberId,
    Stage, //
};
use conf::{
    Change,
    GrantSpec,
    Proposal,
    Verdict, //
};
use edge::Exchange;
use govern::{
    Outcome,
    Reply,
    Request,
    Status,
    Subscriber,
    SubscriberKind, //
};
use ids::{
    DigestKey,
    GrantName,
    OperatorName,
    ProposalName,
    Secret,
    millis, //
};
use obs::Counters;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::{
    HeaderMap,
    HeaderValue, //
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use usage::{
    Counts,
    Delivery,
    UsageKey, //
};
use wire::{
    ConfigResponse,
    ErrorResponse,
    KeyResponse,
    MemberRow,
    NewKey,
    NewMember,
    Operator,
    ProposeRequest,
    ProposeResponse,
    StatusResponse,
    SubscriberRow,
    UsageResponse,
    UsageRow,
    UsageWindowRow, //
};

use crate::api::Responder;

/// The kind of an operator's request, which determines the content of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminKind {
    Status,
    Config,
    Change,
    Usage,
    Member,
    /// The new API key's name, and the key. The key is sent only in this response.
    Key(GrantName, Secret),
}

/// The operators, and the key with which the digests of their API keys are computed.
pub(crate) struct Operators {
    pub(crate) operators: Vec<Operator>,
    pub(crate) digests: DigestKey,
}

impl Operators {
    /// The operator whose key the request carries, if any.
    fn identify(&self, exchange: &Exchange) -> Option<&OperatorName> {
        let field = exchange.head.header("authorization")?;
        let secret: Secret = field.strip_prefix("Bearer ")?.parse().ok()?;
        let digest = self.digests.digest(&secret);
        self.operators
            .iter()
            .find(|operator| operator.digest == digest)
            .map(|operator| &operator.name)
    }
}

/// The response to an invalid request.
pub(crate) struct Rejection {
    pub(crate) status: u16,
    pub(crate) text: String,
}

fn rejection(status: u16, text: impl ToString) -> Rejection {
    Rejection {
        status,
        text: text.to_string(),
    }
}

/// Authenticates the operator and decodes the request.
pub(crate) fn decode_request(
    exchange: &Exchange,
    operators: &Operators,
) -> Result<(AdminKind, Request), Rejection> {
    let operator = operators.identify(exchange);
    let operator = operator.ok_or_else(|| rejection(401, "the operator key is not valid"))?;
    let path = exchange.head.uri.path();
    match (exchange.head.method.as_str(), path) {
        ("GET", "/v1/status") => Ok((AdminKind::Status, Request::Status)),
        ("GET", "/v1/usage") => Ok((AdminKind::Usage, Request::Status)),
        ("GET", "/v1/config") => Ok((AdminKind::Config, Request::Config)),
        ("POST", "/v1/changes") => {
            let body: ProposeRequest = read_json(exchange)?;
            let proposal = Proposal {
                name: body.name,
                operator: operator.clone(),
                base: Some(body.base),
                changes: body.changes,
            };
            Ok((AdminKind::Change, Request::Propose(proposal)))
        }
        ("POST", "/v1/keys") => new_key(read_json(exchange)?, operator, operators),
        ("POST", "/v1/members") => {
            let change = MemberChange::Add(member(read_json(exchange)?)?);
            Ok((AdminKind::Member, Request::Member(change)))
        }
        ("DELETE", path) => {
            let id = path.strip_prefix("/v1/members/");
            let id = id.ok_or_else(|| rejection(404, "there is nothing at this path"))?;
            let change = MemberChange::Remove(member_id(id)?);
            Ok((AdminKind::Member, Request::Member(change)))
        }
        _ => Err(rejection(404, "there is nothing at this path")),
    }
}

fn read_json<T: DeserializeOwned>(exchange: &Exchange) -> Result<T, Rejection> {
    serde_json::from_slice(&exchange.body)
        .map_err(|error| rejection(400, format!("the body is not valid: {error}")))
}

/// Generates an API key. The proposal contains only its digest.
fn new_key(
    body: NewKey,
    operator: &OperatorName,
    operators: &Operators,
) -> Result<(AdminKind, Request), Rejection> {
    let secret = Secret::generate();
    let grant = GrantSpec {
        name: body.name.clone(),
        account: body.account,
        digest: operators.digests.digest(&secret),
        class: body.class,
    };
    let name = format!("key/{:032x}", rand::random::<u128>());
    let name = ProposalName::try_from(name.as_str());
    let proposal = Proposal {
        name: name.map_err(|error| rejection(500, error))?,
        operator: operator.clone(),
        base: None,
        changes: vec![Change::PutGrant(grant)],
    };
    Ok((
        AdminKind::Key(body.name, secret),
        Request::Propose(proposal),
    ))
}

fn member(body: NewMember) -> Result<Member, Rejection> {
    Ok(Member {
        id: member_id(&body.id)?,
        host: body.host,
        address: body.address,
        stage: Stage::Learner,
    })
}

fn member_id(text: &str) -> Result<MemberId, Rejection> {
    let id = u64::from_str_radix(text, 16).map(MemberId);
    id.map_err(|_| rejection(400, format!("{text:?} is not a member's identity")))
}

/// Responds to an operator.
pub(crate) fn reply(exchange: Exchange, kind: AdminKind, reply: Reply, responder: &Responder) {
    match (kind, reply) {
        (_, Reply::NotLeader(leader)) => {
            reject(
                exchange,
                421,
                "this host does not lead the control group",
                leader,
            );
        }
        (AdminKind::Status, Reply::Status(status)) => {
            json(exchange, 200, &status_response(&status, responder))
        }
        (AdminKind::Usage, Reply::Status(status)) => json(exchange, 200, &usage_response(&status)),
        (AdminKind::Config, Reply::Config(revision, changes)) => {
            json(exchange, 200, &ConfigResponse { revision, changes });
        }
        (AdminKind::Change, Reply::Outcome(Outcome::Verdict(verdict))) => {
            let status = match &verdict {
                Verdict::Accepted(_) => 200,
                Verdict::Conflict { .. } | Verdict::NameReused(_) => 409,
                Verdict::Invalid(_) => 422,
            };
            json(exchange, status, &ProposeResponse { verdict });
        }
        (AdminKind::Key(name, secret), Reply::Outcome(Outcome::Verdict(verdict))) => {
            respond_with_key(exchange, name, &secret, verdict);
        }
        (AdminKind::Member, Reply::Member(Ok(()))) => json(exchange, 200, &()),
        (AdminKind::Member, Reply::Member(Err(error))) => {
            reject(exchange, 409, &error.to_string(), None);
        }
        _ => reject(
            exchange,
            503,
            "the control group did not answer; it may yet be done",
            None,
        ),
    }
}

fn respond_with_key(exchange: Exchange, name: GrantName, secret: &Secret, verdict: Verdict) {
    match verdict {
        Verdict::Accepted(revision) => {
            let key = secret.reveal().to_owned();
            json(
                exchange,
                200,
                &KeyResponse {
                    name,
                    key,
                    revision,
                },
            );
        }
        Verdict::Invalid(error) => reject(exchange, 422, &error.to_string(), None),
        Verdict::Conflict { .. } | Verdict::NameReused(_) => {
            reject(exchange, 409, "the configuration changed; try again", None);
        }
    }
}

fn status_response(status: &Status, responder: &Responder) -> StatusResponse {
    let leader = status.node.leader;
    let row = |member: &Member| MemberRow {
        id: member.id.to_string(),
        host: member.host.clone(),
        address: member.address,
        stage: member.stage,
        leads: leader == Some(member.id),
    };
    StatusResponse {
        cluster: responder.cluster.clone(),
        host: responder.host.clone(),
        term: status.node.term,
        revision: status.revision,
        log: status.log_entries as u64,
        claims: status.claims as u64,
        members: status.members.iter().map(row).collect(),
        viewers: status
            .subscribers
            .iter()
            .map(|subscriber| subscriber_row(subscriber, status))
            .collect(),
    }
}

fn subscriber_row(subscriber: &Subscriber, status: &Status) -> SubscriberRow {
    let remaining = subscriber.expires_at.since(status.now);
    SubscriberRow {
        host: subscriber.id.host.clone(),
        kind: match subscriber.id.kind {
            SubscriberKind::Entry => wire::SubscriberKind::Entry,
            SubscriberKind::Agent => wire::SubscriberKind::Agent,
            SubscriberKind::Distributor => wire::SubscriberKind::Distributor,
        },
        revision: subscriber.revision,
        fresh_ms: millis(remaining),
    }
}

fn usage_response(status: &Status) -> UsageResponse {
    let sealed = status.usage.windows().map(|window| UsageWindowRow {
        number: window.number,
        end: Some(window.end),
        state: match window.delivery {
            Delivery::Pending => "pending".to_owned(),
            Delivery::Accepted => "accepted".to_owned(),
        },
        lines: window
            .lines
            .iter()
            .map(|(key, counts)| usage_row(key, counts))
            .collect(),
    });
    let open = UsageWindowRow {
        number: status.usage.open_number(),
        end: None,
        state: "open".to_owned(),
        lines: status
            .usage
            .open_lines()
            .map(|(key, counts)| usage_row(key, counts))
            .collect(),
    };
    UsageResponse {
        windows: sealed.chain(std::iter::once(open)).collect(),
    }
}

fn usage_row(key: &UsageKey, counts: &Counts) -> UsageRow {
    UsageRow {
        account: key.account.clone(),
        class: key.class.clone(),
        runs: counts.runs,
        input: counts.input.0,
        output: counts.output.0,
    }
}

/// Sends the names and values of all counters, one counter on each line.
pub(crate) fn counters(exchange: Exchange, counters: &Counters) {
    let lines = counters
        .all()
        .into_iter()
        .map(|(name, count)| format!("{name} {count}\n"));
    exchange.reply(
        200,
        HeaderMap::new(),
        lines.collect::<String>().into_bytes(),
    );
}

/// Rejects a request with an error message. `leader` is the leader's address, if another host
/// leads.
pub(crate) fn reject(exchange: Exchange, status: u16, text: &str, leader: Option<SocketAddr>) {
    let response = ErrorResponse {
        error: text.to_owned(),
        leader,
    };
    json(exchange, status, &response);
}

fn json<T: Serialize>(exchange: Exchange, status: u16, value: &T) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match serde_json::to_vec(value) {
        Ok(body) => exchange.reply(status, headers, body),
        Err(_) => exchange.reply(500, headers, Vec::new()),
    }
}
