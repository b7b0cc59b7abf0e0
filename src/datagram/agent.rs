//! What an agent does with the packets of its upstream's flows, which it sees both ways.

mod admission;
mod answers;
mod cold;
mod delivery;
mod granting;
mod grants;
mod held;
mod machine;
mod restarting;
mod trying;
mod work;

pub use machine::Machine;
