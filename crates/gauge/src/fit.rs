//! A line through values, by least squares.

use crate::sample::Sample;

/// The line `y = base + slope * x`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fit {
    /// The value at size zero.
    pub base: f64,
    /// What one more of the size adds.
    pub slope: f64,
    /// The largest distance of a value from the line, as a share of the largest value.
    pub residual: f64,
}

impl Fit {
    pub(crate) fn through(samples: &[Sample]) -> Self {
        let n = samples.len() as f64;
        let mean = |f: fn(&Sample) -> f64| samples.iter().map(f).sum::<f64>() / n.max(1.0);
        let (mx, my) = (mean(|s| s.x), mean(|s| s.y));
        let spread: f64 = samples.iter().map(|s| (s.x - mx).powi(2)).sum();
        let joint: f64 = samples.iter().map(|s| (s.x - mx) * (s.y - my)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = my - slope * mx;
        let most = samples
            .iter()
            .map(|s| s.y.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let away = samples.iter().map(|s| (s.y - base - slope * s.x).abs());
        Self {
            base,
            slope,
            residual: away.fold(0.0, f64::max) / most,
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
        exact_line: assert_eq!(
            fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]),
            Fit { base: 1.0, slope: 2.0, residual: 0.0 }
        );
        one_size: assert_eq!(fit(&[(5.0, 7.0)]).at(9.0), 7.0);
    }
}
