//! Tests of rejected sheets: all errors are reported at once, with their line and column.

use expect_test::{Expect, expect};
use proptest::prelude::*;
use sheet::PlanSheet;

const HEADER: &str = "kind,name,domain,service,address,state,from,until,settings\n";

fn check(rows: &str, expect: Expect) {
    let text = format!("{HEADER}{rows}");
    let errors = PlanSheet::try_from(text.as_str()).unwrap_err();
    expect.assert_eq(&errors.to_string());
}

#[test]
fn all_errors_are_reported_in_file_order() {
    check(
        "domain,North,,,,in,,,\n\
         domain,south,,,,perhaps,,,\n\
         vm,v1,west,,10.0.0.1:7000,in,,,planner=nowhere\n\
         tram,t1,,,,,,,\n",
        expect![[r#"
            line 2 column 2 (name): failure domain name "North" is not allowed: expected 1 to 63 lower-case letters, digits, '-', '_' or '.'
            line 3 column 6 (state): "perhaps" is not allowed: expected in or out
            line 4 column 9 (settings): planner=... is required: expected IP:PORT
            line 5 column 1 (kind): "tram" is not allowed: expected domain, vm, service, server, stop-domain, stop-vm or stop-server"#]],
    );
}

#[test]
fn unresolved_references_are_rejected() {
    check(
        "domain,d,,,,in,,,\n\
         server,s1,e,queue,10.0.0.1:1,in,,,\n\
         stop-vm,v9,,,,,2026-01-01T00:00:00Z,2026-01-01T01:00:00Z,\n",
        expect![[r#"
            line 3 column 3 (domain): no domain row for e
            line 3 column 4 (service): no service row for queue
            line 4 column 2 (name): no row of the target's kind has this name"#]],
    );
}

#[test]
fn duplicate_addresses_are_rejected() {
    check(
        "domain,d,,,,in,,,\n\
         vm,v1,d,,10.0.0.1:1,in,,,planner=10.0.0.1:2\n\
         vm,v2,d,,10.0.0.1:2,in,,,planner=10.0.0.2:2\n",
        expect!["line 4 column 5 (address): 10.0.0.1:2 is already used on line 3"],
    );
}

#[test]
fn duplicate_names_of_one_kind_are_rejected() {
    check(
        "domain,d,,,,in,,,\ndomain,d,,,,out,,,\n",
        expect!["line 3 column 2 (name): domain d is already defined on line 2"],
    );
}

#[test]
fn settings_out_of_range_are_rejected() {
    check(
        "domain,d,,,,in,,,\n\
         service,q,,,,,,,kind=keyed;slice-bits=40\n\
         service,r,,,,,,,kind=round\n\
         server,s1,d,q,10.0.0.1:1,in,,,slots=0\n\
         server,s2,d,q,10.0.0.2:1,in,,,slots=2;cold-slots=3\n\
         server,s3,d,q,10.0.0.3:1,in,,,slots=2;slots=3;colour=red\n",
        expect![[r#"
            line 3 column 9 (settings): slice-bits=40 is not allowed: expected 0 to 16
            line 4 column 9 (settings): kind="round" is not allowed: expected keyed or shared
            line 5 column 9 (settings): slots=0 is not allowed: expected 1 to 4096
            line 6 column 4 (service): no service row for q
            line 6 column 9 (settings): cold-slots=3 is not allowed: expected at most slots=2
            line 7 column 4 (service): no service row for q
            line 7 column 9 (settings): "slots" is given twice
            line 7 column 9 (settings): "colour" is not allowed: expected one of slots, connections, cold-slots, warm-ms"#]],
    );
}

#[test]
fn stop_that_ends_before_it_starts_is_rejected() {
    check(
        "domain,d,,,,in,,,\n\
         stop-domain,d,,,,,2026-01-02T00:00:00Z,2026-01-01T00:00:00Z,\n\
         stop-domain,d,,,,,tomorrow,2026-01-01T00:00:00Z,\n",
        expect![[r#"
            line 3 column 8 (until): the stop must end after it starts
            line 4 column 7 (from): "tomorrow" is not allowed: expected a UTC time such as 2026-12-04T05:00:00Z"#]],
    );
}

#[test]
fn wrong_header_is_rejected() {
    let errors = PlanSheet::try_from("name,kind\ndomain,d,,,,in,,,\n").unwrap_err();
    expect!["line 1 column 1 (kind): the header row must be kind,name,domain,service,address,state,from,until,settings"].assert_eq(&errors.to_string());
}

#[test]
fn empty_sheet_is_rejected() {
    let errors = PlanSheet::try_from("").unwrap_err();
    expect!["line 1 column 1 (kind): the sheet is empty"].assert_eq(&errors.to_string());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Spreadsheet exports may contain any text; none of it may panic the parser.
    #[test]
    fn parser_never_panics(text in "[a-z,;=\"\n0-9:.|#-]{0,200}") {
        let _ = PlanSheet::try_from(text.as_str());
        let _ = PlanSheet::try_from(format!("{HEADER}{text}").as_str());
    }
}
