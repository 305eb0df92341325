//! A server that answers each request with interim responses, without an end.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Responses of one write.
const RESPONSES_PER_WRITE: usize = 400;

/// Starts the server; it runs until this process ends.
///
/// # Errors
///
/// The system has no socket for it.
pub fn start() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Its error is the end of the connection.
            thread::spawn(move || answer(stream));
        }
    });
    Ok(addr)
}

fn answer(mut stream: TcpStream) -> io::Result<()> {
    let mut buf = [0; 4096];
    if stream.read(&mut buf)? == 0 {
        return Ok(());
    }
    let responses = INTERIM_RESPONSE.repeat(RESPONSES_PER_WRITE);
    loop {
        stream.write_all(&responses)?;
    }
}
