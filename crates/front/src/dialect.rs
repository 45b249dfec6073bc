//! What a front needs to know of the messages on the wire.

use std::time::Duration;

use edge::Head;
use fault::Kind;
use hyper::HeaderMap;
use peer::ListingFormat;
use plan::PlanSpec;
use relay::{
    Attempt,
    EndpointInfo,
    Load,
    RequestHead, //
};

/// What the head of an endpoint's answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint worked on it.
    Ran,
    /// The endpoint did not, for want of room or time.
    Full,
    /// Another instance has the address now.
    Misdirected,
}

/// The head of an endpoint's answer.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// Whether it belongs to the request that was sent.
    pub matches: bool,
    /// What became of the request.
    pub outcome: Outcome,
    /// The endpoint's word on its load.
    pub load: Option<Load>,
    /// How long the endpoint keeps the connection when idle, if it says so.
    pub kept: Option<Duration>,
}

/// A page of the list of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The entries that could be read.
    pub list: Vec<EndpointInfo>,
    /// How many could not.
    pub skipped: usize,
    /// Where the list goes on.
    pub next: Option<String>,
}

/// Names and formats on the wire. It decides nothing.
pub trait Dialect: ListingFormat + Clone + Send + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The kind to be answered with, if the head is malformed.
    fn ask(&self, head: &Head) -> Result<RequestHead, Kind>;

    /// The header fields of an attempt: the caller's, less its key and what only the system may
    /// set, and the system's own. `after` is the last event that the caller has.
    fn forward(&self, head: &Head, go: &Attempt, left: Duration, after: Option<&str>) -> HeaderMap;

    /// Reads the head of an endpoint's answer to a request.
    fn answered(&self, asked: &Head, status: u16, headers: &HeaderMap) -> Answered;

    /// Reads a plan's document.
    ///
    /// # Errors
    ///
    /// A sentence that names the fault.
    fn plan(&self, document: &[u8]) -> Result<PlanSpec, String>;

    /// Reads a page of the list of endpoints.
    ///
    /// # Errors
    ///
    /// A sentence that names the fault, if the page itself cannot be read.
    fn page(&self, body: &[u8]) -> Result<Page, String>;
}
