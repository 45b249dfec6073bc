//! The signals that request a graceful stop or announce changed settings.

use std::io;

use signal_hook::consts::{
    SIGHUP,
    SIGINT,
    SIGTERM, //
};
use signal_hook::iterator::Signals;

/// Blocks until the process receives SIGTERM or SIGINT. Calls `reload` for each SIGHUP, which
/// announces that the settings changed.
///
/// # Errors
///
/// The error of the operating system, if the signal handlers cannot be installed.
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
