//! Orders that run beside the rounds: renewals, and moves from release to grant.

use super::{order_book::UnansweredGrant, *};

/// How long a grant holds that only fences earlier ones off.
const FENCE_HOLD: Duration = Duration::from_millis(1_000);

/// Longest wait for one release before it is sent again.
const RELEASE_PATIENCE: Duration = Duration::from_millis(3_000);

/// Pause between attempts at one order.
const ORDER_PAUSE: Duration = Duration::from_millis(200);

/// What a task needs to send orders.
pub(super) struct OrderRun<F> {
    pub(super) orders: OrderSender<F>,
    pub(super) book: Rc<RefCell<OrderBook>>,
    pub(super) clock: ProcessClock,
    pub(super) sender: mpsc::UnboundedSender<OrderNews>,
    pub(super) service: ServiceName,
    pub(super) hold: Duration,
    pub(super) log: Logger,
}

impl<F: ServerFormat> OrderRun<F> {
    pub(super) fn is_authorised(&self) -> bool {
        let now = self.clock.now();
        self.book.borrow().lease.is_some_and(|it| it.is_sure(now))
    }

    /// Sends one grant, if this process still holds the lease.
    pub(super) async fn grant(
        &self,
        entry: &ShardEntry,
        handover: Option<&str>,
        kind: GrantKind,
    ) -> Option<OrderEnd> {
        let holder = &entry.holder;
        let lock = self.book.borrow_mut().grant_lock(&holder.instance);
        let _guard = lock.lock().await;
        if !self.is_authorised() || !self.book.borrow().calls_for(&self.service, entry) {
            return None;
        }
        let end = hold_end(self.clock.now(), self.hold);
        let note_sent = || {
            let mut book = self.book.borrow_mut();
            let free_at = book.free_at.entry(holder.instance.clone()).or_default();
            *free_at = (*free_at).max(end);
        };
        let res = self
            .orders
            .grant(
                &holder.instance,
                entry.range,
                holder.token,
                self.hold,
                handover,
                kind,
                note_sent,
            )
            .await;
        let mut book = self.book.borrow_mut();
        let (range, token) = (entry.range, holder.token);
        match res {
            OrderEnd::Done(_) => {
                book.acked.insert((self.service.clone(), range, token));
                book.note_acked(&holder.instance, range, token);
            }
            OrderEnd::Silent(_) => {
                book.note_unanswered(
                    &holder.instance,
                    UnansweredGrant { range, token, until: end },
                );
            }
            OrderEnd::Gone => _ = book.gone.insert(holder.instance.clone()),
            _ => (),
        }
        drop(book);
        Some(res)
    }

    /// Grants the keys of a move for a short time under the token kept for it, so that the server
    /// refuses earlier grants that it has not answered; tells whether it acknowledged.
    pub(super) async fn fence(
        &self,
        range: KeyRange,
        instance: &ServerInstance,
        token: u64,
    ) -> bool {
        let lock = self.book.borrow_mut().grant_lock(instance);
        let _guard = lock.lock().await;
        if !self.is_authorised() {
            return false;
        }
        let until = hold_end(self.clock.now(), FENCE_HOLD);
        let res = self
            .orders
            .grant(instance, range, token, FENCE_HOLD, None, GrantKind::First, || ())
            .await;
        let mut book = self.book.borrow_mut();
        match res {
            OrderEnd::Done(_) => book.note_acked(instance, range, token),
            OrderEnd::Silent(_) => {
                book.note_unanswered(instance, UnansweredGrant { range, token, until });
            }
            _ => (),
        }
        let free_at = book.free_at.entry(instance.clone()).or_default();
        *free_at = (*free_at).max(until);
        drop(book);
        info!(self.log, "unanswered-grants-fenced"; "server" => %instance.server, "token" => token,
            "end" => ?res);
        matches!(res, OrderEnd::Done(_))
    }

