//! Fair queueing between callers: one caller's many entries don't delay the few of another.

mod queue;
mod tree;

pub use queue::Queue;
