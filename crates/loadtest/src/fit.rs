//! Least-squares fit of a line.

use crate::sample::Sample;

/// The line `y = base + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fit {
    /// The value at size 0.
    pub base: f64,
    /// The increase for each unit of size.
    pub slope: f64,
    /// The largest distance of a value from the line, divided by the largest absolute value.
    pub residual: f64,
}

impl Fit {
    /// Fits a line through samples by least squares.
    pub(crate) fn through(samples: &[Sample]) -> Self {
        let n = samples.len() as f64;
        let mean = |f: fn(&Sample) -> f64| samples.iter().map(f).sum::<f64>() / n.max(1.0);
        let (mean_x, mean_y) = (mean(|s| s.x), mean(|s| s.y));
        let variance: f64 = samples.iter().map(|s| (s.x - mean_x).powi(2)).sum();
        let covariance: f64 = samples
            .iter()
            .map(|s| (s.x - mean_x) * (s.y - mean_y))
            .sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let base = mean_y - slope * mean_x;
        let largest = samples
            .iter()
            .map(|s| s.y.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let deviations = samples.iter().map(|s| (s.y - base - slope * s.x).abs());
        Self {
            base,
            slope,
            residual: deviations.fold(0.0, f64::max) / largest,
        }
    }

    /// The line's value at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fit(points: &[(f64, f64)]) -> Fit {
        let samples: Vec<_> = points
            .iter()
            .map(|(x, y)| Sample { x: *x, y: *y })
            .collect();
        Fit::through(&samples)
    }

    case::cases! {
        points_on_a_line_have_no_residual: assert_eq!(
            fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]),
            Fit { base: 1.0, slope: 2.0, residual: 0.0 }
        );
        single_point_gives_a_constant: assert_eq!(fit(&[(5.0, 7.0)]).at(9.0), 7.0);
    }
}
