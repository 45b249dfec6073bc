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
    Executed,
    /// The endpoint did not, for want of room or time.
    Full,
    /// Another instance has the address now.
    Misdirected,
}

/// The head of an endpoint's answer.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    /// Whether it belongs to the request that was sent.
    pub matches_request: bool,
    /// What became of the request.
    pub outcome: Outcome,
    /// The endpoint's word on its load.
    pub load: Option<Load>,
    /// How long the endpoint keeps the connection when idle, if it says so.
    pub keep_alive: Option<Duration>,
}

/// A page of the list of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointPage {
    /// The entries that could be read.
    pub endpoints: Vec<EndpointInfo>,
    /// How many could not.
    pub skipped: usize,
    /// Where the list goes on.
    pub next_page: Option<String>,
}

/// Names and formats on the wire. It decides nothing.
pub trait ProtocolAdapter: ListingFormat + Clone + Send + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The kind to be answered with, if the head is malformed.
    fn parse_request(&self, head: &Head) -> Result<RequestHead, Kind>;

    /// The header fields of an attempt: the caller's, less its key and what only the system may
    /// set, and the system's own. `after` is the last event that the caller has.
    fn attempt_headers(
        &self,
        head: &Head,
        go: &Attempt,
        left: Duration,
        after: Option<&str>,
    ) -> HeaderMap;

    /// Reads the head of an endpoint's answer to a request.
    fn parse_response_head(&self, asked: &Head, status: u16, headers: &HeaderMap) -> ResponseHead;

    /// Reads a plan's document.
    ///
    /// # Errors
    ///
    /// A sentence that names the fault.
    fn parse_plan(&self, document: &[u8]) -> Result<PlanSpec, String>;

    /// Reads a page of the list of endpoints.
    ///
    /// # Errors
    ///
    /// A sentence that names the fault, if the page itself cannot be read.
    fn parse_page(&self, body: &[u8]) -> Result<EndpointPage, String>;
}
