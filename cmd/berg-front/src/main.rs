//! The front: forwards callers' HTTP requests directly to endpoints. Reads its settings from a file.

use std::process::ExitCode;

use boot::Role;
use edge::EdgeError;
use front::{
    Handle,
    Settings, //
};
use obs::{
    Counters,
    Logger, //
};
use platform::Platform;
use setting::Common;

struct Front;

impl Role for Front {
    const PROGRAM: &'static str = "berg-front";
    const ROLE: &'static str = "front";
    type Settings = Settings;
    type Handle = Handle;
    type Error = EdgeError;

    fn common(settings: &Settings) -> &Common {
        &settings.common
    }

    fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, EdgeError> {
        front::run(settings, Platform, log, counters)
    }

    fn close(handle: Handle) {
        handle.close();
    }
}

fn main() -> ExitCode {
    boot::daemon::<Front>(env!("CARGO_PKG_VERSION"))
}
