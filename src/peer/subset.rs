use {
  crate::{
    config::{Instance, Key, Presence, Role, Store},
    id,
  },
  siphasher::sip::SipHasher13,
  std::hash::{Hash, Hasher},
};

/// The keys in a follower's subset: its service, the keyring, and `count` balancers chosen by
/// rendezvous hashing, as far as the store contains them.
pub fn keys(store: &Store, service: id::Service, target: id::Target, count: usize) -> Vec<Key> {
  let mut ranked = balancers(store)
    .map(|instance| {
      let key = (service, target, instance.id);
      (hash(&key), instance.id)
    })
    .collect::<Vec<_>>();
  ranked.sort_unstable_by(|a, b| b.cmp(a));
  let mut keys = vec![Key::Service(service), Key::Keyring];
  let chosen = ranked.into_iter().take(count);
  keys.extend(chosen.map(|(_, id)| Key::Instance(id)));
  keys.retain(|key| !store.records(*key).is_empty());
  keys
}

/// The listed balancers that are not leaving.
pub fn balancers(store: &Store) -> impl Iterator<Item = &Instance> {
  store
    .instances()
    .filter(|instance| instance.role == Role::Balancer && instance.presence == Presence::Live)
}

/// A hash of these keys and their newest revisions, which changes when the subset does.
pub fn token(store: &Store, keys: &[Key]) -> u64 {
  let revisions = keys
    .iter()
    .map(|key| (*key, store.revision(*key)))
    .collect::<Vec<_>>();
  hash(&revisions)
}

/// Whether the balancer `own` is among the `readers` balancers of its data centre with the highest
/// hash, which read the platform. While processes list different balancers, the number of readers
/// may differ from `readers`.
pub fn is_reader(store: &Store, own: id::Instance, data_centre: &str, readers: usize) -> bool {
  let rank = hash(&own);
  let ranked_higher = balancers(store)
    .filter(|instance| instance.data_centre == data_centre && instance.id != own)
    .filter(|instance| hash(&instance.id) > rank)
    .count();
  ranked_higher < readers
}

fn hash(value: &impl Hash) -> u64 {
  let mut hasher = SipHasher13::new_with_keys(0, 1);
  value.hash(&mut hasher);
  hasher.finish()
}
