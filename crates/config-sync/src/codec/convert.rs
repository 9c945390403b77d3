//! Conversions between the structures on the wire and the types of the crate.

use super::{DecodeError, wire};
use crate::message::{BucketContent, Member, Refusal, Role, ZoneProgress};
use crate::resource::{Change, Digest, Key, MAX_CHANGES, MAX_NAME, Position, Resource, Transaction, check};
use std::sync::Arc;

/// Maximum length of the reason of a refusal, in bytes.
const MAX_REASON: usize = 256;

pub(super) fn name(field: &'static str, text: &str) -> Result<Arc<str>, DecodeError> {
    if (1..=MAX_NAME).contains(&text.len()) {
        Ok(text.into())
    } else {
        Err(DecodeError::Name { field, bytes: text.len(), max: MAX_NAME })
    }
}

pub(super) fn check_max(field: &'static str, found: usize, max: usize) -> Result<(), DecodeError> {
    if found <= max { Ok(()) } else { Err(DecodeError::TooMany { field, found, max }) }
}

impl From<Position> for wire::Position {
    fn from(position: Position) -> Self {
        wire::Position { epoch: position.epoch, revision: position.revision }
    }
}

impl From<wire::Position> for Position {
    fn from(position: wire::Position) -> Self {
        Position { epoch: position.epoch, revision: position.revision }
    }
}

pub(super) fn position(
    field: &'static str,
    position: Option<wire::Position>,
) -> Result<Position, DecodeError> {
    position.map(Position::from).ok_or(DecodeError::Missing(field))
}

impl From<Digest> for wire::Digest {
    fn from(digest: Digest) -> Self {
        wire::Digest { high: (digest.0 >> 64) as u64, low: digest.0 as u64 }
    }
}

pub(super) fn digest(field: &'static str, digest: Option<wire::Digest>) -> Result<Digest, DecodeError> {
    let digest = digest.ok_or(DecodeError::Missing(field))?;
    Ok(Digest(u128::from(digest.high) << 64 | u128::from(digest.low)))
}

const ROLE_RELAY: u32 = 1;
const ROLE_SUBSCRIBER: u32 = 2;

impl From<&Member> for wire::Member {
    fn from(member: &Member) -> Self {
        wire::Member {
            name: member.name.to_string(),
            zone: member.zone.to_string(),
            region: member.region.to_string(),
            role: match member.role {
                Role::Relay => ROLE_RELAY,
                Role::Subscriber => ROLE_SUBSCRIBER,
            },
        }
    }
}

impl TryFrom<wire::Member> for Member {
    type Error = DecodeError;

    fn try_from(member: wire::Member) -> Result<Self, DecodeError> {
        let role = match member.role {
            ROLE_RELAY => Role::Relay,
            ROLE_SUBSCRIBER => Role::Subscriber,
            other => return Err(DecodeError::Value { field: "member.role", value: other.into() }),
        };
        Ok(Member {
            name: name("member.name", &member.name)?,
            zone: name("member.zone", &member.zone)?,
            region: name("member.region", &member.region)?,
            role,
        })
    }
}

impl From<&ZoneProgress> for wire::ZoneProgress {
    fn from(progress: &ZoneProgress) -> Self {
        wire::ZoneProgress {
            zone: progress.zone.to_string(),
            subscribers: progress.subscribers,
            least: Some(progress.least.into()),
            refusing: progress.refusing,
        }
    }
}

impl TryFrom<wire::ZoneProgress> for ZoneProgress {
    type Error = DecodeError;

    fn try_from(progress: wire::ZoneProgress) -> Result<Self, DecodeError> {
        Ok(ZoneProgress {
            zone: name("zones.zone", &progress.zone)?,
            subscribers: progress.subscribers,
            least: position("zones.least", progress.least)?,
            refusing: progress.refusing,
        })
    }
}

impl From<&Refusal> for wire::Refusal {
    fn from(refusal: &Refusal) -> Self {
        wire::Refusal {
            member: refusal.member.to_string(),
            position: Some(refusal.position.into()),
            reason: refusal.reason.to_string(),
        }
    }
}

impl TryFrom<wire::Refusal> for Refusal {
    type Error = DecodeError;

    fn try_from(refusal: wire::Refusal) -> Result<Self, DecodeError> {
        check_max("refusals.reason", refusal.reason.len(), MAX_REASON)?;
        Ok(Refusal {
            member: name("refusals.member", &refusal.member)?,
            position: position("refusals.position", refusal.position)?,
            reason: refusal.reason.into(),
        })
    }
}

fn tenant(tenant: &Arc<str>, milli_per_second: u64) -> wire::TenantAllowance {
    wire::TenantAllowance { tenant: tenant.to_string(), milli_per_second }
}

fn route(route: &Arc<str>, class: &Arc<str>) -> wire::Route {
    wire::Route { route: route.to_string(), class: class.to_string() }
}

fn class(class: &Arc<str>, max_running: u32) -> wire::ClassLimit {
    wire::ClassLimit { class: class.to_string(), max_running }
}

