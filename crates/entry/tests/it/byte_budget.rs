//! The bytes that all holders of a process have together.

use bytes::Bytes;
use entry::{ByteBudget, ByteReservation};

const LIMIT: usize = 100 * 1024 * 1024;

/// Bytes of one read.
const READ_BYTES: usize = 16 * 1024;

/// Grows the reservations in turn, up to `max_bytes` each, until none grows; returns how much each has.
fn fill(reservations: &mut [ByteReservation], max_bytes: usize) -> Vec<usize> {
    let mut sizes = vec![0; reservations.len()];
    loop {
        let mut has_grown = false;
        for (reservation, size) in reservations.iter_mut().zip(&mut sizes) {
            if *size < max_bytes && reservation.grow(READ_BYTES) {
                *size += READ_BYTES;
                has_grown = true;
            }
        }
        if !has_grown {
            return sizes;
        }
    }
}

fn reservations(budget: &ByteBudget, number: usize) -> Vec<ByteReservation> {
    (0..number).map(|_| budget.reservation()).collect()
}

#[test]
fn all_holders_together_never_have_more_than_the_limit() {
    for n_holders in [1, 3, 32, 4_000] {
        let budget = ByteBudget::new(LIMIT);
        let mut holders = reservations(&budget, n_holders);
        let sizes = fill(&mut holders, usize::MAX);
        assert_eq!(budget.n_held(), sizes.iter().sum::<usize>());
        assert!(budget.n_held() <= LIMIT);
        drop(holders);
        assert_eq!(budget.n_held(), 0);
    }
}

/// Guards against other callers' short answers that are cut off while a faulty server sends many without
/// end.
#[test]
fn many_long_answers_leave_room_for_short_ones() {
    let budget = ByteBudget::new(LIMIT);
    let mut endless = reservations(&budget, 32);
    fill(&mut endless, usize::MAX);
    let mut short = reservations(&budget, 20);
    assert!(fill(&mut short, 48 * 1024).iter().all(|it| *it == 48 * 1024));
}

#[test]
fn a_body_of_half_the_budget_has_room_beside_usual_traffic() {
    let budget = ByteBudget::new(LIMIT);
    let mut usual = reservations(&budget, 100);
    fill(&mut usual, 64 * 1024);
    assert!(budget.reservation().grow(LIMIT / 2));
}

#[test]
fn bytes_count_until_their_last_copy_is_dropped() {
    let budget = ByteBudget::new(LIMIT);
    let mut reservation = budget.reservation();
    assert!(reservation.grow(5));
    let bytes = reservation.attach(Bytes::from_static(b"whole"));
    let retained = bytes.slice(1..3);
    drop(bytes);
    assert_eq!((&retained[..], budget.n_held()), (&b"ho"[..], 5));
    drop(retained);
    assert_eq!(budget.n_held(), 0);
}
