//! Detection of silent failure domains, in simulated time.

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
fn a_domain_without_requests_is_not_silent() {
    let mut detector = SilenceDetector::default();
    detector.note_sent(at(0));
    detector.note_heard(at(30));
    assert!(!detector.is_silent(at(60_000)));
}

/// Ten requests a second arrive for a domain that is cut off for six seconds. With 20 servers in it,
/// detection server by server would lose a request to each of them.
#[test]
fn a_cut_off_domain_gets_only_probes_and_is_used_at_once_when_it_responds() {
    let mut detector = SilenceDetector::default();
    let mut n_sent = 0;
    for now in (0..6_000).step_by(100) {
        if !detector.is_avoided(at(now)) {
            detector.note_sent(at(now));
            n_sent += 1;
        }
    }
    assert!(n_sent <= 15, "{n_sent} of 60 requests were sent during the cut");
    assert!(n_sent >= 8, "too few probes: {n_sent}");
    detector.note_heard(at(6_010));
    assert!(!detector.is_avoided(at(6_011)));
}

/// An answer that was in transit when the domain was cut off says nothing about the time after it.
#[test]
fn a_sign_of_life_from_before_the_send_does_not_end_the_silence() {
    let mut detector = SilenceDetector::default();
    detector.note_sent(at(1_000));
    detector.note_heard(at(990));
    assert!(detector.is_silent(at(1_000) + Duration::from_millis(600)));
}
