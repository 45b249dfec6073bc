//! A sealed message is accepted only if it is unchanged and opened by its own cluster for its own
//! path.

use assert_matches::assert_matches;
use wire::{
    Sealer,
    WireError,
    decode, //
};

fn sealer(cluster: &str, secret: &str) -> Sealer {
    Sealer::new(cluster.try_into().unwrap(), secret)
}

fn sealed() -> Vec<u8> {
    sealer("quito", "s")
        .seal("/peer/view", &(7u32, "text"))
        .unwrap()
}

fn open(sealer: &Sealer, path: &str, bytes: &[u8]) -> Result<(u32, String), WireError> {
    sealer.open(path, bytes)
}

fn altered(at: usize) -> Vec<u8> {
    let mut bytes = sealed();
    bytes[at] ^= 1;
    bytes
}

/// A document like a plan with many routes.
fn document() -> String {
    let route = |n: u64| {
        let name = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        format!(
            r#"{{"Name":"r-{name:x}","Host":"ficu95.example","PathPrefix":"/{name:x}/","Kind":"stream","TimeoutMs":3000}}"#
        )
    };
    (0..1400).map(route).collect::<Vec<_>>().join(",")
}

case::cases! {
    long_message_is_compressed_to_a_fifth: {
        let document = document();
        let sealer = sealer("quito", "s");
        let bytes = sealer.seal("/peer/feed", &document).unwrap();
        assert!(bytes.len() < document.len() / 5, "{} of {}", bytes.len(), document.len());
        assert_eq!(sealer.open::<String>("/peer/feed", &bytes), Ok(document));
    };
    altered_or_truncated_long_message_is_rejected: {
        let sealer = sealer("quito", "s");
        let bytes = sealer.seal("/peer/feed", &document()).unwrap();
        for at in [0, 1, 33, 36, 40, bytes.len() / 2, bytes.len() - 1] {
            let mut altered = bytes.clone();
            altered[at] ^= 1;
            assert!(sealer.open::<String>("/peer/feed", &altered).is_err(), "{at}");
            assert!(sealer.open::<String>("/peer/feed", &bytes[..at]).is_err(), "{at}");
        }
    };
    unchanged_message_is_accepted: assert_eq!(
        open(&sealer("quito", "s"), "/peer/view", &sealed()),
        Ok((7, "text".to_owned()))
    );
    other_cluster_is_rejected: assert_eq!(open(&sealer("eire", "s"), "/peer/view", &sealed()), Err(WireError::Unauthenticated));
    other_secret_is_rejected: assert_eq!(open(&sealer("quito", "t"), "/peer/view", &sealed()), Err(WireError::Unauthenticated));
    other_path_is_rejected: assert_eq!(open(&sealer("quito", "s"), "/peer/mail", &sealed()), Err(WireError::Unauthenticated));
    other_version_is_rejected: assert_matches!(open(&sealer("quito", "s"), "/peer/view", &altered(0)), Err(WireError::Version(_)));
    altered_payload_is_rejected: {
        let last = sealed().len() - 1;
        assert_eq!(open(&sealer("quito", "s"), "/peer/view", &altered(last)), Err(WireError::Unauthenticated));
    };
    truncated_message_is_rejected: for len in 0..sealed().len() {
        assert!(open(&sealer("quito", "s"), "/peer/view", &sealed()[..len]).is_err(), "{len}");
    };
    decoding_noise_does_not_panic: for seed in 0..2000u64 {
        let noise = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes();
        let _ = decode::<wire::Frame>(&noise);
        let _ = decode::<wire::Envelope>(&noise);
    };
}
