//! Logger setup: text or JSON on standard error, or non-blocking JSON on standard output.

use std::time;

use logforth::append;
use logforth::layout;
use logforth::record;

use crate::process::setup::settings;
use crate::process::telemetry::log_budget;

/// Result of installing the logger.
pub type Result<T> = std::result::Result<T, logforth::Error>;

/// Installs the process-wide logger, which writes to standard error.
///
/// # Errors
/// Fails when a logger is already installed.
pub fn init(settings: &settings::LogSettings) -> Result<()> {
    let filter = record::LevelFilter::MoreSevereEqual(level(settings.level));
    let stderr = append::Stderr::default();
    let stderr = match settings.format {
        settings::LogFormat::Text => stderr.with_layout(layout::TextLayout::default().no_color()),
        settings::LogFormat::Json => stderr.with_layout(layout::JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stderr))
        .try_apply()?;
    // Skips formatting of lines below the level.
    log::set_max_level(max_level(settings.level));
    Ok(())
}

/// Lines buffered for standard output; when the buffer is full, new lines are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Installs the process-wide logger, which writes JSON lines to standard output on its own thread.
///
/// # Errors
/// Fails when a logger is already installed.
pub fn init_stdout(settings_level: settings::LogLevel) -> Result<()> {
    let filter = record::LevelFilter::MoreSevereEqual(level(settings_level));
    let stdout = append::Stdout::default().with_layout(layout::JsonLayout::default());
    let buffered = append::asynchronous::AsyncBuilder::new("log-writer")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    let buffered = BudgetAppend {
        inner: buffered,
        budget: parking_lot::Mutex::default(),
        started: time::Instant::now(),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(buffered))
        .try_apply()?;
    log::set_max_level(max_level(settings_level));
    Ok(())
}

/// Forwards lines within the rate limit and logs how many were suppressed.
#[derive(Debug)]
struct BudgetAppend<Inner> {
    inner: Inner,
    budget: parking_lot::Mutex<log_budget::LineBudget>,
    started: time::Instant,
}

impl<Inner: logforth::Append> logforth::Append for BudgetAppend<Inner> {
    fn append(
        &self,
        record: &record::Record<'_>,
        diags: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<()> {
        let kind = log_budget::LineKind {
            module: record.target().to_owned(),
            line: record.line().unwrap_or_default(),
        };
        let is_urgent = record.level() >= record::Level::Warn;
        let mut budget = self.budget.lock();
        let left_out = budget.turn(self.started.elapsed().as_secs());
        let is_admitted = budget.admit(kind, is_urgent);
        drop(budget);
        for left in left_out {
            // Re-enters this appender as a line from its own call site.
            log::warn!(
                module = left.kind.module.as_str(),
                line = left.kind.line,
                count = left.count;
                "log lines left out"
            );
        }
        if !is_admitted {
            return Ok(());
        }
        self.inner.append(record, diags)
    }

    fn flush(&self) -> Result<()> {
        self.inner.flush()
    }
}

const fn level(level: settings::LogLevel) -> record::Level {
    match level {
        settings::LogLevel::Error => record::Level::Error,
        settings::LogLevel::Warn => record::Level::Warn,
        settings::LogLevel::Info => record::Level::Info,
        settings::LogLevel::Debug => record::Level::Debug,
    }
}

const fn max_level(level: settings::LogLevel) -> log::LevelFilter {
    match level {
        settings::LogLevel::Error => log::LevelFilter::Error,
        settings::LogLevel::Warn => log::LevelFilter::Warn,
        settings::LogLevel::Info => log::LevelFilter::Info,
        settings::LogLevel::Debug => log::LevelFilter::Debug,
    }
}
