//! Fits figures of runs by the numbers of nodes and cache servers: least squares, with residuals, and a prediction of
//! the largest runs from the smaller ones.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::Args;

use super::report::{Record, Span};

/// What is fitted.
#[derive(Args)]
pub struct Options {
    /// Files of records, a line each.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Fits without the runs with the most nodes, and compares what that predicts for them.
    #[arg(long)]
    predict: bool,
    /// Prints only figures whose names contain this.
    #[arg(long, default_value = "")]
    figure: String,
    /// Prints each point with its residual.
    #[arg(long)]
    points: bool,
}

/// One value of a figure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Hollow nodes.
    pub nodes: f64,
    /// Cache servers.
    pub servers: f64,
    /// The figure's value.
    pub value: f64,
}

/// What a figure is said to grow with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// An intercept and a slope by nodes.
    Nodes,
    /// An intercept and slopes by nodes and by cache servers.
    Sum,
    /// An intercept, a slope by nodes, and one by nodes times cache servers.
    Product,
}

/// A fitted figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// The form that leaves the least.
    pub form: Form,
    /// The intercept and the slopes, in the form's order.
    pub coefficients: Vec<f64>,
    /// Root of the mean square of what is left over.
    pub residual: f64,
}

/// Under this part of the largest number a column counts as zero.
const SINGULAR: f64 = 1e-9;

impl Form {
    fn row(self, point: &Point) -> Vec<f64> {
        match self {
            Form::Nodes => vec![1.0, point.nodes],
            Form::Sum => vec![1.0, point.nodes, point.servers],
            Form::Product => vec![1.0, point.nodes, point.nodes * point.servers],
        }
    }

    fn name(self) -> &'static str {
        match self {
            Form::Nodes => "a + b*N",
            Form::Sum => "a + b*N + c*M",
            Form::Product => "a + b*N + c*N*M",
        }
    }
}

/// Solves a square system; `None` where it has no one solution.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let size = rows.len();
    for column in 0..size {
        let pivot =
            (column..size).max_by(|a, b| rows[*a][column].abs().total_cmp(&rows[*b][column].abs()))?;
        rows.swap(column, pivot);
        if rows[column][column].abs() < SINGULAR {
            return None;
        }
        for row in 0..size {
            if row != column {
                let factor = rows[row][column] / rows[column][column];
                let pivot = rows[column].clone();
                rows[row].iter_mut().zip(&pivot).for_each(|(value, above)| *value -= factor * above);
            }
        }
    }
    Some((0..size).map(|i| rows[i][size] / rows[i][i]).collect())
}

/// Least squares; columns are scaled so that sizes do not decide what counts as zero.
fn least_squares(rows: &[Vec<f64>], values: &[f64]) -> Option<Vec<f64>> {
    let width = rows.first()?.len();
    if rows.len() < width {
        return None;
    }
    let scales: Vec<f64> =
        (0..width).map(|c| rows.iter().map(|r| r[c].abs()).fold(f64::MIN_POSITIVE, f64::max)).collect();
    let at = |row: &[f64], column: usize| row[column] / scales[column];
    let normal = (0..width).map(|i| {
        let dot = |j: usize| rows.iter().map(|r| at(r, i) * at(r, j)).sum::<f64>();
        let right = rows.iter().zip(values).map(|(r, v)| at(r, i) * v).sum::<f64>();
        (0..width).map(dot).chain([right]).collect()
    });
    let solved = solve(normal.collect())?;
    Some(solved.into_iter().zip(scales).map(|(s, scale)| s / scale).collect())
}

impl Fit {
    /// What it says of a size.
    pub fn at(&self, point: &Point) -> f64 {
        self.form.row(point).iter().zip(&self.coefficients).map(|(x, c)| x * c).sum()
    }

