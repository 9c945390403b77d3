//! Exactly once, from a server's ledger to a collector, over a way that loses, doubles and reorders: the two ends as
//! state machines. The sender has one batch out at a time and sends it again until it is acknowledged; the collector
//! takes batches in order of their numbers and acknowledges by watermark, so that a batch taken twice is counted once. A
//! number that comes with unlike content is an fault at both ends, never an overwrite.
//!
//! What each end may forget in a crash is everything here that it has not made durable first: the sender its
//! acknowledgements, the collector its watermark. `tests/model.rs` checks these very functions.

use crate::batch::Digest;

/// What a collector answers to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CollectorReply {
    /// All batches up to this number are taken, for good.
    pub watermark: u64,
    /// The digest of that batch, so that a sender notices if it is not the one it sent.
    pub digest: Digest,
    /// The batch that was offered is not the one taken under its number.
    pub conflict: bool,
}

/// What is wrong beyond repair by sending again; a person has to look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum ExportFault {
    /// The collector has another batch under this number.
    #[error("the collector has another content under number {0}: nothing was overwritten")]
    Conflict(u64),
    /// The collector has fewer batches than it acknowledged: it lost some.
    #[error("the collector acknowledged {acknowledged} batches and now has {watermark}: it lost some")]
    Lost {
        /// Acknowledged before.
        acknowledged: u64,
        /// What it has.
        watermark: u64,
    },
    /// The collector has batches that were never sent from here.
    #[error("the collector has {0} batches, more than were ever prepared here")]
    Ahead(u64),
}

/// What the sender is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderAction {
    /// Send the batch with this number.
    Send(u64),
    /// Make durable that this batch is acknowledged; then call [`ExportSender::acknowledgement_recorded`].
    RecordAcknowledgement(u64),
    /// Nothing: wait for a batch to be prepared.
    Idle,
    /// Stop and call for a person.
    Fault(ExportFault),
}

/// The sending end. Made from what is durable after each start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExportSender {
    /// Batches acknowledged, durably.
    acknowledged: u64,
    /// The one prepared after that, durably, and its digest.
    prepared: Option<Digest>,
    /// It is acknowledged, and that is not durable yet.
    acknowledgement_pending: bool,
    fault: Option<ExportFault>,
}

impl ExportSender {
    /// A sender whose first `acknowledged` batches are settled and whose next is prepared or not.
    pub fn new(acknowledged: u64, prepared: Option<Digest>) -> ExportSender {
        ExportSender { acknowledged, prepared, acknowledgement_pending: false, fault: None }
    }

    /// The next batch is prepared, durably.
    pub fn batch_prepared(&mut self, digest: Digest) {
        debug_assert!(self.prepared.is_none(), "one batch at a time");
        self.prepared = Some(digest);
    }

    /// What is to be done now. Asked again without an answer having come, it says to send again.
    pub fn next(&self) -> SenderAction {
        match (self.fault, &self.prepared) {
            (Some(fault), _) => SenderAction::Fault(fault),
            (None, Some(_)) if self.acknowledgement_pending => {
                SenderAction::RecordAcknowledgement(self.acknowledged + 1)
            }
            (None, Some(_)) => SenderAction::Send(self.acknowledged + 1),
            (None, None) => SenderAction::Idle,
        }
    }

    /// A reply came, to whichever sending.
    pub fn on_reply(&mut self, reply: &CollectorReply) {
        let Some(digest) = self.prepared else {
            // A late one to a batch settled since.
            return;
        };
        let offered = self.acknowledged + 1;
        if reply.conflict {
            // A late one may speak of an earlier number, which was settled without a conflict; then its watermark is
            // below what is offered as well. A person has to look either way.
            self.fault = Some(ExportFault::Conflict(offered));
        } else if reply.watermark == offered {
            if reply.digest == digest {
                self.acknowledgement_pending = true;
            } else {
                self.fault = Some(ExportFault::Conflict(offered));
            }
        } else if reply.watermark > offered {
            self.fault = Some(ExportFault::Ahead(reply.watermark));
        }
        // A lower watermark is a late reply to an earlier sending: the batch is sent again.
    }

    /// The collector was asked for its watermark on a new way, where no late reply can come from.
    pub fn on_watermark(&mut self, reply: &CollectorReply) {
        if reply.watermark < self.acknowledged {
            let (acknowledged, watermark) = (self.acknowledged, reply.watermark);
            self.fault = Some(ExportFault::Lost { acknowledged, watermark });
        } else {
            self.on_reply(reply);
        }
    }

    /// The acknowledgement is durable.
    pub fn acknowledgement_recorded(&mut self) {
        if std::mem::take(&mut self.acknowledgement_pending) {
            self.acknowledged += 1;
            self.prepared = None;
        }
    }

    /// Batches acknowledged, durably.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }
}

/// What a collector is to do with an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// Make it durable together with the new watermark, in one step; then call [`ExportCollector::batch_accepted`] and reply.
    Accept,
    /// It is there already: only reply.
    Duplicate,
    /// One before it is missing: only reply, with the watermark as it is.
    OutOfOrder,
    /// Another is there under its number, or it does not follow the one before: an fault; reply so.
    Conflict,
}

/// The collecting end, for one server's ledger. Made from what is durable after each start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExportCollector {
    watermark: u64,
    /// The digest of the batch at the watermark.
    digest: Digest,
}

impl ExportCollector {
    /// A collector that has taken all batches up to `watermark`, the last with that digest.
    pub fn new(watermark: u64, digest: Digest) -> ExportCollector {
        ExportCollector { watermark, digest }
    }

    /// Judges an offer. `kept` gives the digest of a batch taken before, if it is still known.
    pub fn on_offer(
        &self,
        number: u64,
        digest: &Digest,
        previous: &[u8],
        kept: impl Fn(u64) -> Option<Digest>,
    ) -> OfferDecision {
        if number > self.watermark + 1 || number == 0 {
            return OfferDecision::OutOfOrder;
        }
        if number == self.watermark + 1 {
            let follows = match self.watermark {
                0 => previous.is_empty(),
                _ => previous == self.digest,
            };
            return if follows { OfferDecision::Accept } else { OfferDecision::Conflict };
        }
        let known = if number == self.watermark { Some(self.digest) } else { kept(number) };
        // One so old that nothing is known of it was acknowledged, and its sender went on.
        match known {
            Some(known) if known != *digest => OfferDecision::Conflict,
            _ => OfferDecision::Duplicate,
        }
    }

    /// The next batch was taken, durably.
    pub fn batch_accepted(&mut self, digest: Digest) {
        self.watermark += 1;
        self.digest = digest;
    }

    /// The reply to an offer with that decision.
    pub fn reply(&self, decision: OfferDecision) -> CollectorReply {
        CollectorReply {
            watermark: self.watermark,
            digest: self.digest,
            conflict: decision == OfferDecision::Conflict,
        }
    }
}
