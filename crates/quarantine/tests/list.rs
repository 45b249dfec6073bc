//! The replicated list of parts in quarantine.

use ids::PartId;
use quarantine::{
    Quarantine,
    Sentence, //
};

fn sentence(since_ms: u64, until_ms: u64) -> Sentence {
    Sentence { since_ms, until_ms }
}

fn imposed(parts: &[(u64, Sentence)]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    quarantine.impose(parts.iter().map(|(part, held)| (PartId(*part), *held)));
    quarantine
}

case::cases! {
    each_change_increments_the_version: {
        let mut quarantine = imposed(&[(1, sentence(5, 10)), (2, sentence(5, 10))]);
        assert_eq!(quarantine.version(), 1);
        quarantine.lift(&[PartId(1)]);
        assert_eq!(quarantine.version(), 2);
        quarantine.lift(&[PartId(1)]);
        quarantine.impose([(PartId(2), sentence(7, 9))]);
        assert_eq!(quarantine.version(), 2);
    };
    repeated_sentence_keeps_its_start_and_the_later_end: {
        let mut quarantine = imposed(&[(1, sentence(5, 10))]);
        quarantine.impose([(PartId(1), sentence(8, 20))]);
        assert_eq!(quarantine.sentence(PartId(1)), Some(sentence(5, 20)));
    };
    lifted_part_can_be_imposed_anew: {
        let mut quarantine = imposed(&[(1, sentence(5, 10))]);
        quarantine.lift(&[PartId(1)]);
        assert!(quarantine.is_empty());
        quarantine.impose([(PartId(1), sentence(8, 20))]);
        assert_eq!(quarantine.sentence(PartId(1)), Some(sentence(8, 20)));
    };
    parts_that_end_first_are_dropped_above_4096: {
        let parts: Vec<_> = (0..5000).map(|n| (n, sentence(1, 10_000 - n))).collect();
        let quarantine = imposed(&parts);
        assert_eq!(quarantine.parts().count(), 4096);
        assert!(quarantine.sentence(PartId(4095)).is_some());
        assert!(quarantine.sentence(PartId(4096)).is_none());
    };
    list_survives_its_encoding: {
        let quarantine = imposed(&[(1, sentence(5, 10)), (u64::MAX, sentence(6, 11))]);
        let bytes = rmp_serde::to_vec(&quarantine).unwrap();
        assert_eq!(rmp_serde::from_slice::<Quarantine>(&bytes).unwrap(), quarantine);
    };
}
