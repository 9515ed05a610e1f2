//! A witness accepts one planner at a time and remembers the newest map that it accepted.

use std::sync::Arc;

use model::{MonoTime, Term};

use crate::{
    AcceptReply, AcceptRequest, DomainMap, LeaseTiming, MapStamp, PrepareReply, PrepareRequest,
    VmId,
};

/// State of one VM as a witness of one domain: its promise and the newest accepted map.
#[derive(Debug, Clone)]
pub struct WitnessState {
    id: VmId,
    promised: Term,
    promised_to: Option<VmId>,
    accepted: Option<Arc<DomainMap>>,
    heard_at: MonoTime,
}

impl WitnessState {
    /// Creates a witness without a promise; `now` counts as its last contact with a planner.
    pub fn new(id: VmId, now: MonoTime) -> Self {
        Self { id, promised: Term::default(), promised_to: None, accepted: None, heard_at: now }
    }

    /// The newest map that the witness accepted.
    pub fn accepted(&self) -> Option<&Arc<DomainMap>> {
        self.accepted.as_ref()
    }

    /// The highest term that the witness promised, accepted or learned of.
    pub fn promised(&self) -> Term {
        self.promised
    }

    /// Time of the last contact with the planner that the witness accepts.
    pub fn heard_at(&self) -> MonoTime {
        self.heard_at
    }

    /// Answers a planner's heartbeat.
    pub fn answer_accept(&mut self, request: &AcceptRequest, now: MonoTime) -> AcceptReply {
        match &request.map {
            _ if request.witness != self.id => {
                AcceptReply::Restarted { current: self.id.incarnation }
            }
            _ if self.is_promised_elsewhere(request.stamp.term, &request.planner) => {
                AcceptReply::Refused { promised: self.promised }
            }
            Some(map) if self.accepted_stamp() <= map.stamp => {
                self.accept(map.clone(), request, now);
                AcceptReply::Accepted
            }
            _ if self.accepted_stamp() == request.stamp => {
                self.record_heartbeat(request, now);
                AcceptReply::Accepted
            }
            _ => AcceptReply::NeedMap,
        }
    }

    /// Answers a candidate that asks for a promise, so that it can take over.
    pub fn answer_prepare(
        &mut self,
        request: &PrepareRequest,
        timing: &LeaseTiming,
        now: MonoTime,
    ) -> PrepareReply {
        let is_planner_alive =
            self.accepted.as_ref().is_some_and(|it| it.planner != request.candidate)
                && now.since(self.heard_at) < timing.planner_silence;
        match () {
            () if request.witness != self.id => {
                PrepareReply::Restarted { current: self.id.incarnation }
            }
            () if self.is_promised_elsewhere(request.term, &request.candidate) => {
                PrepareReply::Refused { promised: self.promised }
            }
            () if is_planner_alive => PrepareReply::PlannerAlive,
            () => {
                self.promised = request.term;
                self.promised_to = Some(request.candidate.clone());
                PrepareReply::Promised { accepted: self.accepted.clone() }
            }
        }
    }

    /// Raises the promised term to one learned from the store or a peer, without a promise to anyone.
    pub fn observe_term(&mut self, term: Term) {
        if term > self.promised {
            self.promised = term;
            self.promised_to = None;
        }
    }

    /// Records indirect evidence that the planner is alive, which counts only until the witness has
    /// accepted a map.
    pub fn note_heard(&mut self, now: MonoTime) {
        if self.accepted.is_none() {
            self.heard_at = now;
        }
    }

    fn accepted_stamp(&self) -> MapStamp {
        self.accepted.as_ref().map_or_else(MapStamp::default, |it| it.stamp)
    }

    /// Whether `term` is below the promised term, or equal to it and promised to another VM.
    fn is_promised_elsewhere(&self, term: Term, requester: &VmId) -> bool {
        term < self.promised
            || (term == self.promised
                && self.promised_to.as_ref().is_some_and(|it| it != requester))
    }

    fn accept(&mut self, map: Arc<DomainMap>, request: &AcceptRequest, now: MonoTime) {
        let merged = match self.accepted.take() {
            Some(old) if old.stamp == map.stamp => {
                let mut merged = DomainMap::clone(&map);
                merged.merge_phases(&old);
                Arc::new(merged)
            }
            _ => map,
        };
        self.accepted = Some(merged);
        self.record_heartbeat(request, now);
    }

    fn record_heartbeat(&mut self, request: &AcceptRequest, now: MonoTime) {
        self.promised = request.stamp.term;
        self.promised_to = Some(request.planner.clone());
        self.heard_at = now;
    }
}
