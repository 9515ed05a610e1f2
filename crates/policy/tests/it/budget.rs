//! The retry budget keeps retries and hedges to a share of the traffic.

use policy::RetryBudget;

#[test]
fn total_failure_raises_sends_by_at_most_the_retry_ratio() {
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
fn a_burst_of_retries_spends_at_most_the_saved_tokens() {
    let mut budget = RetryBudget::new(0.1, 20.0);
    for _ in 0..10_000 {
        budget.note_first();
    }
    let n_taken = (0..100).filter(|_| budget.take()).count();
    assert_eq!(n_taken, 20);
}

#[test]
fn an_unsent_retry_is_refunded() {
    let mut budget = RetryBudget::new(0.1, 1.0);
    assert!(budget.take());
    budget.refund();
    assert!(budget.take());
}
