//! Reads the platform's list of endpoints, page by page.

use std::net::SocketAddr;
use std::time::Duration;

use edge::Client;

/// How long one page may take.
const PATIENCE: Duration = Duration::from_millis(900);
/// ListingFormat read at most, so that a list that never ends does no harm.
const MOST_PAGES: usize = 64;

/// How the list is asked for, and where a page leads.
pub trait ListingFormat {
    /// The target of a call for a page; the first if none is named.
    fn target(&self, page: Option<&str>) -> String;

    /// Where the list goes on after a page; none after the last.
    ///
    /// # Errors
    ///
    /// A sentence that names the fault, if the page cannot be read.
    fn next(&self, page: &[u8]) -> Result<Option<String>, String>;
}

/// Reads the whole list.
///
/// # Errors
///
/// A sentence that names the fault, if any page could not be had.
pub fn fetch_listing<P: ListingFormat>(
    pages: &P,
    address: SocketAddr,
) -> Result<Vec<Vec<u8>>, String> {
    let client = Client::new(PATIENCE);
    let mut list = Vec::new();
    let mut next: Option<String> = None;
    while list.len() < MOST_PAGES {
        let target = pages.target(next.as_deref());
        let reply = client
            .call(address, "GET", &target, &[], Vec::new())
            .map_err(|fault| fault.to_string())?;
        if reply.status != 200 {
            return Err(format!("the list answered with status {}", reply.status));
        }
        next = pages.next(&reply.body)?;
        list.push(reply.body);
        if next.is_none() {
            break;
        }
    }
    Ok(list)
}