    pub(super) async fn renew(&self, instance: &ServerInstance, entries: Vec<ShardEntry>) {
        for entry in entries {
            let key = (self.service.clone(), entry.range, entry.holder.token);
            let is_known = self.book.borrow().acked.iter().any(|it| it.0 == key.0 && it.2 == key.2);
            let kind = if is_known { GrantKind::Renewal } else { GrantKind::First };
            match self.grant(&entry, None, kind).await {
                Some(OrderEnd::Done(_)) => (),
                None => return,
                Some(end) => {
                    warn!(self.log, "grant-failed"; "server" => %instance.server,
                        "first" => entry.range.first, "last" => entry.range.last,
                        "token" => entry.holder.token, "end" => ?end);
                    if matches!(end, OrderEnd::LineLost | OrderEnd::Superseded) {
                        let (service, instance) = (self.service.clone(), instance.clone());
                        let _ = self.sender.send(OrderNews::NeedsToken { service, instance });
                    }
                    return;
                }
            }
        }
    }

    pub(super) async fn hand_over(&self, entry: &ShardEntry, dead: &[ServerInstance]) {
        let mut handover = None;
        for holder in &entry.leaving {
            if dead.iter().any(|it| it.is_same(&holder.instance)) {
                continue;
            }
            let fence = entry.holder.token - 1;
            let Some(told) = self.free(entry.range, holder, fence).await else {
                return;
            };
            handover = told.or(handover);
        }
        let mut kind = GrantKind::First;
        loop {
            match self.grant(entry, handover.as_deref(), kind).await {
                Some(OrderEnd::Done(_)) => break,
                None => return,
                Some(end) => {
                    warn!(self.log, "move-grant-failed"; "server" => %entry.holder.instance.server,
                        "token" => entry.holder.token, "end" => ?end);
                    if end == OrderEnd::Superseded {
                        return;
                    }
                    kind = GrantKind::First;
                    sleep(ORDER_PAUSE).await;
                }
            }
        }
        let (service, range, token) = (self.service.clone(), entry.range, entry.holder.token);
        let _ = self.sender.send(OrderNews::Granted { service, range, token });
    }

    /// Waits until `instance` holds nothing of `range`; nothing when the lease is lost meanwhile.
    pub(super) async fn free(
        &self,
        range: KeyRange,
        holder: &ShardHolder,
        fence: u64,
    ) -> Option<Option<String>> {
        let instance = &holder.instance;
        let mut token = holder.token;
        let mut is_logged = false;
        loop {
            if !self.is_authorised() {
                return None;
            }
            let now = self.clock.now();
            if self.book.borrow_mut().unanswered_until(instance, range, now).is_some()
                && token < fence
                && self.fence(range, instance, fence).await
            {
                token = fence;
            }
            if self.book.borrow().gone.contains(instance) {
                return Some(None);
            }
            let free_at = self.book.borrow().free_at.get(instance).copied().unwrap_or_default();
            if self.clock.now() >= free_at {
                info!(self.log, "hold-lapsed"; "server" => %instance.server, "token" => token);
                return Some(None);
            }
            let lock = self.book.borrow_mut().grant_lock(instance);
            drop(lock.lock().await);
            match self.orders.release(instance, range, token, RELEASE_PATIENCE).await {
                OrderEnd::Done(handover) => {
                    let now = self.clock.now();
                    let until = self.book.borrow_mut().unanswered_until(instance, range, now);
                    if let Some(until) = until {
                        sleep(until.since(now)).await;
                    }
                    return Some(handover);
                }
                OrderEnd::Gone => _ = self.book.borrow_mut().gone.insert(instance.clone()),
                end if !is_logged => {
                    is_logged = true;
                    info!(self.log, "release-failed"; "server" => %instance.server, "token" => token,
                        "end" => ?end);
                }
                _ => (),
            }
            sleep(ORDER_PAUSE).await;
        }
    }
}
