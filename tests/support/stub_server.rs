//! HTTP/1.1 server whose replies are scripted by the test, including invalid ones.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

/// One received request; header names are in lower case.
#[derive(Clone, Debug)]
pub struct StubRequest {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl StubRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Reply of the server to one request.
#[derive(Clone, Debug)]
pub enum StubReply {
    /// A complete response with a status, a media type and a body.
    Whole(u16, &'static str, Vec<u8>),
    /// A response 200 whose body is one byte shorter than announced, then a closed connection.
    BrokenOff(&'static str, Vec<u8>),
    /// A closed connection without a response.
    Closed,
}

impl StubReply {
    pub fn status(status: u16) -> Self {
        Self::Whole(status, "text/plain", Vec::new())
    }

    pub fn json(status: u16, body: &serde_json::Value) -> Self {
        Self::Whole(status, "application/json", body.to_string().into_bytes())
    }
}

/// A stub server on a free port; runs until the test program ends.
pub struct StubServer {
    pub addr: SocketAddr,
}

impl StubServer {
    pub fn start(answer: impl Fn(&StubRequest) -> StubReply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let answer = Arc::clone(&answer);
                thread::spawn(move || serve(stream.unwrap(), &*answer));
            }
        });
        Self { addr }
    }
}

fn serve(mut stream: TcpStream, answer: &dyn Fn(&StubRequest) -> StubReply) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(req) = read_request(&mut reader) {
        let (status, media_type, body, missing) = match answer(&req) {
            StubReply::Whole(status, media_type, body) => (status, media_type, body, 0),
            StubReply::BrokenOff(media_type, body) => (200, media_type, body, 1),
            StubReply::Closed => return,
        };
        let len = body.len() + missing;
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: {media_type}\r\ncontent-length: {len}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&body).unwrap();
        if missing > 0 {
            return;
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<StubRequest> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut parts = line.split(' ').map(str::to_owned);
    let (method, path) = (parts.next()?, parts.next()?);
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let req = StubRequest { method, path, headers, body: Vec::new() };
    let len = req.header("content-length").map_or(0, |len| len.parse().unwrap());
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    Some(StubRequest { body, ..req })
}
