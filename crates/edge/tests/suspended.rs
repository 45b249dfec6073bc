//! A call ends in time also while the process that makes it is suspended.

use std::env;
use std::io::Read;
use std::net::TcpListener;
use std::process::{
    Child,
    Command, //
};
use std::thread;
use std::time::Duration;

use edge::Client;
use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};

/// Names the server for the process that makes the call.
const SERVER: &str = "SUSPENDED_CALL_SERVER";
/// Timeout of the call.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Size of a request that a server's receive buffer cannot hold while nothing reads it, whereas the
/// caller's send buffer holds the rest.
const HELD: usize = 1 << 20;

/// A process that runs the named test as the caller.
struct Caller(Child);

impl Caller {
    fn start(test: &str, server: &TcpListener) -> Self {
        let address = server.local_addr().unwrap().to_string();
        let mut command = Command::new(env::current_exe().unwrap());
        command.args(["--exact", test]).env(SERVER, address);
        Self(command.spawn().unwrap())
    }

    fn suspend(&self) {
        kill_process(Pid::from_child(&self.0), Signal::STOP).unwrap();
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

case::cases! {
    // ONE, issue 27: the kernel of a suspended host sent a report after its successor had acted.
    request_of_a_suspended_process_never_arrives: {
        if let Ok(server) = env::var(SERVER) {
            let server = server.parse().unwrap();
            let _ = Client::new(TIMEOUT).call(server, "POST", "/", &[], vec![b'x'; HELD]);
            return;
        }
        let server = TcpListener::bind("127.0.0.1:0").unwrap();
        let caller = Caller::start("request_of_a_suspended_process_never_arrives", &server);
        let (mut stream, _) = server.accept().unwrap();
        stream.peek(&mut [0]).unwrap();
        thread::sleep(TIMEOUT / 4);
        caller.suspend();
        thread::sleep(TIMEOUT * 4);
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        assert!(!bytes.is_empty() && bytes.len() < HELD, "{} bytes", bytes.len());
    };
}
