//! Delay before refused callers retry, by the kind of load that refused them.

use std::time::Duration;

use model::NotRunReason;
use policy::retry_delay;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Servers shed half of their requests at random while their queues are empty.
#[test]
fn callers_retry_at_once_when_servers_shed_with_empty_queues() {
    assert!(retry_delay(NotRunReason::Shed, ms(0), ms(2_000)) <= ms(30));
}

#[test]
fn callers_of_a_full_service_wait_for_part_of_the_queue_to_drain() {
    let delay = retry_delay(NotRunReason::Overloaded, ms(600), ms(2_000));
    assert!((ms(250)..=ms(400)).contains(&delay), "{delay:?}");
}

#[test]
fn the_delay_is_at_most_a_third_of_the_time_left() {
    let reasons = [NotRunReason::Shed, NotRunReason::NoOwner, NotRunReason::ColdServer];
    for reason in reasons {
        assert!(retry_delay(reason, ms(10_000), ms(300)) <= ms(100), "{reason}");
    }
}

/// A server in need has said when it takes the next request.
#[test]
fn callers_of_a_server_that_takes_nothing_yet_return_once_it_does() {
    for reason in [NotRunReason::ServerPaused, NotRunReason::RateLimited] {
        let delay = retry_delay(reason, ms(200), ms(2_000));
        assert!((ms(200)..=ms(250)).contains(&delay), "{reason} {delay:?}");
    }
}
