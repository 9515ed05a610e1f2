//! Invariants that are checked after every step.

use super::*;

impl DomainSim {
    pub(super) fn check_invariants(&mut self) {
        let now = self.now;
        for slice in SliceId::all(SLICE_BITS) {
            let key = SliceKey { service: service(), slice };
            let mut senders: BTreeSet<String> = BTreeSet::new();
            for router in &self.routers {
                if let Ok(route) = router.view.route(&service(), slice, slice.start(), now) {
                    senders.insert(format!("{}@{}", route.server, route.token));
                    let newest_routed = self.newest_routed.entry(key.clone()).or_default();
                    *newest_routed = (*newest_routed).max(route.token);
                }
            }
            if senders.len() > 1 {
                self.violations.push(format!("{now:?} routers send {key} to {senders:?}"));
            }
            let holders: Vec<usize> = self
                .servers
                .iter()
                .enumerate()
                .filter(|(_, it)| it.lease_until > now && it.granted.contains_key(&key))
                .map(|(idx, _)| idx)
                .collect();
            if holders.len() > 1 {
                self.violations.push(format!("{now:?} servers {holders:?} hold {key}"));
            }
            if self.check == OwnerCheck::None {
                let running: BTreeSet<usize> = self
                    .routers
                    .iter()
                    .flat_map(|it| &it.in_flight)
                    .filter(|it| it.0 == key && self.servers[it.2].dead_until <= now)
                    .map(|it| it.2)
                    .collect();
                if running.len() > 1 {
                    self.violations.push(format!("{now:?} servers {running:?} run {key}"));
                }
            }
            let held = holders.first().map(|it| self.servers[*it].granted[&key]);
            let last_token = self.newest_granted.entry(key.clone()).or_default();
            match held {
                Some(token) if token < *last_token => {
                    self.violations
                        .push(format!("{now:?} {key} token decreased {last_token} -> {token}"));
                }
                Some(token) => *last_token = token,
                None => (),
            }
        }
    }

    /// A server must not hold a grant for longer than its planner has authority to act.
    pub(super) fn check_grant_lease(&mut self, from: usize, server: usize, request: &GrantRequest) {
        let now = self.now;
        let receipts = &self.servers[server].receipts;
        let issued_at = request.basis.as_ref().and_then(|it| receipts.get(it)).copied();
        let acting = self.planners[from].planner.dump(now).acting;
        if let (Some(issued_at), Some(acting)) = (issued_at, acting) {
            // The dump rounds down to milliseconds.
            let authority_end = now + Duration::from_millis(acting.authority_left_ms + 1);
            if issued_at + request.lease > authority_end {
                let message =
                    format!("{now:?} s{server} is granted a lease beyond vm{from}'s authority");
                self.violations.push(message);
            }
        }
    }

    /// Number of slices for which some router cannot route requests now.
    pub fn unserved(&self) -> usize {
        SliceId::all(SLICE_BITS)
            .filter(|slice| {
                self.routers
                    .iter()
                    .any(|it| it.view.route(&service(), *slice, slice.start(), self.now).is_err())
            })
            .count()
    }
}
