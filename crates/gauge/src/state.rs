//! What the configuration takes: memory of a view, bytes of a full update and of a delta.

use conf::{
    Config,
    Content,
    Update, //
};
use ids::Revision;

use crate::group::configuration;
use crate::process::memory;
use crate::sample::Series;

/// Endpoints of the configurations measured.
const SIZES: [usize; 5] = [66, 165, 330, 660, 1320];
/// Views held at once while memory is measured, so that the allocator's steps average out.
const COPIES: usize = 20;

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    let mut held = Series::new("memory of one view, KiB", "endpoints");
    let mut full = Series::new("bytes of a full update", "endpoints");
    let mut apply = Series::new("time of one change, us", "endpoints");
    for size in SIZES {
        let changes = configuration(size)?;
        let update = Update {
            revision: Revision(1),
            content: Content::Full(changes.clone()),
        };
        let bytes = wire::encode(&update).map_err(|fault| fault.to_string())?;
        full.push(size as f64, bytes.len() as f64);
        let before = memory();
        let import = || Config::import(Revision(1), &changes).map_err(|fault| fault.to_string());
        let mut views = (0..COPIES)
            .map(|_| import())
            .collect::<Result<Vec<_>, _>>()?;
        let used = memory().saturating_sub(before) as f64 / COPIES as f64;
        held.push(size as f64, used / 1024.0);
        let change = &changes[..1];
        let began = std::time::Instant::now();
        for view in &mut views {
            view.apply_all(change).map_err(|fault| fault.to_string())?;
        }
        let each = began.elapsed().as_secs_f64() / COPIES as f64;
        apply.push(size as f64, each * 1e6);
    }
    Ok(vec![held, full, apply])
}
