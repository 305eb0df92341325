//! Stand-ins and cases of the review: `standin CASE FOLDER` plays a case, writes `record.txt` into the
//! folder, and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod client;
mod drilled_store;
mod engine;
mod http;
mod instance;
mod left_version;
mod lost_seeds;
mod new_version_in_place;
mod older_adapter;
mod read_in_vain;
mod record;
mod store;
mod streams;

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up; the processes that it started end with it.
const LONGEST_CASE: Duration = Duration::from_secs(110);

/// Folder for settings and logs, removed at the end unless KEEP is set.
struct TempDir(PathBuf);

impl TempDir {
    fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_CASE);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A panic of a stand-in must not look like a broken rule.
    let played = std::panic::catch_unwind(|| play(case, Path::new(folder), trouble));
    std::process::exit(played.unwrap_or(2));
}

fn play(case: &str, folder: &Path, trouble: bool) -> i32 {
    let dir = TempDir::create().expect("a temporary folder");
    let record = Arc::new(Record::create(&folder.join("record.txt")).expect("record.txt"));
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let end = match case {
        "left-version" => left_version::run(&dir.0, &record, trouble),
        "new-version-in-place" => new_version_in_place::run(&dir.0, &record, trouble),
        "lost-seeds" => lost_seeds::run(&dir.0, &record, trouble),
        "older-adapter" => older_adapter::run(&dir.0, &record, trouble),
        "drilled-store" => drilled_store::run(&dir.0, &record, trouble),
        "read-in-vain" => read_in_vain::run(&dir.0, &record, trouble),
        _ => 2,
    };
    let meaning = ["the rule held", "the rule was broken", "the case couldn't run"];
    record.line(meaning[end as usize]);
    end
}
