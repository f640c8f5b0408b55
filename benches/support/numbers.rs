//! Counts as floating-point numbers, for means and rates.

/// `count` as a floating-point number; counts of a bench fit into 32 bits.
pub fn float(count: impl TryInto<u32>) -> f64 {
    f64::from(count.try_into().unwrap_or(u32::MAX))
}
