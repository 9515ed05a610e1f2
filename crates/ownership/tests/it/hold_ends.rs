//! A claim on keys ends only on evidence about the process that holds it: not on a late message about
//! an earlier process, nor on one from another address.

mod driver;

use std::time::Duration;

use ownership::PlannerEvent;

use self::driver::{PlannerDriver, address, server, sheet};

/// A refusal arrives after the server's next process has answered and taken grants, and then nothing
/// reaches that process any more.
#[test]
fn a_late_refusal_does_not_end_the_grants_of_the_next_process() {
    let mut driver = PlannerDriver::serving(2);
    let s0 = address(0);
    driver.servers.remove(&s0);
    driver.delayed_address = Some(s0);
    driver.run_until(|it| !it.delayed.is_empty());
    driver.start_server(s0);
    driver.report_suspect(server(0));
    driver.run_until(|it| it.servers[&s0].holds_at(it.now).next().is_some());
    driver.unreachable.insert(s0);
    driver.deliver_delayed();
    driver.run(Duration::from_secs(2));
    assert_eq!(driver.violations.first(), None);
}

/// A sheet gives a server an address at which nothing listens yet, while its process goes on elsewhere.
#[test]
fn a_refusal_at_a_new_address_does_not_end_the_grants_at_the_old_one() {
    let mut driver = PlannerDriver::serving(2);
    driver.handle(PlannerEvent::SheetLearned(sheet(2, 1, &[address(7), address(1)])));
    driver.run(Duration::from_secs(2));
    assert_eq!(driver.violations.first(), None);
}

/// A sheet replaces a server's process by one at another address, and both run for a while.
#[test]
fn a_process_at_a_new_address_gets_grants_only_after_those_at_the_old_one_have_ended() {
    let mut driver = PlannerDriver::serving(2);
    driver.start_server(address(7));
    driver.handle(PlannerEvent::SheetLearned(sheet(2, 1, &[address(7), address(1)])));
    driver.run(Duration::from_secs(3));
    assert_eq!(driver.violations.first(), None);
    assert!(driver.servers[&address(7)].holds_at(driver.now).next().is_some());
}
