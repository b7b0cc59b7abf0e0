//! Fair queueing between callers: one caller's many entries don't delay the few of another.

mod queue;

pub use queue::Queue;
