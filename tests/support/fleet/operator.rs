//! What an operator and the field do: publish, cut, renew.

use {
  super::{CALL_MAX, Fleet, certificate, get, routes},
  crate::support::wait::until,
  fallwell::{
    config::{self, Presence, Role},
    id,
    standin::Plan,
    web,
  },
  http::{Method, StatusCode},
  serde_json::{Value, json},
};

impl Fleet {
  /// Publishes a document as an operator does, and returns its revision.
  pub async fn put(&self, key: &str, text: &str) -> u64 {
    let path = format!("/v1/documents/{key}");
    let answer = web::request(
      self.platform_address(),
      Method::PUT,
      &path,
      text.to_owned(),
      CALL_MAX,
    );
    let (_, body) = answer.await.expect("platform takes a document");
    let value: Value = serde_json::from_slice(&body).expect("revision");
    value["revision"].as_u64().expect("revision")
  }

  /// Publishes a service as it is wanted now.
  pub async fn publish(&mut self, service: u16) -> u64 {
    self.generation += 1;
    let document = json!(self.document(service)).to_string();
    self.put(&format!("service/{service}"), &document).await
  }

  /// The document of a service as it is wanted now.
  pub fn document(&self, service: u16) -> config::Service {
    let targets = self.services[&service]
      .iter()
      .map(|target| config::Target {
        agent: self.listed_agent(service, *target, 7200),
        connections: self.connections,
        id: id::Target(*target),
        leaving: false,
        slots: self.slots,
      })
      .collect();
    config::Service {
      address: self.address(service),
      drain_s: self.drain_s,
      generation: self.generation,
      id: id::Service(service),
      name: format!("service-{service}"),
      ramp_s: 0,
      repeat_window_s: 600,
      routes: if self.without_routes {
        Vec::new()
      } else {
        routes(self.deadline_ms)
      },
      targets,
    }
  }

  /// Puts a balancer on the list of instances.
  pub async fn list_balancer(&self, number: u8, presence: Presence) {
    let instance = config::Instance {
      control: self.listed_balancer(number, 7100),
      data_centre: "ernakulam".into(),
      id: id::Instance(number.into()),
      presence,
      role: Role::Balancer,
      tunnel: self.listed_balancer(number, 7200),
    };
    let text = json!(instance).to_string();
    self.put(&format!("instance/{number}"), &text).await;
  }

  /// Sets the platform's condition: `up`, `down` or `stale`.
  pub async fn platform_condition(&self, condition: &str) {
    let answer = web::request(
      self.platform_address(),
      Method::POST,
      "/v1/condition",
      condition.to_owned(),
      CALL_MAX,
    );
    answer.await.expect("platform takes a condition");
  }

  /// Has the fabric spray a service's packets to these balancers.
  pub async fn spray(&self, service: u16, balancers: &[u8]) {
    let backs = balancers.iter().map(|number| self.entry(*number, service));
    let front = json!({ "backs": backs.collect::<Vec<_>>(), "listen": self.address(service) });
    self.fabric_post("/v1/front", &front).await;
  }

  /// Has the fabric inject faults.
  pub async fn plan(&self, plan: &Plan) {
    self.fabric_post("/v1/plan", &json!(plan)).await;
  }

  /// What the fabric has carried.
  pub async fn fabric_figures(&self) -> Value {
    get(self.fabric_address(), "/v1/figures").await
  }

  pub(super) async fn fabric_post(&self, path: &str, body: &Value) {
    let answer = web::request(
      self.fabric_address(),
      Method::POST,
      path,
      body.to_string(),
      CALL_MAX,
    );
    let (status, _) = answer.await.expect("fabric answers");
    assert_eq!(status, StatusCode::OK);
  }

  /// Publishes the keyring and waits until every process has it in force.
  pub async fn publish_keyring(&self) {
    let text = json!(self.keyring).to_string();
    self.put("keyring", &text).await;
    let current = self.keyring.current;
    let secrets = self.keyring.secrets.len();
    until("the keyring is in force", || async {
      for api in self.apis() {
        let keyring = &get(api, "/v1/state").await["config"]["keyring"];
        if keyring["current"] != current || keyring["secrets"] != secrets {
          return false;
        }
      }
      true
    })
    .await;
  }

  pub(super) async fn reads(&self) -> u64 {
    let figures = get(self.platform_address(), "/v1/figures").await;
    figures["reads"].as_u64().expect("reads")
  }

  /// Replaces the platform by one that has only an old copy, with lower revisions.
  pub async fn platform_goes_back(&mut self, service: u16, document: &str) {
    self.platform = None;
    let listen = self.platform_address().to_string();
    self.platform = Some(self.standin(&["platform", "--listen", &listen]));
    self.wait_for_platform().await;
    self.put(&format!("service/{service}"), document).await;
  }

  /// The targets of a service, to be changed before it is published again.
  pub fn targets(&mut self, service: u16) -> &mut Vec<u32> {
    self.services.get_mut(&service).expect("service")
  }

  /// The keyring, to be changed before it is published again.
  pub fn keyring(&mut self) -> &mut config::Keyring {
    &mut self.keyring
  }

  /// Makes a new certificate and key in the files that agents read, and trusts it from now on.
  pub fn renew_certificate(&mut self) {
    self.certificate = certificate(&self.directory);
  }
}