impl From<&Resource> for wire::Resource {
    fn from(resource: &Resource) -> Self {
        use wire::resource::Kind;
        let kind = match resource {
            Resource::TenantAllowance { tenant: name, milli_per_second } => {
                Kind::Tenant(tenant(name, *milli_per_second))
            }
            Resource::Route { route: name, class } => Kind::Route(route(name, class)),
            Resource::ClassLimit { class: name, max_running } => Kind::Class(class(name, *max_running)),
        };
        wire::Resource { kind: Some(kind) }
    }
}

fn tenant_allowance(allowance: wire::TenantAllowance) -> Result<Resource, DecodeError> {
    let tenant = name("tenant", &allowance.tenant)?;
    Ok(Resource::TenantAllowance { tenant, milli_per_second: allowance.milli_per_second })
}

fn route_to_class(route: wire::Route) -> Result<Resource, DecodeError> {
    Ok(Resource::Route { route: name("route", &route.route)?, class: name("class", &route.class)? })
}

fn class_limit(limit: wire::ClassLimit) -> Result<Resource, DecodeError> {
    if limit.max_running == 0 {
        return Err(DecodeError::Value { field: "max_running", value: 0 });
    }
    Ok(Resource::ClassLimit { class: name("class", &limit.class)?, max_running: limit.max_running })
}

impl TryFrom<wire::Resource> for Resource {
    type Error = DecodeError;

    fn try_from(resource: wire::Resource) -> Result<Self, DecodeError> {
        use wire::resource::Kind;
        match resource.kind.ok_or(DecodeError::Missing("resource"))? {
            Kind::Tenant(allowance) => tenant_allowance(allowance),
            Kind::Route(route) => route_to_class(route),
            Kind::Class(limit) => class_limit(limit),
        }
    }
}

impl From<&Change> for wire::Change {
    fn from(change: &Change) -> Self {
        use wire::change::Kind;
        let kind = match change {
            Change::Put(Resource::TenantAllowance { tenant: name, milli_per_second }) => {
                Kind::PutTenant(tenant(name, *milli_per_second))
            }
            Change::Put(Resource::Route { route: name, class }) => Kind::PutRoute(route(name, class)),
            Change::Put(Resource::ClassLimit { class: name, max_running }) => {
                Kind::PutClass(class(name, *max_running))
            }
            Change::Delete(Key::Tenant(name)) => Kind::DeleteTenant(name.to_string()),
            Change::Delete(Key::Route(name)) => Kind::DeleteRoute(name.to_string()),
            Change::Delete(Key::Class(name)) => Kind::DeleteClass(name.to_string()),
        };
        wire::Change { kind: Some(kind) }
    }
}

impl TryFrom<wire::Change> for Change {
    type Error = DecodeError;

    fn try_from(change: wire::Change) -> Result<Self, DecodeError> {
        use wire::change::Kind;
        Ok(match change.kind.ok_or(DecodeError::Missing("change"))? {
            Kind::PutTenant(allowance) => Change::Put(tenant_allowance(allowance)?),
            Kind::PutRoute(route) => Change::Put(route_to_class(route)?),
            Kind::PutClass(limit) => Change::Put(class_limit(limit)?),
            Kind::DeleteTenant(tenant) => Change::Delete(Key::Tenant(name("tenant", &tenant)?)),
            Kind::DeleteRoute(route) => Change::Delete(Key::Route(name("route", &route)?)),
            Kind::DeleteClass(class) => Change::Delete(Key::Class(name("class", &class)?)),
        })
    }
}

impl From<&Transaction> for wire::Transaction {
    fn from(transaction: &Transaction) -> Self {
        wire::Transaction {
            position: Some(transaction.position.into()),
            changes: transaction.changes.iter().map(wire::Change::from).collect(),
            digest: Some(transaction.digest.into()),
            published_unix_ms: transaction.published_unix_ms,
        }
    }
}

impl TryFrom<wire::Transaction> for Transaction {
    type Error = DecodeError;

    fn try_from(transaction: wire::Transaction) -> Result<Self, DecodeError> {
        check_max("changes", transaction.changes.len(), MAX_CHANGES)?;
        let changes = transaction.changes.into_iter().map(Change::try_from).collect::<Result<Vec<_>, _>>()?;
        check(&changes)?;
        Ok(Transaction {
            position: position("transaction.position", transaction.position)?,
            changes,
            digest: digest("transaction.digest", transaction.digest)?,
            published_unix_ms: transaction.published_unix_ms,
        })
    }
}

impl From<&BucketContent> for wire::BucketContent {
    fn from(content: &BucketContent) -> Self {
        wire::BucketContent {
            bucket: content.bucket.into(),
            resources: content.resources.iter().map(wire::Resource::from).collect(),
        }
    }
}

impl TryFrom<wire::BucketContent> for BucketContent {
    type Error = DecodeError;

    fn try_from(content: wire::BucketContent) -> Result<Self, DecodeError> {
        check_max("bucket", content.bucket as usize, crate::message::BUCKETS - 1)?;
        let resources = content.resources.into_iter().map(Resource::try_from).collect::<Result<_, _>>()?;
        Ok(BucketContent { bucket: content.bucket as u16, resources })
    }
}
