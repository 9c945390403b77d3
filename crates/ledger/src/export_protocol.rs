//! Exactly-once export of batches over a connection that loses, duplicates and reorders messages: both ends as state
//! machines.
//!
//! The sender offers one batch at a time until it is acknowledged. The collector accepts batches in the order of their
//! numbers and acknowledges by a watermark, so that a batch offered twice is counted once. A number that comes with
//! another content is a fault at both ends; nothing is overwritten.
//!
//! A crash may take from each end whatever it has not made durable first: from the sender its acknowledgements, from the
//! collector its watermark. `tests/export_protocol_model.rs` checks these functions by exploring every state.

use crate::batch::Digest;

/// The collector's reply to an offer, or to a question for its watermark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CollectorReply {
    /// All batches up to this number are accepted for good.
    pub watermark: u64,
    /// The digest of that batch, so that a sender notices if it is not the one that it sent.
    pub digest: Digest,
    /// Whether the batch that was offered is not the one accepted under its number.
    pub conflict: bool,
}

/// A fault that sending again does not mend; an operator has to look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum ExportFault {
    /// The collector has another batch under this number.
    #[error("the collector has another content under number {0}: nothing was overwritten")]
    Conflict(u64),
    /// The collector has fewer batches than it acknowledged.
    #[error("the collector acknowledged {acknowledged} batches and now has {watermark}: it lost some")]
    BatchesLost {
        /// Batches acknowledged before.
        acknowledged: u64,
        /// Batches that it has.
        watermark: u64,
    },
    /// The collector has batches that were never sent from here.
    #[error("the collector has {0} batches, more than were ever prepared here")]
    CollectorAhead(u64),
}

/// What the sender has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderAction {
    /// Send the batch with this number.
    Send(u64),
    /// Make durable that this batch is acknowledged; then call [`ExportSender::acknowledgement_recorded`].
    RecordAcknowledgement(u64),
    /// Wait for a batch to be prepared.
    Idle,
    /// Stop, and report this.
    Fault(ExportFault),
}

/// A batch was given to a sender that has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("batch {0} is prepared and not acknowledged yet: a sender takes one batch at a time")]
pub struct BatchPending(pub u64);

/// The sending end. It is made of what is durable after each start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExportSender {
    /// Batches whose acknowledgement is durable.
    acknowledged: u64,
    /// The digest of the next batch, if that is prepared durably.
    prepared: Option<Digest>,
    /// That batch is acknowledged, which is not durable yet.
    acknowledgement_pending: bool,
    fault: Option<ExportFault>,
}

impl ExportSender {
    /// Returns a sender whose first `acknowledged` batches are acknowledged and whose next one is prepared or not.
    pub fn new(acknowledged: u64, prepared: Option<Digest>) -> ExportSender {
        ExportSender { acknowledged, prepared, acknowledgement_pending: false, fault: None }
    }

    /// Takes note that the next batch is prepared durably.
    ///
    /// # Errors
    /// If there is one already; nothing was changed.
    pub fn batch_prepared(&mut self, digest: Digest) -> Result<(), BatchPending> {
        if self.prepared.is_some() {
            return Err(BatchPending(self.acknowledged + 1));
        }
        self.prepared = Some(digest);
        Ok(())
    }

    /// Returns what has to be done now. Called again without a reply in between, it returns the same.
    pub fn next(&self) -> SenderAction {
        let next_batch = self.acknowledged + 1;
        match (self.fault, &self.prepared) {
            (Some(fault), _) => SenderAction::Fault(fault),
            (None, Some(_)) if self.acknowledgement_pending => {
                SenderAction::RecordAcknowledgement(next_batch)
            }
            (None, Some(_)) => SenderAction::Send(next_batch),
            (None, None) => SenderAction::Idle,
        }
    }