    fn of_form(form: Form, points: &[Point]) -> Option<Fit> {
        let rows: Vec<Vec<f64>> = points.iter().map(|p| form.row(p)).collect();
        let values: Vec<f64> = points.iter().map(|p| p.value).collect();
        let mut fit = Fit { form, coefficients: least_squares(&rows, &values)?, residual: 0.0 };
        let squares = points.iter().map(|p| (p.value - fit.at(p)).powi(2)).sum::<f64>();
        fit.residual = (squares / points.len() as f64).sqrt();
        Some(fit)
    }

    /// The form that leaves the least; `None` where sizes are too few.
    pub fn of(points: &[Point]) -> Option<Fit> {
        let fits = [Form::Sum, Form::Product].into_iter().filter_map(|form| Fit::of_form(form, points));
        let best = fits.min_by(|a, b| a.residual.total_cmp(&b.residual));
        best.or_else(|| Fit::of_form(Form::Nodes, points))
    }
}

/// The figures of a rest: shares and rates.
fn rest_figures(span: &Span, leader: usize, into: &mut BTreeMap<String, f64>) {
    let mut set = |name: String, value: f64| {
        into.insert(format!("rest.{name}"), value);
    };
    let per_s = |value: f64| value / span.seconds;
    let leads = |place: &usize| *place + 1 == leader;
    for (_, usage) in span.coordinators.iter().enumerate().filter(|(place, _)| leads(place)) {
        set("leader.cpu_percent".into(), 100.0 * per_s(usage.cpu_s));
        set("leader.memory_kb".into(), usage.memory_kb as f64);
        set("leader.file_bytes_per_s".into(), per_s(usage.file_bytes as f64));
        set("leader.store_bytes".into(), usage.store_bytes as f64);
    }
    let others: Vec<_> = span.coordinators.iter().enumerate().filter(|(place, _)| !leads(place)).collect();
    if !others.is_empty() {
        let mean = |of: fn(&super::coordinators::Usage) -> f64| {
            others.iter().map(|(_, usage)| of(usage)).sum::<f64>() / others.len() as f64
        };
        set("follower.cpu_percent".into(), 100.0 * per_s(mean(|u| u.cpu_s)));
        set("follower.memory_kb".into(), mean(|u| u.memory_kb as f64));
    }
    set("hollow.cpu_percent".into(), 100.0 * per_s(span.hollow.cpu_s));
    set("hollow.memory_kb".into(), span.hollow.memory_kb as f64);
    set("log_lines_per_s".into(), per_s(span.log_lines as f64));
    let sum = |of: fn(&super::tally::CallCounts) -> u64| span.calls.values().map(of).sum::<u64>() as f64;
    set("calls_per_s".into(), per_s(sum(|c| c.calls)));
    set("sent_bytes_per_s".into(), per_s(sum(|c| c.sent_bytes)));
    set("received_bytes_per_s".into(), per_s(sum(|c| c.received_bytes)));
    set("unanswered_per_s".into(), per_s(sum(|c| c.unanswered)));
    for (kind, counts) in &span.calls {
        set(format!("{kind}.calls_per_s"), per_s(counts.calls as f64));
    }
}

/// The figures of an event: totals.
fn event_figures(record: &Record, event: &Span, into: &mut BTreeMap<String, f64>) {
    let scenario = &record.scenario;
    let mut set = |name: String, value: f64| {
        into.insert(format!("{scenario}.{name}"), value);
    };
    set("seconds".into(), event.seconds);
    set("cpu_s".into(), record.event_cpu_s.unwrap_or_default());
    set("cpu_most_s".into(), record.event_cpu_most_s.unwrap_or_default());
    for (kind, counts) in &event.calls {
        set(format!("{kind}.calls"), counts.calls as f64);
        set(format!("{kind}.sent_bytes"), counts.sent_bytes as f64);
        set(format!("{kind}.received_bytes"), counts.received_bytes as f64);
    }
    for (step, latency) in &record.steps {
        set(format!("{step}.median_ms"), latency.median_ms);
        set(format!("{step}.longest_ms"), latency.longest_ms);
    }
    set("sessions_ended".into(), record.sessions_ended as f64);
    set("renewals_late".into(), record.renewals_late as f64);
}

