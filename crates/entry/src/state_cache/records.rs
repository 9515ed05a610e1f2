//! Records of the entry processes in the cached state: the assigner, the shards and the VMs.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use model::{MonoTime, ServiceName, VmName};
use ownership::{ShardDelta, ShardRecord};
use serde::de::DeserializeOwned;
use slog::{Logger, info, warn};

use crate::{
    ChangeEvent, FleetRecord, StoredAssigner, StoredShards,
    datagrams::{AckedRange, ShardUpdate},
    era_of,
};

use super::{ASSIGNER_RECORD, FLEET_RECORD, SHARDS_PREFIX, StateCache, VM_PREFIX, encode_record};

/// Time after the removal of a VM's presence record for which the VM keeps its share of the limits of
/// servers. It may live and send: its lease may have lapsed in an outage, or only its path to the store
/// is cut.
const VM_SHARE_RETENTION: Duration = Duration::from_secs(30);

impl StateCache {
    pub(super) fn update_record(
        &mut self,
        name: &str,
        revision: u64,
        value: Option<Bytes>,
        now: MonoTime,
    ) -> bool {
        if name == ASSIGNER_RECORD {
            return self.update_assigner(revision, value);
        }
        if name == FLEET_RECORD {
            return self.update_fleet(value);
        }
        if let Some(service) = name.strip_prefix(SHARDS_PREFIX) {
            return self.update_shards(name, service, revision, value);
        }
        if let Some(vm) = name.strip_prefix(VM_PREFIX) {
            return self.update_vm(name, vm, value, now);
        }
        false
    }

    fn update_assigner(&mut self, revision: u64, value: Option<Bytes>) -> bool {
        // An equal revision passes, so that a complete read can remove the record.
        if revision < self.snapshot.assigner_revision {
            return false;
        }
        let assigner = match value.map(|it| decode_record(ASSIGNER_RECORD, &it, &self.log)) {
            None => None,
            Some(Some(record)) => Some(StoredAssigner { revision, record }),
            // What can't be read says nothing about who holds the lease.
            Some(None) => return false,
        };
        self.snapshot.assigner_revision = revision;
        let is_changed = assigner != self.snapshot.assigner;
        self.snapshot.assigner = assigner;
        is_changed
    }

    fn update_fleet(&mut self, value: Option<Bytes>) -> bool {
        // The record is never removed.
        let record =
            value.and_then(|it| decode_record::<FleetRecord>(FLEET_RECORD, &it, &self.log));
        let Some(FleetRecord { n_vms, era }) = record else {
            return false;
        };
        let before = (self.snapshot.recorded_vms, self.snapshot.recorded_era);
        (self.snapshot.recorded_vms, self.snapshot.recorded_era) = (n_vms, era);
        before != (n_vms, era)
    }

    fn update_shards(
        &mut self,
        name: &str,
        service: &str,
        revision: u64,
        value: Option<Bytes>,
    ) -> bool {
        let (Some(value), Ok(service)) = (value, ServiceName::try_from(service)) else {
            return false;
        };
        if revision <= self.stored_revision(&service) {
            return false;
        }
        let record: Option<ShardRecord> = decode_record(name, &value, &self.log);
        let Some(record) = record.filter(ShardRecord::is_valid) else {
            warn!(self.log, "record-invalid"; "record" => name, "revision" => revision);
            return false;
        };
        let record = self.newest_record(&service, revision, Arc::new(record));
        self.set_shards(service, StoredShards { revision, record });
        false
    }

    /// The record to keep of one that was read at `revision`: the cached one if the store has come back
    /// from a copy that is older than that. Tokens only grow, and servers have seen the larger ones.
    fn newest_record(
        &self,
        service: &ServiceName,
        revision: u64,
        read: Arc<ShardRecord>,
    ) -> Arc<ShardRecord> {
        let is_newer = |it: &&StoredShards| {
            era_of(it.revision) < era_of(revision) && it.record.next_token > read.next_token
        };
        match self.stored.get(service).filter(is_newer) {
            Some(cached) => {
                info!(self.log, "record-kept"; "service" => %service,
                    "next_token" => cached.record.next_token,
                    "next_token_read" => read.next_token);
                cached.record.clone()
            }
            None => read,
        }
    }

    fn stored_revision(&self, service: &ServiceName) -> u64 {
        self.stored.get(service).map_or(0, |it| it.revision)
    }

