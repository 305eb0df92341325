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

use tamaracklead::auth::PeerSignature;
use tamaracklead::auth::PeerSigner;
use tamaracklead::auth::RESPONSE_SIGNATURE_HEADER;
use tamaracklead::auth::SIGNATURE_HEADER;
use tamaracklead::auth::SignedResponse;
use tamaracklead::edge::ConfigClient;
use tamaracklead::edge::EngineClient;
use tamaracklead::edge::HttpClient;
use tamaracklead::edge::ListingClient;
use tamaracklead::edge::PeerClient;
use tamaracklead::edge::PeerPath;
use tamaracklead::edge::PeerTarget;
use tamaracklead::names::AdapterName;
use tamaracklead::names::AdapterRef;
use tamaracklead::names::BackendName;
use tamaracklead::names::Generation;
use tamaracklead::names::InstanceName;
use tamaracklead::names::RequestId;
use tamaracklead::names::Version;
use tamaracklead::settings::Key;
use tamaracklead::wire::peer::Dispatch;
use tamaracklead::wire::peer::DispatchEvent;
use tamaracklead::wire::sse::EventDecoder;
use tokio::runtime::Runtime;
use tokio::time::timeout;

/// Time within which each call must fail; their own limits are at most 2 s for a head and again
/// for a body.
const CALL_LIMIT: Duration = Duration::from_secs(8);
/// Pause between two bytes of a dripping body.
const DRIP_INTERVAL: Duration = Duration::from_millis(50);
/// Most bytes of a frame without end that are sent.
const MAX_FRAME_SENT: usize = 64 * 1024 * 1024;
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

/// Sends the response to a dispatch with a good signature, and a frame without end.
fn send_overlong_frame(mut stream: TcpStream, key: &Key) -> std::io::Result<()> {
    let mut request = [0; 4096];
    let length = stream.read(&mut request)?;
    let text = String::from_utf8_lossy(&request[..length]).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(SIGNATURE_HEADER)).unwrap();
    let request_signature: PeerSignature = line.trim_start_matches(": ").parse().unwrap();
    let signed = SignedResponse { request_signature: &request_signature, status: 200, body: None };
    let (name, value) = (RESPONSE_SIGNATURE_HEADER, signed.sign(key));
    stream.write_all(format!("HTTP/1.1 200 X\r\n{name}: {value}\r\n\r\n").as_bytes())?;
    stream.write_all(&u32::MAX.to_be_bytes())?;
    let block = [0; 64 * 1024];
    for _ in 0..MAX_FRAME_SENT / block.len() {
        stream.write_all(&block)?;
    }
    Ok(())
}

// Guards against a peer's frame without end that was kept in memory without a limit.
#[test]
fn a_frame_that_exceeds_the_limit_ends_a_dispatch() {
    let key = Key::new(b"a-key-of-16-bytes-or-more");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = PeerTarget { name: InstanceName::new("b"), addr: listener.local_addr().unwrap() };
    let signing_key = key.clone();
    let server =
        thread::spawn(move || send_overlong_frame(listener.accept().unwrap().0, &signing_key));
    let client = PeerClient::new(HttpClient::new(), PeerSigner::new(key, InstanceName::new("a")));
    let message = Dispatch {
        request_id: RequestId(1),
        engine: BackendName::new("e"),
        adapter: AdapterRef::new(AdapterName::new("x"), Version(1)),
        generation: Generation(1),
        prompt: String::new(),
        max_tokens: 1,
        priority: 1,
        deadline_ms: 60_000,
        traceparent: None,
    };
    Runtime::new().unwrap().block_on(async {
        let mut events = client.dispatch(&peer, &message).await.unwrap().unwrap();
        let event = timeout(CALL_LIMIT, events.recv()).await.unwrap();
        assert!(matches!(event, Some(DispatchEvent::Failed { .. })), "{event:?}");
    });
    assert!(server.join().unwrap().is_err(), "all of it was read");
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
