//! Requests, on a dedicated thread, that the control group admit this host as a member.

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
    PeerResponse,
    paths, //
};

use crate::settings::Settings;

/// Timeout of a join request to one host. Short, because a host behind a network partition does not
/// respond and must not delay the requests to the others.
const JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// The member to be admitted, and the group's hosts that this host has recorded.
pub(crate) type JoinRequest = (Member, Vec<SocketAddr>);

/// The channel to the joining thread. It holds one request; further requests are dropped until the
/// thread has received that one.
pub(crate) fn channel() -> (Sender<JoinRequest>, Receiver<JoinRequest>) {
    bounded(1)
}

/// Starts the joining thread. It ends when all senders are dropped.
pub(crate) fn start(
    settings: PathBuf,
    control: ControlClient,
    requests: Receiver<JoinRequest>,
    log: Logger,
) -> std::io::Result<Worker> {
    Worker::start("control-join", move || {
        let (member, hosts) = requests.recv().ok()?;
        control.add_hosts(&hosts);
        // The settings are read again because the seeds may have been replaced since this process
        // started.
        match Settings::try_from(settings.as_path()) {
            Ok(settings) => control.add_hosts(&settings.seeds()),
            Err(error) => event!(log, SettingsInvalid, "fault" => error.to_string()),
        }
        request_join(&control, &member);
        Some(())
    })
}

/// Sends the request to one host after the other until a leader has accepted it.
fn request_join(control: &ControlClient, member: &Member) {
    let Ok(body) = control.seal(paths::JOIN, member) else {
        return;
    };
    let send = |host| control.send::<()>(host, paths::JOIN, body.clone(), JOIN_TIMEOUT);
    for host in control.host_order(None) {
        if host == member.address {
            continue;
        }
        match send(host) {
            Ok(PeerResponse::Done(())) => return control.prefer(host),
            Ok(PeerResponse::NotLeader(Some(leader))) if leader != member.address => {
                if let Ok(PeerResponse::Done(())) = send(leader) {
                    return control.prefer(leader);
                }
            }
            // The core repeats the request while this host has no leader.
            Ok(_) | Err(_) => {}
        }
    }
}
