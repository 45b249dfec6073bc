//! Stand-ins for the users' platform, engines, operator and clients, and the start of the project's
//! own programs. Standard library only. Every address is a loopback address.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
        }
    }

    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.at());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        // The reader of the output may be gone.
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}

pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A message as it was read from a connection.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing requires.
    pub complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Some(Message {
        first: first.trim_end().to_owned(),
        fields,
        body: Vec::new(),
        complete: false,
    })
}

/// Reads the body of a message; up to the end of the connection if `to_end` and no length is stated.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, to_end: bool) {
    let length = message
        .field("content-length")
        .and_then(|l| l.parse::<usize>().ok());
    if let Some(length) = length {
        let mut body = vec![0; length];
        let mut at = 0;
        while at < length {
            match reader.read(&mut body[at..]) {
                Ok(0) | Err(_) => break,
                Ok(n) => at += n,
            }
        }
        body.truncate(at);
        message.complete = at == length;
        message.body = body;
    } else if message.field("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            if size == 0 {
                message.complete = true;
                return;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if to_end {
        message.complete = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.complete = true;
    }
}

/// Sends a request on a connection of its own; none if there is no complete answer in time.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    stream.write_all(request).ok()?;
    let mut reader = BufReader::new(&stream);
    let mut message = read_head(&mut reader)?;
    read_body(&mut reader, &mut message, true);
    Some(message)
}

/// The platform: the list of instances and the receiver of usage reports.
#[derive(Clone)]
pub struct Cloud {
    pub address: SocketAddr,
    /// The entries of the list, as raw bytes, by a name.
    pub entries: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
    pub reads: Arc<AtomicU64>,
}

impl Cloud {
    pub fn start(ip: &str, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port of the platform");
        let cloud = Self {
            address: listener.local_addr().unwrap(),
            entries: Arc::default(),
            reads: Arc::default(),
        };
        let (this, record) = (cloud.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, record) = (this.clone(), record.clone());
                thread::spawn(move || this.serve(&stream, &record));
            }
        });
        cloud
    }

    fn serve(&self, stream: &TcpStream, record: &Record) {
        let mut reader = BufReader::new(stream);
        while let Some(mut message) = read_head(&mut reader) {
            read_body(&mut reader, &mut message, false);
            let mut body = Vec::new();
            if message.path().starts_with("/instances") {
                self.reads.fetch_add(1, Ordering::Relaxed);
                let entries = self.entries.lock().unwrap();
                body.extend_from_slice(b"{\"Instances\":[");
                for (at, entry) in entries.values().enumerate() {
                    if at > 0 {
                        body.push(b',');
                    }
                    body.extend_from_slice(entry);
                }
                body.extend_from_slice(b"],\"NextToken\":null}");
            } else {
                record.line(&format!(
                    "platform: {} {} {}",
                    message.first,
                    message
                        .field("x-bergamothinge-fencing-token")
                        .unwrap_or("-"),
                    String::from_utf8_lossy(&message.body)
                ));
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut out = stream;
            if out
                .write_all(head.as_bytes())
                .and_then(|()| out.write_all(&body))
                .is_err()
            {
                return;
            }
        }
    }

    pub fn unlist(&self, name: &str) {
        self.entries.lock().unwrap().remove(name);
    }

    pub fn list(&self, name: &str, entry: impl Into<Vec<u8>>) {
        self.entries
            .lock()
            .unwrap()
            .insert(name.to_owned(), entry.into());
    }
}

pub fn entry(id: &str, service: &str, zone: &str, address: SocketAddr, state: &str) -> String {
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
         \"Slots\":64,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Id\":\"{id}\",\"born\":1792373680000}}"
    )
}

/// An engine of a plain service. It answers each request after `work` with 200 and 20 bytes.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub work: Duration,
    /// The requests that ran: time, attempt id.
    pub runs: Arc<Mutex<Vec<(Instant, String)>>>,
    pub stopped: Arc<AtomicBool>,
    /// Whether the engine is leaving: its responses say that their connection ends.
    pub draining: Arc<AtomicBool>,
    /// The open connections.
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
}

