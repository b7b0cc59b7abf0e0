use {
  crate::{
    config::{Instance, Key, Presence, Role, Store},
    id,
  },
  siphasher::sip::SipHasher13,
  std::hash::{Hash, Hasher},
};

/// The keys that a follower holds: its service, the keyring, and the few balancers that the
/// rendezvous hash gives it.
pub fn keys(store: &Store, service: id::Service, target: id::Target, count: usize) -> Vec<Key> {
  let mut balancers = balancers(store)
    .map(|instance| {
      let key = (service, target, instance.id);
      (hash(&key), instance.id)
    })
    .collect::<Vec<_>>();
  balancers.sort_unstable_by(|a, b| b.cmp(a));
  let mut keys = vec![Key::Service(service), Key::Keyring];
  let chosen = balancers.into_iter().take(count);
  keys.extend(chosen.map(|(_, id)| Key::Instance(id)));
  keys.retain(|key| !store.records(*key).is_empty());
  keys
}

/// The listed balancers that do not leave.
pub fn balancers(store: &Store) -> impl Iterator<Item = &Instance> {
  store
    .instances()
    .filter(|instance| instance.role == Role::Balancer && instance.presence == Presence::Live)
}

/// A hash of the keys and the revisions held of them.
pub fn token(store: &Store, keys: &[Key]) -> u64 {
  let held = keys
    .iter()
    .map(|key| (*key, store.revision(*key)))
    .collect::<Vec<_>>();
  hash(&held)
}

/// The readers of a data centre: the two of its listed balancers that the hash puts first. Nobody
/// is elected; where lists differ for a while, that costs reads and nothing else.
pub fn is_reader(store: &Store, own: id::Instance, data_centre: &str, readers: usize) -> bool {
  let rank = hash(&own);
  let before = balancers(store)
    .filter(|instance| instance.data_centre == data_centre && instance.id != own)
    .filter(|instance| hash(&instance.id) > rank)
    .count();
  before < readers
}

fn hash(value: &impl Hash) -> u64 {
  let mut hasher = SipHasher13::new_with_keys(0, 1);
  value.hash(&mut hasher);
  hasher.finish()
}
