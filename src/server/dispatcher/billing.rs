//! Final answers by way of the ledger, where there is one. No answer leaves before it is billed.

use super::*;

impl Dispatcher {
    /// Sends the final answer, by way of the ledger if there is one.
    pub(super) fn finally(&mut self, id: RequestId, handle: ReplyHandle, answer: Response, pool_ms: f64) {
        if self.ledger.is_none() {
            return self.send(handle, answer);
        }
        let now = self.clock.now();
        let Some(request) = self.requests.get_mut(&id) else { return self.send(handle, answer) };
        let late = now - request.reached > self.set.classes[request.class].latency_objective_ms;
        let (outcome, bytes_out) = match &answer {
            Response::Completed(body) if request.poorer => (Billed::Degraded, body.len()),
            Response::Completed(body) if late => (Billed::CompletedLate, body.len()),
            Response::Completed(body) => (Billed::Completed, body.len()),
            Response::Rejected { .. } => (Billed::Rejected, 0),
            Response::Failed | Response::Invalid | Response::Health(_) => (Billed::Failed, 0),
        };
        request.billed = Some(outcome);
        let used =
            RequestUsage { class: request.class, outcome, pool_ms, bytes_in: request.body.len(), bytes_out };
        let account = request.account.clone();
        self.bill(account.as_ref(), &used, handle, answer);
    }

    /// Sends an answer once it is billed, if answers are.
    pub(super) fn bill(
        &mut self,
        account: Option<&Rc<str>>,
        used: &RequestUsage,
        handle: ReplyHandle,
        answer: Response,
    ) {
        let now = self.clock.now();
        let free = match &mut self.ledger {
            Some(ledger) => ledger.bill(now, account, used, handle, answer),
            None => Some((handle, answer)),
        };
        if let Some((handle, answer)) = free {
            self.send(handle, answer);
        }
    }

    /// Bills what has no answer: a request that was withdrawn, or with none what its run used after it was billed.
    pub(super) fn bill_silent(&mut self, id: RequestId, withdrawn: bool, pool_ms: f64) {
        let (now, Some(ledger)) = (self.clock.now(), &mut self.ledger) else { return };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let outcome = if withdrawn { Billed::Cancelled } else { request.billed.unwrap_or(Billed::Cancelled) };
        request.billed = Some(outcome);
        let bytes_in = if withdrawn { request.body.len() } else { 0 };
        let used = RequestUsage { class: request.class, outcome, pool_ms, bytes_in, bytes_out: 0 };
        ledger.bill_without_reply(now, request.account.as_ref(), &used, u64::from(withdrawn));
    }

    pub(super) fn on_ledger(&mut self, message: UsageMessage) {
        let now = self.clock.now();
        self.with_ledger(|ledger| match message {
            UsageMessage::StoreProgress(progress) => ledger.on_store_progress(now, progress),
            UsageMessage::AppendEntry { kind, tag } => ledger.append_entry(now, kind, tag),
            UsageMessage::ReleaseLines { before, state } => ledger.release_lines(before, state),
            UsageMessage::ClosePeriods { tag } => ledger.close_periods(now, tag),
        });
    }

    /// Does something with the ledger; health follows if it no longer takes lines, or does again.
    pub(super) fn with_ledger(&mut self, act: impl FnOnce(&mut Billing)) {
        let Some(ledger) = &mut self.ledger else { return };
        let before = ledger.accepts_requests();
        act(ledger);
        if ledger.accepts_requests() != before {
            let health = self.health();
            let _ = self.peers.catalog.try_send(RegistryMessage::SetHealth(health));
        }
    }

    /// After each event: what was billed goes to the store if that has nothing to do, and what the store has let go
    /// leaves.
    pub(super) fn turn_ledger(&mut self) {
        let (now, Some(ledger)) = (self.clock.now(), &mut self.ledger) else { return };
        ledger.flush_if_due(now);
        let free: Vec<(ReplyHandle, Response)> = ledger.take_ready_replies().collect();
        for (handle, answer) in free {
            self.send(handle, answer);
        }
    }
}
