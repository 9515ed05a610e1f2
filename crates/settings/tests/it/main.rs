//! Tests of the public interface of the settings crate.

#![allow(missing_docs, clippy::unwrap_used)]

use expect_test::{Expect, expect};
use ownership::LeaseTiming;
use settings::{IdentitySettings, RawLease, check_addresses};

fn check_lease(text: &str, expect: Expect) {
    let raw: RawLease = toml::from_str(text).unwrap();
    let res = LeaseTiming::try_from(raw).map(|_| ());
    expect.assert_eq(&res.map_or_else(|err| err.to_string(), |()| "allowed".to_owned()));
}

#[test]
fn default_lease_timing_is_valid() {
    check_lease("", expect!["allowed"]);
}

#[test]
fn authority_must_last_twice_the_planner_silence() {
    check_lease(
        "authority_ms = 500",
        expect![[
            r#"file="" field="lease.authority_ms" value="500" allowed="at least twice planner_silence_ms (300 ms)""#
        ]],
    );
}

#[test]
fn duration_out_of_range_is_rejected() {
    check_lease(
        "heartbeat_ms = 0",
        expect![[r#"file="" field="lease.heartbeat_ms" value="0" allowed="10 to 60000""#]],
    );
}

#[test]
fn duplicate_address_error_contains_the_other_field() {
    let address = "10.0.0.1:80".parse().unwrap();
    let err = check_addresses(&[("listen.caller", address), ("listen.peer", address)]).unwrap_err();
    expect![[r#"file="" field="listen.peer" value="10.0.0.1:80" allowed="an address other than that of listen.caller""#]].assert_eq(&err.to_string());
}

#[test]
fn invalid_domain_name_is_rejected() {
    let err = IdentitySettings::check("vm-1", "North", "10.0.0.1").unwrap_err();
    expect![[r#"file="" field="domain" value="North" allowed="1 to 63 lower-case letters, digits, '-', '_' or '.'""#]].assert_eq(&err.to_string());
}
