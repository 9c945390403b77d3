//! Encoding and decoding of frames from the successor.

use super::wire::to_predecessor::Kind;
use super::{DecodeError, check, wire};
use crate::message::{PROTOCOL_VERSION, ServerIdentity, ToPredecessor};
use prost::Message as _;

impl ToPredecessor {
    /// Returns the payload of one frame, without a length prefix.
    pub fn encode(&self) -> Vec<u8> {
        let kind = match self {
            ToPredecessor::Hello { version, identity } => {
                Kind::Hello(wire::Hello { version: *version, identity: Some(identity.into()) })
            }
            ToPredecessor::RequestTransfer => Kind::RequestTransfer(wire::Empty {}),
            ToPredecessor::Loaded { keys } => Kind::Loaded(wire::KeyCount { keys: *keys }),
            ToPredecessor::Response(response) => Kind::Response(response.into()),
            ToPredecessor::Health { healthy, advertised_share } => {
                Kind::Health(wire::Health { healthy: *healthy, advertised_share: *advertised_share })
            }
        };
        wire::ToPredecessor { kind: Some(kind) }.encode_to_vec()
    }

    /// Decodes the payload of one frame.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] for the first invalid field, or if the frame is too long, malformed or of an
    /// unknown kind.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        check::frame_length(bytes)?;
        let unknown_kind = DecodeError::UnknownKind { direction: "to the predecessor" };
        match wire::ToPredecessor::decode(bytes)?.kind.ok_or(unknown_kind)? {
            Kind::Hello(hello) => decode_hello(hello),
            Kind::RequestTransfer(_) => Ok(ToPredecessor::RequestTransfer),
            Kind::Loaded(count) => Ok(ToPredecessor::Loaded { keys: count.keys }),
            Kind::Response(response) => Ok(ToPredecessor::Response(response.try_into()?)),
            Kind::Health(health) => decode_health(health),
        }
    }
}

/// Decodes `Hello`. With another version the identity may be missing, since the predecessor has to be able to
/// refuse the version.
fn decode_hello(hello: wire::Hello) -> Result<ToPredecessor, DecodeError> {
    let identity = match hello.identity {
        Some(identity) => identity.into(),
        None if hello.version != PROTOCOL_VERSION => ServerIdentity::default(),
        None => return Err(DecodeError::Missing("hello.identity")),
    };
    Ok(ToPredecessor::Hello { version: hello.version, identity })
}

fn decode_health(health: wire::Health) -> Result<ToPredecessor, DecodeError> {
    let advertised_share = check::optional_non_negative("health.advertised_share", health.advertised_share)?;
    Ok(ToPredecessor::Health { healthy: health.healthy, advertised_share })
}
