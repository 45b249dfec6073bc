//! The request of a stopping host to leave the control group, on a dedicated thread.

use std::net::SocketAddr;
use std::time::{
    Duration,
    Instant, //
};

use agree::MemberId;
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

/// How long a stopping host waits until it has left the group.
pub(crate) const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of the request to one host. Longer than an election after a leadership transfer.
const HOST_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a round over all hosts in which none led.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// The member that leaves, and the other hosts of the group as far as it knows them.
pub(crate) type LeaveRequest = (MemberId, Vec<SocketAddr>);

/// The channel to the leaving thread.
pub(crate) fn channel() -> (Sender<LeaveRequest>, Receiver<LeaveRequest>) {
    bounded(1)
}

/// Starts the leaving thread. It sends a message to `done` when a request is finished, and ends when
/// all senders of requests are dropped.
pub(crate) fn start(
    own: SocketAddr,
    control: ControlClient,
    requests: Receiver<LeaveRequest>,
    done: Sender<()>,
    log: Logger,
) -> std::io::Result<Worker> {
    Worker::start("control-leave", move || {
        let (id, hosts) = requests.recv().ok()?;
        // A host that has just joined may know no other host than its seeds.
        let seeds = control.host_order(None);
        let mut hosts: Vec<_> = hosts.into_iter().chain(seeds).collect();
        hosts.retain(|host| *host != own);
        match request_leave(&control, id, own, &hosts) {
            Some(left) => event!(log, GroupLeft, "member" => id.to_string(), "left" => left),
            None => event!(log, LeaveFailed, "member" => id.to_string()),
        }
        done.send(()).ok()
    })
}

/// Sends the request to one host after the other until a leader has decided it. Returns whether the
/// member has left; none if no leader decided in time.
fn request_leave(
    control: &ControlClient,
    id: MemberId,
    own: SocketAddr,
    hosts: &[SocketAddr],
) -> Option<bool> {
    let body = control.seal(paths::LEAVE, &id).ok()?;
    let send = |host| control.send::<bool>(host, paths::LEAVE, body.clone(), HOST_TIMEOUT);
    let started = Instant::now();
    let in_time = || started.elapsed() + HOST_TIMEOUT <= LEAVE_TIMEOUT;
    while !hosts.is_empty() && in_time() {
        for host in hosts {
            let hint = match send(*host) {
                Ok(PeerResponse::Done(left)) => return Some(left),
                Ok(PeerResponse::NotLeader(leader)) => leader.filter(|leader| leader != host),
                Ok(PeerResponse::Unavailable) | Err(_) => None,
            };
            let leader = hint.filter(|leader| *leader != own);
            if let Some(Ok(PeerResponse::Done(left))) = leader.map(send) {
                return Some(left);
            }
            if !in_time() {
                return None;
            }
        }
        std::thread::sleep(ROUND_PAUSE);
    }
    None
}
