//! Several ways to choose workers, run in turn on the same arrivals.

use {
    crate::{
        StandinError, load,
        report::{Report, TABLE, plot},
        scenario::Scenario,
    },
    std::{fmt::Write, fs, path::Path},
};

/// Runs `ways` in turn, `rounds` times with a new seed each, and gives the ratios of the reads'
/// 99th percentile to the first way's, with their spread.
///
/// # Errors
/// Fails where a run does or a file can't be written.
pub fn run(
    scenario: &Scenario,
    ways: &[String],
    rounds: u64,
    out: Option<&Path>,
) -> Result<String, StandinError> {
    let mut runs: Vec<(String, Report)> = Vec::new();
    for round in 0..rounds {
        let seeded = Scenario {
            seed: scenario.seed + round,
            ..scenario.clone()
        };
        for way in ways {
            let report = load::run(&seeded, way)?;
            eprint!("{way}, seed {}:\n{}", seeded.seed, report.text());
            runs.push((format!("{way} seed {}", seeded.seed), report));
        }
    }
    let text = conclude(ways, &runs);
    if let Some(out) = out {
        write(out, scenario, &runs, ways.len(), &text)?;
    }
    Ok(text)
}

fn conclude(ways: &[String], runs: &[(String, Report)]) -> String {
    let mut text = String::new();
    let first = ways.first().map_or("", String::as_str);
    for (index, way) in ways.iter().enumerate().skip(1) {
        let ratios: Vec<f64> = runs
            .chunks(ways.len())
            .filter_map(|round| {
                let base = round.first()?.1.read_quantile(0.99);
                Some(round.get(index)?.1.read_quantile(0.99) / base.max(0.001))
            })
            .collect();
        let mean = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
        let low = ratios.iter().copied().fold(f64::MAX, f64::min);
        let high = ratios.iter().copied().fold(0.0, f64::max);
        let _fits = writeln!(
            text,
            "p99 of reads, {way} to {first}: {mean:.2} ({low:.2} to {high:.2}, {} rounds)",
            ratios.len()
        );
    }
    text
}

fn write(
    out: &Path,
    scenario: &Scenario,
    runs: &[(String, Report)],
    ways: usize,
    text: &str,
) -> Result<(), StandinError> {
    fs::create_dir_all(out)?;
    let name = format!(
        "load-{}-{:?}-{:?}",
        scenario.load, scenario.rhythm, scenario.times
    );
    let name = name.to_lowercase();
    let title = format!(
        "{}% load, {:?} arrivals, {:?} times, {} stragglers a service",
        scenario.load, scenario.rhythm, scenario.times, scenario.stragglers
    );
    let last = runs
        .get(runs.len().saturating_sub(ways)..)
        .unwrap_or_default();
    plot(&out.join(format!("{name}.svg")), &title, last)?;
    let mut table = format!("# {title}\n\n{TABLE}\n");
    for (name, report) in runs {
        table += &report.row(name);
        table.push('\n');
    }
    let _fits = write!(table, "\n{text}\n![quantiles]({name}.svg)\n");
    fs::write(out.join(format!("{name}.md")), table)?;
    Ok(())
}