    fn update_vm(&mut self, name: &str, vm: &str, value: Option<Bytes>, now: MonoTime) -> bool {
        let Ok(vm) = VmName::try_from(vm) else {
            return false;
        };
        let vms = Arc::make_mut(&mut self.snapshot.vms);
        match value.map(|it| decode_record(name, &it, &self.log)) {
            None => {
                let was_listed = vms.remove(&vm).is_some();
                if was_listed {
                    self.departed_vms.insert(vm, now);
                }
                was_listed
            }
            Some(Some(presence)) => {
                self.departed_vms.remove(&vm);
                // A change of the set makes all shares anew.
                if !self.snapshot.sharing_vms.contains_key(&vm) {
                    Arc::make_mut(&mut self.snapshot.sharing_vms).insert(vm.clone(), now);
                }
                let is_changed = vms.get(&vm) != Some(&presence);
                vms.insert(vm, presence);
                is_changed
            }
            // Its lease, not this process, decides whether the VM is gone.
            Some(None) => false,
        }
    }

    /// Ends the shares of VMs whose records were removed long ago.
    pub(super) fn drop_departed_vms(&mut self, now: MonoTime) {
        let snapshot = &mut self.snapshot;
        self.departed_vms.retain(|vm, removed_at| {
            let has_share = now.since(*removed_at) < VM_SHARE_RETENTION;
            if !has_share {
                Arc::make_mut(&mut snapshot.sharing_vms).remove(vm);
            }
            has_share
        });
    }

    /// Applies a shard update from another VM; returns whether it is contiguous with the cached
    /// record or already part of it.
    pub fn apply_shard_update(&mut self, update: ShardUpdate) -> bool {
        let ShardUpdate { service, base, revision, delta } = update;
        let cached = self.stored.get(&service);
        if cached.is_some_and(|it| it.revision >= revision) {
            return true;
        }
        let cached = cached.filter(|it| it.revision == base);
        let Some(record) = cached.and_then(|it| delta.apply(&it.record)) else {
            return false;
        };
        self.set_shards(service, StoredShards { revision, record: Arc::new(record) });
        true
    }

    /// Applies a grant that the new holder has acknowledged, before the store's record shows the
    /// acknowledgement.
    pub fn apply_acked_range(&mut self, acked: AckedRange) {
        // An older record does not contain the grant yet.
        let is_current = self.stored_revision(&acked.service) >= acked.revision;
        if is_current {
            let ranges = self.acked.entry(acked.service.clone()).or_default();
            ranges.push((acked.range, acked.token));
            self.merge_acked(&acked.service);
        }
    }

    /// Replaces a shard record with one that this process has read or written or has received from
    /// another VM. The caller has checked that it is newer.
    pub fn set_shards(&mut self, service: ServiceName, stored: StoredShards) {
        let old = self.stored.insert(service.clone(), stored.clone());
        let name = format!("{SHARDS_PREFIX}{service}");
        self.changes.push(match old {
            Some(old) => ChangeEvent::Shards(ShardUpdate {
                service: service.clone(),
                base: old.revision,
                revision: stored.revision,
                delta: ShardDelta::between(&old.record, &stored.record),
            }),
            None => {
                let value = Some(encode_record(&*stored.record));
                ChangeEvent::Record { name, revision: stored.revision, value }
            }
        });
        self.merge_acked(&service);
    }

    /// Updates the snapshot with the stored shards, in which the acknowledged ranges are settled.
    fn merge_acked(&mut self, service: &ServiceName) {
        let Some(StoredShards { revision, record }) = self.stored.get(service).cloned() else {
            return;
        };
        let acked = self.acked.entry(service.clone()).or_default();
        // Drops acknowledgements of entries that the record shows as settled, or no longer contains
        // with the same token and a first key within the range.
        acked.retain(|(range, token)| {
            record.entries.iter().any(|it| {
                !it.is_settled() && it.holder.token == *token && range.contains(it.range.first)
            })
        });
        let record = match acked.is_empty() {
            true => record,
            false => {
                let mut merged = (*record).clone();
                for (range, token) in acked {
                    merged.settle(*range, *token);
                }
                Arc::new(merged)
            }
        };
        self.snapshot.shards.insert(service.clone(), StoredShards { revision, record });
    }

    /// The shard record as stored, in which acknowledged ranges may not be settled yet.
    pub fn stored_shards(&self, service: &ServiceName) -> Option<StoredShards> {
        self.stored.get(service).cloned()
    }

    /// Sets the assigner's record that this process has just written, unless the cached one is as
    /// new.
    pub fn set_assigner(&mut self, assigner: StoredAssigner) {
        if assigner.revision > self.snapshot.assigner_revision {
            let StoredAssigner { revision, record } = &assigner;
            let value = Some(encode_record(record));
            let (name, revision) = (ASSIGNER_RECORD.to_owned(), *revision);
            self.changes.push(ChangeEvent::Record { name, revision, value });
            self.snapshot.assigner_revision = revision;
            self.snapshot.assigner = Some(assigner);
        }
    }
}

fn decode_record<T: DeserializeOwned>(name: &str, value: &Bytes, log: &Logger) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(it) => Some(it),
        Err(err) => {
            warn!(log, "record-unreadable"; "record" => name, "cause" => %err);
            None
        }
    }
}
