//! Tests of the rows of accepted sheets and of the queries on them.

use model::{DomainName, ServerName, VmName, WallTime};
use sheet::{PlanSheet, WorkState};

const SHEET: &str = "kind,name,domain,service,address,state,from,until,settings
# comments are skipped
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

fn server_state_at(server: &str, second: u64) -> WorkState {
    sheet().server_work_state(&ServerName::try_from(server).unwrap(), WallTime(second))
}

#[test]
fn server_with_state_in_is_accepting() {
    assert_eq!(server_state_at("q1", 0), WorkState::Accepting);
}

#[test]
fn server_with_state_out_is_draining() {
    assert_eq!(server_state_at("q2", 0), WorkState::Draining);
}

#[test]
fn server_of_a_draining_domain_is_draining() {
    assert_eq!(server_state_at("q3", 0), WorkState::Draining);
}

#[test]
fn unknown_server_is_draining() {
    assert_eq!(server_state_at("q9", 0), WorkState::Draining);
}

#[test]
fn planned_stop_covers_its_first_second_and_not_its_end() {
    let states = [99, 100, 199, 200].map(|second| server_state_at("q1", second));
    use WorkState::{Accepting, Draining};
    assert_eq!(states, [Accepting, Draining, Draining, Accepting]);
}

#[test]
fn vm_drains_during_its_planned_stop() {
    let vm = VmName::try_from("n1").unwrap();
    assert_eq!(sheet().vm_work_state(&vm, WallTime(600)), WorkState::Draining);
    assert_eq!(sheet().vm_work_state(&vm, WallTime(1_200)), WorkState::Accepting);
}

#[test]
fn service_settings_are_parsed() {
    let sheet = sheet();
    let spec = sheet.services.values().next().unwrap();
    assert_eq!(spec.idempotent_methods, ["PUT", "DELETE"]);
    assert_eq!(spec.deadline.as_millis(), 250);
}

#[test]
fn vms_are_listed_by_domain() {
    let sheet = sheet();
    let north = DomainName::try_from("north").unwrap();
    let names: Vec<&str> = sheet.vms_of(&north).map(|it| it.name.as_str()).collect();
    assert_eq!(names, ["n1"]);
}
