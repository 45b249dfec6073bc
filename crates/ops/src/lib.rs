//! The operators' client: sends requests to the control group, computes changes from configuration
//! files and capacity sheets, and extracts the timeline of a request from logs.

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
