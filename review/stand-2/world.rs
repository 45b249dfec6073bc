//! A small deployment on loopback addresses: three control processes, fronts, and the platform.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::engine::Runs;
use crate::http::{self, Response};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize, ...) -> i32;
}

/// The option of `prctl` that names the signal which a process gets as its parent ends.
const PARENT_ENDS: i32 = 1;

const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The processes that were started, and the temporary folders.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        signal(pid, SIGKILL);
    }
    sleep(Duration::from_millis(100));
    for folder in FOLDERS.lock().unwrap().drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Lets the processes of a command end with this one, also if it is killed.
pub fn ends_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: one system call without memory, between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PARENT_ENDS, SIGKILL as usize);
            Ok(())
        })
    }
}

/// Notes a process that was started.
pub fn started(pid: u32) {
    STARTED.lock().unwrap().push(pid as i32);
}

/// Notes a process that has ended, so that its number is not used again.
pub fn ended(pid: u32) {
    STARTED
        .lock()
        .unwrap()
        .retain(|started| *started != pid as i32);
}

/// Sends a signal to a process that was started.
pub fn signal(pid: i32, signal: i32) {
    // SAFETY: a plain system call, on a child of this process.
    unsafe { kill(pid, signal) };
}

/// The file `record.txt` of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>7} ms  {text}");
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// The entries of the platform's list, as text. An entry need not be valid.
pub type Listing = Arc<Mutex<Vec<Vec<u8>>>>;

/// The running deployment.
pub struct World {
    pub record: Record,
    pub listing: Listing,
    pub runs: Runs,
    pub fronts: Vec<SocketAddr>,
    /// Where the control processes receive the operator's calls.
    pub controls: Vec<SocketAddr>,
    pub front_pids: Vec<i32>,
    base: [u8; 2],
    port: u16,
    folder: PathBuf,
    children: Vec<(String, Child)>,
}

/// Memory that the settings grant a process, as on the machines of `hidrovigia-fugas`.
pub const MEMORY_MB: u64 = 110;

/// `GraceS` of the deployment.
const GRACE: Duration = Duration::from_secs(8);

const MACHINES: u8 = 3;
const PLATFORM: u8 = 200;

/// An entry of the platform's list with all its fields.
pub fn entry(id: &str, service: &str, address: SocketAddr, zone: &str, state: &str) -> String {
    format!(
        r#"{{"Id":"{id}","Service":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":64,"State":"{state}","ColdRemainingMs":0,"born":1765000000000,"Stage":"both","Models":[{{"Name":"m","Version":1,"Adapters":[]}}]}}"#
    )
}

