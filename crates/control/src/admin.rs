//! The operators' interface: JSON over HTTP, with a key that is stored as a digest.

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
    ConfigAnswer,
    ErrorAnswer,
    KeyAnswer,
    MemberRow,
    NewKey,
    NewMember,
    Operator,
    Propose,
    ProposeAnswer,
    SealedRow,
    Side,
    StatusAnswer,
    UsageAnswer,
    UsageRow,
    ViewerRow, //
};

use crate::front::Replies;

/// What an answer to an operator holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminKind {
    Status,
    Config,
    Change,
    Usage,
    Member,
    /// The clear key is shown once, in this answer.
    Key(GrantName, Secret),
}

/// Who may operate the system.
pub(crate) struct Operators {
    pub(crate) known: Vec<Operator>,
    pub(crate) digests: DigestKey,
}

impl Operators {
    fn identify(&self, exchange: &Exchange) -> Option<&OperatorName> {
        let field = exchange.head.header("authorization")?;
        let secret: Secret = field.strip_prefix("Bearer ")?.parse().ok()?;
        let digest = self.digests.digest(&secret);
        self.known
            .iter()
            .find(|operator| operator.digest == digest)
            .map(|operator| &operator.name)
    }
}

/// Why a request is not a question.
pub(crate) struct Refusal {
    pub(crate) status: u16,
    pub(crate) text: String,
}

fn refusal(status: u16, text: impl ToString) -> Refusal {
    Refusal {
        status,
        text: text.to_string(),
    }
}

/// Turns an operator's request into a question to the core.
pub(crate) fn question(
    exchange: &Exchange,
    operators: &Operators,
) -> Result<(AdminKind, Request), Refusal> {
    let operator = operators.identify(exchange);
    let operator = operator.ok_or_else(|| refusal(401, "the operator key is not valid"))?;
    let path = exchange.head.uri.path();
    match (exchange.head.method.as_str(), path) {
        ("GET", "/v1/status") => Ok((AdminKind::Status, Request::Status)),
        ("GET", "/v1/usage") => Ok((AdminKind::Usage, Request::Status)),
        ("GET", "/v1/config") => Ok((AdminKind::Config, Request::Config)),
        ("POST", "/v1/changes") => {
            let ask: Propose = read(exchange)?;
            let proposal = Proposal {
                name: ask.name,
                operator: operator.clone(),
                base: Some(ask.base),
                changes: ask.changes,
            };
            Ok((AdminKind::Change, Request::Propose(proposal)))
        }
        ("POST", "/v1/keys") => new_key(read(exchange)?, operator, operators),
        ("POST", "/v1/members") => {
            let change = MemberChange::Add(member(read(exchange)?)?);
            Ok((AdminKind::Member, Request::Member(change)))
        }
        ("DELETE", path) => {
            let id = path.strip_prefix("/v1/members/");
            let id = id.ok_or_else(|| refusal(404, "there is nothing at this path"))?;
            let change = MemberChange::Remove(member_id(id)?);
            Ok((AdminKind::Member, Request::Member(change)))
        }
        _ => Err(refusal(404, "there is nothing at this path")),
    }
}

fn read<T: DeserializeOwned>(exchange: &Exchange) -> Result<T, Refusal> {
    serde_json::from_slice(&exchange.body)
        .map_err(|fault| refusal(400, format!("the body is not valid: {fault}")))
}

/// Makes a key. Only its digest goes into the proposal.
fn new_key(
    ask: NewKey,
    operator: &OperatorName,
    operators: &Operators,
) -> Result<(AdminKind, Request), Refusal> {
    let secret = Secret::generate();
    let grant = GrantSpec {
        name: ask.name.clone(),
        account: ask.account,
        digest: operators.digests.digest(&secret),
        class: ask.class,
    };
    let request = format!("key/{:032x}", rand::random::<u128>());
    let request = ProposalName::try_from(request.as_str());
    let proposal = Proposal {
        name: request.map_err(|fault| refusal(500, fault))?,
        operator: operator.clone(),
        base: None,
        changes: vec![Change::PutGrant(grant)],
    };
    Ok((AdminKind::Key(ask.name, secret), Request::Propose(proposal)))
}

fn member(ask: NewMember) -> Result<Member, Refusal> {
    Ok(Member {
        id: member_id(&ask.id)?,
        host: ask.host,
        address: ask.address,
        stage: Stage::Learner,
    })
}

fn member_id(text: &str) -> Result<MemberId, Refusal> {
    let id = u64::from_str_radix(text, 16).map(MemberId);
    id.map_err(|_| refusal(400, format!("{text:?} is not a member's identity")))
}

