//! What the router answers to other VMs.

use std::sync::Arc;

use peer::{PeerReply, PeerRequest, PeerService};

use crate::{forward::serve_forwarded, state::RouterState};

#[derive(Clone)]
pub(crate) struct RouterPeerService {
    pub(crate) state: Arc<RouterState>,
}

impl PeerService for RouterPeerService {
    type Request = PeerRequest;

    async fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Forward(ask) => {
                PeerReply::Forward(serve_forwarded(&self.state, ask).await)
            }
            _ => PeerReply::Unsupported,
        }
    }
}
