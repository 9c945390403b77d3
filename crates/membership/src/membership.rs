//! [`Membership`]: the SWIM state machine, its timers and its view.

use crate::counters::Counters;
use crate::datagram_auth::DatagramAuth;
use crate::error::MembershipError;
use crate::member::{MemberId, MemberState, ViewChange};
use crate::settings::{Millis, Settings, SettingsError};
use crate::timers::TimerQueue;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, State, Timer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;

/// One member's membership.
///
/// It does no I/O and reads no clock; each call is given the time.
pub struct Membership {
    swim: Foca<MemberId, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<MemberId>,
    timers: TimerQueue,
    auth: DatagramAuth,
    now: Millis,
    changes: Vec<ViewChange>,
    counters: Counters,
}

impl Membership {
    /// Returns a membership for the member `id`, started now, whose randomness comes from `seed`.
    ///
    /// # Errors
    /// For the first setting that is out of its range.
    pub fn new(id: MemberId, settings: &Settings, seed: u64, now: Millis) -> Result<Self, SettingsError> {
        settings.check()?;
        let auth = DatagramAuth::new(&settings.key);
        let auth = auth.map_err(|_| SettingsError::key_length(settings.key.len()))?;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Ok(Self {
            swim: Foca::new(id, settings.swim_config(), rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: TimerQueue::new(settings.max_timers()),
            auth,
            now,
            changes: Vec::new(),
            counters: Counters::default(),
        })
    }

    /// Returns this member's identity, as others know it now.
    pub fn id(&self) -> &MemberId {
        self.swim.identity()
    }

    /// Asks the members at `seeds` to take this one in. Their start is not known; any will do.
    ///
    /// # Errors
    /// Of the SWIM state machine.
    pub fn join(&mut self, now: Millis, seeds: &[SocketAddrV4]) -> Result<(), MembershipError> {
        self.advance_clock(now);
        for address in seeds.iter().copied() {
            if address == self.id().address {
                continue;
            }
            let seed = MemberId { address, start: 0, incarnation: 0 };
            let announced = self.swim.announce(seed, &mut self.runtime);
            announced.map_err(|source| MembershipError::Join { address, source })?;
        }
        self.collect_effects();
        Ok(())
    }

    /// Adds members known from elsewhere as alive, such as those of a registry's list or of a view kept on disk. Nobody
    /// is told of them, and what SWIM hears of them later overrules it.
    ///
    /// # Errors
    /// Of the SWIM state machine.
    pub fn learn(
        &mut self,
        now: Millis,
        members: impl IntoIterator<Item = MemberId>,
    ) -> Result<(), MembershipError> {
        self.advance_clock(now);
        let alive = members.into_iter().map(foca::Member::alive);
        let applied = self.swim.apply_many(alive, false, &mut self.runtime);
        applied.map_err(|source| MembershipError::Learn { source })?;
        self.collect_effects();
        Ok(())
    }

    /// Handles a datagram that arrived now, and returns whether it was accepted; one that was not is counted.
    pub fn on_datagram(&mut self, now: Millis, datagram: &[u8]) -> bool {
        self.advance_clock(now);
        let Some(body) = self.auth.open(datagram) else {
            self.counters.forged += 1;
            return false;
        };
        self.counters.received += 1;
        let accepted = self.swim.handle_data(body, &mut self.runtime).is_ok();
        if !accepted {
            self.counters.refused += 1;
        }
        self.collect_effects();
        accepted
    }

    /// Fires the timers that are due by now.
    pub fn tick(&mut self, now: Millis) {
        self.advance_clock(now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            if self.is_refuted(&timer) {
                continue;
            }
            // A timer for a member no longer known is refused by SWIM, which changes nothing.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
            self.collect_effects();
        }
    }

    /// Returns when the next timer is due, if any.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.next_due()
    }

    /// Removes and returns the datagrams to send, each with its tag, and the address that it is for.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        let mut datagrams = Vec::new();
        while let Some((to, body)) = self.runtime.to_send() {
            let datagram = self.auth.seal(&body);
            self.counters.sent += 1;
            self.counters.sent_bytes += datagram.len() as u64;
            datagrams.push((to.address, datagram));
        }
        datagrams
    }

    /// Removes and returns the changes of the view since the last call, oldest first.
    pub fn take_changes(&mut self) -> Vec<ViewChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the members that this view knows, with their states; this member is not among them.
    pub fn members(&self) -> impl Iterator<Item = (&MemberId, MemberState)> {
        self.swim.iter_membership_state().map(|member| (member.id(), MemberState::from(member.state())))
    }

    /// Returns the number of members up in this view (alive or suspect), this one not counted.
    pub fn up_count(&self) -> usize {
        self.swim.num_members()
    }

    /// Returns what was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Tells the others that this member leaves, as on SIGTERM. The caller makes no other call after it but to take the
    /// datagrams.
    ///
    /// # Errors
    /// Of the SWIM state machine.
    pub fn leave(&mut self, now: Millis) -> Result<(), MembershipError> {
        self.advance_clock(now);
        let left = self.swim.leave_cluster(&mut self.runtime);
        left.map_err(|source| MembershipError::Leave { source })?;
        self.collect_effects();
        Ok(())
    }

    fn advance_clock(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    /// Returns whether a suspicion that would now be confirmed was refuted meanwhile: its member is alive here, or
    /// suspected again under a later number, which has a timer of its own. Handed to SWIM, such a timer changes nothing
    /// in this view, and yet the member hears that it was declared down, and rejoins under a new incarnation.
    fn is_refuted(&self, timer: &Timer<MemberId>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let member = self.swim.iter_membership_state().find(|member| member.id() == member_id);
        member.is_some_and(|m| m.state() != State::Suspect || m.incarnation() != *incarnation)
    }

    /// Moves what the state machine requested into timers and changes.
    fn collect_effects(&mut self) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let due = self.now + after.as_millis() as Millis;
            if !self.timers.push(due, timer) {
                self.counters.timers_dropped += 1;
            }
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.changes.extend(view_change(notification));
        }
    }
}

/// Returns the change of the view that a notification means, if it means one.
fn view_change(notification: OwnedNotification<MemberId>) -> Option<ViewChange> {
    match notification {
        OwnedNotification::MemberUp(id) => Some(ViewChange::Up(id)),
        OwnedNotification::MemberDown(id) => Some(ViewChange::Down(id)),
        OwnedNotification::Rename(old, new) => Some(ViewChange::Replaced { old, new }),
        OwnedNotification::Active => Some(ViewChange::Active),
        OwnedNotification::Idle => Some(ViewChange::Idle),
        OwnedNotification::Rejoin(id) => Some(ViewChange::Rejoined(id)),
        _ => None,
    }
}
