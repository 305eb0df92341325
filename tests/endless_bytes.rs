//! Clients of the daemon, whose servers send bytes without end.

use std::future::Future;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tamaracklead::auth::PeerSigner;
use tamaracklead::edge::ConfigClient;
use tamaracklead::edge::EngineClient;
use tamaracklead::edge::HttpClient;
use tamaracklead::edge::ListingClient;
use tamaracklead::edge::PeerClient;
use tamaracklead::edge::PeerPath;
use tamaracklead::edge::PeerTarget;
use tamaracklead::names::InstanceName;
use tamaracklead::settings::Key;
use tamaracklead::wire::sse::EventDecoder;
use tokio::runtime::Runtime;
use tokio::time::timeout;

/// Time within which each call must fail; their own limits are at most 2 s for a head and again
/// for a body.
const CALL_LIMIT: Duration = Duration::from_secs(8);
/// Pause between two bytes of a dripping body.
const DRIP_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which an event of the greatest length in pieces of one byte must be read.
const SMALL_PIECES_LIMIT: Duration = Duration::from_secs(20);

/// A server whose responses have a body that drips without end, and the number of those that the
/// client hasn't ended.
fn start_dripping(status: u16) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let open = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&open);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, open) = (stream.unwrap(), Arc::clone(&counted));
            open.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                let _ = drip(stream, status);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (addr, open)
}

fn drip(mut stream: TcpStream, status: u16) -> std::io::Result<()> {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request)?;
    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: 1000000\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    loop {
        stream.write_all(b" ")?;
        thread::sleep(DRIP_INTERVAL);
    }
}

/// Runs a call to a dripping server; it must fail in time and its connection must be closed.
fn assert_fails_in_time<T, E, C: Future<Output = Result<T, E>>>(
    what: &str,
    status: u16,
    call: impl FnOnce(SocketAddr) -> C,
) {
    let (addr, open) = start_dripping(status);
    let end = Runtime::new().unwrap().block_on(async {
        let end = timeout(CALL_LIMIT, call(addr)).await;
        let start = Instant::now();
        while open.load(Ordering::SeqCst) > 0 && start.elapsed() < CALL_LIMIT {
            tokio::time::sleep(DRIP_INTERVAL).await;
        }
        end
    });
    assert!(end.is_ok_and(|end| end.is_err()), "{what}: {status}");
    assert_eq!(open.load(Ordering::SeqCst), 0, "{what}: {status}: still open");
}

// Guards against a call of the daemon that never ends since the body of its response drips.
#[test]
fn calls_whose_bodies_never_end_fail_in_time() {
    for status in [200, 503] {
        assert_fails_in_time("report of an engine", status, async |addr| {
            EngineClient::new(HttpClient::new()).report(addr).await
        });
        assert_fails_in_time("state of an engine", status, async |addr| {
            EngineClient::new(HttpClient::new()).running(addr).await
        });
        assert_fails_in_time("configuration", status, async |addr| {
            ConfigClient::new(HttpClient::new(), addr).root().await
        });
        assert_fails_in_time("list", status, async |addr| {
            ListingClient::new(HttpClient::new(), addr).read().await
        });
        assert_fails_in_time("peer", status, async |addr| {
            let key = Key::new(b"a-key-of-16-bytes-or-more");
            let signer = PeerSigner::new(key, InstanceName::new("a"));
            let peer = PeerTarget { name: InstanceName::new("b"), addr };
            let client = PeerClient::new(HttpClient::new(), signer);
            let wait = Duration::from_secs(1);
            client.call::<(), ()>(&peer, PeerPath::Gossip, &(), wait).await
        });
    }
}

// Guards against a long unfinished event that was searched from its start with each small piece of
// it, which took hours for one in pieces of one byte.
#[test]
fn an_unfinished_event_in_small_pieces_is_not_searched_anew_with_each() {
    let start = Instant::now();
    let mut decoder = EventDecoder::default();
    loop {
        decoder.push(b"x");
        match decoder.next_event() {
            Ok(event) => assert!(event.is_none()),
            Err(_) => break,
        }
        assert!(start.elapsed() < SMALL_PIECES_LIMIT);
    }
}

// Guards against a search that overlooks the end of an event that is split over several pieces.
#[test]
fn events_in_pieces_of_one_byte_are_found() {
    let mut decoder = EventDecoder::default();
    for number in 0..3 {
        for byte in format!("data: {number}\n\n").bytes() {
            assert!(decoder.next_event().unwrap().is_none());
            decoder.push(&[byte]);
        }
        assert_eq!(decoder.next_event().unwrap().unwrap().data, number.to_string());
    }
}
