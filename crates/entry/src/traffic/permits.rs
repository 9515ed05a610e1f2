//! Permits for requests to servers that have named the rate that they take from all VMs together.

use policy::{KeeperRank, PermitDecision, permit_keepers};

use super::*;
use crate::{PeerDatagram, PermitRequest};

/// Time after a keeper's silence before the next call for a permit for the same server.
const SILENCE_DELAY: Duration = Duration::from_millis(50);

/// Who decides on a permit, and where.
enum PermitSource {
    /// This process.
    Own(KeeperRank),
    /// Another VM.
    Peer(KeeperRank, VmName, SocketAddr),
}

impl<F: ServerFormat> TrafficServer<F> {
    /// Gets a permit for the request and waits until it may be sent, or notes when the server takes the
    /// next one.
    pub(super) async fn obtain_permit(
        &self,
        request: &mut RequestState,
        server: &CachedServer,
        max_wait: Duration,
    ) {
        match self.decide_permit(server, max_wait).await {
            PermitDecision::Granted(wait) => {
                sleep(wait).await;
                request.permit = Some(server.instance());
            }
            PermitDecision::Denied(wait) => {
                let now = self.clock.now();
                let mut state = self.state.borrow_mut();
                current_stats(&mut state.server_stats, server).next_permit_at = now + wait;
            }
        }
    }

    async fn decide_permit(&self, server: &CachedServer, max_wait: Duration) -> PermitDecision {
        let called_at = self.clock.now();
        let backpressure = self.backpressure_of(server);
        let Some(max_rate) = backpressure.max_rate() else {
            return PermitDecision::Granted(Duration::ZERO);
        };
        let snapshot = self.channel.current();
        let ServerEntry { name, born, .. } = &*server.entry;
        let (rank, vm, address) = match self.permit_source(server, &snapshot, called_at) {
            PermitSource::Own(rank) => {
                let rate = rank.rate(max_rate, snapshot.n_sharing_vms());
                let mut keeper = self.permit_keeper.lock();
                return keeper.decide(name, *born, rank, rate, max_wait, called_at);
            }
            PermitSource::Peer(rank, vm, address) => (rank, vm, address),
        };
        let own = self.settings.load().reports;
        let update = ServerBackpressure::new(name, *born, &backpressure, called_at);
        let make = |id| PeerDatagram::PermitRequest(PermitRequest::new(id, update, rank, max_wait));
        let decision = match self.permit_client.call(address, own, make).await {
            Some(PeerDatagram::PermitReply(reply)) => Some(reply.decision),
            _ => None,
        };
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        match decision {
            Some(decision) => {
                state.keeper_health.note_answer(&vm);
                decision
            }
            None => {
                state.keeper_health.note_silence(&vm, called_at, now);
                info!(self.log, "permit-call-failed"; "server" => %name, "keeper" => %vm,
                    "is_avoided" => state.keeper_health.is_avoided(&vm, now));
                PermitDecision::Denied(max_wait + SILENCE_DELAY)
            }
        }
    }

    /// The first keeper of the server's schedule that is not avoided, or this process.
    fn permit_source(
        &self,
        server: &CachedServer,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> PermitSource {
        let own = &self.settings.load().vm;
        let routers = snapshot.vms.iter().map(|(vm, it)| (vm, it.domain == server.entry.domain));
        let keepers = permit_keepers(&server.entry.name, routers);
        let state = self.state.borrow();
        for (rank, keeper) in [KeeperRank::First, KeeperRank::Second].into_iter().zip(keepers) {
            match keeper.and_then(|it| snapshot.vms.get_key_value(it)) {
                Some((vm, _)) if vm == own => return PermitSource::Own(rank),
                Some((vm, it)) if !state.keeper_health.is_avoided(vm, now) => {
                    return PermitSource::Peer(rank, vm.clone(), it.reports);
                }
                _ => (),
            }
        }
        PermitSource::Own(KeeperRank::Alone)
    }
}
