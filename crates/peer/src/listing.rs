//! Fetches the platform's paginated listing of endpoints.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use edge::Client;

/// Timeout of the request for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of pages of one fetch, in case a faulty listing refers to next pages without end.
const MAX_PAGES: usize = 64;

/// The format of the listing's requests and pages.
pub trait ListingFormat {
    /// The request target of a page; of the first page if there is no token.
    fn target(&self, page: Option<&str>) -> String;

    /// The token of the next page; `None` on the last page.
    ///
    /// # Errors
    ///
    /// A sentence that states why the page is invalid.
    fn next(&self, page: &[u8]) -> Result<Option<String>, String>;
}

/// The pages of one fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The pages, each once.
    pub pages: Vec<Vec<u8>>,
    /// Whether further pages may exist: the last page refers to one that was read before, or there are
    /// too many pages.
    pub incomplete: bool,
}

/// Fetches all pages. If a page refers to one that was read before, all pages that can be reached were
/// read, and they are returned: an error would take all engines from the fronts for as long as the
/// reference is listed.
///
/// # Errors
///
/// A sentence that states why a page could not be fetched.
pub fn fetch_listing<F: ListingFormat>(format: &F, address: SocketAddr) -> Result<Listing, String> {
    let client = Client::new(PAGE_TIMEOUT);
    let mut pages = Vec::new();
    let mut seen = HashSet::new();
    let mut token: Option<String> = None;
    loop {
        let target = format.target(token.as_deref());
        let response = client
            .call(address, "GET", &target, &[], Vec::new())
            .map_err(|error| error.to_string())?;
        if response.status != 200 {
            return Err(format!(
                "the listing responded with status {}",
                response.status
            ));
        }
        token = format.next(&response.body)?;
        pages.push(response.body);
        let Some(next) = &token else {
            break;
        };
        if !seen.insert(next.clone()) || pages.len() == MAX_PAGES {
            break;
        }
    }
    let incomplete = token.is_some();
    Ok(Listing { pages, incomplete })
}
