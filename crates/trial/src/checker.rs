//! Records what the stand-ins and callers see, and checks the router's guarantees against it.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use model::{KeyHash, SliceId, hash_key};

use crate::report::CallTotals;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    Answered,
    NotRun,
    Unknown,
    /// No router could be reached.
    Unreached,
}

/// One request as its caller saw it. Times are measured from [`InvariantChecker::started`].
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) id: String,
    /// Index of the service in the scenario.
    pub(crate) service: usize,
    pub(crate) key: String,
    pub(crate) is_keyed: bool,
    pub(crate) is_idempotent: bool,
    pub(crate) outcome: CallerOutcome,
    /// Why the request was not answered, as the report counts it.
    pub(crate) reason: String,
    pub(crate) started_at: Duration,
    pub(crate) ended_at: Duration,
}

#[derive(Default)]
struct CheckerRecords {
    /// Number of commits of each request id, over all servers.
    commit_counts: HashMap<String, u32>,
    /// Time of the last commit of each key on each server.
    last_commits: HashMap<String, HashMap<String, Instant>>,
    /// Last server that held each slice, and the end of its grant.
    holders: HashMap<String, (String, Instant)>,
    /// Commits and grants that two servers had for a key or slice at the same time.
    two_owners: u64,
    /// Grants of a slice to another server than before.
    moves: u64,
    /// Requests to servers known as cold, beyond what they can queue.
    cold_overload: u64,
    /// Number of commits of each server.
    served: BTreeMap<String, u64>,
    /// Time of the last arrival of a request at each server.
    arrivals: HashMap<String, Instant>,
    /// Arrivals at all servers.
    n_arrived: u64,
    calls: Vec<CallRecord>,
    /// Answers to another request than the caller's.
    crossed: u64,
    /// Truncated answers that a caller took for whole.
    cut_accepted: u64,
}

/// Collects what servers and callers record, and computes the trial's figures from it.
pub(crate) struct InvariantChecker {
    pub(crate) started: Instant,
    records: Mutex<CheckerRecords>,
}

impl InvariantChecker {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now(), records: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, CheckerRecords> {
        self.records.lock().unwrap_or_else(|it| it.into_inner())
    }

    pub(crate) fn record_arrival(&self, server: &str) {
        let mut records = self.lock();
        records.n_arrived += 1;
        records.arrivals.insert(server.to_owned(), Instant::now());
    }

    pub(crate) fn last_arrival(&self, server: &str) -> Option<Instant> {
        self.lock().arrivals.get(server).copied()
    }

    pub(crate) fn record_cold_overload(&self, server: &str) {
        self.lock().cold_overload += 1;
        eprintln!("checker: {server} is cold and received more requests than it can queue");
    }

    /// Records that a server has completed a request that it started at `started_at`. For a keyed
    /// service it is a violation when another server committed the same key since then.
    pub(crate) fn record_commit(
        &self,
        server: &str,
        id: &str,
        keyed: Option<&str>,
        started_at: Instant,
    ) {
        let mut records = self.lock();
        *records.commit_counts.entry(id.to_owned()).or_default() += 1;
        *records.served.entry(server.to_owned()).or_default() += 1;
        let Some(key) = keyed else { return };
        let last_commits = records.last_commits.entry(key.to_owned()).or_default();
        let is_concurrent =
            last_commits.iter().any(|(other, at)| other != server && *at > started_at);
        last_commits.insert(server.to_owned(), Instant::now());
        if is_concurrent {
            records.two_owners += 1;
            eprintln!("checker: two servers ran key {key} concurrently, one of them {server}");
        }
    }

    /// Records that a server's grants of these slices are valid until `until`. It is a violation
    /// when another server's grant is still valid.
    pub(crate) fn record_grants(
        &self,
        server: &str,
        slices: impl Iterator<Item = String>,
        until: Instant,
    ) {
        let mut records = self.lock();
        let now = Instant::now();
        for slice in slices {
            match records.holders.get(&slice) {
                Some((other, end)) if other != server => {
                    let is_overlapping = *end > now;
                    records.moves += 1;
                    if is_overlapping {
                        records.two_owners += 1;
                        eprintln!(
                            "checker: {server} was granted {slice} before another released it"
                        );
                    }
                }
                _ => (),
            }
            records.holders.insert(slice, (server.to_owned(), until));
        }
    }

