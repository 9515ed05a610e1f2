//! Which headers of requests and answers are passed on.

use http::{HeaderMap, header};
use smallvec::SmallVec;

/// Hop-by-hop headers, and headers that are set anew for each connection; none are forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies the headers without the hop-by-hop ones, be they standard or listed in `Connection`.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: SmallVec<[&str; 4]> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(str::trim)
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(&name.as_str())
            || connection_options.iter().any(|it| it.eq_ignore_ascii_case(name.as_str()));
        if !is_hop_by_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
