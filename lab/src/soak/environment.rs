//! What surrounds a process: limits of the system, variables, and where its log goes.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Read;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Limits as options of `ulimit` with a value that leaves a process what it needs: the size of files in
/// units of 512 bytes, descriptors, seconds of processor time after which SIGXCPU is sent, kB of address
/// space and of a stack.
const LIMITS: [(&str, u64); 7] = [
    ("-f", 0),
    ("-f", 40),
    ("-f", 2000),
    ("-n", 128),
    ("-S -t", 1),
    ("-v", 1_500_000),
    ("-s", 256),
];
/// Size of a stack that no thread can have.
const IMPOSSIBLE_STACK: u64 = 1 << 60;
/// How a slow reader reads.
const SLOW_READ_BYTES: usize = 1024;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Whether processes get what they may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Surroundings {
    /// Limits, logs and settings are drawn at each start, other programs send signals, and a seed answers
    /// without an end.
    Drawn,
    /// No limits, logs in files, settings as the platform commonly renders them.
    Generous,
}

impl Surroundings {
    /// The mode of this name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "drawn" => Some(Self::Drawn),
            "generous" => Some(Self::Generous),
            _ => None,
        }
    }
}

/// Where a log goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogOutput {
    File,
    /// A pipe that is read slowly.
    SlowReader,
    /// A pipe that stays full.
    NoReader,
    /// A pipe whose reader has gone.
    GoneReader,
    FullDevice,
}

const LOG_OUTPUTS: [LogOutput; 5] = [
    LogOutput::File,
    LogOutput::SlowReader,
    LogOutput::NoReader,
    LogOutput::GoneReader,
    LogOutput::FullDevice,
];

/// Environment of one process.
#[derive(Clone, Debug)]
pub struct Environment {
    limits: Vec<(&'static str, u64)>,
    has_threads: bool,
    log: LogOutput,
}

impl Environment {
    /// One without limits, whose log is a file.
    pub fn generous() -> Self {
        Self { limits: Vec::new(), has_threads: true, log: LogOutput::File }
    }

    /// A random one.
    pub fn draw(rng: &mut ChaCha8Rng) -> Self {
        let count = rng.random_range(0..=2);
        let mut limits: Vec<_> = LIMITS.choose_multiple(rng, count).copied().collect();
        // A limit can't be raised again.
        limits.dedup_by_key(|(option, _)| *option);
        let has_threads = rng.random_bool(0.8);
        let log = if rng.random_bool(0.4) { LogOutput::File } else { pick(rng, &LOG_OUTPUTS) };
        Self { limits, has_threads, log }
    }

    /// The command that starts `program` in it.
    pub fn command(&self, program: &Path, settings: &Path) -> Command {
        let limits = self.limits.iter().map(|(option, value)| format!("ulimit {option} {value}; "));
        let script = format!("{}exec \"$0\" \"$1\"", limits.collect::<String>());
        let mut command = Command::new("sh");
        command.arg("-c").arg(script).arg(program).arg(settings);
        if !self.has_threads {
            command.env("RUST_MIN_STACK", IMPOSSIBLE_STACK.to_string());
        }
        command
    }

    /// The output for its log, of which a part at most arrives in the file at `path`; the other end has to
    /// be kept for as long as the process runs.
    ///
    /// # Errors
    ///
    /// The file can't be opened, or there is no pipe.
    pub fn log_output(&self, path: &Path) -> io::Result<(Stdio, Option<UnixStream>)> {
        let file = || OpenOptions::new().create(true).append(true).open(path);
        let (output, other_end) = match self.log {
            LogOutput::File => return Ok((file()?.into(), None)),
            LogOutput::FullDevice => {
                let full = OpenOptions::new().write(true).open("/dev/full")?;
                return Ok((full.into(), None));
            }
            LogOutput::SlowReader | LogOutput::NoReader | LogOutput::GoneReader => {
                UnixStream::pair()?
            }
        };
        let kept = match self.log {
            LogOutput::SlowReader => {
                let file = file()?;
                thread::spawn(move || read_slowly(other_end, file));
                None
            }
            LogOutput::NoReader => Some(other_end),
            LogOutput::GoneReader | LogOutput::File | LogOutput::FullDevice => None,
        };
        Ok((OwnedFd::from(output).into(), kept))
    }
}

fn read_slowly(mut from: UnixStream, mut to: File) {
    let mut buf = [0; SLOW_READ_BYTES];
    while let Ok(count) = from.read(&mut buf) {
        if count == 0 || to.write_all(&buf[..count]).is_err() {
            return;
        }
        thread::sleep(SLOW_READ_INTERVAL);
    }
}

fn pick<T: Copy>(rng: &mut ChaCha8Rng, from: &[T]) -> T {
    from[rng.random_range(0..from.len())]
}
