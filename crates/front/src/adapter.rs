//! The interface through which the front parses and writes messages on the wire.

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
    Notice,
    RequestHead, //
};

/// What the head of an endpoint's response states about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint executed the request.
    Executed,
    /// The endpoint did not execute the request, for lack of capacity or time.
    Full,
    /// Another instance now has the address.
    Misdirected,
}

/// The head of an endpoint's response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseHead {
    /// Whether the response belongs to the request that was sent.
    pub matches_request: bool,
    /// What happened to the request.
    pub outcome: Outcome,
    /// The load that the endpoint reports, if any.
    pub load: Option<Load>,
    /// What the endpoint states about itself.
    pub notice: Notice,
    /// How long the endpoint keeps an idle connection open, if it states this.
    pub keep_alive: Option<Duration>,
}

/// A page of the endpoint listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointPage {
    /// The valid entries.
    pub endpoints: Vec<EndpointInfo>,
    /// Number of invalid entries, which are skipped.
    pub skipped: usize,
    /// The token of the next page; `None` on the last page.
    pub next_page: Option<String>,
}

/// Names and formats on the wire. An adapter makes no decisions.
pub trait ProtocolAdapter: ListingFormat + Clone + Send + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The error kind of the response, if the head is malformed.
    fn parse_request(&self, head: &Head) -> Result<RequestHead, Kind>;

    /// Returns the header fields of an attempt: the caller's, without its key and the fields that
    /// only the router may set, and the router's own. `remaining` is the time until the request's
    /// deadline. `last_event` is the identifier of the last event that the caller received, if
    /// the attempt resumes a stream.
    fn attempt_headers(
        &self,
        head: &Head,
        attempt: &Attempt,
        remaining: Duration,
        last_event: Option<&str>,
    ) -> HeaderMap;

    /// Parses the head of an endpoint's response to `request`.
    fn parse_response_head(&self, request: &Head, status: u16, headers: &HeaderMap)
    -> ResponseHead;

    /// Parses the document of a plan.
    ///
    /// # Errors
    ///
    /// A sentence that states why the document is invalid.
    fn parse_plan(&self, document: &[u8]) -> Result<PlanSpec, String>;

    /// Parses a page of the endpoint listing.
    ///
    /// # Errors
    ///
    /// A sentence that states why the page is invalid. An invalid entry alone is no error.
    fn parse_page(&self, body: &[u8]) -> Result<EndpointPage, String>;
}
