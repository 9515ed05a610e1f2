//! Datagrams that entry VMs send each other: load by key, for the assigner; changes of shards,
//! ahead of the store's change stream; load reports of servers; and permits to send to servers or for
//! requests of teams.
//!
//! Datagrams may be lost: a stream between each pair of VMs would cost more than the data is worth.
//! Each is applied on its own and replaces no other.

use std::{net::SocketAddr, time::Duration};

use model::{ServerName, ServiceName, VmName};
use ownership::{KeyRange, ShardDelta};
use serde::{Deserialize, Serialize};

use crate::{
    permits::{PermitReply, PermitRequest},
    quotas::{QuotaCall, QuotaReply},
    server_reports::ReportBatch,
    server_warmth::WarmthBatch,
};

/// Time between load datagrams of a router to the assigner.
pub const ROUTER_LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Longest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 32 * 1024;

/// Most memory that a decoded datagram may take; values take more than their encoding.
const MAX_DECODED_BYTES: usize = 16 * MAX_DATAGRAM_BYTES;

/// Most keys of each service that a router reports at a time.
const MAX_SERVICE_KEYS: usize = 1_000;

/// Load of one router, for the assigner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct RouterLoad {
    /// VM of the router.
    pub vm: Option<VmName>,
    /// Requests by service and key since the previous datagram.
    pub keys: Vec<(ServiceName, Vec<(u16, u32)>)>,
    /// Average milliseconds of work for a request, by server that has answered since the previous
    /// datagram.
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
    /// Call for a permit to send to a server that has named a rate; sent to the server's keeper.
    PermitRequest(PermitRequest),
    /// Answer to such a call.
    PermitReply(PermitReply),
    /// How long servers stay cold; sent and forwarded like their load reports.
    Warmth(WarmthBatch),
    /// Call to a pool of teams' quotas.
    Quota(QuotaCall),
    /// Answer to such a call.
    QuotaReply(QuotaReply),
}

/// A datagram that is too long and can't be divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedDatagram {
    /// Encoded length in bytes.
    pub n_bytes: usize,
}

impl std::fmt::Display for OversizedDatagram {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "datagram of {} bytes exceeds {MAX_DATAGRAM_BYTES}", self.n_bytes)
    }
}

impl std::error::Error for OversizedDatagram {}

/// Encodes a datagram, as several if it would be too long for one.
///
/// # Errors
/// When it is too long and is valid only as a whole.
pub fn encode_datagrams(mut datagram: PeerDatagram) -> Result<Vec<Vec<u8>>, OversizedDatagram> {
    if let PeerDatagram::Load(load) = &mut datagram {
        load.keep_heaviest_keys();
    }
    let mut encoded = Vec::new();
    let mut remaining = vec![datagram];
    while let Some(datagram) = remaining.pop() {
        // Encoding into memory can't fail: these types hold only numbers, text and lists.
        let bytes = bincode::serde::encode_to_vec(&datagram, bincode::config::standard())
            .unwrap_or_default();
        match datagram.halves() {
            _ if bytes.len() <= MAX_DATAGRAM_BYTES => encoded.push(bytes),
            Some(halves) => remaining.extend(halves),
            None => return Err(OversizedDatagram { n_bytes: bytes.len() }),
        }
    }
    Ok(encoded)
}

impl RouterLoad {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.work.is_empty() && self.keys.iter().all(|(_, keys)| keys.is_empty())
    }

    /// Two loads that add up to this one; `None` if no list of it can be divided.
    fn halves(mut self) -> Option<[Self; 2]> {
        let keys = match &mut self.keys[..] {
            [(service, keys)] if keys.len() > 1 => {
                vec![(service.clone(), keys.split_off(keys.len() / 2))]
            }
            services => {
                let middle = services.len().div_ceil(2);
                self.keys.split_off(middle)
            }
        };
        let work = self.work.split_off(self.work.len().div_ceil(2));
        let is_divided = !keys.is_empty() || !work.is_empty();
        let second = Self { vm: self.vm.clone(), keys, work };
        is_divided.then_some([self, second])
    }

    /// Drops the keys with the fewest requests beyond [`MAX_SERVICE_KEYS`] of each service.
    fn keep_heaviest_keys(&mut self) {
        for (_, keys) in &mut self.keys {
            if keys.len() > MAX_SERVICE_KEYS {
                keys.sort_unstable_by_key(|(_, count)| std::cmp::Reverse(*count));
                keys.truncate(MAX_SERVICE_KEYS);
            }
        }
    }
}

impl PeerDatagram {
    /// Two datagrams that together have the same effect; `None` if it can't be divided.
    fn halves(self) -> Option<[Self; 2]> {
        match self {
            Self::Load(load) => load.halves().map(|it| it.map(Self::Load)),
            Self::Warmth(batch) => batch.halves().map(|it| it.map(Self::Warmth)),
            Self::ServerReports(batch) => batch.halves().map(|it| it.map(Self::ServerReports)),
            Self::Shards(_)
            | Self::Acked(_)
            | Self::PermitRequest(_)
            | Self::PermitReply(_)
            | Self::Quota(_)
            | Self::QuotaReply(_) => None,
        }
    }
}

/// Decodes a datagram; returns nothing if it is invalid.
pub fn decode_datagram(bytes: &[u8]) -> Option<PeerDatagram> {
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
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
