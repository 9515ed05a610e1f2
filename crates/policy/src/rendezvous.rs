//! Rendezvous order of routers, by which all agree on who acts for a subject without a message.

use model::VmName;
use xxhash_rust::xxh3::xxh3_64;

/// Rank of a router for a subject, such as a server's name; the smallest acts first.
pub fn rendezvous_rank(subject: &str, router: &VmName) -> u64 {
    xxh3_64(format!("{subject}/{router}").as_bytes())
}
