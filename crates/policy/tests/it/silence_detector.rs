//! Silence of whole failure domains, replayed against a cut.

use std::time::Duration;

use policy::SilenceDetector;

use crate::at;

#[test]
fn a_domain_that_answers_is_never_silent() {
    let mut detector = SilenceDetector::default();
    for now in (0..10_000).step_by(50) {
        detector.note_sent(at(now));
        detector.note_heard(at(now + 20));
        assert!(!detector.is_silent(at(now + 49)));
    }
}

#[test]
fn a_domain_that_is_asked_nothing_is_not_silent() {
    let mut detector = SilenceDetector::default();
    detector.note_sent(at(0));
    detector.note_heard(at(30));
    assert!(!detector.is_silent(at(60_000)));
}

/// Ten requests a second to a domain that is cut off for six seconds, with 20 servers.
#[test]
fn a_cut_domain_takes_a_few_requests_and_is_used_again_at_once_when_it_is_back() {
    let mut detector = SilenceDetector::default();
    let mut n_lost = 0;
    for now in (0..6_000).step_by(100) {
        if !detector.is_avoided(at(now)) {
            detector.note_sent(at(now));
            n_lost += 1;
        }
    }
    assert!(n_lost <= 15, "{n_lost} of 60 were sent into the cut");
    assert!(n_lost >= 8, "it is still probed: {n_lost}");
    detector.note_heard(at(6_010));
    assert!(!detector.is_avoided(at(6_011)));
}

/// An answer that was under way when the domain was cut off says nothing of the time after it.
#[test]
fn an_older_sign_of_life_does_not_end_the_silence() {
    let mut detector = SilenceDetector::default();
    detector.note_sent(at(1_000));
    detector.note_heard(at(990));
    assert!(detector.is_silent(at(1_000) + Duration::from_millis(600)));
}
