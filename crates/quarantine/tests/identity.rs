//! Which requests count as repetitions of each other.

use quarantine::ContentDigest;

fn digest(method: &str, target: &str, body: &str) -> ContentDigest {
    ContentDigest::new(method, target, body.as_bytes())
}

case::cases! {
    same_path_caller_and_body_are_the_same_request: assert_eq!(
        digest("POST", "/a", "b").identity(Some("ana")),
        digest("POST", "/a", "b").identity(Some("ana"))
    );
    other_path_caller_or_body_is_another_request: {
        let identity = digest("POST", "/a", "b").identity(Some("ana"));
        for (target, body, account) in [
            ("/", "ab", Some("ana")), ("/a", "c", Some("ana")), ("/ab", "", Some("ana")),
            ("/a?b", "b", Some("ana")), ("/a", "b", Some("bea")), ("/a", "b", None),
        ] {
            assert_ne!(digest("POST", target, body).identity(account), identity, "{target} {body}");
        }
        assert_ne!(digest("PUT", "/a", "b").identity(Some("ana")), identity);
    };
    identity_is_no_part_of_a_prompt: {
        assert!(digest("GET", "/a", "").identity(None).is_request());
        assert!(!ids::PartId::of_prompt(u64::MAX).is_request());
    };
}
