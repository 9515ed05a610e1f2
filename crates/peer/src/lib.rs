//! Streams between the product's own processes: HTTP/2 carrying bincode.

mod client;
mod codec;
mod messages;
mod server;

pub use client::{ByteCounter, PeerClient, PeerPool};
pub use messages::{
    ColdNotice, ForwardCause, ForwardReply, ForwardRequest, PeerReply, PeerRequest, SheetText,
    TypedRequest, WatchReply, WatchRequest,
};
pub use server::{PeerService, serve_peers};