impl Engine {
    pub fn start(ip: &str, id: &str, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port of an engine");
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            work,
            runs: Arc::default(),
            stopped: Arc::default(),
            draining: Arc::default(),
            open: Arc::default(),
        };
        let (this, record) = (engine.clone(), record.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                if this.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let number = number as u64;
                if let Ok(copy) = stream.try_clone() {
                    this.open.lock().unwrap().insert(number, copy);
                }
                let (this, record) = (this.clone(), record.clone());
                thread::spawn(move || {
                    this.serve(&stream, &record);
                    // The connection closes once both copies are dropped.
                    this.open.lock().unwrap().remove(&number);
                });
            }
        });
        engine
    }

    /// Ends the engine. It takes no further request. With `finish`, those in progress are answered
    /// first.
    pub fn stop(&self, finish: bool) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        if finish {
            thread::sleep(self.work + Duration::from_millis(50));
        }
        for (_, stream) in std::mem::take(&mut *self.open.lock().unwrap()) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: &TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(mut message) = read_head(&mut reader) {
            read_body(&mut reader, &mut message, false);
            if !message.complete || self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let mut out = stream;
            if message.path() == "/health" {
                let status = if self.draining.load(Ordering::SeqCst) {
                    "503 Service Unavailable"
                } else {
                    "200 OK"
                };
                let text = format!(
                    "HTTP/1.1 {status}\r\nX-Bergamothinge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                let _ = out.write_all(text.as_bytes());
                continue;
            }
            let attempt = message
                .field("x-bergamothinge-attempt-id")
                .unwrap_or("")
                .to_owned();
            if message
                .field("x-bergamothinge-expect-instance")
                .is_some_and(|id| id != self.id)
            {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Bergamothinge-Attempt-Id: {attempt}\r\n\
                     X-Bergamothinge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = out.write_all(text.as_bytes());
                continue;
            }
            record.line(&format!(
                "engine {}: runs {attempt}: {} ({} bytes)",
                self.id,
                message.first,
                message.body.len()
            ));
            self.runs
                .lock()
                .unwrap()
                .push((Instant::now(), attempt.clone()));
            thread::sleep(self.work);
            let draining = self.draining.load(Ordering::SeqCst);
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Bergamothinge-Attempt-Id: {attempt}\r\n\
                 X-Bergamothinge-Response-Stamp: s.{}.{attempt}\r\n{}Content-Length: 20\r\n\r\n01234567890123456789",
                self.id,
                if draining { "Connection: close\r\n" } else { "" }
            );
            if out.write_all(text.as_bytes()).is_err() || draining {
                return;
            }
        }
    }

    pub fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

/// A machine of a small deployment: an address of its own on the loopback network, with the roles
/// that the deploy file puts on it.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub front: Option<Child>,
    pub control: Option<Child>,
    dir: PathBuf,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    pub repo: PathBuf,
    pub dir: PathBuf,
    values: BTreeMap<String, String>,
    ports: [u16; 6],
    pub record: Record,
    /// Holds the net of this run.
    _guard: TcpListener,
}

