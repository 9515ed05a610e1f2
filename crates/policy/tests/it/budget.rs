//! Retries and hedges stay a share of the traffic.

use policy::RetryBudget;

#[test]
fn total_failure_sends_at_most_a_tenth_more() {
    let mut budget = RetryBudget::new(0.1, 20.0);
    let mut n_sent = 0;
    for _ in 0..10_000 {
        budget.note_first();
        n_sent += 1;
        while budget.take() {
            n_sent += 1;
        }
    }
    assert!(n_sent <= 11_001, "{n_sent}");
}

#[test]
fn a_burst_spends_no_more_than_was_saved() {
    let mut budget = RetryBudget::new(0.1, 20.0);
    for _ in 0..10_000 {
        budget.note_first();
    }
    let n_taken = (0..100).filter(|_| budget.take()).count();
    assert_eq!(n_taken, 20);
}

#[test]
fn what_was_not_sent_is_given_back() {
    let mut budget = RetryBudget::new(0.1, 1.0);
    assert!(budget.take());
    budget.give_back();
    assert!(budget.take());
}
