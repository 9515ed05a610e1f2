//! Order tasks that run concurrently with the rounds: grant renewals and moves of key ranges.

use super::{order_state::UnansweredGrant, *};

/// Hold time of a grant whose only purpose is to fence off earlier grants.
const FENCE_HOLD: Duration = Duration::from_millis(1_000);

/// Timeout of a release, after which it is sent again.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Delay between attempts at an order.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Why a holder that must give up keys counts as holding them no longer.
#[derive(Debug, Clone, Copy, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum RevokeProof {
    /// The server has answered the release.
    Released,
    /// All grants of which the assigner knows have expired.
    HoldLapsed,
    /// Another server has answered at its address.
    OtherServerAnswered,
}

/// Sends the orders of one task; clones of the assigner's handles, for one service.
pub(super) struct OrderExecutor<F> {
    pub(super) orders: OrderSender<F>,
    pub(super) state: Rc<RefCell<OrderState>>,
    pub(super) clock: ProcessClock,
    pub(super) sender: mpsc::UnboundedSender<OrderEvent>,
    pub(super) service: ServiceName,
    pub(super) hold: Duration,
    pub(super) log: Logger,
}

impl<F: ServerFormat> OrderExecutor<F> {
    fn may_order(&self, entry: &ShardEntry) -> bool {
        self.state.borrow().may_order(&self.service, entry, self.clock.now())
    }

    /// Sends a grant that `entry` requires, unless its token is spent or it no longer may when a
    /// connection is open. Records when the grant expires, and that it may still take effect if it is
    /// not answered.
    async fn send_grant(
        &self,
        entry: &ShardEntry,
        instance: &ServerInstance,
        order: GrantOrder<'_>,
    ) -> OrderOutcome {
        let spent_token = (self.service.clone(), order.token);
        let is_first = order.kind == GrantKind::First;
        if is_first && self.state.borrow().spent_tokens.contains(&spent_token) {
            return OrderOutcome::TokenSpent;
        }
        let may_send = |now: MonoTime| {
            let mut state = self.state.borrow_mut();
            let may_send = state.may_order(&self.service, entry, now);
            if may_send {
                state.record_sent(instance, order.hold, now);
            }
            may_send
        };
        let res = self.orders.grant(instance, order, may_send).await;
        let GrantOrder { range, token, hold, .. } = order;
        let now = self.clock.now();
        let arrived_at = match &res {
            OrderOutcome::NotSent(_)
            | OrderOutcome::LineLost
            | OrderOutcome::TokenSpent
            | OrderOutcome::Withdrawn => None,
            OrderOutcome::Silent(_) => Some(now + TRANSIT_MARGIN),
            _ => Some(now),
        };
        let mut state = self.state.borrow_mut();
        state.record_ended(instance, hold, arrived_at);
        match (&res, arrived_at) {
            (OrderOutcome::Done(_), _) => state.record_ack(instance, range, token),
            (OrderOutcome::Silent(_), Some(arrived_at)) => {
                let until = hold_end(arrived_at, hold);
                state.record_unanswered(instance, UnansweredGrant { range, token, until });
                state.spent_tokens.insert(spent_token);
            }
            (OrderOutcome::Gone, _) => _ = state.ended.insert(instance.clone()),
            _ => (),
        }
        res
    }

    /// Sends a grant; returns `None` without sending it if the lease is no longer valid or the
    /// current record does not contain the grant.
    pub(super) async fn grant(
        &self,
        entry: &ShardEntry,
        handover: Option<&str>,
        kind: GrantKind,
    ) -> Option<OrderOutcome> {
        let ShardHolder { instance, token } = &entry.holder;
        let (range, token, hold) = (entry.range, *token, self.hold);
        let lock = self.state.borrow_mut().grant_lock(instance);
        let _guard = lock.lock().await;
        let started_at = self.clock.now();
        if !self.may_order(entry) {
            return None;
        }
        let order = GrantOrder { range, token, hold, handover, kind };
        let res = self.send_grant(entry, instance, order).await;
        let may_have_arrived = matches!(res, OrderOutcome::Done(_) | OrderOutcome::Silent(_));
        if kind == GrantKind::First && may_have_arrived {
            info!(self.log, "keys-granted"; "service" => %self.service,
                "first" => range.first, "last" => range.last, "server" => %instance.server,
                "born" => instance.born, "address" => %instance.address, "token" => token,
                "hold_ms" => hold.as_millis() as u64,
                "took_ms" => self.clock.now().since(started_at).as_millis() as u64,
                "lease_revision" => self.lease_revision(), "end" => ?res);
        }
        match res {
            OrderOutcome::Withdrawn => return None,
            OrderOutcome::Done(_) => {
                let key = (self.service.clone(), range, token);
                self.state.borrow_mut().acked.insert(key);
            }
            _ => (),
        }
        Some(res)
    }

