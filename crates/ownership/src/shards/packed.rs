//! Encoding of shard records in the store, whose size decides how fast a change of them reaches VMs
//! with slow links: each write sends the whole record to whoever watches the store.
//!
//! Instances are listed once and named by their position; a range ends where the next begins.

use std::{collections::HashMap, net::SocketAddr};

use model::{InvalidValue, ServerName};
use serde::{Deserialize, Serialize};

use super::{KeyRange, ServerInstance, ShardEntry, ShardHolder, ShardRecord};

/// Name, start time and address of an instance.
type PackedInstance = (ServerName, u64, SocketAddr);

/// First key of a range, position of its holder and the holder's token.
type PackedEntry = (u16, u16, u64);

/// Position of an entry, position of one of its leaving holders and that holder's token.
type PackedLeaving = (u16, u16, u64);

/// A shard record as it is stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct PackedRecord {
    next_token: u64,
    holders: Vec<PackedInstance>,
    entries: Vec<PackedEntry>,
    leaving: Vec<PackedLeaving>,
}

/// A shard record as this version or an earlier one wrote it.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredRecord {
    Packed(PackedRecord),
    Plain { next_token: u64, entries: Vec<ShardEntry> },
}

impl From<ShardRecord> for PackedRecord {
    fn from(record: ShardRecord) -> Self {
        let mut instances = InstanceTable::default();
        let mut leaving = Vec::new();
        let mut entries = Vec::with_capacity(record.entries.len());
        for (idx, entry) in record.entries.into_iter().enumerate() {
            let holder = instances.position(entry.holder.instance);
            entries.push((entry.range.first, holder, entry.holder.token));
            leaving.extend(entry.leaving.into_iter().map(|it| {
                // There are no more entries than keys.
                (idx as u16, instances.position(it.instance), it.token)
            }));
        }
        let holders = instances.listed.into_iter().map(|it| (it.server, it.born, it.address));
        Self { next_token: record.next_token, holders: holders.collect(), entries, leaving }
    }
}

/// Instances in the order in which they were first named.
#[derive(Debug, Default)]
struct InstanceTable {
    listed: Vec<ServerInstance>,
    positions: HashMap<ServerInstance, u16>,
}

impl InstanceTable {
    fn position(&mut self, instance: ServerInstance) -> u16 {
        // There are no more holders than keys.
        let next = self.listed.len() as u16;
        let position = *self.positions.entry(instance.clone()).or_insert(next);
        if position == next {
            self.listed.push(instance);
        }
        position
    }
}

impl TryFrom<StoredRecord> for ShardRecord {
    type Error = InvalidValue;

    fn try_from(stored: StoredRecord) -> Result<Self, InvalidValue> {
        match stored {
            StoredRecord::Plain { next_token, entries } => Ok(Self { next_token, entries }),
            StoredRecord::Packed(packed) => packed.unpack(),
        }
    }
}

impl PackedRecord {
    fn unpack(self) -> Result<ShardRecord, InvalidValue> {
        let holder = |position: u16, token| {
            let (server, born, address) =
                self.holders.get(usize::from(position)).cloned().ok_or_else(|| {
                    InvalidValue::new("shard record", position, "the position of a holder")
                })?;
            Ok(ShardHolder { instance: ServerInstance { server, born, address }, token })
        };
        let mut entries = Vec::with_capacity(self.entries.len());
        for (idx, (first, position, token)) in self.entries.iter().enumerate() {
            let last = match self.entries.get(idx + 1) {
                Some((next, ..)) => next.checked_sub(1).ok_or_else(|| {
                    InvalidValue::new("shard record", next, "the first key of a later range")
                })?,
                None => u16::MAX,
            };
            let range = KeyRange { first: *first, last };
            entries.push(ShardEntry {
                range,
                holder: holder(*position, *token)?,
                leaving: Vec::new(),
            });
        }
        for (idx, position, token) in &self.leaving {
            let entry = entries.get_mut(usize::from(*idx)).ok_or_else(|| {
                InvalidValue::new("shard record", idx, "the position of an entry")
            })?;
            entry.leaving.push(holder(*position, *token)?);
        }
        Ok(ShardRecord { next_token: self.next_token, entries })
    }
}
