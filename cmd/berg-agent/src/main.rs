//! The agent: the proxy in front of one engine or service. Reads its settings from a file.

use std::process::ExitCode;

use agent::{
    Handle,
    Settings, //
};
use boot::Role;
use edge::EdgeError;
use obs::{
    Counters,
    Logger, //
};
use setting::Common;

struct Agent;

impl Role for Agent {
    const PROGRAM: &'static str = "berg-agent";
    const ROLE: &'static str = "agent";
    type Settings = Settings;
    type Handle = Handle;
    type Error = EdgeError;

    fn common(settings: &Settings) -> &Common {
        &settings.common
    }

    fn run(settings: &Settings, log: Logger, counters: Counters) -> Result<Handle, EdgeError> {
        agent::run(settings, log, counters)
    }

    fn close(handle: Handle) {
        handle.close();
    }
}

fn main() -> ExitCode {
    boot::daemon::<Agent>(env!("CARGO_PKG_VERSION"))
}
