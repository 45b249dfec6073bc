//! How commands and snapshots of the replicated state machine are written.

use govern::{
    Codec,
    Command,
    MachineState, //
};

use crate::codec::{
    WireError,
    decode,
    encode, //
};

/// `rmp-serde` for commands and snapshots.
#[derive(Clone, Copy, Debug)]
pub struct Packed;

impl Codec for Packed {
    type Fault = WireError;

    fn command(&self, command: &Command) -> Result<Vec<u8>, WireError> {
        encode(command)
    }

    fn read_command(&self, bytes: &[u8]) -> Result<Command, WireError> {
        decode(bytes)
    }

    fn state(&self, state: &MachineState) -> Result<Vec<u8>, WireError> {
        encode(state)
    }

    fn read_state(&self, bytes: &[u8]) -> Result<MachineState, WireError> {
        decode(bytes)
    }
}
