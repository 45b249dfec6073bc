//! The cost of the configuration: memory of a view, bytes of a full update, time of one change.

use conf::{
    Config,
    Content,
    Update, //
};
use ids::Revision;

use crate::group::configuration;
use crate::process::resident_bytes;
use crate::sample::Series;

/// Numbers of endpoints.
const SIZES: [usize; 5] = [66, 165, 330, 660, 1320];
/// Views that exist at the same time during the memory measurement. The average over several views
/// is less sensitive to the block sizes of the allocator.
const COPIES: usize = 20;

pub(crate) fn measure() -> Result<Vec<Series>, String> {
    let mut memory = Series::new("memory of one view, KiB", "endpoints");
    let mut full = Series::new("bytes of a full update", "endpoints");
    let mut apply = Series::new("time of one change, us", "endpoints");
    for size in SIZES {
        let changes = configuration(size)?;
        let update = Update {
            revision: Revision(1),
            content: Content::Full(changes.clone()),
        };
        let bytes = wire::encode(&update).map_err(|error| error.to_string())?;
        full.push(size as f64, bytes.len() as f64);
        let before = resident_bytes();
        let import = || Config::import(Revision(1), &changes).map_err(|error| error.to_string());
        let mut views = (0..COPIES)
            .map(|_| import())
            .collect::<Result<Vec<_>, _>>()?;
        let used = resident_bytes().saturating_sub(before) as f64 / COPIES as f64;
        memory.push(size as f64, used / 1024.0);
        let change = &changes[..1];
        let started_at = std::time::Instant::now();
        for view in &mut views {
            view.apply_all(change).map_err(|error| error.to_string())?;
        }
        let change_s = started_at.elapsed().as_secs_f64() / COPIES as f64;
        apply.push(size as f64, change_s * 1e6);
    }
    Ok(vec![memory, full, apply])
}
