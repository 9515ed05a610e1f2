//! Calls between routers, planners and other processes of this project: one HTTP/2 stream for
//! each call, with messages in bincode.

mod client;
mod codec;
mod messages;
mod server;

pub use client::{ByteCounter, PeerClient, PeerPool};
pub use codec::encoded_len;
pub use messages::{
    ColdNotice, ForwardCause, ForwardReply, ForwardRequest, PeerReply, PeerRequest, SheetText,
    TypedRequest, WatchReply, WatchRequest,
};
pub use server::{PeerService, serve_peers};
