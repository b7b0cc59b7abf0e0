//! Fair queueing between callers: one caller's many entries don't delay the few of another.

mod caller;
mod entry;
mod item;
mod queue;
mod tree;

pub use queue::Queue;
