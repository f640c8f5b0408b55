//! Slots of the batch, given to the waiting request of the highest priority.

use std::sync;

use futures::channel::oneshot;

/// Requests that run together, and those that wait.
#[derive(Debug)]
pub struct SlotQueue {
    state: parking_lot::Mutex<SlotState>,
}

#[derive(Debug)]
struct SlotState {
    free: u32,
    arrivals: u64,
    waiting: Vec<SlotWaiter>,
}

#[derive(Debug)]
struct SlotWaiter {
    priority: u8,
    arrival: u64,
    sender: oneshot::Sender<()>,
}

/// A slot, given back when dropped.
#[derive(Debug)]
pub struct SlotGuard {
    queue: sync::Arc<SlotQueue>,
}

impl SlotQueue {
    /// A queue of `slots` free slots.
    pub fn new(slots: u32) -> Self {
        Self {
            state: parking_lot::Mutex::new(SlotState {
                free: slots,
                arrivals: 0,
                waiting: Vec::new(),
            }),
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        let state = self.state.lock();
        state
            .waiting
            .iter()
            .filter(|waiter| !waiter.sender.is_canceled())
            .count()
    }

    /// Waits for a slot.
    pub async fn acquire(self: sync::Arc<Self>, priority: u8) -> SlotGuard {
        let receiver = self.enqueue(priority);
        if let Some(receiver) = receiver {
            // The queue outlives its waiters, so that the sender is always used.
            let _ = receiver.await;
        }
        SlotGuard { queue: self }
    }

    fn enqueue(&self, priority: u8) -> Option<oneshot::Receiver<()>> {
        let mut state = self.state.lock();
        if state.free > 0 {
            state.free -= 1;
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        state.arrivals += 1;
        let arrival = state.arrivals;
        state.waiting.push(SlotWaiter {
            priority,
            arrival,
            sender,
        });
        Some(receiver)
    }

    fn release(&self) {
        let mut state = self.state.lock();
        while let Some(waiter) = take_next(&mut state.waiting) {
            if waiter.sender.send(()).is_ok() {
                return;
            }
        }
        state.free += 1;
    }
}

fn take_next(waiting: &mut Vec<SlotWaiter>) -> Option<SlotWaiter> {
    let rank = |waiter: &SlotWaiter| (std::cmp::Reverse(waiter.priority), waiter.arrival);
    let (index, _) = waiting
        .iter()
        .enumerate()
        .min_by_key(|(_index, waiter)| rank(waiter))?;
    Some(waiting.remove(index))
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.release();
    }
}
