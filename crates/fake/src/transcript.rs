//! Records the requests that a stand-in receives, so that tests can search them for client keys and
//! other data that must not leave the router.

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use edge::Exchange;

/// The bytes of all received requests: request lines, header fields and bodies.
#[derive(Clone, Debug, Default)]
pub struct Transcript(Arc<Mutex<Vec<u8>>>);

impl Transcript {
    pub(crate) fn record(&self, exchange: &Exchange) {
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

    /// Returns the recorded bytes and clears the transcript, which bounds its size in long runs.
    pub fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a copy of the recorded bytes.
    pub fn bytes(&self) -> Vec<u8> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
