//! Stand-in of the clients.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;

pub struct Answer {
    pub status: u16,
    pub head: Head,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

/// Sends a request on a new channel; `None` if no head comes back in time.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time: Duration,
    sink: &mut dyn FnMut(&[u8]),
) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(time));
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?;
    let is_whole = http::read_body(&mut reader, &head, true, sink);
    Some(Answer { status: head.status(), head, is_whole })
}

pub fn get(addr: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Option<Answer> {
    send(addr, "GET", path, headers, b"", Duration::from_secs(5), &mut |_| {})
}

/// Waits until `check` holds; returns whether it did in time.
pub fn wait_until(time: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
