//! The identity of a request that is repeated.

use ids::PartId;

/// The digest of what a request asks: its method, its target and its body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// Digests a request. Header fields do not count, since they differ between repetitions.
    pub fn new(method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for text in [method, target] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(body);
        Self(*hasher.finalize().as_bytes())
    }

    /// The digest that a process has made in another way.
    pub fn of_bytes(digest: [u8; 32]) -> Self {
        Self(digest)
    }

    /// The identity of the request if it comes from this account; none for routes that are open to
    /// all.
    pub fn identity(&self, account: Option<&str>) -> PartId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(account.unwrap_or_default().as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        PartId::of_request(u64::from_le_bytes(first))
    }
}
