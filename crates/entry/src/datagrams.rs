//! Datagrams that entry VMs send each other: load by key, for the assigner; changes of shards,
//! ahead of the store's change stream; and load reports of servers.
//!
//! Datagrams may be lost: a stream between each pair of VMs would cost more than the data is worth.
//! Each is applied on its own and replaces no other.

use std::{net::SocketAddr, time::Duration};

use model::{ServerName, ServiceName, VmName};
use ownership::{KeyRange, ShardDelta};
use serde::{Deserialize, Serialize};

use crate::server_reports::ReportBatch;

/// Time between load datagrams of a router to the assigner.
pub const ROUTER_LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Longest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// Most keys of each service in one load datagram.
const MAX_SERVICE_KEYS: usize = 1_000;

/// Load of one router, for the assigner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct RouterLoad {
    /// VM of the router.
    pub vm: Option<VmName>,
    /// Requests by service and key since the previous datagram.
    pub keys: Vec<(ServiceName, Vec<(u16, u32)>)>,
    /// Average milliseconds of work for a request, by server.
    pub work: Vec<(ServerName, u32)>,
}

/// A change of a service's shard record that the store has acknowledged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardUpdate {
    /// Service that the shards belong to.
    pub service: ServiceName,
    /// Store revision of the record before the change.
    pub base: u64,
    /// Store revision of the record after the change.
    pub revision: u64,
    /// Difference between the two revisions of the record.
    pub delta: ShardDelta,
}

/// Keys whose new holder has acknowledged its grant, sent ahead of the record that shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AckedRange {
    /// Service that the keys belong to.
    pub service: ServiceName,
    /// Store revision of the record that assigned the keys to the holder.
    pub revision: u64,
    /// Keys for which requests may now be sent to the holder.
    pub range: KeyRange,
    /// Fencing token of the holder's grant.
    pub token: u64,
}

/// Contents of a datagram between entry VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerDatagram {
    /// Load of a router; sent to the assigner.
    Load(RouterLoad),
    /// Changed shards; sent by the assigner.
    Shards(ShardUpdate),
    /// Keys whose new holder has acknowledged its grant; sent by the assigner.
    Acked(AckedRange),
    /// Load reports of servers; sent by all VMs and forwarded by the relay of each domain.
    ServerReports(ReportBatch),
}

/// Encodes a datagram; returns nothing if it would be too long.
pub fn encode_datagram(mut datagram: PeerDatagram) -> Option<Vec<u8>> {
    if let PeerDatagram::Load(load) = &mut datagram {
        for (_, keys) in &mut load.keys {
            keys.truncate(MAX_SERVICE_KEYS);
        }
    }
    let bytes = bincode::serde::encode_to_vec(datagram, bincode::config::standard()).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram; returns nothing if it is invalid.
pub fn decode_datagram(bytes: &[u8]) -> Option<PeerDatagram> {
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let (datagram, _) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    Some(datagram)
}

/// Bytes of a receive buffer that holds any datagram.
pub const DATAGRAM_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES;

/// Binds a UDP socket for datagrams between VMs.
///
/// # Errors
/// The address can't be bound.
pub async fn bind_socket(address: SocketAddr) -> std::io::Result<tokio::net::UdpSocket> {
    tokio::net::UdpSocket::bind(address).await
}
