//! The supervisor tree: a root that starts named parts, restarts one that fails, and stops them
//! in order.

mod stop;
mod tree;

pub use {stop::Stop, tree::Tree};
