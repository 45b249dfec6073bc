//! The operators' client: finds the leader, proposes changes, waits until they are in force.

mod client;
mod config_file;
mod explain;
mod sheet;

pub use client::{
    OperatorClient,
    OperatorError, //
};
pub use config_file::{
    ConfigFileError,
    diff,
    parse_config_file, //
};
pub use explain::{
    Timeline,
    TimelineEntry,
    explain, //
};
pub use sheet::{
    Sheet,
    SheetError,
    SheetRowError,
    export_sheet, //
};
