//! The signals that ask for a graceful stop, or tell that the settings changed.

use std::io;

use signal_hook::consts::{
    SIGHUP,
    SIGINT,
    SIGTERM, //
};
use signal_hook::iterator::Signals;

/// Sleeps until the process is asked to stop. `reload` is called for each signal that tells that
/// the settings changed.
///
/// # Errors
///
/// The operating system's, if the signals cannot be awaited.
pub fn wait_for_stop(reload: impl Fn()) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        reload();
    }
    Ok(())
}
