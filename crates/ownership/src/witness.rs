//! A witness stands behind one planner at a time and remembers the newest map it accepted.

use std::sync::Arc;

use model::{MonoTime, Term};

use crate::{
    AcceptReply, AcceptRequest, DomainMap, LeaseTiming, MapStamp, PrepareReply, PrepareRequest,
    VmId,
};

/// What one VM has promised to one domain's planners.
#[derive(Debug, Clone)]
pub struct WitnessState {
    id: VmId,
    promised: Term,
    promised_to: Option<VmId>,
    accepted: Option<Arc<DomainMap>>,
    heard_at: MonoTime,
}

impl WitnessState {
    /// A witness that has promised nothing; `now` counts as the last word from a planner.
    pub fn new(id: VmId, now: MonoTime) -> Self {
        Self { id, promised: Term::default(), promised_to: None, accepted: None, heard_at: now }
    }

    /// The newest map that the witness stood behind.
    pub fn accepted(&self) -> Option<&Arc<DomainMap>> {
        self.accepted.as_ref()
    }

    /// The latest term that the witness promised or accepted.
    pub fn promised(&self) -> Term {
        self.promised
    }

    /// When the witness last heard from the planner behind which it stands.
    pub fn heard_at(&self) -> MonoTime {
        self.heard_at
    }

    /// Answers a planner's heartbeat.
    pub fn answer_accept(&mut self, ask: &AcceptRequest, now: MonoTime) -> AcceptReply {
        match &ask.map {
            _ if ask.witness != self.id => AcceptReply::Restarted { current: self.id.incarnation },
            _ if self.is_promised_away(ask.stamp.term, &ask.planner) => {
                AcceptReply::Refused { promised: self.promised }
            }
            Some(map) if self.accepted_stamp() <= map.stamp => {
                self.accept(map.clone(), ask, now);
                AcceptReply::Accepted
            }
            _ if self.accepted_stamp() == ask.stamp => {
                self.hear(ask, now);
                AcceptReply::Accepted
            }
            _ => AcceptReply::NeedMap,
        }
    }

    /// Answers a candidate that wants to take over.
    pub fn answer_prepare(
        &mut self,
        ask: &PrepareRequest,
        timing: &LeaseTiming,
        now: MonoTime,
    ) -> PrepareReply {
        let hears_planner = self.accepted.as_ref().is_some_and(|it| it.planner != ask.candidate)
            && now.since(self.heard_at) < timing.planner_silence;
        match () {
            () if ask.witness != self.id => {
                PrepareReply::Restarted { current: self.id.incarnation }
            }
            () if self.is_promised_away(ask.term, &ask.candidate) => {
                PrepareReply::Refused { promised: self.promised }
            }
            () if hears_planner => PrepareReply::PlannerAlive,
            () => {
                self.promised = ask.term;
                self.promised_to = Some(ask.candidate.clone());
                PrepareReply::Promised { accepted: self.accepted.clone() }
            }
        }
    }

    /// Learns a map from the store or a peer without standing behind it.
    pub fn observe_term(&mut self, term: Term) {
        if term > self.promised {
            self.promised = term;
            self.promised_to = None;
        }
    }

    /// Notes that another way of learning showed the planner to be alive.
    pub fn note_heard(&mut self, now: MonoTime) {
        if self.accepted.is_none() {
            self.heard_at = now;
        }
    }

    fn accepted_stamp(&self) -> MapStamp {
        self.accepted.as_ref().map_or_else(MapStamp::default, |it| it.stamp)
    }

    /// Whether `term` is older than the promise, or equal and promised to someone else.
    fn is_promised_away(&self, term: Term, asker: &VmId) -> bool {
        term < self.promised
            || (term == self.promised && self.promised_to.as_ref().is_some_and(|it| it != asker))
    }

    fn accept(&mut self, map: Arc<DomainMap>, ask: &AcceptRequest, now: MonoTime) {
        let merged = match self.accepted.take() {
            Some(old) if old.stamp == map.stamp => {
                let mut merged = DomainMap::clone(&map);
                merged.merge_phases(&old);
                Arc::new(merged)
            }
            _ => map,
        };
        self.accepted = Some(merged);
        self.hear(ask, now);
    }

    fn hear(&mut self, ask: &AcceptRequest, now: MonoTime) {
        self.promised = ask.stamp.term;
        self.promised_to = Some(ask.planner.clone());
        self.heard_at = now;
    }
}
