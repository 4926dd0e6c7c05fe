//! What a run measured, as text, table and plot.

use {
    crate::{StandinError, arrivals::Kind, caller::Ended},
    hdrhistogram::Histogram,
    plotters::prelude::{
        BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea, IntoFont, LineSeries, PathElement, RED,
        SVGBackend, WHITE,
    },
    std::{collections::BTreeMap, fmt::Write, path::Path},
};

/// What became of the calls of one kind.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Calls by what their callers know of them.
    pub ended: BTreeMap<&'static str, u64>,
    /// Microseconds from the planned time to the refusal's arrival, less the wait for a free
    /// caller.
    pub refused: Histogram<u64>,
    /// Refusals without a time to come back.
    pub rude: u64,
    /// Microseconds from the planned time to the whole answer.
    pub served: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            ended: BTreeMap::new(),
            refused: histogram(),
            rude: 0,
            served: histogram(),
        }
    }
}

/// An empty histogram of microseconds up to two minutes, to three digits.
fn histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, 120_000_000, 3) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("the bounds are constants: {error}"),
    }
}

/// The name of an ending in reports.
pub fn ending(ended: Ended) -> &'static str {
    match ended {
        Ended::Crossed => "crossed",
        Ended::Lost => "lost",
        Ended::NotRun => "refused",
        Ended::Ran => "served",
        Ended::Unknown => "unknown",
    }
}

/// What a whole run measured.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests given up by the workers.
    pub cancelled: u64,
    /// Processor time of the daemons in percent of a core: mean and most.
    pub cpu: (f64, f64),
    /// Connections that were opened to workers while a request waited, per 1,000 calls.
    pub dials: f64,
    /// At-most-once calls that ran more than once, or ran though called not run.
    pub doubled: u64,
    /// Work begun at workers, in percent of calls that ran.
    pub extra: f64,
    /// Kibibytes of the largest daemon.
    pub memory: u64,
    /// Times at which a cold worker held more than it bore.
    pub over: u64,
    /// Bytes a second that a daemon exchanged with peers: mean and most.
    pub peer: (f64, f64),
    /// The most measuring requests that a worker got in a second.
    pub probes: u64,
    /// Calls by kind.
    pub tallies: BTreeMap<Kind, Tally>,
    /// Useful work done, in percent of what all slots could do.
    pub useful: f64,
}

impl Report {
    /// A quantile of the served reads, in milliseconds.
    pub fn read_quantile(&self, quantile: f64) -> f64 {
        let tally = self.tallies.get(&Kind::Read);
        tally.map_or(0.0, |tally| {
            tally.served.value_at_quantile(quantile) as f64 / 1_000.0
        })
    }

    /// The report as lines of text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (kind, tally) in &self.tallies {
            let at = |quantile| tally.served.value_at_quantile(quantile) as f64 / 1_000.0;
            let _fits = writeln!(
                text,
                "{kind:?}: {:?}; ms p50 {:.2} p90 {:.2} p99 {:.2} p99.9 {:.2}; refusals ms p99 {:.2}, without Retry-After {}",
                tally.ended,
                at(0.5),
                at(0.9),
                at(0.99),
                at(0.999),
                tally.refused.value_at_quantile(0.99) as f64 / 1_000.0,
                tally.rude,
            );
        }
        let _fits = writeln!(
            text,
            "doubled {}; useful {:.1}% of capacity; extra work {:.2}%; cancelled {}; cold workers over {}; probes in a second {}; dials {:.2} per 1,000; daemon cpu {:.1}% (most {:.1}%), memory {} KB, peers {:.0} B/s (most {:.0})",
            self.doubled,
            self.useful,
            self.extra,
            self.cancelled,
            self.over,
            self.probes,
            self.dials,
            self.cpu.0,
            self.cpu.1,
            self.memory,
            self.peer.0,
            self.peer.1,
        );
        text
    }

    /// A row of a Markdown table.
    pub fn row(&self, name: &str) -> String {
        let ended = |kind: Kind, ended: &str| {
            let tally = self.tallies.get(&kind);
            tally
                .and_then(|tally| tally.ended.get(ended))
                .copied()
                .unwrap_or_default()
        };
        let sum = |name: &str| {
            [Kind::Read, Kind::Payment, Kind::Archive]
                .map(|kind| ended(kind, name))
                .iter()
                .sum::<u64>()
        };
        format!(
            "| {name} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} | {:.2} | {} | {} | {:.1} | {:.0} | {} |",
            sum("served"),
            sum("refused"),
            sum("unknown"),
            sum("lost") + sum("crossed"),
            self.doubled,
            self.read_quantile(0.5),
            self.read_quantile(0.9),
            self.read_quantile(0.99),
            self.read_quantile(0.999),
            self.useful,
            self.extra,
            self.over,
            self.probes,
            self.cpu.0,
            self.peer.0,
            self.memory,
        )
    }
}

/// The head of the Markdown table whose rows are [`Report::row`].
pub const TABLE: &str = "\
| run | served | refused | unknown | lost | doubled | p50 ms | p90 ms | p99 ms | p99.9 ms | useful % | extra % | cold over | probes/s | cpu % | peers B/s | KB |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Plots the reads' time by quantile, one line a run.
///
/// # Errors
/// Fails where the file can't be written.
pub fn plot(path: &Path, title: &str, runs: &[(String, Report)]) -> Result<(), StandinError> {
    let fault = |error: &dyn std::fmt::Display| std::io::Error::other(error.to_string());
    let most = runs
        .iter()
        .map(|(_, report)| report.read_quantile(0.999))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, (800, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| fault(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..3.0, 0.0..most * 1.05)
        .map_err(|error| fault(&error))?;
    chart
        .configure_mesh()
        .x_desc("quantile of reads, as nines: 1 is p90, 2 is p99, 3 is p99.9")
        .y_desc("ms")
        .draw()
        .map_err(|error| fault(&error))?;
    for (index, (name, report)) in runs.iter().enumerate() {
        let colour = [BLUE, RED, GREEN, BLACK][index % 4];
        let point = |step: u32| {
            let nines = f64::from(step) / 20.0;
            (nines, report.read_quantile(1.0 - 10_f64.powf(-nines)))
        };
        chart
            .draw_series(LineSeries::new((0..=60).map(point), &colour))
            .map_err(|error| fault(&error))?
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|error| fault(&error))?;
    area.present().map_err(|error| fault(&error))?;
    Ok(())
}
