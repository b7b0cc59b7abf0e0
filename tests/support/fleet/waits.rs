//! Waiting for the state of processes, reading it, and opening flows.

use {
  super::{CALL_TIMEOUT, Fleet, SERVER_NAME, get},
  crate::support::wait::until,
  fallwell::{caller::Caller, web},
  http::{Method, StatusCode},
  serde_json::Value,
  std::net::SocketAddr,
};

impl Fleet {
  /// Waits until every balancer and agent is ready.
  pub async fn wait_all_ready(&self) {
    for number in self.balancers.keys() {
      self.wait_ready(self.balancer_api(*number)).await;
    }
    for (service, target) in self.agents.keys() {
      self.wait_ready(self.agent_api(*service, *target)).await;
    }
  }

  /// Waits until the process with this API is ready.
  pub async fn wait_ready(&self, api: SocketAddr) {
    until("a process is ready", || async {
      let answer = web::request(api, Method::GET, "/v1/ready", "", CALL_TIMEOUT).await;
      matches!(answer, Ok((StatusCode::OK, _)))
    })
    .await;
  }

  pub(super) async fn wait_for_platform(&self) {
    until("the platform answers", || async {
      let platform = self.platform_address();
      web::request(platform, Method::GET, "/v1/figures", "", CALL_TIMEOUT)
        .await
        .is_ok()
    })
    .await;
  }

  /// Opens a flow to a service; panics if that fails.
  pub async fn caller(&self, service: u16) -> Caller {
    let roots = [self.certificate.clone()];
    Caller::open(self.address(service), SERVER_NAME, &roots)
      .await
      .expect("flow opens")
  }

  /// Tries to open a flow to a service.
  pub async fn try_caller(&self, service: u16) -> Result<Caller, fallwell::code::Fault> {
    let roots = [self.certificate.clone()];
    Caller::open(self.address(service), SERVER_NAME, &roots).await
  }

  /// Waits until these balancers have applied this revision of a service, or a newer one.
  pub async fn wait_in_force(&self, balancers: &[u8], service: u16, revision: u64) {
    until("a revision is in force", || async {
      for number in balancers {
        let path = format!("/v1/services/{service}");
        let resource = get(self.balancer_api(*number), &path).await;
        let is_applied = resource["revision_in_force"].as_u64() >= Some(revision);
        if !is_applied || resource["conditions"]["in_force"]["status"] != true {
          return false;
        }
      }
      true
    })
    .await;
  }

  /// Waits until a target is draining: it accepts no new flows.
  pub async fn wait_draining(&self, service: u16, target: u32) {
    until("a target is draining", || async {
      self.agent_state(service, target).await["path"]["leaving"] == true
    })
    .await;
  }

  /// Waits until a target has applied this revision and accepts new flows.
  pub async fn wait_accepting(&self, service: u16, target: u32, revision: u64) {
    until("a target accepts flows", || async {
      let path = &self.agent_state(service, target).await["path"];
      path["leaving"] == false && path["revision"].as_u64() >= Some(revision)
    })
    .await;
  }

  /// Waits until a target has at least this many requests in flight.
  pub async fn wait_for_requests(&self, service: u16, target: u32, count: u64) {
    until("requests are in flight", || async {
      let state = self.agent_state(service, target).await;
      state["path"]["requests"].as_u64() >= Some(count)
    })
    .await;
  }

  /// Waits until the platform has been read at least this many more times.
  pub async fn wait_for_platform_reads(&self, count: u64) {
    let before = self.platform_reads().await;
    until("the platform has been read", || async {
      self.platform_reads().await >= before + count
    })
    .await;
  }

  /// The state dump of a balancer.
  pub async fn balancer_state(&self, number: u8) -> Value {
    get(self.balancer_api(number), "/v1/state").await
  }

  /// The state dump of an agent.
  pub async fn agent_state(&self, service: u16, target: u32) -> Value {
    get(self.agent_api(service, target), "/v1/state").await
  }
}
