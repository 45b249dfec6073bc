//! Everything a stand-in saw, for tests that look for what must not be there.

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use edge::Exchange;

/// The bytes of all requests, header fields and bodies.
#[derive(Clone, Debug, Default)]
pub struct Transcript(Arc<Mutex<Vec<u8>>>);

impl Transcript {
    pub(crate) fn note(&self, exchange: &Exchange) {
        let mut bytes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let head = &exchange.head;
        bytes.extend_from_slice(format!("{} {}\n", head.method, head.uri).as_bytes());
        for (name, value) in &head.headers {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.push(b'\n');
        }
        bytes.extend_from_slice(&exchange.body);
        bytes.push(b'\n');
    }

    /// Takes everything seen so far out, for runs that are too long to keep it.
    pub fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A copy of everything seen.
    pub fn bytes(&self) -> Vec<u8> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
