//! A replica of a plain service: it answers requests, sends streams of events, can crash and start again.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{chunk, response, Conn, Head};
use crate::record::Record;
use crate::store::Store;

/// Time between two events of a stream, and their number.
pub const EVENT_GAP: Duration = Duration::from_millis(250);
pub const EVENTS: u64 = 40;

/// What the replicas of one test do with a request that they have to run; `None` closes the channel.
pub type Handler =
    Arc<dyn Fn(&Arc<Replica>, &Head, &[u8], &mut Conn) -> io::Result<bool> + Send + Sync>;

pub struct Replica {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub record: Record,
    pub software: Mutex<String>,
    pub born: AtomicU64,
    /// Rises with each start and each crash, so that threads of an earlier start end.
    generation: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
    handler: Handler,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Replica {
    pub fn new(
        id: &str,
        service: &str,
        software: &str,
        record: &Record,
        handler: Handler,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: crate::program::free_addr(),
            record: record.clone(),
            software: Mutex::new(software.to_owned()),
            born: AtomicU64::new(0),
            generation: AtomicU64::new(0),
            streams: Mutex::default(),
            handler,
        })
    }

    pub fn software(&self) -> String {
        self.software.lock().unwrap().clone()
    }

    /// Starts the process of the replica, which then registers itself.
    pub fn start(self: &Arc<Self>, store: &Store, models: &str) {
        self.listen();
        self.register(store, "ready", models);
    }

    pub fn listen(self: &Arc<Self>) {
        let generation = self.generation.fetch_add(1, Ordering::SeqCst) + 1;
        self.born.store(unix_ms(), Ordering::SeqCst);
        let listener = bind(self.addr);
        listener.set_nonblocking(true).expect("replica listener");
        let me = Arc::clone(self);
        thread::spawn(move || {
            while me.generation.load(Ordering::SeqCst) == generation {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let Ok(clone) = stream.try_clone() else { continue };
                        me.streams.lock().unwrap().push(clone);
                        let me = Arc::clone(&me);
                        thread::spawn(move || me.serve(Conn::new(stream), generation));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        self.record.line(&format!(
            "replica {} starts, software {}, born {}",
            self.id,
            self.software(),
            self.born.load(Ordering::SeqCst)
        ));
    }

    pub fn register(&self, store: &Store, state: &str, models: &str) {
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"cairo-a\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":0,\"born\":{},\"models\":[{models}]}}",
            self.service, self.addr, self.software(), self.born.load(Ordering::SeqCst)
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// The process ends without a word: its listener and all its channels are closed.
    pub fn crash(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("replica {} ({}) crashes", self.id, self.software()));
    }

    pub fn is_generation(&self, generation: u64) -> bool {
        self.generation.load(Ordering::SeqCst) == generation
    }

    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }

    fn serve(self: Arc<Self>, mut conn: Conn, generation: u64) {
        while self.is_generation(generation) {
            let Ok(head) = conn.read_head() else { return };
            let Ok(body) = conn.read_body(&head) else { return };
            let expected = head.header("x-tamaracklead-expect-instance");
            if expected.is_some_and(|id| id != self.id) {
                let headers = [("X-Tamaracklead-Instance-Id", self.id.as_str())];
                if conn.write(&response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let handler = Arc::clone(&self.handler);
            match handler(&self, &head, &body, &mut conn) {
                Ok(true) => {}
                _ => break,
            }
        }
        let _ = conn.stream.shutdown(Shutdown::Both);
    }
}

/// Sends a stream of events, each with the replica and its software version, from the one after
/// `Last-Event-Id` on.
pub fn send_stream(me: &Arc<Replica>, head: &Head, conn: &mut Conn) -> io::Result<bool> {
    let generation = me.generation();
    let id = head.header("x-tamaracklead-attempt-id").unwrap_or("").to_owned();
    let after = head.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let left = head.header("x-tamaracklead-deadline-ms").and_then(|text| text.parse::<u64>().ok());
    let ends = Instant::now() + Duration::from_millis(left.unwrap_or(60_000));
    let software = me.software();
    me.record.line(&format!(
        "replica {} ({software}) runs request {id}, from event {}",
        me.id,
        after + 1
    ));
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Tamaracklead-Attempt-Id: {id}\r\n\
         X-Tamaracklead-Response-Seal: s.{id}\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    conn.write(text.as_bytes())?;
    for event in after + 1..=EVENTS {
        if !me.is_generation(generation) || Instant::now() >= ends || conn.is_closed() {
            return Ok(false);
        }
        let data = format!("id: {event}\ndata: {software} {} {event}\n\n", me.id);
        conn.write(&chunk(data.as_bytes()))?;
        thread::sleep(EVENT_GAP);
    }
    conn.write(b"0\r\n\r\n")?;
    me.record.line(&format!("replica {} ({software}) completes request {id}", me.id));
    Ok(true)
}

/// Has the channel end with a reset: what was not read is discarded with it.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, len: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

/// Binds an address that was this replica's before, as soon as that is free.
fn bind(addr: SocketAddr) -> TcpListener {
    let began = Instant::now();
    loop {
        match TcpListener::bind(addr) {
            Ok(listener) => return listener,
            Err(_) if began.elapsed() < Duration::from_secs(2) => {
                thread::sleep(Duration::from_millis(10));
            }
            Err(e) => panic!("{addr} can't be bound: {e}"),
        }
    }
}
