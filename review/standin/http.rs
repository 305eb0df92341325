//! Minimal HTTP/1.1: reading requests and responses, and writing responses.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::os::fd::AsRawFd;

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the target of a request, the status of a response.
    pub fn word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
    }
}

pub type Reader = BufReader<TcpStream>;

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut Reader) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first_line.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Hands the pieces of a body to `sink`; returns whether the body was complete.
///
/// A response without a length and without chunks ends with its connection (`to_end`).
pub fn read_body(
    reader: &mut Reader,
    head: &Head,
    to_end: bool,
    sink: &mut dyn FnMut(&[u8]),
) -> bool {
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(n) if n > 0 => {}
                _ => return false,
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let Ok(size) = usize::from_str_radix(size, 16) else { return false };
            let mut piece = vec![0; size + 2];
            if reader.read_exact(&mut piece).is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            sink(&piece[..size]);
        }
    }
    if let Some(length) = head.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        let mut left = length;
        let mut buf = [0; 16384];
        while left > 0 {
            let wanted = left.min(buf.len());
            match reader.read(&mut buf[..wanted]) {
                Ok(n) if n > 0 => {
                    sink(&buf[..n]);
                    left -= n;
                }
                _ => return false,
            }
        }
        return true;
    }
    if !to_end {
        return true;
    }
    let mut buf = [0; 16384];
    loop {
        match reader.read(&mut buf) {
            Ok(0) => return true,
            Ok(n) => sink(&buf[..n]),
            Err(_) => return false,
        }
    }
}

pub fn read_whole_body(reader: &mut Reader, head: &Head, to_end: bool) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    read_body(reader, head, to_end, &mut |piece| body.extend_from_slice(piece)).then_some(body)
}

pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> bool {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes).is_ok()
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Value of a field of the query of `target`.
pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let fields = target.split_once('?')?.1.split('&');
    fields.filter_map(|field| field.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Closes a connection by a reset, as the crash of a process does.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // SAFETY: the descriptor is open and the value has the layout of `struct linger`.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// Has the system end this process when the one that started it ends.
pub fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: a plain system call.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}
