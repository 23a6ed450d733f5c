//! The straight line through figures of several sizes, by least squares, with what is left over at each.

use serde::Serialize;

use super::Measured;
use crate::demo;

/// Fewer sizes than this tell nothing of a line.
const FEWEST_SIZES: usize = 3;

/// A straight line and how far the figures lie from it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// What the line has at size 0.
    pub intercept: f64,
    /// What it gains with each of the size.
    pub slope: f64,
    /// Measured less fitted, by size.
    pub residuals: Vec<f64>,
}

impl Line {
    /// The line of least squares through points of a size and a figure; `None` where they are too few or of one size.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_figure = points.iter().map(|(_, figure)| figure).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if points.len() < FEWEST_SIZES || spread <= 0.0 {
            return None;
        }
        let common: f64 =
            points.iter().map(|(size, figure)| (size - mean_size) * (figure - mean_figure)).sum();
        let slope = common / spread;
        let intercept = mean_figure - slope * mean_size;
        let residuals = points.iter().map(|(size, figure)| figure - (intercept + slope * size)).collect();
        Some(Line { intercept, slope, residuals })
    }

    /// What the line has at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

#[derive(Serialize)]
struct Printed<'a> {
    fit: &'a str,
    against: &'a str,
    sizes: Vec<f64>,
    line: Line,
}

/// Prints the line of each figure against a size, as JSON.
pub fn print(runs: &[Measured], against: &str) {
    let names: Vec<&str> = runs.first().map(|run| run.figures.keys().copied().collect()).unwrap_or_default();
    for name in names {
        let point = |run: &Measured| Some((*run.sizes.get(against)?, *run.figures.get(name)?));
        let points: Vec<(f64, f64)> = runs.iter().filter_map(point).collect();
        let Some(line) = Line::through(&points) else { continue };
        let sizes = points.iter().map(|(size, _)| *size).collect();
        let printed = Printed { fit: name, against, sizes, line };
        demo::say(&serde_json::to_string(&printed).unwrap_or_default());
    }
}

#[cfg(test)]
mod tests;
