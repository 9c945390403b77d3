//! Invalid frames for a listener, as no member of the fleet sends them.

use anyhow::{Context, Result};
use dunlinspread_config_sync::frame::{TAG_BYTES, VERSION};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting to a listener.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Sends each kind of invalid frame on a separate connection.
///
/// # Errors
/// Returns an error if there is no address or the connection fails.
pub fn send_garbage(addresses: &[SocketAddr]) -> Result<()> {
    let address = addresses.first().context("no address")?;
    for bytes in damaged_frames() {
        let mut stream = TcpStream::connect_timeout(address, CONNECT_LIMIT)
            .with_context(|| format!("connecting to {address}"))?;
        // The listener may close the connection as soon as it has read enough.
        let _ = stream.write_all(&bytes);
    }
    Ok(())
}

/// Returns plain text, a frame whose length exceeds all limits, one of an unknown version, one with a wrong
/// tag, and a truncated frame.
fn damaged_frames() -> Vec<Vec<u8>> {
    let wrong_tag = frame(VERSION, &[0x5a; 80]);
    let half = wrong_tag[..wrong_tag.len() / 2].to_vec();
    vec![
        b"GET / HTTP/1.1\r\nHost: relay\r\n\r\n".to_vec(),
        vec![0xff; 64],
        frame(VERSION + 1, &[0x5a; 80]),
        wrong_tag,
        half,
    ]
}

fn frame(version: u8, payload: &[u8]) -> Vec<u8> {
    let length = 1 + TAG_BYTES + payload.len();
    let mut frame = Vec::new();
    frame.extend_from_slice(&u32::try_from(length).unwrap_or(u32::MAX).to_le_bytes());
    frame.push(version);
    frame.extend_from_slice(&[0xa5; TAG_BYTES]);
    frame.extend_from_slice(payload);
    frame
}
