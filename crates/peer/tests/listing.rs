//! Fetches of a paginated listing from a server on a loopback address.

use std::io::{
    BufRead,
    BufReader,
    Write, //
};
use std::net::{
    SocketAddr,
    TcpListener, //
};
use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::thread;

use peer::{
    Listing,
    ListingFormat,
    fetch_listing, //
};

/// A format whose pages are the token of the next page; the last page is empty.
struct Tokens;

impl ListingFormat for Tokens {
    fn target(&self, page: Option<&str>) -> String {
        format!("/{}", page.unwrap_or("0"))
    }

    fn next(&self, page: &[u8]) -> Result<Option<String>, String> {
        let token = String::from_utf8(page.to_vec()).map_err(|error| error.to_string())?;
        Ok((!token.is_empty()).then_some(token))
    }
}

/// Starts a server whose page `n` is `next(n)`, preceded by a length that is `missing` too large.
/// Returns its address and the number of pages that it has sent.
fn serve(next: fn(usize) -> Vec<u8>, missing: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let lines = BufReader::new(stream.try_clone().unwrap()).lines();
            let lines: Vec<_> = lines
                .map_while(Result::ok)
                .take_while(|l| !l.is_empty())
                .collect();
            let page = lines[0]
                .trim_start_matches("GET /")
                .split(' ')
                .next()
                .unwrap();
            let body = next(page.parse().unwrap());
            count.fetch_add(1, Ordering::Relaxed);
            let length = body.len() + missing;
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n");
            stream
                .write_all(&[head.as_bytes(), &body].concat())
                .unwrap();
        }
    });
    (address, sent)
}

fn fetch(next: fn(usize) -> Vec<u8>) -> (Listing, usize) {
    let (address, sent) = serve(next, 0);
    let listing = fetch_listing(&Tokens, address).unwrap();
    (listing, sent.load(Ordering::Relaxed))
}

case::cases! {
    all_pages_are_read: {
        let (listing, sent) = fetch(|n| if n < 3 { (n + 1).to_string().into() } else { Vec::new() });
        assert_eq!((listing.pages.len(), listing.incomplete, sent), (4, false, 4));
    };
    // The fetch read the same pages again, 64 in total, every 700 ms.
    pages_of_a_loop_are_read_once: {
        let (listing, sent) = fetch(|n| (n % 3 + 1).to_string().into());
        assert_eq!((listing.pages.len(), listing.incomplete, sent), (4, true, 4));
    };
    pages_without_end_are_limited: {
        let (listing, sent) = fetch(|n| (n + 1).to_string().into());
        assert_eq!((listing.pages.len(), listing.incomplete, sent), (64, true, 64));
    };
    truncated_page_is_an_error: {
        let (address, _) = serve(|_| Vec::new(), 5);
        assert!(fetch_listing(&Tokens, address).is_err());
    };
    page_without_its_structure_is_an_error: {
        let (address, _) = serve(|n| if n == 0 { b"1".to_vec() } else { b"\xff".to_vec() }, 0);
        assert!(fetch_listing(&Tokens, address).is_err());
    };
}
