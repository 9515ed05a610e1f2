//! What an accepted sheet says.

use model::{DomainName, ServerName, VmName, WallTime};
use sheet::{PlanSheet, WorkState};

const SHEET: &str = "kind,name,domain,service,address,state,from,until,settings
# comments are passed over
domain,north,,,,in,,,
domain,south,,,,out,,,
service,queue,,,,,,,kind=keyed;check=none;idempotent=PUT|DELETE;deadline-ms=250
vm,n1,north,,10.0.0.1:7000,in,,,planner=10.0.0.1:7001
vm,s1,south,,10.0.0.2:7000,in,,,planner=10.0.0.2:7001
server,q1,north,queue,10.0.1.1:9000,in,,,slots=4;connections=130;cold-slots=2;warm-ms=500
server,q2,north,queue,10.0.1.2:9000,out,,,
server,q3,south,queue,10.0.1.3:9000,in,,,
stop-server,q1,,,,,1970-01-01T00:01:40Z,1970-01-01T00:03:20Z,
stop-vm,n1,,,,,1970-01-01T00:10:00Z,1970-01-01T00:20:00Z,
";

fn sheet() -> PlanSheet {
    PlanSheet::try_from(SHEET).unwrap()
}

fn server_work_state(server: &str, second: u64) -> WorkState {
    sheet().server_work_state(&ServerName::try_from(server).unwrap(), WallTime(second))
}

#[test]
fn a_server_that_is_in_takes_new_work() {
    assert_eq!(server_work_state("q1", 0), WorkState::Accepting);
}

#[test]
fn a_server_that_is_out_takes_none() {
    assert_eq!(server_work_state("q2", 0), WorkState::Draining);
}

#[test]
fn a_server_of_a_domain_that_is_out_takes_none() {
    assert_eq!(server_work_state("q3", 0), WorkState::Draining);
}

#[test]
fn a_server_that_the_sheet_lacks_takes_none() {
    assert_eq!(server_work_state("q9", 0), WorkState::Draining);
}

#[test]
fn a_planned_stop_begins_and_ends_on_time() {
    let at = [99, 100, 199, 200].map(|second| server_work_state("q1", second));
    use WorkState::{Accepting, Draining};
    assert_eq!(at, [Accepting, Draining, Draining, Accepting]);
}

#[test]
fn a_vm_stops_as_planned() {
    let vm = VmName::try_from("n1").unwrap();
    assert_eq!(sheet().vm_work_state(&vm, WallTime(600)), WorkState::Draining);
    assert_eq!(sheet().vm_work_state(&vm, WallTime(1_200)), WorkState::Accepting);
}

#[test]
fn settings_of_a_service_are_read() {
    let sheet = sheet();
    let spec = sheet.services.values().next().unwrap();
    assert_eq!(spec.idempotent_methods, ["PUT", "DELETE"]);
    assert_eq!(spec.deadline.as_millis(), 250);
}

#[test]
fn vms_are_found_by_domain() {
    let sheet = sheet();
    let north = DomainName::try_from("north").unwrap();
    let names: Vec<&str> = sheet.vms_of(&north).map(|it| it.name.as_str()).collect();
    assert_eq!(names, ["n1"]);
}