impl World {
    /// Starts the platform and the control processes; fronts are started by [`Self::start_fronts`].
    pub fn start(folder: &Path) -> Result<Self, String> {
        let record = Record::create(folder)?;
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let base = [a, b];
        let port = free_ports(base)?;
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&temp).map_err(|error| error.to_string())?;
        FOLDERS.lock().unwrap().push(temp.clone());
        let mut world = Self {
            record: record.clone(),
            listing: Arc::default(),
            runs: Arc::default(),
            fronts: Vec::new(),
            controls: Vec::new(),
            front_pids: Vec::new(),
            base,
            port,
            folder: temp,
            children: Vec::new(),
        };
        world.start_platform()?;
        for n in 1..=MACHINES {
            let address = world.at(n, 3);
            world.controls.push(address);
        }
        for n in 1..=MACHINES {
            world.start_control(n, true)?;
        }
        Ok(world)
    }

    /// An address of machine `n`; ports are the same on all machines.
    pub fn at(&self, n: u8, port: u16) -> SocketAddr {
        let [a, b] = self.base;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, n)), self.port + port)
    }

    /// The address of the server number `n`.
    pub fn server(&self, n: u8) -> SocketAddr {
        self.at(100 + n, 6)
    }

    fn start_platform(&self) -> Result<(), String> {
        let (listing, record) = (Arc::clone(&self.listing), self.record.clone());
        http::serve(self.at(PLATFORM, 0), move |request, out| {
            if request.method == "GET" && request.target.starts_with("/instances") {
                let entries = listing.lock().unwrap().join(&b',');
                let body = [b"{\"Instances\":[", &entries[..], b"],\"NextToken\":null}"].concat();
                return http::respond(out, 200, "Content-Type: application/json\r\n", &body);
            }
            let body = String::from_utf8_lossy(&request.body);
            record.line(&format!(
                "platform: {} {} {body}",
                request.method, request.target
            ));
            http::respond(out, 200, "", b"")
        })
    }

    /// Writes a settings file as the template in `deploy/` gives it, and starts a program with it.
    fn launch(&mut self, program: &str, name: &str, settings: &str) -> Result<i32, String> {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log =
            File::create(self.folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let mut command = Command::new(format!("target/release/{program}"));
        let child = ends_with_parent(&mut command)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        let pid = child.id() as i32;
        started(child.id());
        self.record.line(&format!("started {name}, process {pid}"));
        self.children.push((name.to_owned(), child));
        Ok(pid)
    }

    fn seeds(&self) -> String {
        let seeds: Vec<_> = self
            .controls
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        seeds.join(", ")
    }

    fn start_control(&mut self, n: u8, founding: bool) -> Result<(), String> {
        let data = self.folder.join(format!("data-{n}"));
        let settings = format!(
            r#"host = "front-z{n}-1"
cluster = "bergamothinge"
secret_file = "/proc/self/cwd/deploy/cluster-secret"
listen = "{}"
public = true
data = "{}"
platform = "{}"
window_s = 5
memory_mb = {MEMORY_MB}
disk_mb = 64

[limits]
connections = 1000

[log]
format = "json"

[plan]
listen = "{}"
seeds = [{}]
founding = {founding}
metrics = "{}"
zone = "z{n}"
tolerate = 1
withdraw_ms = 5000
settle_ms = 3000
"#,
            self.at(n, 4),
            data.display(),
            self.at(PLATFORM, 0),
            self.at(n, 3),
            self.seeds(),
            self.at(n, 5),
        );
        self.launch("berg-control", &format!("control-{n}"), &settings)?;
        Ok(())
    }

    /// The machine whose control process leads: it takes an order itself, and the others redirect it.
    pub fn leader(&self, order: &[u8]) -> Option<u8> {
        let head = format!(
            "PUT /config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            order.len()
        );
        let bytes = [head.as_bytes(), order].concat();
        (1..=MACHINES).find(|n| {
            let answer = http::call(self.at(*n, 3), &bytes, Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status == 200)
        })
    }

    /// Stops a control process with SIGTERM as the platform does, and starts it again.
    pub fn restart_control(&mut self, n: u8) -> Result<(), String> {
        let name = format!("control-{n}");
        let at = self
            .children
            .iter()
            .position(|(held, _)| *held == name)
            .ok_or("no such process")?;
        let (_, mut child) = self.children.remove(at);
        self.record.line(&format!("SIGTERM to {name}"));
        signal(child.id() as i32, SIGTERM);
        let ended_in_time = until("the end of a process", GRACE, || {
            matches!(child.try_wait(), Ok(Some(_)))
        });
        if ended_in_time.is_err() {
            let _ = child.kill();
            let _ = child.wait();
        }
        ended(child.id());
        self.start_control(n, false)
    }

    /// Starts fronts on the first machines and waits until they are ready.
    pub fn start_fronts(&mut self, count: u8) -> Result<(), String> {
        for n in 1..=count {
            let settings = format!(
                r#"host = "front-z{n}-1"
cluster = "bergamothinge"
secret_file = "/proc/self/cwd/deploy/cluster-secret"
listen = "{}"
public = true
zone = "z{n}"
control = [{}]
control_port = {}
ready = "{}"
metrics = "{}"
list = "{}"
drain_ms = 3000
grace_s = 8
window_s = 5
retry_s = 10
retry_ratio = 0.2
retry_extra = 62
memory_mb = {MEMORY_MB}

[limits]
connections = 2000
idle_s = 60

[log]
format = "json"
"#,
                self.at(n, 0),
                self.seeds(),
                self.port + 4,
                self.at(n, 1),
                self.at(n, 2),
                self.at(PLATFORM, 0),
            );
            let pid = self.launch("berg-front", &format!("front-{n}"), &settings)?;
            self.front_pids.push(pid);
            let address = self.at(n, 0);
            self.fronts.push(address);
        }
        for n in 1..=count {
            let ready = self.at(n, 1);
            until("a front is ready", Duration::from_secs(20), || {
                let probe = b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n";
                http::call(ready, probe, Duration::from_secs(1)).is_ok_and(|r| r.status == 200)
            })?;
        }
        Ok(())
    }

    /// One call of the operator: follows redirections, and tries all nodes for a time.
    pub fn operate(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, String> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), body].concat();
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            for node in &self.controls {
                let mut address = *node;
                for _ in 0..3 {
                    match http::call(address, &bytes, Duration::from_secs(1)) {
                        Ok(response) if response.status == 307 => {
                            let to = response.header("location").unwrap_or_default().to_owned();
                            let to = to
                                .trim_start_matches("http://")
                                .split('/')
                                .next()
                                .unwrap_or_default()
                                .to_owned();
                            let Ok(to) = to.parse() else { break };
                            address = to;
                        }
                        Ok(response) if response.status < 500 => {
                            self.record.line(&format!(
                                "operator: {method} {path} at {address}: {}",
                                response.status
                            ));
                            return Ok(response);
                        }
                        _ => break,
                    }
                }
            }
            sleep(Duration::from_millis(200));
        }
        Err(format!("no answer to {method} {path}"))
    }
}

/// Waits until a condition holds.
pub fn until(what: &str, time: Duration, mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if holds() {
            return Ok(());
        }
        sleep(Duration::from_millis(50));
    }
    Err(format!("not in time: {what}"))
}

/// The first of seven consecutive ports that are free on all addresses in use.
fn free_ports(base: [u8; 2]) -> Result<u16, String> {
    let [a, b] = base;
    let free = |port: u16| {
        (1..=MACHINES).chain([PLATFORM]).chain(101..=120).all(|n| {
            (0..7).all(|k| TcpListener::bind((Ipv4Addr::new(127, a, b, n), port + k)).is_ok())
        })
    };
    let first = 10_000 + (std::process::id() % 1000) as u16 * 7;
    let found = (0..200).map(|n| first + n * 7).find(|port| free(*port));
    found.ok_or_else(|| "no free ports".to_owned())
}
