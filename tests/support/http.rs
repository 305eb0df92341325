//! Raw HTTP/1.1 client over one connection per request, which can also send invalid requests.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Read timeout of an answer; a test that reaches it fails.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// One HTTP response; `head` is its status line and headers.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl HttpResponse {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|e| panic!("{e}: {}", String::from_utf8_lossy(&self.body)))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// The `kind` of a problem document; for any other body, the body itself.
    pub fn kind(&self) -> String {
        match serde_json::from_slice::<serde_json::Value>(&self.body) {
            Ok(problem) if problem["kind"].is_string() => {
                problem["kind"].as_str().unwrap().to_owned()
            }
            _ => self.text(),
        }
    }
}

/// What the `content-length` header says about the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    Right,
    /// One byte more than is sent.
    TooLong,
    /// No header: the body brings its own framing.
    Unannounced,
}

/// One HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub length: Length,
    /// Pause between sending the head and the body.
    pub pause: Duration,
}

impl Call {
    pub fn new(method: &'static str, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            length: Length::Right,
            pause: Duration::ZERO,
        }
    }

    pub fn post(path: &str, body: impl Into<Vec<u8>>) -> Self {
        Self { body: body.into(), ..Self::new("POST", path) }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends the request; `None` if the connection ended without a response.
    pub fn try_send(&self, addr: SocketAddr) -> Option<HttpResponse> {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        let mut head = format!("{} {} HTTP/1.1\r\nhost: {addr}\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let len = self.body.len();
        match self.length {
            Length::Right => head.push_str(&format!("content-length: {len}\r\n")),
            Length::TooLong => head.push_str(&format!("content-length: {}\r\n", len + 1)),
            Length::Unannounced => {}
        }
        head.push_str("connection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        std::thread::sleep(self.pause);
        // The write may fail, as the server may respond and close before reading the whole body.
        let _ = stream.write_all(&self.body);
        if self.length != Length::Right {
            let _ = stream.shutdown(Shutdown::Write);
        }
        let mut raw = Vec::new();
        let _ = stream.read_to_end(&mut raw);
        parse(&raw)
    }

    pub fn send(&self, addr: SocketAddr) -> HttpResponse {
        self.try_send(addr).unwrap_or_else(|| panic!("no answer to {} {}", self.method, self.path))
    }
}

fn parse(raw: &[u8]) -> Option<HttpResponse> {
    let end = raw.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&raw[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = &raw[end + 4..];
    let chunked = head.to_ascii_lowercase().contains("transfer-encoding: chunked");
    let body = if chunked { join_chunks(body) } else { body.to_vec() };
    Some(HttpResponse { status, head, body })
}

fn join_chunks(mut raw: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(end) = raw.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&raw[..end]).ok();
        let Some(size) = size.and_then(|text| usize::from_str_radix(text, 16).ok()) else { break };
        let chunk = &raw[end + 2..];
        if size == 0 || chunk.len() < size {
            body.extend_from_slice(&chunk[..size.min(chunk.len())]);
            break;
        }
        body.extend_from_slice(&chunk[..size]);
        raw = chunk.get(size + 2..).unwrap_or_default();
    }
    body
}
