//! The entry: the HTTP front end for callers. Reads its settings from a file.

use std::process::ExitCode;

use boot::Role;
use edge::EdgeError;
use entry::{
    Handle,
    Settings, //
};
use obs::{
    Counters,
    Logger, //
};
use setting::Common;

struct Entry;

impl Role for Entry {
    const PROGRAM: &'static str = "berg-entry";
    const ROLE: &'static str = "entry";
    type Settings = Settings;
    type Handle = Handle;
    type Error = EdgeError;

    fn common(settings: &Settings) -> &Common {
        &settings.common
    }

    fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, EdgeError> {
        entry::run(settings, log, counters)
    }

    fn close(handle: Handle) {
        handle.close();
    }
}

fn main() -> ExitCode {
    boot::daemon::<Entry>(env!("CARGO_PKG_VERSION"))
}