    /// Grants the moving keys to their old holder for a short time under the token reserved for
    /// this, so that the server rejects earlier grants that are still unanswered. Returns whether
    /// the server acknowledged.
    pub(super) async fn fence_unanswered_grants(
        &self,
        entry: &ShardEntry,
        instance: &ServerInstance,
        token: u64,
    ) -> bool {
        let lock = self.state.borrow_mut().grant_lock(instance);
        let _guard = lock.lock().await;
        let (range, kind) = (entry.range, GrantKind::First);
        let order = GrantOrder { range, token, hold: FENCE_HOLD, handover: None, kind };
        let res = self.send_grant(entry, instance, order).await;
        // No other earlier holder may get the same token.
        self.state.borrow_mut().spent_tokens.insert((self.service.clone(), token));
        info!(self.log, "unanswered-grants-fenced"; "service" => %self.service,
            "first" => range.first, "last" => range.last, "server" => %instance.server,
            "born" => instance.born, "address" => %instance.address, "token" => token,
            "hold_ms" => FENCE_HOLD.as_millis() as u64, "lease_revision" => self.lease_revision(),
            "end" => ?res);
        matches!(res, OrderOutcome::Done(_))
    }

    /// Renews a server's grants one after the other, up to the first that fails.
    pub(super) async fn renew(&self, instance: &ServerInstance, entries: Vec<ShardEntry>) {
        for entry in entries {
            let key = (self.service.clone(), entry.range, entry.holder.token);
            // An acknowledgement for other keys proves as well that the instance knows the token.
            let is_known =
                self.state.borrow().acked.iter().any(|it| it.0 == key.0 && it.2 == key.2);
            let kind = if is_known { GrantKind::Renewal } else { GrantKind::First };
            match self.grant(&entry, None, kind).await {
                Some(OrderOutcome::Done(_)) => (),
                None => return,
                Some(outcome) => {
                    warn!(self.log, "grant-failed"; "server" => %instance.server,
                        "first" => entry.range.first, "last" => entry.range.last,
                        "token" => entry.holder.token, "end" => ?outcome);
                    if outcome.needs_token() {
                        self.request_token(TokenRequest::Settled(instance.clone()));
                    }
                    return;
                }
            }
        }
    }

    /// Moves the keys of `entry`: revokes them from each leaving holder, then grants them to the new
    /// one.
    ///
    /// A later run of the holder in the list of servers proves nothing. It may have been granted the
    /// keys in place of the earlier run, and a late write can show an earlier run again.
    pub(super) async fn hand_over(&self, entry: &ShardEntry) {
        let spent_token = (self.service.clone(), entry.holder.token);
        if self.state.borrow().spent_tokens.contains(&spent_token) {
            return self.request_token(TokenRequest::Moving(entry.holder.token));
        }
        let mut handover = None;
        for holder in &entry.leaving {
            // The token just below the new one is not assigned to anyone.
            let fence_token = entry.holder.token - 1;
            let Some(received) = self.revoke(entry, holder, fence_token).await else {
                return;
            };
            handover = received.or(handover);
        }
        loop {
            match self.grant(entry, handover.as_deref(), GrantKind::First).await {
                Some(OrderOutcome::Done(_)) => break,
                None => return,
                Some(outcome) => {
                    warn!(self.log, "move-grant-failed"; "server" => %entry.holder.instance.server,
                        "token" => entry.holder.token, "end" => ?outcome);
                    if outcome.needs_token() {
                        return self.request_token(TokenRequest::Moving(entry.holder.token));
                    }
                    sleep(ORDER_RETRY_DELAY).await;
                }
            }
        }
        let (service, range, token) = (self.service.clone(), entry.range, entry.holder.token);
        let _ = self.sender.send(OrderEvent::Granted { service, range, token });
    }

