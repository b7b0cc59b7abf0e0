//! Supervision of a process's parts: each is a named thread that is restarted when it fails, and
//! they are stopped in reverse order.

mod stop;
mod tree;

pub use {stop::Stop, tree::Tree};
