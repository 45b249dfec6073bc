//! At most one run for each request key.

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

/// A ledger in which attempt 1 holds the claim, settled as given.
fn settled(settlement: Option<Settlement>) -> Ledger {
    let mut ledger = Ledger::default();
    assert_eq!(claim(&mut ledger, 1, 0, HOUR), Claimed::Granted);
    if let Some(settlement) = settlement {
        assert!(ledger.settle(&key("norte"), attempt(1), settlement));
    }
    ledger
}

fn answer() -> Settlement {
    Settlement::Answered(b"booked".to_vec())
}

case::cases! {
    resend_while_running: assert_eq!(claim(&mut settled(None), 2, 0, HOUR), Claimed::Running);
    same_attempt_asks_again: assert_eq!(claim(&mut settled(None), 1, 0, HOUR), Claimed::Granted);
    same_attempt_after_its_answer: assert_eq!(
        claim(&mut settled(Some(answer())), 1, 0, HOUR),
        Claimed::Answered(b"booked".to_vec())
    );
    resend_gets_the_answer: assert_eq!(
        claim(&mut settled(Some(answer())), 2, 0, HOUR),
        Claimed::Answered(b"booked".to_vec())
    );
    resend_after_a_lost_answer: assert_eq!(
        claim(&mut settled(Some(Settlement::Unknown)), 2, 0, HOUR),
        Claimed::Unknown
    );
    resend_after_no_run: assert_eq!(
        claim(&mut settled(Some(Settlement::NotRun)), 2, 0, HOUR),
        Claimed::Granted
    );
    other_body: assert_eq!(claim(&mut settled(None), 2, 9, HOUR), Claimed::Conflict);
    other_account: {
        let mut ledger = settled(None);
        let other = ledger.claim(key("sur"), Fingerprint([0; 32]), attempt(2), HOUR);
        assert_eq!(other, Claimed::Granted);
    };
    unsettled_for_long: assert_eq!(claim(&mut settled(None), 2, 0, 2 * HOUR), Claimed::Unknown);
    kept_for_a_day: assert_eq!(
        claim(&mut settled(Some(answer())), 2, 0, 24 * HOUR),
        Claimed::Answered(b"booked".to_vec())
    );
    dropped_after_a_day: {
        let mut ledger = settled(Some(answer()));
        assert_eq!(claim(&mut ledger, 2, 0, 26 * HOUR), Claimed::Granted);
        assert_eq!(ledger.len(), 1);
    };
    claim_given_back_keeps_its_new_age: {
        let mut ledger = settled(Some(Settlement::NotRun));
        assert_eq!(claim(&mut ledger, 2, 0, 20 * HOUR), Claimed::Granted);
        assert_eq!(claim(&mut ledger, 3, 0, 26 * HOUR), Claimed::Unknown);
    };
    stranger_cannot_settle: {
        let mut ledger = settled(None);
        assert!(!ledger.settle(&key("norte"), attempt(2), answer()));
    };
    settled_once: {
        let mut ledger = settled(Some(answer()));
        assert!(!ledger.settle(&key("norte"), attempt(1), Settlement::NotRun));
    };
    oversized_answer_is_not_kept: {
        let mut ledger = settled(Some(Settlement::Answered(vec![0; 300_000])));
        assert_eq!(claim(&mut ledger, 2, 0, HOUR), Claimed::Unknown);
    };
    blank_in_a_key: assert_eq!("a b".parse::<RequestKey>(), Err(RequestKeyError::NotVisibleAscii));
    empty_key: assert_eq!("".parse::<RequestKey>(), Err(RequestKeyError::Length));
}