    /// Takes in a reply to any of the sendings.
    pub fn on_reply(&mut self, reply: &CollectorReply) {
        let Some(digest) = self.prepared else {
            // A late reply to a batch whose acknowledgement was recorded since.
            return;
        };
        let offered = self.acknowledged + 1;
        if reply.conflict {
            // A late reply may speak of an earlier number, which was acknowledged without a conflict; then its watermark
            // is below what is offered as well. An operator has to look either way.
            self.fault = Some(ExportFault::Conflict(offered));
        } else if reply.watermark == offered {
            if reply.digest == digest {
                self.acknowledgement_pending = true;
            } else {
                self.fault = Some(ExportFault::Conflict(offered));
            }
        } else if reply.watermark > offered {
            self.fault = Some(ExportFault::CollectorAhead(reply.watermark));
        }
        // A lower watermark is a late reply to an earlier sending: the batch is sent again.
    }

    /// Takes in the collector's watermark, asked for on a new connection, on which no late reply can come.
    pub fn on_watermark(&mut self, reply: &CollectorReply) {
        if reply.watermark < self.acknowledged {
            let (acknowledged, watermark) = (self.acknowledged, reply.watermark);
            self.fault = Some(ExportFault::BatchesLost { acknowledged, watermark });
        } else {
            self.on_reply(reply);
        }
    }

    /// Takes note that the acknowledgement is durable.
    pub fn acknowledgement_recorded(&mut self) {
        if std::mem::take(&mut self.acknowledgement_pending) {
            self.acknowledged += 1;
            self.prepared = None;
        }
    }

    /// Returns the batches whose acknowledgement is durable.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }
}

/// What a collector has to do with an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// Make the batch durable together with the new watermark, in one step; then call [`ExportCollector::batch_accepted`]
    /// and reply.
    Accept,
    /// The batch is there already: only reply.
    Duplicate,
    /// A batch before it is missing: only reply, with the watermark as it is.
    OutOfOrder,
    /// Another batch is there under its number, or it does not follow the one before: reply with a conflict.
    Conflict,
}

/// The collecting end for one server's ledger. It is made of what is durable after each start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExportCollector {
    watermark: u64,
    /// The digest of the batch at the watermark.
    digest: Digest,
}

impl ExportCollector {
    /// Returns a collector that has accepted all batches up to `watermark`, the last with that digest.
    pub fn new(watermark: u64, digest: Digest) -> ExportCollector {
        ExportCollector { watermark, digest }
    }

    /// Returns what to do with an offer. `stored_digest` returns the digest of a batch accepted before, if it is still
    /// known.
    pub fn on_offer(
        &self,
        number: u64,
        digest: &Digest,
        previous: &[u8],
        stored_digest: impl Fn(u64) -> Option<Digest>,
    ) -> OfferDecision {
        if number > self.watermark + 1 || number == 0 {
            return OfferDecision::OutOfOrder;
        }
        if number == self.watermark + 1 {
            return if self.is_followed_by(previous) {
                OfferDecision::Accept
            } else {
                OfferDecision::Conflict
            };
        }
        let known = if number == self.watermark { Some(self.digest) } else { stored_digest(number) };
        // A batch so old that nothing is known of it was acknowledged, and its sender went on.
        match known {
            Some(known) if known != *digest => OfferDecision::Conflict,
            _ => OfferDecision::Duplicate,
        }
    }

    /// Returns whether a batch that names this digest as that of the one before follows the batch at the watermark.
    fn is_followed_by(&self, previous: &[u8]) -> bool {
        match self.watermark {
            0 => previous.is_empty(),
            _ => previous == self.digest,
        }
    }

    /// Takes note that the next batch is accepted durably.
    pub fn batch_accepted(&mut self, digest: Digest) {
        self.watermark += 1;
        self.digest = digest;
    }

    /// Returns the reply to an offer that was decided so.
    pub fn reply(&self, decision: OfferDecision) -> CollectorReply {
        CollectorReply {
            watermark: self.watermark,
            digest: self.digest,
            conflict: decision == OfferDecision::Conflict,
        }
    }
}
