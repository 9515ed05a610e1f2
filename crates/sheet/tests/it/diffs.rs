//! Tests of the differences between two sheets.

use expect_test::expect;
use sheet::{PlanSheet, diff};

const BEFORE: &str = "kind,name,domain,service,address,state,from,until,settings
domain,a,,,,in,,,
domain,b,,,,in,,,
";

const AFTER: &str = "kind,name,domain,service,address,state,from,until,settings
domain,a,,,,out,,,
domain,c,,,,in,,,
stop-domain,c,,,,,1970-01-01T00:00:10Z,1970-01-01T00:00:20Z,
";

#[test]
fn changes_are_ordered_by_kind_and_name() {
    let sheets = [BEFORE, AFTER].map(|it| PlanSheet::try_from(it).unwrap());
    let lines: Vec<String> = diff(&sheets[0], &sheets[1]).iter().map(|it| it.to_string()).collect();
    expect![[r#"
        ~ domain a: DomainRow { name: a, state: In } -> DomainRow { name: a, state: Out }
        - domain b
        + domain c
        + stop Domain(c) 10-20"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn equal_sheets_have_no_changes() {
    let sheet = PlanSheet::try_from(BEFORE).unwrap();
    assert_eq!(diff(&sheet, &sheet), []);
}
