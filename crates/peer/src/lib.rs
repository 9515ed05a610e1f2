//! Streams between the product's own processes: HTTP/2 carrying bincode.

mod client;
mod codec;
mod messages;
mod server;

pub use client::{ByteCount, PeerBook, PeerClient};
pub use messages::{
    ColdNotice, ForwardAsk, ForwardCause, ForwardReply, PeerAsk, PeerReply, PeerRequest, SheetText,
    WatchAsk, WatchNews,
};
pub use server::{PeerService, serve_peers};