/// Answers an operator.
pub(crate) fn reply(exchange: Exchange, kind: AdminKind, reply: Reply, replies: &Replies) {
    match (kind, reply) {
        (_, Reply::NotLeader(leader)) => {
            refuse(
                exchange,
                421,
                "this host does not lead the control group",
                leader,
            );
        }
        (AdminKind::Status, Reply::Status(status)) => json(exchange, 200, &show(&status, replies)),
        (AdminKind::Usage, Reply::Status(status)) => json(exchange, 200, &windows(&status)),
        (AdminKind::Config, Reply::Config(revision, changes)) => {
            json(exchange, 200, &ConfigAnswer { revision, changes });
        }
        (AdminKind::Change, Reply::Outcome(Outcome::Verdict(verdict))) => {
            let status = match &verdict {
                Verdict::Accepted(_) => 200,
                Verdict::Conflict { .. } | Verdict::NameReused(_) => 409,
                Verdict::Invalid(_) => 422,
            };
            json(exchange, status, &ProposeAnswer { verdict });
        }
        (AdminKind::Key(name, secret), Reply::Outcome(Outcome::Verdict(verdict))) => {
            show_key(exchange, name, &secret, verdict);
        }
        (AdminKind::Member, Reply::Member(Ok(()))) => json(exchange, 200, &()),
        (AdminKind::Member, Reply::Member(Err(fault))) => {
            refuse(exchange, 409, &fault.to_string(), None);
        }
        _ => refuse(
            exchange,
            503,
            "the control group did not answer; it may yet be done",
            None,
        ),
    }
}

fn show_key(exchange: Exchange, name: GrantName, secret: &Secret, verdict: Verdict) {
    match verdict {
        Verdict::Accepted(revision) => {
            let key = secret.reveal().to_owned();
            json(
                exchange,
                200,
                &KeyAnswer {
                    name,
                    key,
                    revision,
                },
            );
        }
        Verdict::Invalid(fault) => refuse(exchange, 422, &fault.to_string(), None),
        Verdict::Conflict { .. } | Verdict::NameReused(_) => {
            refuse(exchange, 409, "the configuration changed; try again", None);
        }
    }
}

fn show(status: &Status, replies: &Replies) -> StatusAnswer {
    let leader = status.node.leader;
    let row = |member: &Member| MemberRow {
        id: member.id.to_string(),
        host: member.host.clone(),
        address: member.address,
        stage: member.stage,
        leads: leader == Some(member.id),
    };
    StatusAnswer {
        cluster: replies.cluster.clone(),
        host: replies.host.clone(),
        term: status.node.term,
        revision: status.revision,
        log: status.log_entries as u64,
        claims: status.claims as u64,
        members: status.members.iter().map(row).collect(),
        viewers: status
            .subscribers
            .iter()
            .map(|subscriber| viewer_row(subscriber, status))
            .collect(),
    }
}

fn viewer_row(subscriber: &Subscriber, status: &Status) -> ViewerRow {
    let left = subscriber.expires_at.since(status.now);
    ViewerRow {
        host: subscriber.id.host.clone(),
        side: match subscriber.id.kind {
            SubscriberKind::Entry => Side::Entry,
            SubscriberKind::Agent => Side::Agent,
        },
        revision: subscriber.revision,
        fresh_ms: millis(left),
    }
}

fn windows(status: &Status) -> UsageAnswer {
    let sealed = status.usage.windows().map(|window| SealedRow {
        number: window.number,
        end: Some(window.end),
        state: match window.delivery {
            Delivery::Pending => "pending".to_owned(),
            Delivery::Accepted => "accepted".to_owned(),
        },
        lines: window
            .lines
            .iter()
            .map(|(line, counts)| usage_row(line, counts))
            .collect(),
    });
    let open = SealedRow {
        number: status.usage.open_number(),
        end: None,
        state: "open".to_owned(),
        lines: status
            .usage
            .open_lines()
            .map(|(line, counts)| usage_row(line, counts))
            .collect(),
    };
    UsageAnswer {
        windows: sealed.chain(std::iter::once(open)).collect(),
    }
}

fn usage_row(line: &UsageKey, counts: &Counts) -> UsageRow {
    UsageRow {
        account: line.account.clone(),
        class: line.class.clone(),
        runs: counts.runs,
        input: counts.input.0,
        output: counts.output.0,
    }
}

/// Answers with all counters, one on a line.
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

/// Refuses a request in plain words.
pub(crate) fn refuse(exchange: Exchange, status: u16, text: &str, leader: Option<SocketAddr>) {
    let answer = ErrorAnswer {
        error: text.to_owned(),
        leader,
    };
    json(exchange, status, &answer);
}

fn json<T: Serialize>(exchange: Exchange, status: u16, value: &T) {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    match serde_json::to_vec(value) {
        Ok(body) => exchange.reply(status, headers, body),
        Err(_) => exchange.reply(500, headers, Vec::new()),
    }
}
