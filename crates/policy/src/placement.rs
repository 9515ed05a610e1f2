//! Choice of a server for one request among a random sample.
//!
//! Load pattern: dozens of routers hold the same reports of the same servers. If each took the best of
//! all servers, they would all send to the few that were idle when the reports were made.

use rand::{Rng, seq::index};

/// Number of random servers of which a router takes the cheapest. A smaller sample would often hold no
/// fast server and none of the router's failure domain. Services of up to this size are considered as
/// a whole.
const SAMPLE_SIZE: usize = 10;

/// Index of the cheapest of [`SAMPLE_SIZE`] random servers that may be used.
///
/// `cost` takes an index below `n_servers` and returns `None` for a server that may not be used.
pub fn choose_cheapest(
    n_servers: usize,
    rng: &mut impl Rng,
    mut cost: impl FnMut(usize) -> Option<f64>,
) -> Option<usize> {
    let order = index::sample(rng, n_servers, n_servers);
    let priced = order.into_iter().filter_map(|idx| Some((idx, cost(idx)?)));
    let cheapest = priced.take(SAMPLE_SIZE).min_by(|(_, a), (_, b)| a.total_cmp(b));
    cheapest.map(|(idx, _)| idx)
}
