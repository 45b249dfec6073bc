//! The data directory of a member of the control group: its initialization, and the state that it
//! holds.

use std::net::SocketAddr;
use std::path::Path;

use agree::{
    Body,
    DurableState,
    Entry,
    Member,
    MemberId,
    Record,
    Stage, //
};
use ids::{
    ClusterName,
    HostName,
    Index,
    Term, //
};
use obs::{
    Logger,
    event, //
};
use store::{
    Replay,
    StateDir, //
};
use wire::WireError;

use crate::codec;
use crate::role::RunError;
use crate::settings::{
    PlanSettings,
    Settings, //
};

/// How an empty data directory is initialized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitMode {
    /// The host is the first member of a new group.
    Bootstrap,
    /// The host becomes a member of an existing group later, by an operator's command or by its own
    /// request to join.
    Join,
}

/// Initializes an empty data directory with a new member identity, and returns the identity.
///
/// # Errors
///
/// [`RunError::Store`] if the directory cannot be written or already holds state;
/// [`RunError::State`] if the first record cannot be encoded.
pub fn init(settings: &Settings, mode: InitMode) -> Result<MemberId, RunError> {
    let id = rand::random();
    let record = match mode {
        InitMode::Join => Record::default(),
        InitMode::Bootstrap => bootstrap_record(vec![Member {
            id: MemberId(id),
            host: settings.common.host.clone(),
            address: settings.address(),
            stage: Stage::Voter,
        }]),
    };
    let data = settings.data_dir.as_deref().ok_or(RunError::NoDataDir)?;
    StateDir::init(data, id, &codec::encode_frame(&[record])?)?;
    Ok(MemberId(id))
}

/// What a member of the group has read from its disk.
pub(crate) struct Stored {
    pub(crate) dir: StateDir,
    pub(crate) id: MemberId,
    pub(crate) durable: DurableState,
}

/// Opens the data directory. A host that serves a plan initializes an empty one first.
pub(crate) fn open_or_init(
    settings: &Settings,
    data: &Path,
    log: &Logger,
) -> Result<Stored, RunError> {
    if let Some(plan) = &settings.plan {
        prepare_data_dir(settings, plan, data)?;
    }
    open(data, log)
}

/// Initializes an empty data directory. If the settings require a new group and name this host as
/// a seed, the host becomes a member of that group; otherwise it requests to join a group later.
fn prepare_data_dir(settings: &Settings, plan: &PlanSettings, data: &Path) -> Result<(), RunError> {
    if StateDir::exists(data) {
        return Ok(());
    }
    let own = settings.address();
    if !plan.bootstrap || !plan.seeds.contains(&own) {
        return init(settings, InitMode::Join).map(|_| ());
    }
    let cluster = &settings.common.cluster;
    let mut seeds = plan.seeds.clone();
    seeds.sort_unstable();
    seeds.dedup();
    let members = seeds.iter().map(|seed| bootstrap_member(cluster, *seed));
    let members = members.collect::<Result<Vec<_>, _>>()?;
    // All seeds start with the same entry, so that they agree on it without a leader.
    let record = bootstrap_record(members);
    let id = bootstrap_member(cluster, own)?.id;
    StateDir::init(data, id.0, &codec::encode_frame(&[record])?)?;
    Ok(())
}

/// The first record of a new group with these members.
fn bootstrap_record(members: Vec<Member>) -> Record {
    Record {
        vote: Some((Term(1), None)),
        truncate: None,
        entries: vec![Entry {
            index: Index(1),
            term: Term(1),
            body: Body::Members(members),
        }],
    }
}

/// A seed as a member of a new group. Its identity is derived from its address, so that all seeds
/// obtain the same identity without communication.
fn bootstrap_member(cluster: &ClusterName, address: SocketAddr) -> Result<Member, RunError> {
    let digest = blake3::hash(format!("{cluster} {address}").as_bytes());
    let (id, _) = digest.as_bytes().split_at(8);
    let id = id.iter().fold(0, |id, byte| id << 8 | u64::from(*byte));
    let host = HostName::try_from(format!("seed-{}", address.ip()).as_str());
    Ok(Member {
        id: MemberId(id),
        host: host.map_err(|error| RunError::State(error.to_string()))?,
        address,
        stage: Stage::Voter,
    })
}

/// Decodes the durable state while the data directory is read.
#[derive(Default)]
struct Decoder {
    durable: DurableState,
    /// The first error. What follows it is ignored.
    error: Option<WireError>,
}

impl Decoder {
    fn decode_snapshot(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let (meta, state) = codec::decode_snapshot(bytes)?;
        self.durable = DurableState::new(meta, state);
        Ok(())
    }

    fn decode_frame(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let records = codec::decode_frame(bytes)?.into_iter();
        records.for_each(|record| self.durable.replay(record));
        Ok(())
    }
}

impl Replay for Decoder {
    fn snapshot(&mut self, bytes: Vec<u8>) {
        self.error = self.decode_snapshot(&bytes).err();
    }

    fn record(&mut self, bytes: Vec<u8>) {
        if self.error.is_none() {
            self.error = self.decode_frame(&bytes).err();
        }
    }
}

/// Opens the data directory and decodes the durable state. Needs memory for that state and one
/// frame of the journal, whatever the journal's size.
fn open(data: &Path, log: &Logger) -> Result<Stored, RunError> {
    let mut decoder = Decoder::default();
    let (dir, origin) = StateDir::replay(data, &mut decoder)?;
    if origin.torn_bytes > 0 {
        event!(log, JournalTruncated, "bytes" => origin.torn_bytes);
    }
    match decoder.error {
        Some(error) => Err(error.into()),
        None => Ok(Stored {
            dir,
            id: MemberId(origin.identity),
            durable: decoder.durable,
        }),
    }
}
