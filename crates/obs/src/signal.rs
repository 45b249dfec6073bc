//! The signal that asks for a graceful stop.

use std::io;

use signal_hook::consts::{
    SIGINT,
    SIGTERM, //
};
use signal_hook::iterator::Signals;

/// Sleeps until the process is asked to stop.
///
/// # Errors
///
/// The operating system's, if the signals cannot be awaited.
pub fn wait_for_stop() -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    signals.forever().next();
    Ok(())
}
