//! At most one execution for each request key, and the limits of keys and responses.

use ids::{
    AccountName,
    AttemptId,
    Incarnation, //
};
use ledger::{
    Claimed,
    Fingerprint,
    Ledger,
    RequestKey,
    RequestKeyError,
    Settlement, //
};

const HOUR: u64 = 60 * 60 * 1000;

fn key(account: &str) -> (AccountName, RequestKey) {
    (account.try_into().unwrap(), "permit-7".parse().unwrap())
}

fn attempt(serial: u64) -> AttemptId {
    AttemptId {
        entry: Incarnation(1),
        serial,
    }
}

fn claim(ledger: &mut Ledger, serial: u64, body: u8, now: u64) -> Claimed {
    ledger.claim(key("norte"), Fingerprint([body; 32]), attempt(serial), now)
}

/// A ledger in which attempt 1 holds the claim, with the given settlement.
fn settled(settlement: Option<Settlement>) -> Ledger {
    let mut ledger = Ledger::default();
    assert_eq!(claim(&mut ledger, 1, 0, HOUR), Claimed::Granted);
    if let Some(settlement) = settlement {
        assert!(ledger.settle(&key("norte"), attempt(1), settlement));
    }
    ledger
}

fn response() -> Settlement {
    Settlement::Answered(b"booked".to_vec())
}

case::cases! {
    resend_while_running_is_not_granted: assert_eq!(claim(&mut settled(None), 2, 0, HOUR), Claimed::Running);
    repeated_claim_by_the_same_attempt_is_granted: assert_eq!(claim(&mut settled(None), 1, 0, HOUR), Claimed::Granted);
    same_attempt_gets_its_stored_response: assert_eq!(
        claim(&mut settled(Some(response())), 1, 0, HOUR),
        Claimed::Answered(b"booked".to_vec())
    );
    resend_gets_the_stored_response: assert_eq!(
        claim(&mut settled(Some(response())), 2, 0, HOUR),
        Claimed::Answered(b"booked".to_vec())
    );
    resend_after_a_lost_response_is_unknown: assert_eq!(
        claim(&mut settled(Some(Settlement::Unknown)), 2, 0, HOUR),
        Claimed::Unknown
    );
    resend_after_no_execution_is_granted: assert_eq!(
        claim(&mut settled(Some(Settlement::NotRun)), 2, 0, HOUR),
        Claimed::Granted
    );
    other_body_under_the_same_key_conflicts: assert_eq!(claim(&mut settled(None), 2, 9, HOUR), Claimed::Conflict);
    same_key_of_another_account_is_independent: {
        let mut ledger = settled(None);
        let other = ledger.claim(key("sur"), Fingerprint([0; 32]), attempt(2), HOUR);
        assert_eq!(other, Claimed::Granted);
    };
    claim_unsettled_for_an_hour_is_unknown: assert_eq!(claim(&mut settled(None), 2, 0, 2 * HOUR), Claimed::Unknown);
    response_is_kept_for_a_day: assert_eq!(
        claim(&mut settled(Some(response())), 2, 0, 24 * HOUR),
        Claimed::Answered(b"booked".to_vec())
    );
    claim_expires_after_a_day: {
        let mut ledger = settled(Some(response()));
        assert_eq!(claim(&mut ledger, 2, 0, 26 * HOUR), Claimed::Granted);
        assert_eq!(ledger.len(), 1);
    };
    released_claim_made_again_expires_by_its_new_time: {
        let mut ledger = settled(Some(Settlement::NotRun));
        assert_eq!(claim(&mut ledger, 2, 0, 20 * HOUR), Claimed::Granted);
        assert_eq!(claim(&mut ledger, 3, 0, 26 * HOUR), Claimed::Unknown);
    };
    other_attempt_cannot_settle: {
        let mut ledger = settled(None);
        assert!(!ledger.settle(&key("norte"), attempt(2), response()));
    };
    settled_claim_cannot_be_settled_again: {
        let mut ledger = settled(Some(response()));
        assert!(!ledger.settle(&key("norte"), attempt(1), Settlement::NotRun));
    };
    oversized_response_is_not_kept: {
        let mut ledger = settled(Some(Settlement::Answered(vec![0; 300_000])));
        assert_eq!(claim(&mut ledger, 2, 0, HOUR), Claimed::Unknown);
    };
    key_with_a_blank_is_rejected: assert_eq!("a b".parse::<RequestKey>(), Err(RequestKeyError::NotVisibleAscii));
    empty_key_is_rejected: assert_eq!("".parse::<RequestKey>(), Err(RequestKeyError::Length));
}
