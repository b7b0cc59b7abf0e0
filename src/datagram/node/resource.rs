use {
  crate::{
    config::Presence,
    datagram::{Catalog, Entry, Service},
  },
  serde_json::{Value, json},
  std::collections::BTreeSet,
};

/// The services that are on a route or have a target or tombstone, as the resource API shows them.
pub fn services(catalog: &Catalog) -> Value {
  let routed = catalog.configuration().into_iter();
  let routed = routed.flat_map(|configuration| configuration.routes.values());
  let routed = routed.flat_map(|route| route.backends.services());
  let listed = catalog.entries().map(|(_, entry)| &entry.target.service);
  let names = routed.chain(listed).collect::<BTreeSet<_>>();
  let shown = names.into_iter().map(|name| resource(catalog, name));
  Value::Array(shown.collect())
}

/// One service; none if it is on no route and has neither target nor tombstone.
pub fn service(catalog: &Catalog, name: &str) -> Option<Value> {
  let services = services(catalog);
  let services = services.as_array()?.iter();
  let mut named = services.filter(|service| service["document"]["name"] == name);
  named.next().cloned()
}

fn resource(catalog: &Catalog, name: &Service) -> Value {
  let entries = catalog.entries();
  let entries = entries.filter(|(_, entry)| entry.target.service == *name);
  let listed = entries.filter(|(_, entry)| entry.removed.is_none());
  let listed = listed.collect::<Vec<_>>();
  let leaving = listed.iter().filter(|(_, entry)| is_leaving(entry)).count();
  let evacuations = catalog.evacuations();
  let is_closed = |entry: &Entry| evacuations.is_closed(&entry.target.data_centre);
  let closed = listed.iter().filter(|(_, entry)| is_closed(entry)).count();
  let targets = listed.iter().map(|(id, entry)| {
    json!({
      "address": entry.target.address,
      "closed": is_closed(entry),
      "data_centre": entry.target.data_centre,
      "id": id.to_string(),
      "leaving": is_leaving(entry),
      "slots": entry.target.slots,
    })
  });
  let configuration = catalog.configuration();
  let routes = configuration
    .into_iter()
    .flat_map(|configuration| &configuration.routes);
  let matching =
    routes.filter(|(_, route)| route.backends.services().any(|service| service == name));
  let (routes, weights): (Vec<_>, Vec<_>) = matching
    .map(|(address, route)| (address.to_string(), route.backends.weight(name)))
    .unzip();
  json!({
    "conditions": {
      "accepted": { "status": configuration.is_some() },
      "closed": { "status": closed > 0, "targets": closed },
      "draining": { "status": leaving > 0, "targets": leaving },
      "in_force": { "status": !routes.is_empty() },
    },
    "document": {
      "name": name,
      "routes": routes,
      "targets": targets.collect::<Vec<_>>(),
      "weights": weights,
    },
    "generation": catalog.version(),
    "revision": catalog.synced(),
  })
}

fn is_leaving(entry: &Entry) -> bool {
  entry.target.presence == Presence::Leaving
}
