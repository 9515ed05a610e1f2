//! Values that several tests use.

use std::time::Duration;

use entry::ServerEntry;
use model::{DomainName, ServerName, ServiceName};

/// A warm server of the service `archive`.
pub fn server(name: &str) -> ServerEntry {
    ServerEntry {
        name: ServerName::try_from(name).expect("a name"),
        service: ServiceName::try_from("archive").expect("a name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: DomainName::try_from("west-a").expect("a name"),
        slots: 4,
        is_draining: false,
        cold_left: Duration::ZERO,
        born: 7,
        sequence: 0,
    }
}
