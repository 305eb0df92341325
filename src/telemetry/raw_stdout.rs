//! Standard output without a buffer.

use std::io;
use std::io::Write;

use nix::unistd;

/// Standard output of the process; what it doesn't take is an error, and is kept nowhere.
#[derive(Clone, Copy, Debug)]
pub struct RawStdout;

impl Write for RawStdout {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(unistd::write(io::stdout(), buf)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
