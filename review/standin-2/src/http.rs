//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head of a message; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(known, _)| *known == name).map(|(_, value)| value).next()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A socket with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&addr, limit)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 * 1024];
        let count = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads the head of a message; an error at the end of the connection too.
    pub fn read_head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|quad| quad == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                let kind = if self.buf.is_empty() {
                    io::ErrorKind::UnexpectedEof
                } else {
                    io::ErrorKind::InvalidData
                };
                return Err(io::Error::new(kind, "no head"));
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Head { first_line, headers: headers.collect() })
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "body ends early"));
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "no line"));
            }
        }
    }

    /// Reads one chunk of a chunked body; `None` is the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
        let data = self.read_exact(size)?;
        if self.read_line()?.is_empty() {
            return Ok((size > 0).then_some(data));
        }
        Err(io::Error::new(io::ErrorKind::InvalidData, "chunk end"))
    }

    /// Reads the whole body of a request, or of a response with a length or chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head
            .header("transfer-encoding")
            .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"))
        {
            let mut body = Vec::new();
            while let Some(part) = self.read_chunk()? {
                body.extend(part);
            }
            return Ok(body);
        }
        match head.header("content-length").and_then(|text| text.parse().ok()) {
            Some(length) => self.read_exact(length),
            None => Ok(Vec::new()),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed or reset the connection, as far as it shows.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let result = self.fill();
        let _ = self.stream.set_nonblocking(false);
        match result {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Encodes a request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a chunk.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Gets a path and returns status and body; `None` without an answer within `limit`.
pub fn get(addr: SocketAddr, target: &str, limit: Duration) -> Option<(u16, Vec<u8>)> {
    let began = Instant::now();
    let mut conn = Conn::connect(addr, limit).ok()?;
    conn.stream
        .set_read_timeout(Some(limit.saturating_sub(began.elapsed()).max(Duration::from_millis(1))))
        .ok()?;
    conn.write(&request("GET", target, &[("Host", "x")], b"")).ok()?;
    let head = conn.read_head().ok()?;
    let body = conn.read_body(&head).ok()?;
    Some((head.status(), body))
}
