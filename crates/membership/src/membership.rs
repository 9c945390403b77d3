//! [`Membership`]: the SWIM state machine with its timers and its view.

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

/// One member's participation in SWIM, and its view of the other members.
///
/// It does no I/O and reads no clock; the caller passes the time to each call.
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
    /// Returns a membership for the member `id`, started at `now`. All its randomness comes from `seed`.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] for the first setting that is out of range.
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

    /// Returns this member's identity as currently known to other members.
    pub fn id(&self) -> &MemberId {
        self.swim.identity()
    }

    /// Sends join requests to the members at `seeds`. Only their addresses matter: their starts are unknown
    /// and are set to 0.
    ///
    /// # Errors
    /// Returns [`MembershipError::Join`] if the SWIM state machine rejects a request.
    pub fn join(&mut self, now: Millis, seeds: &[SocketAddrV4]) -> Result<(), MembershipError> {
        self.advance_clock(now);
        for address in seeds.iter().copied() {
            if address == self.id().address {
                continue;
            }
            let seed = MemberId { address, start: 0, incarnation: 0 };
            let result = self.swim.announce(seed, &mut self.runtime);
            result.map_err(|source| MembershipError::Join { address, source })?;
        }
        self.collect_effects();
        Ok(())
    }

    /// Adds members known from another source as alive, such as the members listed by a registry or a view
    /// kept on disk. They are not announced to other members, and later SWIM updates about them take
    /// precedence.
    ///
    /// # Errors
    /// Returns [`MembershipError::Learn`] if the SWIM state machine rejects the members.
    pub fn learn(
        &mut self,
        now: Millis,
        members: impl IntoIterator<Item = MemberId>,
    ) -> Result<(), MembershipError> {
        self.advance_clock(now);
        let alive = members.into_iter().map(foca::Member::alive);
        let result = self.swim.apply_many(alive, false, &mut self.runtime);
        result.map_err(|source| MembershipError::Learn { source })?;
        self.collect_effects();
        Ok(())
    }

    /// Handles a datagram that arrived at `now`, and returns whether it was accepted. Rejected datagrams are
    /// counted.
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

    /// Fires the timers that are due by `now`.
    pub fn tick(&mut self, now: Millis) {
        self.advance_clock(now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            if self.is_refuted(&timer) {
                continue;
            }
            // The state machine rejects a timer for a member that it no longer knows. That has no effect.
            let _ = self.swim.handle_timer(timer, &mut self.runtime);
            self.collect_effects();
        }
    }

    /// Returns the due time of the next timer, if there is one.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.next_due()
    }

    /// Removes and returns the datagrams to send, tags included, each with its destination address.
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

    /// Returns the members of this view with their states, without this member.
    pub fn members(&self) -> impl Iterator<Item = (&MemberId, MemberState)> {
        self.swim.iter_membership_state().map(|member| (member.id(), MemberState::from(member.state())))
    }

    /// Returns the number of members that are up in this view (alive or suspect), without this member.
    pub fn up_count(&self) -> usize {
        self.swim.num_members()
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Announces to the other members that this member leaves, as on SIGTERM. The only call allowed
    /// afterwards is [`Membership::take_datagrams`].
    ///
    /// # Errors
    /// Returns [`MembershipError::Leave`] if the SWIM state machine rejects the announcement.
    pub fn leave(&mut self, now: Millis) -> Result<(), MembershipError> {
        self.advance_clock(now);
        let result = self.swim.leave_cluster(&mut self.runtime);
        result.map_err(|source| MembershipError::Leave { source })?;
        self.collect_effects();
        Ok(())
    }

    fn advance_clock(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    /// Returns whether `timer` would confirm a suspicion that has been refuted in the meantime: the member is
    /// alive in this view, or it is suspected again under a later SWIM incarnation number, which has its own
    /// timer. If the state machine handled such a timer, this view would not change, but the member would be
    /// notified that it was declared down and would rejoin under a new incarnation.
    fn is_refuted(&self, timer: &Timer<MemberId>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        let member = self.swim.iter_membership_state().find(|member| member.id() == member_id);
        member.is_some_and(|m| m.state() != State::Suspect || m.incarnation() != *incarnation)
    }

    /// Moves the timers and notifications that the state machine emitted into `timers` and `changes`.
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

/// Returns the view change that corresponds to a notification, if there is one.
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
