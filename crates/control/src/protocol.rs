//! What a control host needs to know of the messages of operators and of the platform.

use edge::Head;
use peer::ListingFormat;
use plan::Document;
use usage::Statement;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Put a plan in force. The document was checked.
    Install(Document),
    /// Tell the plan's document.
    Read,
    /// Close (true) or open a zone.
    Zone(String, bool),
}

/// Why an order was not taken: a status and one sentence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// What is wrong.
    pub text: String,
}

/// A call to the billing interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bill {
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Names and formats of orders and reports. It decides nothing.
pub trait Protocol: ListingFormat + Clone + Send + Sync + 'static {
    /// Reads an operator's order.
    ///
    /// # Errors
    ///
    /// [`Refusal`], if it is none, or its plan breaks a rule.
    fn order(&self, head: &Head, body: &[u8]) -> Result<Order, Refusal>;

    /// Writes the report of a window, by the holder of the lease and under its fencing number.
    fn bill(&self, statement: &Statement, holder: &str, fence: u64) -> Bill;
}

/// For a control host that serves no plan.
#[derive(Clone, Copy, Debug)]
pub struct NoProtocol;

impl ListingFormat for NoProtocol {
    fn target(&self, _: Option<&str>) -> String {
        "/".to_owned()
    }

    fn next(&self, _: &[u8]) -> Result<Option<String>, String> {
        Ok(None)
    }
}

impl Protocol for NoProtocol {
    fn order(&self, _: &Head, _: &[u8]) -> Result<Order, Refusal> {
        Err(Refusal {
            status: 404,
            text: "this host serves no plan".to_owned(),
        })
    }

    fn bill(&self, _: &Statement, _: &str, _: u64) -> Bill {
        Bill {
            target: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}