    fn request_token(&self, keys: TokenRequest) {
        let service = self.service.clone();
        let _ = self.sender.send(OrderEvent::NeedsToken { service, keys });
    }

    /// Waits until `holder` has released the keys of `entry`, its grants have expired, or its
    /// instance has ended. `fence_token` fences off grants of the keys that are still unanswered.
    /// Returns the hand-over data of a release, or `None` if the lease was lost meanwhile or the
    /// record no longer has the move.
    pub(super) async fn revoke(
        &self,
        entry: &ShardEntry,
        holder: &ShardHolder,
        fence_token: u64,
    ) -> Option<Option<String>> {
        let (range, instance) = (entry.range, &holder.instance);
        let (mut is_fenced, mut is_logged) = (false, false);
        loop {
            if !self.may_order(entry) {
                return None;
            }
            let now = self.clock.now();
            let unanswered = self.state.borrow_mut().unanswered_until(instance, range, now);
            if unanswered.is_some() && !is_fenced {
                is_fenced = self.fence_unanswered_grants(entry, instance, fence_token).await;
            }
            if self.state.borrow().ended.contains(instance) {
                self.log_revoked(range, holder, RevokeProof::OtherServerAnswered);
                return Some(None);
            }
            let hold_end = self.state.borrow().hold_end(&self.service, range, holder);
            if self.clock.now() >= hold_end {
                self.log_revoked(range, holder, RevokeProof::HoldLapsed);
                return Some(None);
            }
            let now = self.clock.now();
            let earlier_arrival =
                self.state.borrow().earlier_arrival(&self.service, range, holder, now);
            if let Some(at) = earlier_arrival {
                // A release that a grant of an earlier lease followed would prove nothing.
                sleep(at.since(now)).await;
                continue;
            }
            // Waits for a grant in flight, so that the release does not overtake it.
            let lock = self.state.borrow_mut().grant_lock(instance);
            drop(lock.lock().await);
            // A silent server must not delay the end of this wait beyond that of its grants.
            let max_wait = RELEASE_TIMEOUT.min(hold_end.since(self.clock.now()));
            let may_send = |now| self.state.borrow().may_order(&self.service, entry, now);
            // A release under the reserved token also makes the server reject grants of earlier leases
            // that take effect late.
            match self.orders.release(instance, range, fence_token, max_wait, may_send).await {
                OrderOutcome::Done(handover) => {
                    let now = self.clock.now();
                    // An unanswered grant may still reach the server after the release.
                    let until = self.state.borrow_mut().unanswered_until(instance, range, now);
                    if let Some(until) = until {
                        sleep(until.since(now)).await;
                    }
                    self.log_revoked(range, holder, RevokeProof::Released);
                    return Some(handover);
                }
                OrderOutcome::Gone => _ = self.state.borrow_mut().ended.insert(instance.clone()),
                outcome if !is_logged => {
                    is_logged = true;
                    info!(self.log, "release-failed"; "server" => %instance.server,
                        "token" => holder.token, "end" => ?outcome);
                }
                _ => (),
            }
            sleep(ORDER_RETRY_DELAY.min(hold_end.since(self.clock.now()))).await;
        }
    }

    /// Logs on what grounds `holder` counts as holding `range` no longer.
    fn log_revoked(&self, range: KeyRange, holder: &ShardHolder, proof: RevokeProof) {
        let instance = &holder.instance;
        let end = self.state.borrow().hold_end(&self.service, range, holder);
        info!(self.log, "keys-revoked"; "service" => %self.service,
            "first" => range.first, "last" => range.last, "server" => %instance.server,
            "born" => instance.born, "address" => %instance.address, "token" => holder.token,
            "proof" => %proof, "hold_left_ms" => end.since(self.clock.now()).as_millis() as u64,
            "lease_revision" => self.lease_revision());
    }

    fn lease_revision(&self) -> u64 {
        self.state.borrow().lease.map_or(0, |it| it.revision)
    }
}
