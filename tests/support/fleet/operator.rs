//! Configuration changes and injected faults.

use {
  super::{CALL_TIMEOUT, Fleet, create_certificate, get, upstream_routes},
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
  /// Publishes a document through the API of the platform and returns its revision.
  pub async fn put(&self, key: &str, text: &str) -> u64 {
    let path = format!("/v1/documents/{key}");
    let answer = web::request(
      self.platform_address(),
      Method::PUT,
      &path,
      text.to_owned(),
      CALL_TIMEOUT,
    );
    let (_, body) = answer.await.expect("platform accepts a document");
    let value: Value = serde_json::from_slice(&body).expect("revision");
    value["revision"].as_u64().expect("revision")
  }

  /// Publishes the current document of a service as a new generation and returns its revision.
  pub async fn publish(&mut self, service: u16) -> u64 {
    self.generation += 1;
    let document = json!(self.document(service)).to_string();
    self.put(&format!("service/{service}"), &document).await
  }

  /// The current document of a service, published or not.
  pub fn document(&self, service: u16) -> config::Service {
    let targets = self.services[&service]
      .iter()
      .map(|target| config::Target {
        agent: self.published_agent(service, *target, 7200),
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
        upstream_routes(self.deadline_ms)
      },
      targets,
    }
  }

  /// Publishes the instance document of a balancer.
  pub async fn publish_balancer(&self, number: u8, presence: Presence) {
    let instance = config::Instance {
      control: self.published_balancer(number, 7100),
      data_centre: "ernakulam".into(),
      id: id::Instance(number.into()),
      presence,
      role: Role::Balancer,
      tunnel: self.published_balancer(number, 7200),
    };
    let text = json!(instance).to_string();
    self.put(&format!("instance/{number}"), &text).await;
  }

  /// Sets the condition of the platform: `up`, `down` (no answers) or `stale` (answers with the
  /// documents of this moment, whatever is published later).
  pub async fn platform_condition(&self, condition: &str) {
    let answer = web::request(
      self.platform_address(),
      Method::POST,
      "/v1/condition",
      condition.to_owned(),
      CALL_TIMEOUT,
    );
    answer.await.expect("platform accepts a condition");
  }

  /// Makes the fabric distribute the packets of a service over these balancers only.
  pub async fn spray(&self, service: u16, balancers: &[u8]) {
    let addresses = balancers
      .iter()
      .map(|number| self.balancer_service_address(*number, service));
    let front = json!({ "backs": addresses.collect::<Vec<_>>(), "listen": self.address(service) });
    self.post_to_fabric("/v1/front", &front).await;
  }

  /// Replaces the faults that the fabric injects.
  pub async fn inject_faults(&self, plan: &Plan) {
    self.post_to_fabric("/v1/plan", &json!(plan)).await;
  }

  /// The traffic counters of the fabric.
  pub async fn fabric_counters(&self) -> Value {
    get(self.fabric_address(), "/v1/figures").await
  }

  pub(super) async fn post_to_fabric(&self, path: &str, body: &Value) {
    let answer = web::request(
      self.fabric_address(),
      Method::POST,
      path,
      body.to_string(),
      CALL_TIMEOUT,
    );
    let (status, _) = answer.await.expect("fabric answers");
    assert_eq!(status, StatusCode::OK);
  }

  /// Publishes the keyring and waits until every balancer and agent has it in force.
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

  pub(super) async fn platform_reads(&self) -> u64 {
    let figures = get(self.platform_address(), "/v1/figures").await;
    figures["reads"].as_u64().expect("reads")
  }

  /// Replaces the platform by an empty one, whose revisions start again from the lowest, and
  /// publishes this document there.
  pub async fn replace_platform(&mut self, service: u16, document: &str) {
    self.platform = None;
    let listen = self.platform_address().to_string();
    self.platform = Some(self.start_standin(&["platform", "--listen", &listen]));
    self.wait_for_platform().await;
    self.put(&format!("service/{service}"), document).await;
  }

  /// The targets of a service; [`Self::publish`] publishes a change.
  pub fn targets(&mut self, service: u16) -> &mut Vec<u32> {
    self.services.get_mut(&service).expect("service")
  }

  /// The keyring; [`Self::publish_keyring`] publishes a change.
  pub fn keyring(&mut self) -> &mut config::Keyring {
    &mut self.keyring
  }

  /// Replaces the certificate and key files, which agents read again on reload. Callers that
  /// connect from now on trust only the new certificate.
  pub fn renew_certificate(&mut self) {
    self.certificate = create_certificate(&self.directory);
  }
}
