//! The interface by which a platform's adapter decodes and encodes messages of operators and of the
//! platform.

use edge::Head;
use peer::ListingFormat;
use plan::Document;
use rollout::{
    Order,
    OrderRequest,
    Service, //
};
use usage::Statement;

/// A decoded command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Install a plan. The adapter has validated the document.
    Install(Document),
    /// Return the plan's document.
    Read,
    /// Close a zone (`true`) or reopen it (`false`).
    SetZoneClosed(String, bool),
}

/// A decoded command of an operator about rollouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Order a rollout.
    Order(OrderRequest),
    /// Return the state of this service's rollout.
    Read(String),
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandError {
    /// The HTTP status of the response.
    pub status: u16,
    /// The text of the response: one sentence.
    pub text: String,
}

/// An HTTP request to the platform's billing interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BillingRequest {
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Translates between the platform's messages and this crate's types. A codec makes no decisions.
pub trait PlatformCodec: ListingFormat + Clone + Send + Sync + 'static {
    /// Decodes an operator's command.
    ///
    /// # Errors
    ///
    /// [`CommandError`] if the request is no command, or its plan is invalid.
    fn decode_command(&self, head: &Head, body: &[u8]) -> Result<OperatorCommand, CommandError>;

    /// Decodes an operator's command about rollouts; none if the request is no such command.
    ///
    /// # Errors
    ///
    /// [`CommandError`] if the command is invalid.
    fn decode_rollout(
        &self,
        _head: &Head,
        _body: &[u8],
    ) -> Result<Option<RolloutCommand>, CommandError> {
        Ok(None)
    }

    /// Encodes the state of a rollout, for an operator.
    fn encode_order(_order: &Order) -> Vec<u8> {
        Vec::new()
    }

    /// The services of a plan's document; none if it cannot be read.
    fn services(_document: &[u8]) -> Option<Vec<Service>> {
        None
    }

    /// Encodes a statement for the billing interface. `holder` is the host that holds the lease,
    /// and `fence` the lease's fencing token.
    fn encode_statement(&self, statement: &Statement, holder: &str, fence: u64) -> BillingRequest;
}

/// The codec of a control host that serves no plan.
#[derive(Clone, Copy, Debug)]
pub struct NoPlatform;

impl ListingFormat for NoPlatform {
    fn target(&self, _: Option<&str>) -> String {
        "/".to_owned()
    }

    fn next(&self, _: &[u8]) -> Result<Option<String>, String> {
        Ok(None)
    }
}

impl PlatformCodec for NoPlatform {
    fn decode_command(&self, _: &Head, _: &[u8]) -> Result<OperatorCommand, CommandError> {
        Err(CommandError {
            status: 404,
            text: "this host serves no plan".to_owned(),
        })
    }

    fn encode_statement(&self, _: &Statement, _: &str, _: u64) -> BillingRequest {
        BillingRequest {
            target: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}