    /// Records that a server no longer holds a slice.
    pub(crate) fn record_release(&self, server: &str, slice: &str) {
        let mut records = self.lock();
        if let Some((holder, until)) = records.holders.get_mut(slice)
            && holder == server
        {
            *until = Instant::now();
        }
    }

    pub(crate) fn record_call(&self, record: CallRecord) {
        self.lock().calls.push(record);
    }

    /// Records that a caller received the answer to another request.
    pub(crate) fn record_crossed(&self) {
        self.lock().crossed += 1;
    }

    /// Records that a caller received a truncated answer as a whole one.
    pub(crate) fn record_cut_accepted(&self) {
        self.lock().cut_accepted += 1;
    }

    /// Computes the figures of everything recorded so far.
    pub(crate) fn totals(&self) -> CallTotals {
        let records = self.lock();
        let n_commits =
            |it: &CallRecord| records.commit_counts.get(&it.id).copied().unwrap_or_default();
        let count = |outcome| records.calls.iter().filter(|it| it.outcome == outcome).count();
        let calls = &records.calls;
        let false_not_run = calls
            .iter()
            .filter(|it| matches!(it.outcome, CallerOutcome::NotRun) && n_commits(it) > 0)
            .count();
        let duplicates = calls.iter().filter(|it| !it.is_idempotent && n_commits(it) > 1).count();
        let mut reasons = BTreeMap::new();
        for it in calls.iter().filter(|it| it.outcome != CallerOutcome::Answered) {
            *reasons.entry(it.reason.clone()).or_default() += 1;
        }
        CallTotals {
            requests: calls.len() as u64,
            answered: count(CallerOutcome::Answered) as u64,
            not_run: count(CallerOutcome::NotRun) as u64,
            unknown: count(CallerOutcome::Unknown) as u64,
            unreached: count(CallerOutcome::Unreached) as u64,
            duplicates: duplicates as u64,
            false_not_run: false_not_run as u64,
            two_owners: records.two_owners,
            crossed: records.crossed,
            cut_accepted: records.cut_accepted,
            cold_overload: records.cold_overload,
            moves: records.moves,
            n_arrived: records.n_arrived,
            served: records.served.clone(),
            reasons,
            max_unavailable_ms: longest_unavailable_ms(calls),
            latencies_us: calls
                .iter()
                .filter(|it| it.outcome == CallerOutcome::Answered)
                .map(|it| (it.ended_at - it.started_at).as_micros() as u64)
                .collect(),
        }
    }

    /// Resets the count of moves, so that it leaves out the first assignment of the slices.
    pub(crate) fn reset_moves(&self) {
        self.lock().moves = 0;
    }
}

/// Bits of the slices over which unavailable time is measured.
const SLICE_BITS: u8 = 5;

/// Longest time, over all slices of keyed services, from a request's start until that or a later
/// request to the slice was answered. Time without requests doesn't count.
fn longest_unavailable_ms(calls: &[CallRecord]) -> u64 {
    let mut by_slice: HashMap<(usize, SliceId), Vec<&CallRecord>> = HashMap::new();
    for it in calls.iter().filter(|it| it.is_keyed) {
        let hash: KeyHash = hash_key(&it.key);
        by_slice.entry((it.service, SliceId::covering(hash, SLICE_BITS))).or_default().push(it);
    }
    let gaps = by_slice.iter_mut().map(|((service, slice), records)| {
        records.sort_by_key(|it| it.started_at);
        let (length, gap_start) = longest_gap(records);
        (length, gap_start, *service, *slice)
    });
    let Some((length, gap_start, service, slice)) = gaps.max() else { return 0 };
    eprintln!(
        "checker: longest unavailability: service {service} slice {slice} from {} ms for {} ms",
        gap_start.as_millis(),
        length.as_millis()
    );
    length.as_millis() as u64
}

/// Returns the longest time from a request's start until a request that started then or later was
/// answered, and when that time began. Expects the records sorted by their start.
fn longest_gap(records: &[&CallRecord]) -> (Duration, Duration) {
    let mut longest = (Duration::ZERO, Duration::ZERO);
    let mut answered_at = None;
    let last_end = records.iter().map(|it| it.ended_at).max().unwrap_or_default();
    for it in records.iter().rev() {
        if it.outcome == CallerOutcome::Answered {
            answered_at = Some(answered_at.map_or(it.ended_at, |at: Duration| at.min(it.ended_at)));
        }
        let gap = answered_at.unwrap_or(last_end).saturating_sub(it.started_at);
        longest = longest.max((gap, it.started_at));
    }
    longest
}
