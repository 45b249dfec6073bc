//! Many changes of a large plan stay within the bounds on memory and disk space that the settings
//! grant, also where a host starts with more on its disk.

mod hosts;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{
    Duration,
    Instant, //
};

use agree::Limits;
use control::{
    BillingRequest,
    CommandError,
    Handle,
    OperatorCommand,
    PlatformCodec,
    Settings, //
};
use edge::{
    Client,
    Head,
    reserve_address, //
};
use hosts::settings;
use obs::Counters;
use peer::ListingFormat;
use plan::Document;
use tempfile::TempDir;
use usage::Statement;

/// Longest time until a host responds.
const DEADLINE: Duration = Duration::from_secs(20);
const DOCUMENT_BYTES: usize = 320 * 1024;
const CHANGES: u64 = 60;

/// Bounds for 32 MiB of memory and 16 MiB of disk space.
fn tight() -> Limits {
    Limits::new(32 << 20, 16 << 20)
}

/// Takes each body as a plan whose version is the number before the first space.
#[derive(Clone)]
struct Numbered;

impl ListingFormat for Numbered {
    fn target(&self, _: Option<&str>) -> String {
        "/".to_owned()
    }

    fn next(&self, _: &[u8]) -> Result<Option<String>, String> {
        Ok(None)
    }
}

impl PlatformCodec for Numbered {
    fn decode_command(&self, head: &Head, body: &[u8]) -> Result<OperatorCommand, CommandError> {
        if head.method.as_str() == "GET" {
            return Ok(OperatorCommand::Read);
        }
        let text = String::from_utf8_lossy(body);
        let version = text.split(' ').next().and_then(|text| text.parse().ok());
        let bytes = body.to_vec().into();
        match version {
            Some(version) => Ok(OperatorCommand::Install(Document { version, bytes })),
            None => Err(CommandError {
                status: 400,
                text: "no version".to_owned(),
            }),
        }
    }

    fn encode_statement(&self, _: &Statement, _: &str, _: u64) -> BillingRequest {
        BillingRequest {
            target: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}

/// The settings of the only host of a group.
fn only_host(data: &Path, bounds: Limits) -> Settings {
    let listen = reserve_address().unwrap();
    Settings {
        bounds,
        ..settings("control-0", listen, vec![listen], Some(data))
    }
}

fn start(settings: &Settings) -> Handle {
    control::run_with(settings, Numbered, obs::discard(), Counters::local()).unwrap()
}

fn orders(settings: &Settings) -> SocketAddr {
    settings.plan.as_ref().unwrap().listen
}

/// A plan that does not compress well.
fn document(version: u64) -> Vec<u8> {
    let mut text = format!("{version} ");
    let mut word = version;
    while text.len() < DOCUMENT_BYTES {
        word = word
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        text.push_str(&format!("{word:016x}"));
    }
    text.into_bytes()
}

/// Sends an order until it succeeds, and returns the body of the response.
fn order(to: SocketAddr, method: &str, body: &[u8]) -> Vec<u8> {
    let started = Instant::now();
    let client = Client::new(Duration::from_secs(2));
    while started.elapsed() < DEADLINE {
        match client.call(to, method, "/config", &[], body.to_vec()) {
            Ok(response) if response.status == 200 => return response.body.to_vec(),
            _ => std::thread::sleep(Duration::from_millis(20)),
        }
    }
    panic!("{method} did not succeed in {DEADLINE:?}");
}

/// The size of all files in a directory.
fn size(dir: &Path) -> usize {
    let files = fs::read_dir(dir).unwrap().flatten();
    let sizes = files.filter_map(|file| file.metadata().ok());
    sizes.map(|file| file.len() as usize).sum()
}

/// The most that a host may keep on its disk: a journal, its successor, and two snapshots.
fn disk_bound(bounds: Limits) -> usize {
    bounds.log + 2 * bounds.pending + 2 * DOCUMENT_BYTES
}

/// Sends changes `from..to`, and returns the largest size of the data directory after any of them.
fn change(settings: &Settings, from: u64, to: u64) -> usize {
    let data = settings.data_dir.as_deref().unwrap();
    let sizes = (from..to).map(|version| {
        order(orders(settings), "PUT", &document(version));
        size(data)
    });
    sizes.max().unwrap()
}

/// Guards against a log that is compacted by the number of its entries only: some 200 changes of a
/// large configuration filled disk and memory of all hosts for good.
fn stays_within_disk() {
    let dir = TempDir::new().unwrap();
    let settings = only_host(&dir.path().join("data"), tight());
    let host = start(&settings);
    let largest = change(&settings, 1, CHANGES);
    assert!(
        largest <= disk_bound(tight()),
        "{largest} bytes on the disk"
    );
    let read = order(orders(&settings), "GET", b"");
    assert!(read == document(CHANGES - 1), "another plan is read back");
    host.close();
    let host = start(&settings);
    let read = order(orders(&settings), "GET", b"");
    assert!(
        read == document(CHANGES - 1),
        "another plan after a restart"
    );
    host.close();
}

/// Guards against a host that cannot come back because its journal was written under a larger bound,
/// or under none.
fn large_journal_shrinks() {
    let dir = TempDir::new().unwrap();
    let data = dir.path().join("data");
    let before = only_host(&data, Limits::new(1 << 30, 1 << 30));
    let host = start(&before);
    let largest = change(&before, 1, CHANGES);
    assert!(largest > disk_bound(tight()), "{largest} bytes on the disk");
    host.close();
    let after = only_host(&data, tight());
    let host = start(&after);
    let read = order(orders(&after), "GET", b"");
    assert!(read == document(CHANGES - 1), "another plan is read back");
    let largest = change(&after, CHANGES, CHANGES + 2);
    assert!(
        largest <= disk_bound(tight()),
        "{largest} bytes on the disk"
    );
    host.close();
}

/// Guards against a host that ends for good because its journal leaves no space for a snapshot.
fn full_disk_takes_packed_snapshot() {
    let dir = TempDir::new().unwrap();
    let settings = only_host(&dir.path().join("data"), tight());
    let host = start(&settings);
    order(orders(&settings), "PUT", &document(1));
    // Writes of the next snapshot fail once, since the host then removes the file.
    let next = dir.path().join("data").join("snapshot-1.tmp");
    std::os::unix::fs::symlink("/dev/full", &next).unwrap();
    change(&settings, 2, CHANGES);
    assert!(!next.exists(), "no snapshot was written");
    host.close();
    let host = start(&settings);
    let read = order(orders(&settings), "GET", b"");
    assert!(
        read == document(CHANGES - 1),
        "another plan after a restart"
    );
    host.close();
}

case::cases! {
    large_changes_stay_within_disk: stays_within_disk();
    journal_above_its_bound_shrinks_after_a_start: large_journal_shrinks();
    full_disk_takes_a_packed_snapshot: full_disk_takes_packed_snapshot();
}
