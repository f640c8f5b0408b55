//! What the store keeps of a roll-out, so that a coordinator can go on where another one stopped.

/// State of a roll-out as the store has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The traffic is being moved, or waits for endpoints of the new version.
    Running,
    /// The new version has taken over.
    Complete,
    /// The new version gets no requests any more.
    Reverted,
}

/// The row of one roll-out. It is written together with the row for the operators, which names no order
/// and so cannot tell two orders to the same version apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutRecord {
    /// Version of the row with the order, without the era of the store.
    pub order_row: u64,
    /// Version that the traffic moves to.
    pub to: String,
    /// Start of the ramp, on the clock of the store, in milliseconds.
    pub started_ms: u64,
    /// State of the roll-out.
    pub state: RecordState,
}
