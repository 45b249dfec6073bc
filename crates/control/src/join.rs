//! Asks the control group to take this host in, on a thread of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use agree::Member;
use crossbeam::channel::{
    Receiver,
    Sender,
    bounded, //
};
use obs::{
    Logger,
    event, //
};
use peer::ControlClient;
use step::Worker;
use wire::{
    Answer,
    paths, //
};

use crate::settings::Settings;

/// How long one host may take. A host that was cut off silently must not hold up the others.
const PATIENCE: Duration = Duration::from_millis(300);

/// A request to join, and the hosts of the group as far as they are known.
pub(crate) type Seeking = (Member, Vec<SocketAddr>);

/// The channel to a joining thread; a request that finds one under way is dropped.
pub(crate) fn channel() -> (Sender<Seeking>, Receiver<Seeking>) {
    bounded(1)
}

/// Starts the joining thread; it is over when the sender is gone.
pub(crate) fn start(
    settings: PathBuf,
    control: ControlClient,
    requests: Receiver<Seeking>,
    log: Logger,
) -> std::io::Result<Worker> {
    Worker::start("control-join", move || {
        let (member, hosts) = requests.recv().ok()?;
        control.add_hosts(&hosts);
        // The seeds may have been exchanged since this process started.
        match Settings::try_from(settings.as_path()) {
            Ok(settings) => control.add_hosts(&settings.seeds()),
            Err(fault) => event!(log, SettingsRefused, "fault" => fault.to_string()),
        }
        ask(&control, &member);
        Some(())
    })
}

/// Asks one host after the other until a leader has heard it.
fn ask(control: &ControlClient, member: &Member) {
    let Ok(body) = control.seal(paths::JOIN, member) else {
        return;
    };
    let call = |host| control.send::<()>(host, paths::JOIN, body.clone(), PATIENCE);
    for host in control.host_order(None) {
        if host == member.address {
            continue;
        }
        match call(host) {
            Ok(Answer::Done(())) => return control.prefer(host),
            Ok(Answer::Elsewhere(Some(leader))) if leader != member.address => {
                if let Ok(Answer::Done(())) = call(leader) {
                    return control.prefer(leader);
                }
            }
            // The next request comes in a moment.
            Ok(_) | Err(_) => {}
        }
    }
}
