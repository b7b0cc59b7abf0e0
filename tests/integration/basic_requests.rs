//! Requests through all processes, without faults.

use {
  crate::support::fleet::Fleet,
  http::{Method, StatusCode},
};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_of_get_and_post_arrive_whole_through_two_balancers() {
  let fleet = Fleet::new().balancers(2).service(1, 2).start().await;
  let caller = fleet.caller(1).await;

  let answer = caller
    .request(Method::GET, "/bytes?n=100000", &[], "")
    .await
    .unwrap();
  assert_eq!(answer.status, StatusCode::OK);
  assert_eq!(answer.body.len(), 100_000);

  let answer = caller
    .request(Method::POST, "/photos", &[], vec![7; 50_000])
    .await
    .unwrap();
  assert_eq!(answer.status, StatusCode::OK);
  let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
  assert_eq!(body["length"], 50_000);
  caller.close().await;
}
