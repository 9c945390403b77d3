//! What the caller of a successor's machine would hold, and which actions have a place there.

use dunlinspread_handover::{
    MAX_RECONNECTS, SuccessorAction, SuccessorEvent, SuccessorInput, SuccessorPhase,
};

/// What the caller holds after the actions so far.
#[derive(Debug, Default)]
pub struct Caller {
    /// The keys that came since the transfer was asked for.
    pub received: u64,
    can_serve: bool,
    /// Whether the transfer was asked for on this link.
    requested: bool,
    /// Whether the whole snapshot was confirmed on this link.
    confirmed: bool,
    holds_pieces: bool,
    owner: bool,
    predecessor_gone: bool,
    given_up: bool,
    timer: bool,
    reconnects: u32,
}

impl Caller {
    /// Takes note of an event before the machine does.
    pub fn before(&mut self, event: &SuccessorEvent) {
        match event {
            SuccessorEvent::CanServe => self.can_serve = true,
            SuccessorEvent::TimedOut => self.timer = false,
            SuccessorEvent::Connected | SuccessorEvent::Disconnected | SuccessorEvent::Received(_) => {}
        }
    }

    /// Carries an action out.
    ///
    /// # Errors
    /// When it has no place there.
    pub fn carry_out(
        &mut self,
        event: &SuccessorEvent,
        action: &SuccessorAction,
    ) -> Result<(), &'static str> {
        if self.given_up && *action != SuccessorAction::Disconnect {
            return Err("an action after giving up");
        }
        if self.owner && *action != SuccessorAction::PredecessorGone {
            return Err("an action after the commit");
        }
        match action {
            SuccessorAction::SendRequestTransfer => self.request_transfer(),
            SuccessorAction::LoadKeys => self.load(event),
            SuccessorAction::SendLoaded { keys } => self.confirm(*keys),
            SuccessorAction::DiscardKeys => self.discard(),
            SuccessorAction::BecomeOwner => self.become_owner(event),
            SuccessorAction::PredecessorGone => self.lose_predecessor(),
            SuccessorAction::Reconnect { .. } => self.reconnect(),
            SuccessorAction::GiveUp(_) => self.give_up(),
            SuccessorAction::StartTimer { .. } => self.set_timer(true),
            SuccessorAction::StopTimer => self.set_timer(false),
            SuccessorAction::SendHello | SuccessorAction::Disconnect => Ok(()),
        }
    }

    /// Compares with the phase after the actions.
    ///
    /// # Errors
    /// When they don't fit together.
    pub fn after(&self, phase: SuccessorPhase) -> Result<(), &'static str> {
        let owns = matches!(phase, SuccessorPhase::Owner | SuccessorPhase::PredecessorEnded);
        let waits = matches!(
            phase,
            SuccessorPhase::AwaitingWelcome | SuccessorPhase::Loading | SuccessorPhase::AwaitingCommit
        );
        check(owns == self.owner, "the phase is not the owner's")?;
        check(waits == self.timer, "the timer runs where it shouldn't, or doesn't where it should")
    }

    fn request_transfer(&mut self) -> Result<(), &'static str> {
        check(self.can_serve, "a transfer before it can serve")?;
        check(!self.requested, "a second transfer on a link")?;
        check(!self.holds_pieces, "a transfer on top of an earlier one")?;
        self.requested = true;
        self.received = 0;
        Ok(())
    }

    fn load(&mut self, event: &SuccessorEvent) -> Result<(), &'static str> {
        let SuccessorEvent::Received(SuccessorInput::Keys { count }) = event else {
            return Err("keys loaded that did not come");
        };
        check(self.requested, "keys loaded before they were asked for")?;
        check(!self.confirmed, "keys loaded after the end of the snapshot")?;
        self.holds_pieces = true;
        self.received = self.received.saturating_add(*count);
        Ok(())
    }

    fn confirm(&mut self, keys: u64) -> Result<(), &'static str> {
        check(self.requested && !self.confirmed, "a confirmation out of place")?;
        check(keys == self.received, "a confirmation of another number of keys")?;
        self.confirmed = true;
        Ok(())
    }

    fn discard(&mut self) -> Result<(), &'static str> {
        check(self.holds_pieces, "nothing to discard")?;
        self.holds_pieces = false;
        Ok(())
    }

    fn become_owner(&mut self, event: &SuccessorEvent) -> Result<(), &'static str> {
        let commit = SuccessorEvent::Received(SuccessorInput::Commit);
        check(*event == commit && self.confirmed, "an owner without the table or the commit")?;
        self.owner = true;
        Ok(())
    }

    fn lose_predecessor(&mut self) -> Result<(), &'static str> {
        check(self.owner && !self.predecessor_gone, "the predecessor gone twice, or before the commit")?;
        self.predecessor_gone = true;
        Ok(())
    }

    fn reconnect(&mut self) -> Result<(), &'static str> {
        self.leave_link()?;
        self.reconnects += 1;
        check(self.reconnects <= MAX_RECONNECTS, "too many tries")
    }

    fn give_up(&mut self) -> Result<(), &'static str> {
        self.leave_link()?;
        self.given_up = true;
        Ok(())
    }

    fn leave_link(&mut self) -> Result<(), &'static str> {
        self.requested = false;
        self.confirmed = false;
        check(!self.holds_pieces, "keys kept from a link that failed")
    }

    fn set_timer(&mut self, runs: bool) -> Result<(), &'static str> {
        self.timer = runs;
        Ok(())
    }
}

fn check(holds: bool, rule: &'static str) -> Result<(), &'static str> {
    if holds { Ok(()) } else { Err(rule) }
}
