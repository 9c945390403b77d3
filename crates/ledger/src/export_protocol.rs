//! Exactly-once export of batches over a connection that may lose, duplicate and reorder messages. Both ends
//! are implemented as state machines.
//!
//! The sender offers one batch at a time until it is acknowledged. The collector accepts batches in the order
//! of their numbers and acknowledges by a watermark, so that a batch offered twice is counted once. Two
//! different batches with the same number are reported as a fault at both ends; nothing is overwritten.
//!
//! A crash loses everything that an end has not made durable: acknowledgements at the sender, the watermark
//! at the collector. `tests/export_protocol_model.rs` checks these functions by exploring all reachable
//! states.

use crate::batch::Digest;

/// The collector's reply to an offered batch or to a watermark request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CollectorReply {
    /// Number up to which all batches are durably accepted.
    pub watermark: u64,
    /// Digest of the batch at the watermark, by which the sender detects that it is not the batch that it
    /// sent.
    pub digest: Digest,
    /// Whether the offered batch conflicts with the accepted batches.
    pub conflict: bool,
}

/// A fault that retries cannot resolve and that requires an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, thiserror::Error)]
pub enum ExportFault {
    /// The collector has a different batch with this number.
    #[error("the collector has a different batch {0}; nothing was overwritten")]
    Conflict(u64),
    /// The collector has fewer batches than it has acknowledged.
    #[error("the collector lost batches: it acknowledged {acknowledged} and now has {watermark}")]
    BatchesLost {
        /// Number of batches acknowledged earlier.
        acknowledged: u64,
        /// Number of batches that the collector has now.
        watermark: u64,
    },
    /// The collector has batches that this sender never sent.
    #[error("the collector has {0} batches, more than this server ever prepared")]
    CollectorAhead(u64),
}

/// The next action of the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderAction {
    /// Send the batch with this number.
    Send(u64),
    /// Make the acknowledgement of this batch durable, then call [`ExportSender::acknowledgement_recorded`].
    RecordAcknowledgement(u64),
    /// Wait until a batch is prepared.
    Idle,
    /// Stop, and report this fault.
    Fault(ExportFault),
}

/// The error of a batch being prepared while another batch is not acknowledged yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("batch {0} is not acknowledged yet; only one batch can be prepared at a time")]
pub struct BatchPending(pub u64);

/// The sending end. After a restart it is recreated from its durable state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExportSender {
    /// Number of batches whose acknowledgement is durable.
    acknowledged: u64,
    /// Digest of the next batch, if it is durably prepared.
    prepared: Option<Digest>,
    /// Whether the prepared batch is acknowledged, but the acknowledgement is not durable yet.
    acknowledgement_pending: bool,
    fault: Option<ExportFault>,
}

impl ExportSender {
    /// Returns a sender whose first `acknowledged` batches are acknowledged. `prepared` is the digest of the
    /// next batch, if it is durably prepared.
    pub fn new(acknowledged: u64, prepared: Option<Digest>) -> ExportSender {
        ExportSender { acknowledged, prepared, acknowledgement_pending: false, fault: None }
    }

    /// Records that the next batch is durably prepared.
    ///
    /// # Errors
    /// Returns [`BatchPending`] if a batch is already prepared. The sender is unchanged in this case.
    pub fn batch_prepared(&mut self, digest: Digest) -> Result<(), BatchPending> {
        if self.prepared.is_some() {
            return Err(BatchPending(self.acknowledged + 1));
        }
        self.prepared = Some(digest);
        Ok(())
    }

    /// Returns the next action. Repeated calls without an event in between return the same action.
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

    /// Handles a reply to any of the offers sent so far.
    pub fn on_reply(&mut self, reply: &CollectorReply) {
        let Some(digest) = self.prepared else {
            // This is a late reply to a batch whose acknowledgement has already been recorded.
            return;
        };
        let offered = self.acknowledged + 1;
        if reply.conflict {
            // A late reply may concern an earlier batch, which was acknowledged without a conflict; its
            // watermark is then also below the offered number. An operator is required in either case.
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
        // A lower watermark comes from a late reply to an earlier offer; the batch is sent again.
    }

    /// Handles the collector's watermark, requested on a new connection, where no late replies can arrive.
    pub fn on_watermark(&mut self, reply: &CollectorReply) {
        if reply.watermark < self.acknowledged {
            let (acknowledged, watermark) = (self.acknowledged, reply.watermark);
            self.fault = Some(ExportFault::BatchesLost { acknowledged, watermark });
        } else {
            self.on_reply(reply);
        }
    }

    /// Records that the acknowledgement of the prepared batch is durable.
    pub fn acknowledgement_recorded(&mut self) {
        if std::mem::take(&mut self.acknowledgement_pending) {
            self.acknowledged += 1;
            self.prepared = None;
        }
    }

    /// Returns the number of batches whose acknowledgement is durable.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }
}

/// The collector's decision about an offered batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferDecision {
    /// Make the batch and the new watermark durable in one atomic step, then call
    /// [`ExportCollector::batch_accepted`] and reply.
    Accept,
    /// The batch has already been accepted: only reply.
    Duplicate,
    /// An earlier batch is missing: only reply, with the watermark unchanged.
    OutOfOrder,
    /// A different batch was accepted with this number, or the batch does not follow the previous one: reply
    /// with a conflict.
    Conflict,
}

/// The collecting end for one server's ledger. After a restart it is recreated from its durable state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExportCollector {
    /// Number up to which all batches are durably accepted.
    watermark: u64,
    /// Digest of the batch at the watermark.
    digest: Digest,
}

impl ExportCollector {
    /// Returns a collector that has accepted all batches up to `watermark`, the last of which has this
    /// digest.
    pub fn new(watermark: u64, digest: Digest) -> ExportCollector {
        ExportCollector { watermark, digest }
    }

    /// Returns the decision about an offered batch. `stored_digest` returns the digest of an accepted batch,
    /// if it is still known.
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
        // A batch whose digest is no longer known was acknowledged, and its sender has proceeded to later
        // batches.
        match known {
            Some(known) if known != *digest => OfferDecision::Conflict,
            _ => OfferDecision::Duplicate,
        }
    }

    /// Returns whether a batch with this previous digest follows the batch at the watermark.
    fn is_followed_by(&self, previous: &[u8]) -> bool {
        match self.watermark {
            0 => previous.is_empty(),
            _ => previous == self.digest,
        }
    }

    /// Records that the next batch is durably accepted.
    pub fn batch_accepted(&mut self, digest: Digest) {
        self.watermark += 1;
        self.digest = digest;
    }

    /// Returns the reply to an offer with this decision.
    pub fn reply(&self, decision: OfferDecision) -> CollectorReply {
        CollectorReply {
            watermark: self.watermark,
            digest: self.digest,
            conflict: decision == OfferDecision::Conflict,
        }
    }
}
