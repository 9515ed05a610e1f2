//! Tests of the model crate's public interface.

#![allow(missing_docs, clippy::unwrap_used)]

use expect_test::expect;
use model::{
    CallOutcome, FencingToken, KeyHash, MapVersion, NotRunReason, RequestId, ServerName, SliceId,
    Term, UnknownReason, hash_key,
};
use proptest::prelude::*;

#[test]
fn the_hash_of_a_key_never_changes() {
    // Stored homes and maps refer to these hashes.
    let hashes = ["", "easel-1", "trolley/7"].map(|it| format!("{:x}", hash_key(it).0));
    expect!["2d06800538d394c2 994277583bf3ea93 6c07e8386dca550d"].assert_eq(&hashes.join(" "));
}

#[test]
fn tokens_are_ordered_by_epoch_then_term_then_version() {
    let token = |epoch, term, version| FencingToken {
        epoch,
        term: Term(term),
        version: MapVersion(version),
    };
    assert!(token(1, 9, 9) < token(2, 1, 1));
    assert!(token(2, 1, 9) < token(2, 2, 1));
    assert!(token(2, 2, 1) < token(2, 2, 2));
}

#[test]
fn a_later_refusal_does_not_replace_an_unknown_outcome() {
    let unknown = CallOutcome::Unknown(UnknownReason::ConnectionLost);
    let not_run = CallOutcome::NotRun(NotRunReason::ConnectFailed);
    assert_eq!(not_run.after(unknown), unknown);
    assert_eq!(unknown.after(not_run), unknown);
    assert_eq!(not_run.after(not_run), not_run);
}

#[test]
fn invalid_names_are_rejected() {
    for invalid in ["", "A", "a b", "ä", &"x".repeat(64)] {
        assert!(ServerName::try_from(invalid).is_err(), "{invalid}");
    }
    assert!(ServerName::try_from("queue-1").is_ok());
}

#[test]
fn invalid_request_ids_are_rejected() {
    for invalid in ["", "a b", &"x".repeat(129)] {
        assert!(RequestId::try_from(invalid.to_owned()).is_err(), "{invalid}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_hash_is_in_exactly_one_slice(hash in any::<u64>(), bits in 0..9u8) {
        let hash = KeyHash(hash);
        let n_slices = SliceId::all(bits).filter(|it| it.contains(hash)).count();
        prop_assert_eq!(n_slices, 1);
        prop_assert!(SliceId::covering(hash, bits).contains(hash));
    }

    #[test]
    fn slices_and_tokens_round_trip_through_text(hash in any::<u64>(), bits in 0..65u8, n in any::<u64>()) {
        let slice = SliceId::covering(KeyHash(hash), bits);
        prop_assert_eq!(slice.to_string().parse::<SliceId>().unwrap(), slice);
        let token = FencingToken { epoch: n, term: Term(n / 2), version: MapVersion(n / 3) };
        prop_assert_eq!(token.to_string().parse::<FencingToken>().unwrap(), token);
    }
}
