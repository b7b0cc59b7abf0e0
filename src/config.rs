//! The documents that the operator publishes, and the store that validates and versions them.

mod digest;
mod document;
mod instance;
mod key;
mod keyring;
mod record;
mod route;
mod service;
mod store;
mod target;
mod target_set;

pub use {
  digest::Digest,
  document::{Document, SIZE_LIMIT},
  instance::{Instance, Presence, Role},
  key::Key,
  keyring::{Keyring, Secret},
  record::Record,
  route::Route,
  service::Service,
  store::{HISTORY_LIMIT, Store, Verdict},
  target::Target,
  target_set::TargetSet,
};
