//! The stand-ins' own records, by which the product's promises are judged.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use model::{KeyHash, SliceId, hash_key};

use crate::report::CallerTotals;

/// How a caller saw a request end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    Answered,
    NotRun,
    Unknown,
    /// No router could be reached.
    Unreached,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct CallerRecord {
    pub(crate) id: String,
    pub(crate) service: usize,
    pub(crate) key: String,
    pub(crate) is_keyed: bool,
    pub(crate) is_idempotent: bool,
    pub(crate) outcome: CallerOutcome,
    pub(crate) reason: String,
    pub(crate) arrived: Duration,
    pub(crate) ended: Duration,
}

#[derive(Default)]
struct Records {
    /// Runs of each request id.
    runs: HashMap<String, u32>,
    /// Last committed run of each key on each server.
    commits: HashMap<String, HashMap<String, Instant>>,
    /// Holder of each slice that is granted, and until when.
    holders: HashMap<String, (String, Instant)>,
    two_owners: u64,
    moves: u64,
    cold_overload: u64,
    /// Committed runs of each server.
    served: BTreeMap<String, u64>,
    /// Last arrival of a request at each server.
    arrivals: HashMap<String, Instant>,
    n_arrived: u64,
    callers: Vec<CallerRecord>,
    crossed: u64,
    cut_accepted: u64,
}

/// Collects records from servers and callers.
pub(crate) struct Judge {
    pub(crate) started: Instant,
    records: Mutex<Records>,
}

impl Judge {
    pub(crate) fn new() -> Self {
        Self { started: Instant::now(), records: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(|it| it.into_inner())
    }

    pub(crate) fn note_arrival(&self, server: &str) {
        let mut records = self.lock();
        records.n_arrived += 1;
        records.arrivals.insert(server.to_owned(), Instant::now());
    }

    pub(crate) fn last_arrival(&self, server: &str) -> Option<Instant> {
        self.lock().arrivals.get(server).copied()
    }

    pub(crate) fn note_cold_overload(&self, server: &str) {
        self.lock().cold_overload += 1;
        eprintln!("judge: {server} is cold and got more than it bears");
    }

    /// A server took effect for a request that it began at `began`.
    pub(crate) fn note_commit(&self, server: &str, id: &str, keyed: Option<&str>, began: Instant) {
        let mut records = self.lock();
        *records.runs.entry(id.to_owned()).or_default() += 1;
        *records.served.entry(server.to_owned()).or_default() += 1;
        let Some(key) = keyed else { return };
        let commits = records.commits.entry(key.to_owned()).or_default();
        let is_crossed = commits.iter().any(|(other, at)| other != server && *at > began);
        commits.insert(server.to_owned(), Instant::now());
        if is_crossed {
            records.two_owners += 1;
            eprintln!("judge: two servers ran key {key} at once, one of them {server}");
        }
    }

    /// A server holds these slices until `until`.
    pub(crate) fn note_held(
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
                    let is_overlap = *end > now;
                    records.moves += 1;
                    if is_overlap {
                        records.two_owners += 1;
                        eprintln!("judge: {server} was granted {slice} before another gave it up");
                    }
                }
                _ => (),
            }
            records.holders.insert(slice, (server.to_owned(), until));
        }
    }

    /// A server gave up a slice.
    pub(crate) fn note_released(&self, server: &str, slice: &str) {
        let mut records = self.lock();
        if let Some((holder, until)) = records.holders.get_mut(slice)
            && holder == server
        {
            *until = Instant::now();
        }
    }

    pub(crate) fn note_caller(&self, record: CallerRecord) {
        self.lock().callers.push(record);
    }

    pub(crate) fn note_crossed(&self) {
        self.lock().crossed += 1;
    }

    pub(crate) fn note_cut_accepted(&self) {
        self.lock().cut_accepted += 1;
    }

    /// Judges everything recorded so far.
    pub(crate) fn totals(&self) -> CallerTotals {
        let records = self.lock();
        let ran = |it: &CallerRecord| records.runs.get(&it.id).copied().unwrap_or_default();
        let count = |outcome| records.callers.iter().filter(|it| it.outcome == outcome).count();
        let callers = &records.callers;
        let false_not_run = callers
            .iter()
            .filter(|it| matches!(it.outcome, CallerOutcome::NotRun) && ran(it) > 0)
            .count();
        let duplicates = callers.iter().filter(|it| !it.is_idempotent && ran(it) > 1).count();
        let mut reasons = BTreeMap::new();
        for it in callers.iter().filter(|it| it.outcome != CallerOutcome::Answered) {
            *reasons.entry(it.reason.clone()).or_default() += 1;
        }
        CallerTotals {
            requests: callers.len() as u64,
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
            arrived: records.n_arrived,
            served: records.served.clone(),
            reasons,
            max_unavailable_ms: max_unavailable(callers),
            latencies_us: callers
                .iter()
                .filter(|it| it.outcome == CallerOutcome::Answered)
                .map(|it| (it.ended - it.arrived).as_micros() as u64)
                .collect(),
        }
    }

    /// Forgets moves so far, which belong to the start.
    pub(crate) fn forget_start(&self) {
        self.lock().moves = 0;
    }
}

/// Slices by which unavailable time is told apart.
const SLICE_BITS: u8 = 5;

/// Longest time from the arrival of a request that no answer followed, to the next answer, over
/// all slices of keyed services.
fn max_unavailable(callers: &[CallerRecord]) -> u64 {
    let mut by_slice: HashMap<(usize, SliceId), Vec<&CallerRecord>> = HashMap::new();
    for it in callers.iter().filter(|it| it.is_keyed) {
        let hash: KeyHash = hash_key(&it.key);
        by_slice.entry((it.service, SliceId::covering(hash, SLICE_BITS))).or_default().push(it);
    }
    let gaps = by_slice.iter_mut().map(|((service, slice), records)| {
        records.sort_by_key(|it| it.arrived);
        let (length, begin) = longest_gap(records);
        (length, begin, *service, *slice)
    });
    let Some((length, begin, service, slice)) = gaps.max() else { return 0 };
    eprintln!(
        "judge: longest unavailable: service {service} slice {slice} from {} ms for {} ms",
        begin.as_millis(),
        length.as_millis()
    );
    length.as_millis() as u64
}

/// The longest time from a request's arrival until any request that came then or later was
/// answered, and when it began. Needs the records in the order of arrival.
fn longest_gap(records: &[&CallerRecord]) -> (Duration, Duration) {
    let mut longest = (Duration::ZERO, Duration::ZERO);
    let mut served_at = None;
    let last_end = records.iter().map(|it| it.ended).max().unwrap_or_default();
    for it in records.iter().rev() {
        if it.outcome == CallerOutcome::Answered {
            served_at = Some(served_at.map_or(it.ended, |at: Duration| at.min(it.ended)));
        }
        let gap = served_at.unwrap_or(last_end).saturating_sub(it.arrived);
        longest = longest.max((gap, it.arrived));
    }
    longest
}
