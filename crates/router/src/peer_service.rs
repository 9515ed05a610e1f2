//! Serves requests of the routers on other VMs.

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
            PeerRequest::Forward(forwarded) => {
                PeerReply::Forward(serve_forwarded(&self.state, forwarded).await)
            }
            _ => PeerReply::Unsupported,
        }
    }
}
