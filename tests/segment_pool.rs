//! Segments of earlier bodies are used again, within the budget, and freed when nobody needs them.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use kumquatpulley::process::limits::byte_budget;
use kumquatpulley::process::limits::segment_pool;

const LIMIT: usize = 16 * segment_pool::POOLED_BYTES;
const SMALL_BYTES: usize = 4 * 1024;

/// Pool with the budget that its bodies count against.
struct CountedPool {
    budget: sync::Arc<byte_budget::ByteBudget>,
    pool: sync::Arc<segment_pool::SegmentPool>,
}

/// Body with its reservation, which is returned after the segments.
struct CountedBody {
    segments: segment_pool::BodySegments,
    reservation: byte_budget::ByteReservation,
}

impl CountedPool {
    fn new() -> Self {
        let budget = sync::Arc::new(byte_budget::ByteBudget::new(LIMIT));
        let pool = segment_pool::SegmentPool::new(sync::Arc::clone(&budget));
        Self {
            budget,
            pool: sync::Arc::new(pool),
        }
    }

    fn body(&self, count: usize, bytes: usize) -> CountedBody {
        let caller = std::net::Ipv4Addr::LOCALHOST.into();
        let mut body = CountedBody {
            segments: self.pool.open(),
            reservation: self.budget.open(caller, time::Instant::now()),
        };
        for _segment in 0..count {
            let grown = body.reservation.try_grow(bytes, time::Instant::now());
            assert_eq!(grown, Ok(byte_budget::GrowStep::Granted));
            body.segments.add(bytes);
            let segment = body.segments.last_with_room().expect("a new segment");
            segment.push(b'x');
        }
        body
    }

    fn resident_bytes(&self) -> usize {
        self.budget.held() + self.pool.unused_bytes()
    }
}

impl CountedBody {
    fn addresses(&self) -> collections::BTreeSet<usize> {
        let segments = self.segments.as_slice().iter();
        segments.map(|segment| segment.as_ptr() as usize).collect()
    }
}

/// Guards against memory that stays with the thread that freed it while another one allocates.
#[test]
fn segments_are_used_again_in_another_thread() {
    let pool = sync::Arc::new(CountedPool::new());
    let first = pool.body(8, segment_pool::POOLED_BYTES);
    let freed = first.addresses();
    drop(first);
    let shared = sync::Arc::clone(&pool);
    let other = thread::spawn(move || shared.body(8, segment_pool::POOLED_BYTES));
    let second = other.join().expect("no panic");
    assert_eq!(second.addresses(), freed);
    assert_eq!(pool.pool.unused_bytes(), 0);
}

/// Guards against bytes of one body in another.
#[test]
fn a_used_segment_is_empty() {
    let pool = CountedPool::new();
    drop(pool.body(1, segment_pool::POOLED_BYTES));
    let second = pool.body(1, segment_pool::POOLED_BYTES);
    assert_eq!(second.segments.as_slice(), [b"x"]);
}

/// Guards against unused segments beside small bodies that fill the budget.
#[test]
fn unused_segments_give_way_to_small_bodies() {
    let pool = CountedPool::new();
    drop(pool.body(14, segment_pool::POOLED_BYTES));
    assert_eq!(pool.pool.unused_bytes(), 14 * segment_pool::POOLED_BYTES);
    let mut small = Vec::new();
    for _body in 0..14 {
        small.push(pool.body(segment_pool::POOLED_BYTES / SMALL_BYTES, SMALL_BYTES));
        assert!(pool.resident_bytes() <= LIMIT, "{}", pool.resident_bytes());
    }
}

/// Guards against a process that keeps the memory of its busiest moment.
#[test]
fn segments_that_nobody_needed_are_freed() {
    let pool = CountedPool::new();
    drop(pool.body(8, segment_pool::POOLED_BYTES));
    pool.pool.release_unused();
    drop(pool.body(3, segment_pool::POOLED_BYTES));
    assert_eq!(pool.pool.unused_bytes(), 8 * segment_pool::POOLED_BYTES);
    pool.pool.release_unused();
    assert_eq!(pool.pool.unused_bytes(), 3 * segment_pool::POOLED_BYTES);
    pool.pool.release_unused();
    assert_eq!(pool.pool.unused_bytes(), 0);
}
