//! The command line of `fallwell`.
