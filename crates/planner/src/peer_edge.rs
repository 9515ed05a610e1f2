//! What the planner answers to routers and other planners.

use std::sync::Arc;

use peer::{PeerReply, PeerRequest, PeerService};
use xtra::prelude::*;

use crate::{
    control::{
        AcceptArrived, ColdArrived, LeaseArrived, LoadsArrived, PlannerActor, PlannerState,
        PrepareArrived,
    },
    publication::await_news,
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
            PeerRequest::Accept(ask) => {
                self.actor.send(AcceptArrived(ask)).await.map(PeerReply::Accept)
            }
            PeerRequest::Prepare(ask) => {
                self.actor.send(PrepareArrived(ask)).await.map(PeerReply::Prepare)
            }
            PeerRequest::Lease(ask) => {
                self.actor.send(LeaseArrived(ask)).await.map(PeerReply::Lease)
            }
            PeerRequest::Loads { from, loads } => {
                let arrived = LoadsArrived { from: from.to_string(), loads };
                self.actor.send(arrived).await.map(|()| PeerReply::Ack)
            }
            PeerRequest::Cold(notice) => {
                self.actor.send(ColdArrived(notice)).await.map(|()| PeerReply::Ack)
            }
            PeerRequest::Hello => Ok(PeerReply::Hello(self.state.incarnation)),
            PeerRequest::Watch(ask) => {
                Ok(PeerReply::Watch(await_news(self.state.published.subscribe(), ask).await))
            }
            PeerRequest::Forward(_) => Ok(PeerReply::Unsupported),
        };
        reply.unwrap_or(PeerReply::Unsupported)
    }
}