/// All figures of a run, by name.
fn figures(record: &Record) -> BTreeMap<String, f64> {
    let mut all = BTreeMap::new();
    rest_figures(&record.rest, record.leader, &mut all);
    all.insert("start.seconds".into(), record.start.seconds);
    all.insert("start.cpu_s".into(), record.start.coordinators.iter().map(|u| u.cpu_s).sum());
    all.insert("start.hollow.cpu_s".into(), record.start.hollow.cpu_s);
    if let Some(event) = &record.event {
        event_figures(record, event, &mut all);
    }
    all
}

/// The runs that the judge found good; the others say nothing of a size that carries.
fn good_runs(records: Vec<Record>) -> Vec<Record> {
    let all = records.len();
    let good: Vec<Record> = records.into_iter().filter(Record::is_good).collect();
    println!("{} of {all} runs are good and counted", good.len());
    good
}

/// The points of each figure, by members and session time.
fn points(records: &[Record]) -> BTreeMap<(usize, u64, String), Vec<Point>> {
    let mut all: BTreeMap<(usize, u64, String), Vec<Point>> = BTreeMap::new();
    for record in records {
        let (nodes, servers) = (record.nodes as f64, record.servers as f64);
        for (name, value) in figures(record) {
            let key = (record.members, record.ttl_ms, name);
            all.entry(key).or_default().push(Point { nodes, servers, value });
        }
    }
    all
}

fn read(files: &[PathBuf]) -> Result<Vec<Record>, String> {
    let mut records = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        for (number, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let record = serde_json::from_str(line);
            records.push(record.map_err(|e| format!("{}:{}: {e}", file.display(), number + 1))?);
        }
    }
    Ok(records)
}

fn mean(points: &[Point]) -> f64 {
    points.iter().map(|p| p.value).sum::<f64>() / points.len().max(1) as f64
}

fn print_fit(name: &str, points: &[Point], options: &Options) {
    let Some(fit) = Fit::of(points) else { return };
    let coefficients: Vec<String> = fit.coefficients.iter().map(|c| format!("{c:.6}")).collect();
    println!(
        "{name}: {} of {} points: {}; residual {:.3} ({:.0}% of the mean)",
        fit.form.name(),
        points.len(),
        coefficients.join(", "),
        fit.residual,
        100.0 * fit.residual / mean(points).abs().max(f64::MIN_POSITIVE),
    );
    for point in points.iter().filter(|_| options.points) {
        let left = point.value - fit.at(point);
        println!("  N {} M {}: {:.3}, residual {left:+.3}", point.nodes, point.servers, point.value);
    }
}

fn print_prediction(name: &str, points: &[Point]) {
    let largest = points.iter().map(|p| p.nodes).fold(0.0, f64::max);
    let (large, small): (Vec<Point>, Vec<Point>) = points.iter().partition(|p| p.nodes >= largest);
    let Some(fit) = Fit::of(&small) else { return };
    for point in large {
        let predicted = fit.at(&point);
        println!(
            "{name}: N {} M {}: predicted {predicted:.3} by {} from {} smaller, measured {:.3}: {:+.0}%",
            point.nodes,
            point.servers,
            fit.form.name(),
            small.len(),
            point.value,
            100.0 * (point.value - predicted) / predicted.abs().max(f64::MIN_POSITIVE),
        );
    }
}

/// Fits and prints.
///
/// # Errors
///
/// A file that can't be read.
pub fn run(options: &Options) -> Result<(), String> {
    for ((members, ttl_ms, name), points) in points(&good_runs(read(&options.files)?)) {
        if !name.contains(&options.figure) {
            continue;
        }
        let name = format!("{members} members, ttl {ttl_ms} ms, {name}");
        match options.predict {
            true => print_prediction(&name, &points),
            false => print_fit(&name, &points, options),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
