//! Encoded bytes of format version 1, as `docs/formats/config-sync.md` describes them. Later builds must
//! still read and write them.

use dunlinspread_config_sync::codec::{
    Record, decode_record, decode_to_client, decode_to_server, encode_record, encode_to_client,
    encode_to_server,
};
use dunlinspread_config_sync::frame::{FrameDecoder, FrameKey};
use dunlinspread_config_sync::message::{Member, Role, ToClient, ToServer};
use dunlinspread_config_sync::resource::{Change, Digest, Key, Position, Resource, Transaction};
use dunlinspread_config_sync::state_store::{read_snapshot, write_snapshot};
use dunlinspread_config_sync::table::Table;
use std::sync::Arc;

const POSITION: Position = Position { epoch: 3, revision: 300 };
const DIGEST: Digest = Digest(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);

fn transaction() -> Transaction {
    let changes = vec![
        Change::Put(Resource::TenantAllowance { tenant: "t".into(), milli_per_second: 1_500 }),
        Change::Put(Resource::Route { route: "r".into(), class: "c".into() }),
        Change::Put(Resource::ClassLimit { class: "c".into(), max_running: 4 }),
        Change::Delete(Key::Tenant("u".into())),
        Change::Delete(Key::Route("v".into())),
        Change::Delete(Key::Class("w".into())),
    ];
    Transaction { position: POSITION, changes, digest: DIGEST, published_unix_ms: 1_000 }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().filter(|character| !character.is_whitespace()).collect();
    let pairs = digits.chunks(2).map(|pair| pair.iter().collect::<String>());
    pairs.map(|pair| u8::from_str_radix(&pair, 16).expect("hex digits")).collect()
}

const TRANSACTION: &str =
    "0a05080310ac02 12080a060a017410dc0b 120812060a0172120163 12071a050a01631004 1203220175
    12032a0176 1203320177 1a1209080706050403020111100f0e0d0c0b0a09 20e807";
const WATCH: &str = "0a28 0a0b0a016e12017a1a01722002 1205080310ac02 1a1209080706050403020111100f0e0d0c0b0a09";
const HEARTBEAT_FRAME: &str = "29000000 01 54bf10c9bbe2191efb4258f62afaaa3f3a2fd1c9e23294c2c085579d5091e8b0
    b20105080310ac02";
const SNAPSHOT: &str =
    "01 25 0a05080310ac02 121209 19a9739ad52e6694 11 866be32b0c9b223c 18e807 2002 2a03220175
    07 1a050a01631004 08 0a060a017410dc0b";

#[test]
fn deltas() {
    let bytes = [unhex("8a014c 0a4a"), unhex(TRANSACTION)].concat();
    let message = ToClient::Deltas(vec![Arc::new(transaction())]);
    let mut written = Vec::new();
    encode_to_client(&message, &mut written);
    assert_eq!(hex(&written), hex(&bytes));
    assert_eq!(decode_to_client(&bytes), Ok(message));
}

#[test]
fn a_watch() {
    let member = Member { name: "n".into(), zone: "z".into(), region: "r".into(), role: Role::Subscriber };
    let message = ToServer::Watch { member, position: POSITION, digest: DIGEST };
    let mut written = Vec::new();
    encode_to_server(&message, &mut written);
    assert_eq!(hex(&written), hex(&unhex(WATCH)));
    assert_eq!(decode_to_server(&unhex(WATCH)), Ok(message));
}

#[test]
fn a_sign_of_life_and_a_heartbeat_with_an_age() {
    let mut written = Vec::new();
    encode_to_server(&ToServer::Alive, &mut written);
    assert_eq!(hex(&written), "2a00");
    assert_eq!(decode_to_server(&written), Ok(ToServer::Alive));
    let message = ToClient::Heartbeat { head: POSITION, age_ms: 300 };
    let mut written = Vec::new();
    encode_to_client(&message, &mut written);
    assert_eq!(hex(&written), "b20108080310ac0218ac02");
    assert_eq!(decode_to_client(&written), Ok(message));
}

#[test]
fn a_heartbeat_in_its_frame() {
    let key = FrameKey::new(b"0123456789abcdef").expect("16 bytes");
    let message = ToClient::Heartbeat { head: POSITION, age_ms: 0 };
    let written = key.seal(|out| encode_to_client(&message, out)).expect("a short payload");
    assert_eq!(hex(&written), hex(&unhex(HEARTBEAT_FRAME)));
    let mut decoder = FrameDecoder::new(key);
    decoder.feed(&unhex(HEARTBEAT_FRAME));
    let payload = decoder.next_payload().expect("a valid frame").expect("a complete frame");
    assert_eq!(decode_to_client(payload), Ok(message));
}

#[test]
fn records() {
    let transaction = Arc::new(transaction());
    let record = |refused| Record::Transaction { transaction: transaction.clone(), refused };
    let cases = [
        (record(false), [unhex("01 124a"), unhex(TRANSACTION)].concat()),
        (record(true), [unhex("01 1a4a"), unhex(TRANSACTION)].concat()),
        (Record::Epoch(300), unhex("01 08ac02")),
    ];
    for (record, bytes) in cases {
        assert_eq!(hex(&encode_record(&record)), hex(&bytes));
        assert_eq!(decode_record(&bytes), Ok(record));
    }
}

#[test]
fn a_snapshot() {
    let mut table = Table::new();
    table.apply(&[
        Change::Put(Resource::TenantAllowance { tenant: "t".into(), milli_per_second: 1_500 }),
        Change::Put(Resource::ClassLimit { class: "c".into(), max_running: 4 }),
    ]);
    let held_back = [Change::Delete(Key::Tenant("u".into()))];
    assert_eq!(hex(&write_snapshot(POSITION, 1_000, &table, &held_back)), hex(&unhex(SNAPSHOT)));
    let (header, read) = read_snapshot(&unhex(SNAPSHOT)).expect("a readable snapshot");
    assert_eq!((header.position, header.published_unix_ms), (POSITION, 1_000));
    assert_eq!((read, header.held_back), (table, held_back.to_vec()));
}
