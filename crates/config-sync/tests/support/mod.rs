//! Strategies for property tests, shared by the test files.
#![allow(dead_code, reason = "each test binary uses only some of these strategies")]

use dunlinspread_config_sync::message::{
    BUCKETS, BucketContent, MAX_AGE_MS, Member, Refusal, Role, ToClient, ToServer, ZoneProgress,
};
use dunlinspread_config_sync::resource::{Change, Digest, Key, Position, Resource, Transaction};
use proptest::collection::vec;
use proptest::prelude::*;
use std::collections::HashSet;
use std::sync::Arc;

pub const FLEET_KEY: &[u8] = b"a key of the whole fleet, for tests";

pub fn name() -> impl Strategy<Value = Arc<str>> {
    prop_oneof![9 => "[a-zé]{1,12}", 1 => "x{128}"].prop_map(Arc::from)
}

pub fn position() -> impl Strategy<Value = Position> {
    (any::<u64>(), any::<u64>()).prop_map(|(epoch, revision)| Position { epoch, revision })
}

pub fn digest() -> impl Strategy<Value = Digest> {
    any::<u128>().prop_map(Digest)
}

pub fn resource() -> impl Strategy<Value = Resource> {
    prop_oneof![
        (name(), any::<u64>())
            .prop_map(|(tenant, milli_per_second)| Resource::TenantAllowance { tenant, milli_per_second }),
        (name(), name()).prop_map(|(route, class)| Resource::Route { route, class }),
        (name(), 1..u32::MAX).prop_map(|(class, max_running)| Resource::ClassLimit { class, max_running }),
    ]
}

pub fn key() -> impl Strategy<Value = Key> {
    prop_oneof![name().prop_map(Key::Tenant), name().prop_map(Key::Route), name().prop_map(Key::Class)]
}

pub fn change() -> impl Strategy<Value = Change> {
    prop_oneof![resource().prop_map(Change::Put), key().prop_map(Change::Delete)]
}

/// Returns changes that a publisher may accept: each key occurs once.
pub fn changes() -> impl Strategy<Value = Vec<Change>> {
    vec(change(), 1..6).prop_map(|mut changes| {
        let mut keys = HashSet::new();
        changes.retain(|change| keys.insert(change.key()));
        changes
    })
}

pub fn transaction() -> impl Strategy<Value = Transaction> {
    (position(), changes(), digest(), any::<u64>()).prop_map(
        |(position, changes, digest, published_unix_ms)| Transaction {
            position,
            changes,
            digest,
            published_unix_ms,
        },
    )
}

fn member() -> impl Strategy<Value = Member> {
    let role = prop_oneof![Just(Role::Relay), Just(Role::Subscriber)];
    (name(), name(), name(), role).prop_map(|(name, zone, region, role)| Member { name, zone, region, role })
}

fn zone_progress() -> impl Strategy<Value = ZoneProgress> {
    (name(), any::<u32>(), position(), any::<u32>())
        .prop_map(|(zone, subscribers, least, refusing)| ZoneProgress { zone, subscribers, least, refusing })
}

fn refusal() -> impl Strategy<Value = Refusal> {
    (name(), position(), "[a-z ]{0,256}").prop_map(|(member, position, reason)| Refusal {
        member,
        position,
        reason: reason.into(),
    })
}

fn bucket_content() -> impl Strategy<Value = BucketContent> {
    (0..BUCKETS as u16, vec(resource(), 0..4))
        .prop_map(|(bucket, resources)| BucketContent { bucket, resources })
}

pub fn to_server() -> impl Strategy<Value = ToServer> {
    let bucket_digests = prop_oneof![Just(Vec::new()), vec(any::<u64>(), BUCKETS)];
    prop_oneof![
        (member(), position(), digest()).prop_map(|(member, position, digest)| ToServer::Watch {
            member,
            position,
            digest
        }),
        bucket_digests.prop_map(|bucket_digests| ToServer::FetchDifferences { bucket_digests }),
        Just(ToServer::Alive),
        any::<u32>().prop_map(|sequence| ToServer::PieceTaken { sequence }),
        (vec(zone_progress(), 0..5), vec(refusal(), 0..5))
            .prop_map(|(zones, refusals)| ToServer::Progress { zones, refusals }),
    ]
}

pub fn to_client() -> impl Strategy<Value = ToClient> {
    prop_oneof![
        vec(transaction().prop_map(Arc::new), 0..4).prop_map(ToClient::Deltas),
        position().prop_map(|head| ToClient::Resync { head }),
        any::<u64>().prop_map(|retry_after_ms| ToClient::Busy { retry_after_ms }),
        (any::<u32>(), vec(bucket_content(), 0..4))
            .prop_map(|(sequence, buckets)| ToClient::Piece { sequence, buckets }),
        (position(), digest(), any::<u32>(), any::<u64>()).prop_map(
            |(position, digest, pieces, published_unix_ms)| ToClient::SnapshotEnd {
                position,
                digest,
                pieces,
                published_unix_ms,
            }
        ),
        (position(), 0..=MAX_AGE_MS).prop_map(|(head, age_ms)| ToClient::Heartbeat { head, age_ms }),
    ]
}
