//! The codec for commands and snapshots of the replicated state machine.

use govern::{
    Codec,
    Command,
    MachineSnapshot, //
};

use crate::codec::{
    WireError,
    decode,
    encode, //
};

/// Encodes commands and snapshots as MessagePack with `rmp-serde`.
#[derive(Clone, Copy, Debug)]
pub struct MessagePack;

impl Codec for MessagePack {
    type Error = WireError;

    fn encode_command(&self, command: &Command) -> Result<Vec<u8>, WireError> {
        encode(command)
    }

    fn decode_command(&self, bytes: &[u8]) -> Result<Command, WireError> {
        decode(bytes)
    }

    fn encode_snapshot(&self, state: &MachineSnapshot) -> Result<Vec<u8>, WireError> {
        encode(state)
    }

    fn decode_snapshot(&self, bytes: &[u8]) -> Result<MachineSnapshot, WireError> {
        decode(bytes)
    }
}
