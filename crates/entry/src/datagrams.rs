//! What entry VMs tell each other, as datagrams that may be lost: load by key, for the assigner, and
//! changes of shards, ahead of the store's news.
//!
//! A stream between each pair of VMs would cost more than the news are worth; each datagram stands
//! for itself and replaces none.

use std::{net::SocketAddr, time::Duration};

use model::{ServerName, ServiceName, VmName};
use ownership::{KeyRange, ShardDelta};
use serde::{Deserialize, Serialize};

use crate::server_reports::ReportBatch;

/// Time between reports.
pub const ROUTER_LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Most bytes of one datagram.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// Most keys of one report.
const MAX_KEYS: usize = 1_000;

/// One router's report to the assigner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct RouterLoad {
    /// The router's VM.
    pub vm: Option<VmName>,
    /// Requests by key since the last report.
    pub keys: Vec<(ServiceName, Vec<(u16, u32)>)>,
    /// Average milliseconds of work by server.
    pub work: Vec<(ServerName, u32)>,
}

/// A change of shards that the store has acknowledged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardUpdate {
    /// The service.
    pub service: ServiceName,
    /// Store revision of the record before the change.
    pub base: u64,
    /// Store revision of the change.
    pub revision: u64,
    /// The change.
    pub delta: ShardDelta,
}

/// Keys that their new holder has been granted, ahead of the record that says so.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpenedRange {
    /// The service.
    pub service: ServiceName,
    /// Store revision of the record that gave the keys to the holder.
    pub revision: u64,
    /// The keys.
    pub range: KeyRange,
    /// The holder's token.
    pub token: u64,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// A router's load, to the assigner.
    Load(RouterLoad),
    /// Changed shards, from the assigner.
    Shards(ShardUpdate),
    /// Keys that may be used, from the assigner.
    Opened(OpenedRange),
    /// What servers report.
    ServerReports(ReportBatch),
}

/// Encodes a note, unless it is too long for a datagram.
pub fn encode_datagram(mut note: PeerDatagram) -> Option<Vec<u8>> {
    if let PeerDatagram::Load(note) = &mut note {
        for (_, keys) in &mut note.keys {
            keys.truncate(MAX_KEYS);
        }
    }
    let bytes = bincode::serde::encode_to_vec(note, bincode::config::standard()).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram.
pub fn decode_datagram(bytes: &[u8]) -> Option<PeerDatagram> {
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let (note, _) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    Some(note)
}

/// Size of the buffer that holds any datagram.
pub const DATAGRAM_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES;

/// Opens a socket for notes.
///
/// # Errors
/// When the address can't be bound.
pub async fn bind_socket(address: SocketAddr) -> std::io::Result<tokio::net::UdpSocket> {
    tokio::net::UdpSocket::bind(address).await
}
