//! What the core hears: from the fronts, the worker pool, the index and its own timers. Each becomes an event of the
//! module, at once and in order.

use super::*;

impl Dispatcher {
    pub(super) fn on_arrive(&mut self, incoming: IncomingRequest) {
        self.start(None);
        let now = self.clock.now();
        let IncomingRequest {
            id,
            attempt: call,
            class,
            received_at: reached,
            request_kb,
            priority,
            key,
            timeout_ms,
            tenant,
            account,
            shareable,
            body,
            reply: handle,
        } = incoming;
        let reached = reached.min(now + AHEAD_MS);
        // A try's name is new with every try; the same name again can't be told apart in the worker pool.
        if self.calls.contains_key(&call) {
            return self.send(handle, Response::Invalid);
        }
        let key: Option<Rc<[u8]>> = key.map(Rc::from);
        let print = key.as_ref().map_or(0, |_| self.prints.hash_one(&body));
        let room = key.as_ref().is_none_or(|k| self.keys.has_room(k));
        let full = self.requests.len() >= self.bounds.requests || !room;
        let billable = self.ledger.as_ref().is_none_or(|l| l.accepts_requests());
        if full || !billable {
            let again = if billable || !self.set.retry_after { 0.0 } else { UNBILLED_RETRY_MS };
            let retry_after_ms = again.min(self.set.max_retry_after_ms);
            // Some try of it was run or yet may be: to turn this one away would promise that it never ran.
            let known = key.as_ref().is_some_and(|k| self.keys.lookup(k, print, reached) != Lookup::New);
            let (outcome, answer) = match known {
                true => (Billed::Failed, Response::Failed),
                false => (Billed::Rejected, Response::Rejected { retry_after_ms, do_not_retry: false }),
            };
            let used = RequestUsage { class, outcome, pool_ms: 0.0, bytes_in: body.len(), bytes_out: 0 };
            return self.bill(account.as_ref(), &used, handle, answer);
        }
        let prior = match key.as_ref().map(|k| self.keys.arrive(k, class, print, id, reached)) {
            None | Some(Lookup::New) => None,
            Some(Lookup::DuplicateOf(prior)) => Some(prior),
            // All tries of one request carry the same body. A key with another body is no try of it: that run's
            // result is not this one's answer, and to run it would break the promise of the key.
            Some(Lookup::BodyMismatch) => return self.send(handle, Response::Invalid),
            // It came in the window of a run and was read long after: it may not run, and that run's result is gone.
            Some(Lookup::Expired) => {
                let used = RequestUsage {
                    class,
                    outcome: Billed::Failed,
                    pool_ms: 0.0,
                    bytes_in: body.len(),
                    bytes_out: 0,
                };
                return self.bill(account.as_ref(), &used, handle, Response::Failed);
            }
        };
        let request = Request {
            call,
            class,
            key,
            print,
            reached,
            body: body.into(),
            account,
            poorer: false,
            billed: None,
            handle: Some(handle),
            stage: Stage::Held,
            asked: Vec::new(),
        };
        self.requests.insert(id, request);
        self.calls.insert(call, id);
        self.tell(Event::Arrival(Arrival {
            id,
            class,
            shareable,
            request_kb,
            priority,
            age_ms: (now - reached).max(0.0),
            tenant,
            deadline: timeout_ms.map(|timeout_ms| reached + timeout_ms),
            duplicate_of: prior,
            ..Arrival::default()
        }));
    }

