//! What the module answers, carried out. The last guards stand here: a keyed request is never run again within its
//! window, and one that ran is never turned away.

use super::*;

impl Dispatcher {
    pub(super) fn carry_out(&mut self, now: f64, action: Action) {
        match action {
            Action::Run(id) => self.run_request(id),
            Action::Reject { id, retry_after_ms, do_not_retry } => {
                // Once run, a request with an effect can't be turned away: that would promise that it never ran. So it is
                // with every try of a key that has run.
                let ran = self.requests.get(&id).is_some_and(|r| {
                    let began = !matches!(r.stage, Stage::Held)
                        && self.set.classes[r.class].retry_safety != RetrySafety::Idempotent;
                    began || r.key.as_ref().is_some_and(|k| self.keys.has_run(k, r.reached))
                });
                let refused = Response::Rejected { retry_after_ms, do_not_retry };
                self.answer(id, if ran { Response::Failed } else { refused });
                self.drop_idle(id);
            }
            Action::Fail(id) => {
                self.answer(id, Response::Failed);
                self.drop_idle(id);
            }
            Action::ReuseResult(id) => self.reuse(now, id),
            Action::Preempt(id) => {
                if let Some(Request { call, stage: Stage::Running, .. }) = self.requests.get(&id) {
                    let call = *call;
                    self.ask(id, PoolCommand::Suspend { attempt: call });
                }
            }
            Action::ReserveKey { id, ttl_ms } => self.keep(now, id, ttl_ms),
            Action::ReleaseKey(id) => self.forget(id),
            Action::CallUpstream { id, timeout_ms } => self.call(id, timeout_ms),
            Action::SkipUpstreamCall(id) => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                if let Stage::AtCall(seq, _) = request.stage {
                    let call = request.call;
                    request.stage = Stage::Running;
                    request.poorer = true;
                    self.ask(id, PoolCommand::SkipUpstreamCall { attempt: call, seq });
                }
            }
            Action::AdvertiseShare(value) => self.said = Some(value),
            Action::SetHealth(good) => {
                if good != self.healthy {
                    info!(self.log, "health changed"; "good" => good);
                }
                self.healthy = good;
                let health = self.health();
                let _ = self.peers.catalog.try_send(RegistryMessage::SetHealth(health));
            }
            Action::SetIdleTimeout(ms) => drop(self.peers.list.try_send(ListenerMessage::SetIdleTimeout(ms))),
            Action::SetTimer { token, delay_ms } => self.later(delay_ms, DispatcherMessage::Timer(token)),
            Action::Log(text) => {
                self.notes += 1;
                if self.notes <= MAX_NOTES {
                    info!(self.log, "module says"; "text" => text);
                }
            }
        }
    }

    pub(super) fn run_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (call, body) = (request.call, request.body.clone());
        match request.stage {
            Stage::Paused => {
                request.stage = Stage::Running;
                self.ask(id, PoolCommand::Resume { attempt: call });
            }
            Stage::Held => {
                if let Some(key) = request.key.clone() {
                    let run = self.keys.begin_run(&key, request.print, id, request.reached);
                    if let Ok(left) = run {
                        // They wait for a run that outlasted its own window, and would no longer be found.
                        left.into_iter().for_each(|w| self.end_reuse(w, None));
                    } else {
                        warn!(self.log, "a second run of a key was asked for and not made");
                        self.answer(id, Response::Failed);
                        self.remove(id);
                        return self.events.push_back(Event::RunEnded {
                            id,
                            outcome: Outcome::Error,
                            took_ms: 0.0,
                        });
                    }
                }
                if let Some(request) = self.requests.get_mut(&id) {
                    request.stage = Stage::Running;
                    let class = request.class;
                    self.ask(id, PoolCommand::Run { attempt: call, class, body });
                }
            }
            _ => {}
        }
    }

    pub(super) fn reuse(&mut self, now: f64, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Reusing(now);
        match request
            .key
            .as_ref()
            .map_or(ReuseOutcome::NotRun, |k| self.keys.reuse_result(k, id, request.reached))
        {
            ReuseOutcome::Ready(result) => self.end_reuse(id, result),
            ReuseOutcome::Pending => {}
            // What it repeats was dropped unrun.
            ReuseOutcome::NotRun => self.end_reuse(id, None),
        }
    }

    /// The request stands for its key from now on, also as heir of an earlier try.
    pub(super) fn keep(&mut self, now: f64, id: RequestId, ttl_ms: f64) {
        let Some(Request { key: Some(key), print, reached, .. }) = self.requests.get(&id) else { return };
        self.keys.reserve(key, *print, id, *reached, now + ttl_ms);
    }

    /// Gives an entry back, unless its try has run: that one outlasts everything.
    pub(super) fn forget(&mut self, id: RequestId) {
        if let Some(key) = self.requests.get(&id).and_then(|r| r.key.as_ref()) {
            self.keys.release(key, id);
        }
    }

    pub(super) fn call(&mut self, id: RequestId, limit_ms: f64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Stage::AtCall(seq, body) = &request.stage else { return };
        let (seq, body) = (*seq, body.clone());
        let limit_ms =
            if limit_ms > 0.0 { limit_ms } else { self.set.classes[request.class].client_timeout_ms };
        request.stage = Stage::Calling(seq, body.clone());
        let once = self.set.classes[request.class].retry_safety != RetrySafety::Idempotent;
        let call = UpstreamCall {
            id,
            attempt: request.call,
            timeout_ms: limit_ms,
            body: body.clone(),
            at_most_once: once,
        };
        let sent = self.peers.index.as_ref().is_some_and(|i| i.try_send(UpstreamMessage::Call(call)).is_ok());
        if !sent {
            // No index, or its mailbox is full: nothing ran.
            request.stage = Stage::AtCall(seq, body);
            self.events.push_back(Event::UpstreamCallEnded {
                id,
                outcome: Outcome::Unreachable,
                took_ms: 0.0,
            });
        }
    }
}
