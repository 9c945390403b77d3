//! Model of the caller of a successor's state machine. It checks that each action is allowed in the caller's
//! state.

use dunlinspread_handover::{
    MAX_RECONNECTS, SuccessorAction, SuccessorEvent, SuccessorInput, SuccessorPhase,
};

/// State of the caller after the actions performed so far.
#[derive(Debug, Default)]
pub struct Caller {
    /// Number of keys received since the transfer was requested.
    pub received: u64,
    can_serve: bool,
    /// Whether the transfer was requested on this link.
    requested: bool,
    /// Whether the whole snapshot was confirmed on this link.
    confirmed: bool,
    has_loaded_pieces: bool,
    owner: bool,
    predecessor_gone: bool,
    given_up: bool,
    timer_running: bool,
    reconnects: u32,
}

impl Caller {
    /// Records an event before the state machine processes it.
    pub fn record_event(&mut self, event: &SuccessorEvent) {
        match event {
            SuccessorEvent::CanServe => self.can_serve = true,
            SuccessorEvent::TimedOut => self.timer_running = false,
            SuccessorEvent::Connected | SuccessorEvent::Disconnected | SuccessorEvent::Received(_) => {}
        }
    }

    /// Performs an action.
    ///
    /// # Errors
    /// Returns the violated rule if the action is not allowed in this state.
    pub fn perform(&mut self, event: &SuccessorEvent, action: &SuccessorAction) -> Result<(), &'static str> {
        if self.given_up && *action != SuccessorAction::Disconnect {
            return Err("action after giving up");
        }
        if self.owner && *action != SuccessorAction::PredecessorGone {
            return Err("action after the commit");
        }
        match action {
            SuccessorAction::SendRequestTransfer => self.request_transfer(),
            SuccessorAction::LoadKeys => self.load(event),
            SuccessorAction::SendLoaded { keys } => self.confirm(*keys),
            SuccessorAction::DiscardKeys => self.discard(),
            SuccessorAction::BecomeOwner => self.become_owner(event),
            SuccessorAction::PredecessorGone => self.record_predecessor_end(),
            SuccessorAction::Reconnect { .. } => self.reconnect(),
            SuccessorAction::GiveUp(_) => self.give_up(),
            SuccessorAction::StartTimer { .. } => self.set_timer(true),
            SuccessorAction::StopTimer => self.set_timer(false),
            SuccessorAction::SendHello | SuccessorAction::Disconnect => Ok(()),
        }
    }

    /// Compares this state with the phase after the actions.
    ///
    /// # Errors
    /// Returns the violated rule if they are inconsistent.
    pub fn check_phase(&self, phase: SuccessorPhase) -> Result<(), &'static str> {
        let owns = matches!(phase, SuccessorPhase::Owner | SuccessorPhase::PredecessorEnded);
        let needs_timer = matches!(
            phase,
            SuccessorPhase::AwaitingWelcome | SuccessorPhase::Loading | SuccessorPhase::AwaitingCommit
        );
        check(owns == self.owner, "the phase and the ownership of the keys differ")?;
        check(needs_timer == self.timer_running, "the timer doesn't run exactly in the phases that need it")
    }

    fn request_transfer(&mut self) -> Result<(), &'static str> {
        check(self.can_serve, "transfer requested before the successor can serve")?;
        check(!self.requested, "second transfer requested on a link")?;
        check(
            !self.has_loaded_pieces,
            "transfer requested before the keys of an earlier one were discarded",
        )?;
        self.requested = true;
        self.received = 0;
        Ok(())
    }

    fn load(&mut self, event: &SuccessorEvent) -> Result<(), &'static str> {
        let SuccessorEvent::Received(SuccessorInput::Keys { count }) = event else {
            return Err("keys loaded without a `Keys` frame");
        };
        check(self.requested, "keys loaded before the transfer was requested")?;
        check(!self.confirmed, "keys loaded after the end of the snapshot")?;
        self.has_loaded_pieces = true;
        self.received = self.received.saturating_add(*count);
        Ok(())
    }

    fn confirm(&mut self, keys: u64) -> Result<(), &'static str> {
        check(self.requested && !self.confirmed, "`Loaded` sent without a transfer, or twice")?;
        check(keys == self.received, "`Loaded` sent with another number of keys than received")?;
        self.confirmed = true;
        Ok(())
    }

    fn discard(&mut self) -> Result<(), &'static str> {
        check(self.has_loaded_pieces, "keys discarded although none are loaded")?;
        self.has_loaded_pieces = false;
        Ok(())
    }

    fn become_owner(&mut self, event: &SuccessorEvent) -> Result<(), &'static str> {
        let commit = SuccessorEvent::Received(SuccessorInput::Commit);
        check(*event == commit && self.confirmed, "ownership taken without the whole table or the commit")?;
        self.owner = true;
        Ok(())
    }

    fn record_predecessor_end(&mut self) -> Result<(), &'static str> {
        check(
            self.owner && !self.predecessor_gone,
            "end of the predecessor reported twice, or before the commit",
        )?;
        self.predecessor_gone = true;
        Ok(())
    }

    fn reconnect(&mut self) -> Result<(), &'static str> {
        self.abandon_link()?;
        self.reconnects += 1;
        check(self.reconnects <= MAX_RECONNECTS, "too many reconnections")
    }

    fn give_up(&mut self) -> Result<(), &'static str> {
        self.abandon_link()?;
        self.given_up = true;
        Ok(())
    }

    fn abandon_link(&mut self) -> Result<(), &'static str> {
        self.requested = false;
        self.confirmed = false;
        check(!self.has_loaded_pieces, "keys of a failed link not discarded")
    }

    fn set_timer(&mut self, running: bool) -> Result<(), &'static str> {
        self.timer_running = running;
        Ok(())
    }
}

fn check(holds: bool, rule: &'static str) -> Result<(), &'static str> {
    if holds { Ok(()) } else { Err(rule) }
}