extern "C" {
    fn prctl(option: i32, signal: u64, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

const READY: usize = 1;
const CONTROL: usize = 2;
const INTERNAL: usize = 3;

impl Fleet {
    /// Reserves addresses and ports for machines with a disk in these zones. Nothing is started.
    pub fn new(repo: &Path, zones: &[&str], cloud: &Cloud, record: &Record) -> Self {
        let dir = std::env::temp_dir().join(format!("berg-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        // A net of its own for each run, so that runs side by side don't meet: the metrics' ports are
        // fixed in the templates.
        let nets = (0..200).map(|at| (std::process::id() + at) % 200 + 20);
        let taken = nets.map(|net| (net, TcpListener::bind((format!("127.{net}.250.1"), 47001))));
        let mut free = taken.filter_map(|(net, guard)| Some((net, guard.ok()?)));
        let (net, guard) = free.next().expect("a free net");
        let ips: Vec<_> = (0..zones.len())
            .map(|at| format!("127.{net}.{}.1", at + 1))
            .collect();
        let ports = free_ports(&ips);
        let mut values = BTreeMap::new();
        let mut put = |name: &str, value: &str| values.insert(name.to_owned(), value.to_owned());
        put("Cloud.Address", &cloud.address.to_string());
        put("Bounds.UsageWindowS", "5");
        put("Bounds.RevokeMs", "5000");
        put("Bounds.LeaseMs", "3000");
        put("Bounds.DrainMs", "3000");
        put("Bounds.GraceS", "8");
        put("Bounds.RetryWindowS", "10");
        put("Bounds.RetryBudgetRatio", "0.2");
        put("Bounds.RetryBudgetExtra", "62");
        put("Bootstrap", "true");
        let seeds: Vec<_> = ips
            .iter()
            .map(|ip| format!("\"{ip}:{}\"", ports[CONTROL]))
            .collect();
        put(
            "Seeds",
            &format!(
                "[{}]",
                seeds.iter().take(3).cloned().collect::<Vec<_>>().join(",")
            ),
        );
        put("InternalPorts.0", &ports[INTERNAL].to_string());
        let machine = |(at, zone): (usize, &&str)| Machine {
            name: format!("front-{zone}-{}", at + 1),
            zone: (*zone).to_owned(),
            ip: ips[at].clone(),
            front: None,
            control: None,
            dir: dir.join(format!("m{at}")),
        };
        let machines: Vec<_> = zones.iter().enumerate().map(machine).collect();
        for machine in &machines {
            fs::create_dir_all(machine.dir.join("data")).expect("a data folder");
        }
        Self {
            machines,
            repo: repo.to_owned(),
            dir,
            values,
            ports,
            record: record.clone(),
            _guard: guard,
        }
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        self.address(at, 0)
    }

    pub fn ready(&self, at: usize) -> SocketAddr {
        self.address(at, READY)
    }

    pub fn control(&self, at: usize) -> SocketAddr {
        self.address(at, CONTROL)
    }

    fn address(&self, at: usize, port: usize) -> SocketAddr {
        format!("{}:{}", self.machines[at].ip, self.ports[port])
            .parse()
            .unwrap()
    }

    /// Fills in a machine's settings; returns the path of the file.
    fn write_settings(&self, at: usize, role: &str) -> PathBuf {
        let mut values = self.values.clone();
        let machine = &self.machines[at];
        values.insert("Node".into(), machine.name.clone());
        values.insert("Ip".into(), machine.ip.clone());
        values.insert("Zone".into(), machine.zone.clone());
        values.insert("Listen.Front".into(), self.front(at).to_string());
        values.insert("Listen.Ready".into(), self.ready(at).to_string());
        values.insert("Listen.Control".into(), self.control(at).to_string());
        if role == "control" {
            values.insert(
                "DataDir".into(),
                machine.dir.join("data").display().to_string(),
            );
        }
        let template = self.repo.join(format!("deploy/{role}.toml"));
        let template = fs::read_to_string(template).expect("a template of settings");
        // The ports of the metrics are fixed in the templates; each machine has its own address.
        let settings = machine.dir.join(format!("{role}.toml"));
        fs::write(&settings, render(&template, &values)).expect("settings");
        settings
    }

    /// Starts the front or the control process of a machine, as the deploy file's command.
    pub fn start(&mut self, at: usize, role: &str) {
        let settings = self.write_settings(at, role);
        let machine = &self.machines[at];
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(machine.dir.join(format!("{role}.log")))
            .expect("a log");
        let mut command = Command::new(self.repo.join(format!("target/release/berg-{role}")));
        command
            .arg(&settings)
            .current_dir(&self.repo)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log));
        // The process ends if the stand-in is killed before it could end it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program");
        self.record.line(&format!(
            "started {role} of {} as {}",
            machine.name,
            child.id()
        ));
        let machine = &mut self.machines[at];
        *(if role == "front" {
            &mut machine.front
        } else {
            &mut machine.control
        }) = Some(child);
    }

    /// Starts all processes of a machine.
    pub fn start_machine(&mut self, at: usize) {
        self.start(at, "control");
        self.start(at, "front");
    }

    /// What the platform does with processes that end by themselves: it starts them again after a
    /// short delay. Returns how many ended.
    pub fn tend(&mut self) -> usize {
        let mut ended = Vec::new();
        for (at, machine) in self.machines.iter_mut().enumerate() {
            let roles = [
                ("front", &mut machine.front),
                ("control", &mut machine.control),
            ];
            for (role, child) in roles {
                let status = child
                    .as_mut()
                    .and_then(|child| child.try_wait().ok().flatten());
                if let Some(status) = status {
                    *child = None;
                    ended.push((at, role, status));
                }
            }
        }
        if !ended.is_empty() {
            thread::sleep(Duration::from_secs(1));
        }
        for (at, role, status) in &ended {
            let name = &self.machines[*at].name;
            self.record
                .say(&format!("{role} of {name} ended by itself: {status}"));
            self.start(*at, role);
        }
        ended.len()
    }

    pub fn set(&mut self, name: &str, value: &str) {
        self.values.insert(name.to_owned(), value.to_owned());
    }

    /// Names these machines as seeds in all settings files from now on.
    pub fn set_seeds(&mut self, seeds: &[usize]) {
        let seeds: Vec<_> = seeds
            .iter()
            .map(|at| format!("\"{}\"", self.control(*at)))
            .collect();
        self.set("Seeds", &format!("[{}]", seeds.join(",")));
        for at in 0..self.machines.len() {
            for role in ["front", "control"] {
                self.write_settings(at, role);
            }
        }
    }

    /// Stops a machine as planned: SIGTERM, then SIGKILL once the time is over.
    pub fn terminate(&mut self, at: usize, grace: Duration) {
        let machine = &mut self.machines[at];
        let mut children: Vec<_> = [machine.front.take(), machine.control.take()]
            .into_iter()
            .flatten()
            .collect();
        for child in &children {
            let _ = Command::new("kill")
                .arg("-TERM")
                .arg(child.id().to_string())
                .status();
        }
        let ended = wait_until(grace, || {
            children
                .iter_mut()
                .all(|child| child.try_wait().is_ok_and(|ended| ended.is_some()))
        });
        for child in &mut children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let name = self.machines[at].name.clone();
        self.record
            .line(&format!("{name} has ended, in its grace period: {ended}"));
    }

    pub fn kill(&mut self, at: usize) {
        let machine = &mut self.machines[at];
        for mut child in [machine.front.take(), machine.control.take()]
            .into_iter()
            .flatten()
        {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn kill_role(&mut self, at: usize, role: &str) {
        let machine = &mut self.machines[at];
        let child = if role == "front" {
            &mut machine.front
        } else {
            &mut machine.control
        };
        if let Some(mut child) = child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Empties the disk of a machine.
    pub fn wipe(&mut self, at: usize) {
        let data = self.machines[at].dir.join("data");
        let _ = fs::remove_dir_all(&data);
        let _ = fs::create_dir_all(&data);
    }

    /// An operator's order: to any node, with redirects, until it is answered or the time is over.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<Message> {
        let running = (0..self.machines.len()).filter(|at| self.machines[*at].control.is_some());
        self.order_at(&running.collect::<Vec<_>>(), method, path, body, limit)
    }

    pub fn order_at(
        &self,
        nodes: &[usize],
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<Message> {
        let nodes: Vec<_> = nodes.iter().map(|at| self.control(*at)).collect();
        order(&nodes, method, path, body, limit)
    }
}

/// An operator's order to these nodes in turn.
pub fn order(
    nodes: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let end = Instant::now() + limit;
    let mut at = 0;
    while Instant::now() < end {
        let mut address = nodes[at % nodes.len()];
        at += 1;
        for _ in 0..3 {
            let request = format!(
                "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
                     Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let Some(answer) = call(address, request.as_bytes(), Duration::from_secs(1)) else {
                break;
            };
            match answer.status() {
                307 => {
                    let to = answer.field("location").unwrap_or("").to_owned();
                    let to = to
                        .trim_start_matches("http://")
                        .split('/')
                        .next()
                        .unwrap_or("");
                    match to.parse() {
                        Ok(to) => address = to,
                        Err(_) => break,
                    }
                }
                200..=299 | 400..=407 | 409..=428 => return Some(answer),
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            for child in [&mut machine.front, &mut machine.control] {
                if let Some(child) = child {
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Ports that are free at all addresses: of the front, readiness, control and three internal ones.
fn free_ports(ips: &[String]) -> [u16; 6] {
    let mut ports = [0; 6];
    for port in &mut ports {
        *port = loop {
            let first = TcpListener::bind((ips[0].as_str(), 0)).expect("a free port");
            let port = first.local_addr().unwrap().port();
            let rest: Result<Vec<_>, _> = ips[1..]
                .iter()
                .map(|ip| TcpListener::bind((ip.as_str(), port)))
                .collect();
            if rest.is_ok() {
                break port;
            }
        };
    }
    ports
}

/// Fills in a template of settings, as the pages describe it.
fn render(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{#") {
        text.push_str(&rest[..start]);
        let name_end = rest[start..].find("}}").unwrap() + start;
        let name = &rest[start + 3..name_end];
        let close = format!("{{{{/{name}}}}}");
        let end = rest.find(&close).unwrap();
        if let Some(value) = values.get(name) {
            text.push_str(&rest[name_end + 2..end].replace("{{.}}", value));
        }
        rest = &rest[end + close.len()..];
    }
    text.push_str(rest);
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// A configuration with one service and one tenant: a safe route, an unsafe route and a stream.
pub fn config(version: u64, service: &str, extra_routes: usize) -> String {
    // Each version changes the time-outs.
    let timeout = 4000 + version % 100;
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 target: u32,
                 attempts: u32,
                 resumable: bool| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"app.example\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":{timeout},\"TargetLatencyMs\":{target},\"Priority\":1,\"Service\":\"{service}\",\
             \"MaxAttempts\":{attempts},\"Public\":false,\"Sticky\":false,\"Resumable\":{resumable},\"GapAimMs\":300}}"
        )
    };
    let mut routes = vec![
        route("r-safe", "/safe/", "safe", 150, 2, false),
        route("r-unsafe", "/unsafe/", "unsafe", 150, 1, false),
        route("r-stream", "/stream/", "stream", 300, 2, true),
    ];
    for at in 0..extra_routes {
        routes.push(route(
            &format!("r-more{at}"),
            &format!("/more{at}/"),
            "safe",
            150,
            2,
            false,
        ));
    }
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{service}\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":380,\"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":0.0,\"ColdPerS\":0.0}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"tenant1\",\"ApiKeys\":[\"key1key1key1\"],\"Priority\":1}}]}}",
        routes.join(",")
    )
}

/// A client's request as bytes.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: app.example\r\nX-Bergamothinge-Attempt-Id: {id}\r\n\
         X-Bergamothinge-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key1key1key1\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Resident memory of a process in bytes.
pub fn resident(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
