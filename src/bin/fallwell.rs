//! `fallwell`: the operators' command line.

fn main() {}
