//! Serves requests of routers and other planners.

use std::sync::Arc;

use peer::{PeerReply, PeerRequest, PeerService};
use xtra::prelude::*;

use crate::{
    control::{
        AnswerAccept, AnswerLease, AnswerPrepare, PlannerActor, PlannerState, RecordCold,
        RecordLoads,
    },
    published_state::await_changes,
};

#[derive(Clone)]
pub(crate) struct PlannerPeerService {
    pub(crate) state: Arc<PlannerState>,
    pub(crate) actor: Address<PlannerActor>,
}

impl PeerService for PlannerPeerService {
    type Request = PeerRequest;

    async fn answer(&self, request: PeerRequest) -> PeerReply {
        let reply = match request {
            PeerRequest::Accept(request) => {
                self.actor.send(AnswerAccept(request)).await.map(PeerReply::Accept)
            }
            PeerRequest::Prepare(request) => {
                self.actor.send(AnswerPrepare(request)).await.map(PeerReply::Prepare)
            }
            PeerRequest::Lease(request) => {
                self.actor.send(AnswerLease(request)).await.map(PeerReply::Lease)
            }
            PeerRequest::Loads { from, loads } => {
                let message = RecordLoads { from: from.to_string(), loads };
                self.actor.send(message).await.map(|()| PeerReply::Ack)
            }
            PeerRequest::Cold(notice) => {
                self.actor.send(RecordCold(notice)).await.map(|()| PeerReply::Ack)
            }
            PeerRequest::Hello => Ok(PeerReply::Hello(self.state.incarnation)),
            PeerRequest::Watch(request) => {
                Ok(PeerReply::Watch(await_changes(self.state.published.subscribe(), request).await))
            }
            PeerRequest::Forward(_) => Ok(PeerReply::Unsupported),
        };
        reply.unwrap_or(PeerReply::Unsupported)
    }
}
