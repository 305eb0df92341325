//! Case: after a loss of all instances a stream is taken up at another software version, as the
//! store's history has only the entries of the replicas' later starts.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::http::response;
use crate::program::{free_addr, Program};
use crate::record::Record;
use crate::replica::{send_stream, Handler, Replica};
use crate::store::{Store, HISTORY};

const BUDGET: Duration = Duration::from_secs(15);

/// A route of the configuration.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    attempts: u32,
    timeout: u32,
    service: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout},\"goal_ms\":1000,\"gap_target_ms\":600,\"priority\":1,\
         \"service\":\"{service}\",\"attempts\":{attempts},\"resumable\":{}}}",
        kind == "stream"
    )
}

/// A configuration with these routes, for the services `drafts` and `desk`.
pub fn config_with(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"drafts\",\
         \"health_path\":\"/health\",\"max_conns\":370}},{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_conns\":110}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

pub fn config(version: u64) -> String {
    config_with(
        version,
        &[
            route("stream", "/lohu930/", "stream", 2, 15000, "drafts"),
            route("unsafe", "/puxa403/", "unsafe", 1, 2000, "desk"),
            route("safe", "/cuti104/", "safe", 2, 2000, "desk"),
        ],
    )
}

fn handler() -> Handler {
    Arc::new(|me, head, _body, conn| {
        if head.path().starts_with("/lohu930/") {
            return send_stream(me, head, conn);
        }
        conn.write(&response(200, &[("X-Tamaracklead-Instance-Id", me.id.as_str())], b""))?;
        Ok(true)
    })
}

pub fn wait_until(limit: Duration, done: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

pub fn start_instances(dir: &Path, store: &Store, count: usize) -> Vec<Program> {
    let peers: Vec<_> = (0..count).map(|_| free_addr()).collect();
    let seeds: Vec<_> = peers.iter().copied().take(3).collect();
    let new = |(number, peer): (usize, &std::net::SocketAddr)| {
        let mut program =
            Program::new(dir, &format!("front-{}", number + 1), store.addr, *peer, &seeds);
        program.start();
        program
    };
    peers.iter().enumerate().map(new).collect()
}

pub fn run(dir: &Path, record: &Record, trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(7));
    let names = ["i-7f3a91c2", "i-02d9e6b4", "i-51c0aa17", "i-e84b3d90"];
    let replicas: Vec<_> =
        names.iter().map(|id| Replica::new(id, "drafts", "v1", record, handler())).collect();
    for replica in &replicas {
        replica.start(&store, "");
    }
    let mut programs = start_instances(dir, &store, 3);
    if !wait_until(Duration::from_secs(15), || programs.iter().all(Program::is_ready)) {
        record.line("the instances don't become ready");
        return 2;
    }
    record.line(
        "all instances are ready; nothing changes for longer than the store keeps its history",
    );
    thread::sleep(HISTORY + Duration::from_secs(2));
    // Three of four replicas start again in place with the new software, one after the other.
    for replica in &replicas[..3] {
        restart_in_place(replica, &store);
        thread::sleep(Duration::from_millis(1000));
    }
    let fronts: Vec<_> = programs.iter().map(|program| program.front).collect();
    let clients: Vec<_> = (0..32)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::spawn(move || {
                client::stream(&record, &fronts, number, "/lohu930/2f", &[], BUDGET, 6)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1500));
    if trouble {
        record.line("all processes of the instances are killed");
        programs.iter_mut().for_each(Program::kill);
    }
    restart_in_place(&replicas[3], &store);
    if trouble {
        thread::sleep(Duration::from_millis(300));
        record.line("the processes of the instances start again");
        for program in &mut programs {
            if !program.start() {
                return 2;
            }
        }
    }
    let seen: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let mixed = seen.iter().filter(|stream| stream.versions.len() > 1).count();
    let disordered = seen.iter().filter(|stream| !stream.is_in_order).count();
    let complete = seen.iter().filter(|stream| stream.is_complete).count();
    record.line(&format!(
        "ORDER: {mixed} of {} streams hold events of two software versions (more than two break the rule); \
         {complete} complete, {disordered} out of order",
        seen.len()
    ));
    i32::from(mixed > 2)
}

fn restart_in_place(replica: &Arc<Replica>, store: &Store) {
    replica.crash();
    thread::sleep(Duration::from_millis(500));
    *replica.software.lock().unwrap() = "v2".to_owned();
    replica.start(store, "");
}
