//! What a control host needs to know of the messages of operators and of the platform.

use edge::Head;
use peer::ListingFormat;
use plan::Document;
use usage::Statement;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Put a plan in force. The document was checked.
    Install(Document),
    /// Tell the plan's document.
    Read,
    /// Close (true) or open a zone.
    SetZoneClosed(String, bool),
}

/// Why an order was not taken: a status and one sentence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandError {
    /// The HTTP status.
    pub status: u16,
    /// What is wrong.
    pub text: String,
}

/// A call to the billing interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BillingRequest {
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Names and formats of orders and reports. It decides nothing.
pub trait PlatformCodec: ListingFormat + Clone + Send + Sync + 'static {
    /// Reads an operator's order.
    ///
    /// # Errors
    ///
    /// [`CommandError`], if it is none, or its plan breaks a rule.
    fn decode_command(&self, head: &Head, body: &[u8]) -> Result<OperatorCommand, CommandError>;

    /// Writes the report of a window, by the holder of the lease and under its fencing number.
    fn encode_statement(&self, statement: &Statement, holder: &str, fence: u64) -> BillingRequest;
}

/// For a control host that serves no plan.
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