    pub(super) fn on_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.handle.take().is_none() {
            return;
        }
        if self.ledger.is_some() {
            self.bill_silent(id, true, 0.0);
        }
        self.stop_call(id);
        self.drop_idle(id);
        self.tell(Event::ClientGone(id));
    }

    /// A request that is over and holds no core and stands at no call leaves the ledger at once.
    pub(super) fn drop_idle(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if matches!(request.stage, Stage::Held | Stage::Paused | Stage::Reusing(_)) {
            self.remove(id);
        }
    }

    /// Takes a request out of the ledger; the entry of one that never ran goes with it.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.calls.remove(&request.call);
        if let Some(key) = &request.key {
            self.keys.finish_attempt(key, id);
        }
        Some(request)
    }

    pub(super) fn on_report(&mut self, report: PoolEvent) {
        match report {
            PoolEvent::Started { cold, ago_ms } => self.start(Some((cold, ago_ms))),
            PoolEvent::Restarted => self.on_new_pool(),
            PoolEvent::LinkUp(link) => self.on_link(link),
            PoolEvent::LinkDown => self.link = None,
            PoolEvent::Gauges { tag, values } => {
                let mut gauges = Gauges::default();
                for (name, value) in self.gauge_names.iter().zip(values) {
                    crate::config::set_gauge(&mut gauges, name, value);
                }
                self.fire(tag, gauges);
            }
            PoolEvent::UpstreamCallNeeded { attempt: call, seq, body } => {
                let Some(id) = self.known(call) else { return };
                if let Some(request) = self.requests.get_mut(&id) {
                    request.asked.clear();
                    request.stage = Stage::AtCall(seq, body.into());
                    self.tell(Event::UpstreamCallNeeded(id));
                }
            }
            PoolEvent::RunEnded { attempt: call, end, took_ms, body } => {
                let Some(id) = self.known(call) else { return };
                self.on_finished(id, end, took_ms, body);
            }
            PoolEvent::CommandRejected { command, attempt: call } => {
                self.not_done += 1;
                if self.not_done <= MAX_NOTES {
                    warn!(self.log, "worker pool rejected a command"; "command" => %command);
                }
                let id = self
                    .calls
                    .get(&call)
                    .copied()
                    .filter(|_| matches!(command, RejectedCommand::Run | RejectedCommand::Resume));
                if let Some(id) = id {
                    // It will never end by itself. What the pool does not know never ran: it is no failing run, by
                    // which the module would take the machine for sick, and leaves its key free for true tries.
                    let end = if command == RejectedCommand::Run {
                        RunOutcome::NotStarted
                    } else {
                        RunOutcome::Failed
                    };
                    self.on_finished(id, end, 0.0, Vec::new());
                }
            }
        }
    }

    pub(super) fn known(&self, call: u64) -> Option<RequestId> {
        // What was given up while it was paused is no longer in the ledger.
        self.calls.get(&call).copied()
    }

    /// A new worker pool. What was asked of the one before it may have run there; only what may run twice is asked again.
    pub(super) fn on_new_pool(&mut self) {
        let over = |r: &Request| match r.stage {
            Stage::Held | Stage::Reusing(_) => false,
            _ => !r.start_asked() || self.set.classes[r.class].retry_safety != RetrySafety::Idempotent,
        };
        let over: Vec<RequestId> = self.requests.iter().filter(|(_, r)| over(r)).map(|(id, _)| *id).collect();
        warn!(self.log, "runs ended with the worker pool"; "runs" => over.len());
        over.into_iter().for_each(|id| self.on_finished(id, RunOutcome::Failed, 0.0, Vec::new()));
    }

    /// A new link: all that may have been lost with the old one is asked again.
    pub(super) fn on_link(&mut self, link: u64) {
        self.link = Some(link);
        let asked: Vec<PoolCommand> = self.requests.values().flat_map(|r| r.asked.iter().cloned()).collect();
        info!(self.log, "worker pool link is up"; "asked_again" => asked.len());
        asked.into_iter().for_each(|command| self.order(LinkCommand { link, command }));
    }

    pub(super) fn on_finished(&mut self, id: RequestId, end: RunOutcome, took_ms: f64, body: Vec<u8>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        // "Nothing was started" says that a run never was only while its start is the last thing asked: what was cut at
        // a call and asked to go on has run, and its key must not be free for a second run.
        let end =
            if end == RunOutcome::NotStarted && !request.start_asked() { RunOutcome::Failed } else { end };
        request.asked.clear();
        let owed = request.handle.is_some();
        if end == RunOutcome::Stopped && owed && self.set.preemption != Preemption::Off {
            let held = self.set.preemption == Preemption::Abort;
            request.stage = if held { Stage::Held } else { Stage::Paused };
            return self.tell(Event::RunEnded { id, outcome: Outcome::Cancelled, took_ms });
        }
        let handle = request.handle.take();
        self.stop_call(id);
        let result: Option<Rc<[u8]>> = (end == RunOutcome::Completed).then(|| body.into());
        let (outcome, answer) = match (&result, end) {
            (Some(body), _) => (Outcome::Ok, Response::Completed(body.clone())),
            (None, RunOutcome::NotStarted) => (Outcome::NotStarted, Response::Failed),
            (None, RunOutcome::Stopped) => (Outcome::Cancelled, Response::Failed),
            (None, _) => (Outcome::Error, Response::Failed),
        };
        match handle {
            Some(handle) => self.finally(id, handle, answer, took_ms),
            None if self.ledger.is_some() => self.bill_silent(id, false, took_ms),
            None => {}
        }
        if let Some(key) = self.requests.get(&id).and_then(|r| r.key.clone()) {
            let ending = match result {
                Some(result) => RunResult::Completed(result),
                None if end == RunOutcome::NotStarted => RunResult::NotStarted,
                None => RunResult::Failed,
            };
            let ended = self.keys.finish_run(&key, id, ending);
            ended.waiters.into_iter().for_each(|w| self.end_reuse(w, ended.result.clone()));
        }
        self.remove(id);
        self.tell(Event::RunEnded { id, outcome, took_ms });
    }

    /// A try that waited for another's result gets it, or the failure.
    pub(super) fn end_reuse(&mut self, id: RequestId, result: Option<Rc<[u8]>>) {
        let now = self.clock.now();
        let since = match self.requests.get(&id).map(|r| &r.stage) {
            Some(Stage::Reusing(since)) => *since,
            _ => return,
        };
        let outcome = if result.is_some() { Outcome::Ok } else { Outcome::Error };
        self.answer(id, result.map_or(Response::Failed, Response::Completed));
        self.remove(id);
        self.events.push_back(Event::RunEnded { id, outcome, took_ms: now - since });
    }

    pub(super) fn on_call_ended(&mut self, id: RequestId, outcome: Outcome, body: Vec<u8>, took_ms: f64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Stage::Calling(seq, ask) = &request.stage else { return };
        if outcome == Outcome::Ok {
            request.stage = Stage::Running;
            let call = request.call;
            self.ask(id, PoolCommand::UpstreamReply { attempt: call, body: body.into() });
        } else {
            request.stage = Stage::AtCall(*seq, ask.clone());
        }
        self.tell(Event::UpstreamCallEnded { id, outcome, took_ms });
    }

    /// A timer comes with the gauges. If those are late, or there is no link, it still comes.
    pub(super) fn on_timer(&mut self, token: u64) {
        self.tags += 1;
        let tag = self.tags;
        if let Some((older, _)) = self.asking {
            self.fire(older, Gauges::default());
        }
        self.asking = Some((tag, token));
        match self.link {
            Some(link) => {
                self.order(LinkCommand { link, command: PoolCommand::ReadGauges { tag } });
                self.later(GAUGES_LATE_MS, DispatcherMessage::GaugesTimedOut(tag));
            }
            None => self.fire(tag, Gauges::default()),
        }
    }

    pub(super) fn fire(&mut self, tag: u64, gauges: Gauges) {
        if let Some((_, token)) = self.asking.take_if(|(asked, _)| *asked == tag) {
            self.tell(Event::Timer { token, gauges });
        }
    }

    /// Changes of settings come in force: in the module, or for its start if that is yet to come.
    pub(super) fn on_reconfigured(&mut self, reconfigured: Reconfigured) {
        let Reconfigured { changes, done } = reconfigured;
        match self.policy {
            Some(_) => self.tell(Event::Reconfigured(Box::new(changes))),
            None => self.set.reconfigure(&changes),
        }
        // Whoever asked waits for it.
        let _ = done.try_send(());
    }

    /// Frees the entries whose time is up, once no try that they cover can still be read.
    pub(super) fn on_sweep(&mut self) {
        self.later(SWEEP_MS, DispatcherMessage::SweepKeys);
        (self.notes, self.not_done) = (0, 0);
        self.keys.sweep(self.clock.now());
    }
}
