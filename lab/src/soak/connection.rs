//! Connection of a caller to an instance, which reports what arrived on it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use tamaracklead_standin::Message;
use tamaracklead_standin::Piece;

use super::record::Answer;
use super::record::StreamEvent;

/// Time that callers give a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What arrived in response to a request.
#[derive(Debug)]
pub struct Received {
    /// The response.
    pub answer: Answer,
    /// Time after which the instance wants to be asked again.
    pub retry_after: Option<Duration>,
    /// Whether the connection can be used again.
    pub is_kept: bool,
    /// Whether the connection was reset before anything arrived, as it is if it is closed with
    /// bytes that weren't read.
    pub is_reset_unanswered: bool,
}

impl Received {
    /// Nothing, on a connection that was reset or ended otherwise.
    pub fn unanswered(is_reset: bool) -> Self {
        Self {
            answer: Answer::default(),
            retry_after: None,
            is_kept: false,
            is_reset_unanswered: is_reset,
        }
    }
}

/// Open connection.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// `None` if it isn't established.
    pub fn open(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { reader: BufReader::new(stream) })
    }

    /// Whether nothing has arrived since the last response, and the connection isn't closed.
    pub fn is_idle(&self) -> bool {
        let stream = self.reader.get_ref();
        let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
        let is_open = peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).is_ok() && is_open && self.reader.buffer().is_empty()
    }

    /// Sends a request and receives its response, in which no pause may be longer than `max_gap`;
    /// `time_of` converts the present time.
    pub fn exchange(
        &mut self,
        req: &str,
        max_gap: Duration,
        time_of: impl Fn(Instant) -> Duration,
    ) -> Received {
        let stream = self.reader.get_mut();
        let is_sent = stream.set_read_timeout(Some(max_gap)).is_ok()
            && stream.write_all(req.as_bytes()).is_ok();
        let first = self.reader.fill_buf().map(<[u8]>::is_empty);
        let is_reset = first.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset);
        let head = Message::read_head(&mut self.reader).filter(|_| is_sent);
        let Some(head) = head else { return Received::unanswered(is_reset || !is_sent) };
        let status = head.first_line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let mut answer = Answer {
            status,
            is_sealed: head.header("x-tamaracklead-response-seal").is_some(),
            id: head.header("x-tamaracklead-attempt-id").map(str::to_owned),
            ..Answer::default()
        };
        let length = head.header("content-length").and_then(|text| text.parse().ok());
        match length {
            Some(length) => self.read_body(length, &mut answer),
            None if head.header("transfer-encoding") == Some("chunked") => {
                self.read_chunks(&mut answer, time_of);
            }
            None => self.read_to_close(&mut answer),
        }
        let is_closing = head.header("connection").is_some_and(|text| text == "close");
        let retry_after = head.header("retry-after").and_then(|text| text.parse().ok());
        Received {
            is_kept: answer.is_complete && !is_closing,
            answer,
            retry_after: retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok()),
            is_reset_unanswered: false,
        }
    }

    fn read_body(&mut self, length: usize, answer: &mut Answer) {
        let mut body = vec![0; length];
        answer.is_complete = self.reader.read_exact(&mut body).is_ok();
        answer.piece = Piece::decode(&String::from_utf8_lossy(&body));
    }

    fn read_to_close(&mut self, answer: &mut Answer) {
        let mut body = Vec::new();
        answer.is_complete = self.reader.read_to_end(&mut body).is_ok();
        answer.piece = Piece::decode(&String::from_utf8_lossy(&body));
    }

    fn read_chunks(&mut self, answer: &mut Answer, time_of: impl Fn(Instant) -> Duration) {
        let mut text = String::new();
        while let Some(chunk) = self.read_chunk() {
            if chunk.is_empty() {
                answer.is_complete = true;
                break;
            }
            text.push_str(&chunk);
            while let Some((event, rest)) = text.split_once("\n\n") {
                answer.events.push(parse_event(event, time_of(Instant::now())));
                text = rest.to_owned();
            }
        }
        if answer.events.is_empty() {
            answer.piece = Piece::decode(&text);
        }
    }

    /// One chunk, empty at the end of the body; `None` if the connection has ended.
    fn read_chunk(&mut self) -> Option<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        self.reader.read_exact(&mut chunk).ok()?;
        chunk.truncate(size);
        Some(String::from_utf8_lossy(&chunk).into_owned())
    }
}

fn parse_event(text: &str, at: Duration) -> StreamEvent {
    let field = |name| text.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    StreamEvent {
        at,
        id: field("id:").and_then(|id| id.parse().ok()),
        piece: field("data:").and_then(Piece::decode),
    }
}
