//! The operators' client: finds the leader, proposes changes, waits until they are in force.

mod client;
mod explain;
mod plan;
mod sheet;

pub use client::{
    OperatorClient,
    OperatorError, //
};
pub use explain::{
    Timeline,
    TimelineEntry,
    explain, //
};
pub use plan::{
    PlanError,
    diff,
    read_plan, //
};
pub use sheet::{
    Sheet,
    SheetError,
    SheetFault,
    export_sheet, //
};
