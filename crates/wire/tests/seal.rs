//! A sealed message is taken only by its own cluster, at its own path, unchanged.

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

fn changed(at: usize) -> Vec<u8> {
    let mut bytes = sealed();
    bytes[at] ^= 1;
    bytes
}

case::cases! {
    own_message: assert_eq!(
        open(&sealer("quito", "s"), "/peer/view", &sealed()),
        Ok((7, "text".to_owned()))
    );
    other_cluster: assert_eq!(open(&sealer("eire", "s"), "/peer/view", &sealed()), Err(WireError::Unauthenticated));
    other_secret: assert_eq!(open(&sealer("quito", "t"), "/peer/view", &sealed()), Err(WireError::Unauthenticated));
    other_path: assert_eq!(open(&sealer("quito", "s"), "/peer/mail", &sealed()), Err(WireError::Unauthenticated));
    other_version: assert_matches!(open(&sealer("quito", "s"), "/peer/view", &changed(0)), Err(WireError::Version(_)));
    changed_payload: {
        let last = sealed().len() - 1;
        assert_eq!(open(&sealer("quito", "s"), "/peer/view", &changed(last)), Err(WireError::Unauthenticated));
    };
    cut_short: for len in 0..sealed().len() {
        assert!(open(&sealer("quito", "s"), "/peer/view", &sealed()[..len]).is_err(), "{len}");
    };
    noise_does_not_decode: for seed in 0..2000u64 {
        let noise = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes();
        let _ = decode::<wire::Frame>(&noise);
        let _ = decode::<wire::Envelope>(&noise);
    };
}
