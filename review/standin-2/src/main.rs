//! Stand-ins and clients of the cases `review/8` and `review/10`, and of two more that
//! the report names: store, replicas, clients.
//!
//! `review-standin-2 CASE FOLDER` plays a case against the program of the deploy file and writes
//! `FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
//! run. With `TROUBLE=0` the disruption is left out.

mod client;
mod endless;
mod history;
mod http;
mod program;
mod promise;
mod record;
mod replica;
mod store;
mod strikes;

use std::path::PathBuf;
use std::time::Duration;
use std::{env, fs, panic, process, thread};

use record::Record;

/// Time after which a case ends by itself.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let Ok(record) = Record::create(&folder) else {
        eprintln!("record.txt can't be written");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    record.line(&format!("case {case}, trouble {trouble}"));
    let dir = env::temp_dir().join(format!("review-2-{case}-{}", process::id()));
    if fs::create_dir_all(&dir).is_err() {
        process::exit(2);
    }
    // A stand-in that fails shows nothing of the system.
    panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        process::exit(2);
    }));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        process::exit(2);
    });
    let code = match case.as_str() {
        "endless" => endless::run(&dir, &record, trouble),
        "promise" => promise::run(&dir, &record, trouble),
        "strikes" => strikes::run(&dir, &record, trouble),
        "history" => history::run(&dir, &record, trouble),
        _ => 2,
    };
    record.line(&format!("exit {code}"));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    process::exit(code);
}
