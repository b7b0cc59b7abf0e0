use {
  super::{
    Shared,
    guard::Guard,
    problem::Problem,
    upstream::{self, Answer, Feeder},
  },
  crate::Code,
  bytes::{Buf, Bytes},
  h3::{error::Code as Reason, server::RequestStream},
  h3_quinn::{BidiStream, RecvStream, SendStream},
  http::{Method, Request, Response, header},
  std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
  },
  tokio::sync::oneshot,
};

type Upload = RequestStream<RecvStream, Bytes>;
type Download = RequestStream<SendStream<Bytes>, Bytes>;

/// Carries one request of a caller to the upstream and its answer back.
pub async fn run(
  shared: Arc<Shared>,
  caller: SocketAddr,
  request: Request<()>,
  stream: RequestStream<BidiStream<Bytes>, Bytes>,
) {
  let _running = Guard::new(&shared.requests);
  let (mut download, upload) = stream.split();
  if let Err(problem) = admit(&shared, &request) {
    return refuse(&shared, &mut download, problem).await;
  }
  let route = shared.route(request.method().as_str(), request.uri().path());
  let deadline = Duration::from_millis(route.deadline_ms);
  let (gone, given_up) = oneshot::channel();
  let pieces = has_body(&request).then(|| {
    let (feeder, pieces) = Feeder::new();
    let most = shared.settings.request_max;
    tokio::spawn(async move {
      if !feed(upload, feeder, most).await {
        let _ = gone.send(());
      }
    });
    pieces
  });
  let exchange = async {
    match upstream::send(&shared, caller, request, pieces, deadline).await {
      Ok(answer) => give_back(&shared, &mut download, answer).await,
      Err(problem) => refuse(&shared, &mut download, problem).await,
    }
  };
  tokio::select! {
    () = exchange => {}
    Ok(()) = given_up => shared.counter.count(Code::RequestCancelled),
  }
}

/// Whether the request may run here at all.
fn admit(shared: &Shared, request: &Request<()>) -> Result<(), Problem> {
  if shared.leaving.load(Ordering::Relaxed) {
    return Err(Problem {
      retry_after: 0,
      ..Problem::new(Code::RequestTargetLeaving)
    });
  }
  let length = request.headers().get(header::CONTENT_LENGTH);
  let Some(length) = length else {
    return Ok(());
  };
  match length.to_str().map(str::parse::<u64>) {
    Ok(Ok(length)) if length > shared.settings.request_max => {
      Err(Problem::new(Code::RequestOversized))
    }
    Ok(Ok(_)) => Ok(()),
    _ => Err(Problem::new(Code::RequestMalformed)),
  }
}

fn has_body(request: &Request<()>) -> bool {
  let bodiless = matches!(
    *request.method(),
    Method::GET | Method::HEAD | Method::DELETE
  );
  !bodiless || request.headers().contains_key(header::CONTENT_LENGTH)
}

/// Hands the caller's body on; false when the caller gave up before its end.
async fn feed(mut upload: Upload, mut feeder: Feeder, most: u64) -> bool {
  let mut total = 0;
  loop {
    match upload.recv_data().await {
      Ok(Some(mut piece)) => {
        total += piece.remaining() as u64;
        if total > most {
          feeder.cut().await;
          return true;
        }
        let piece = piece.copy_to_bytes(piece.remaining());
        if !feeder.add(piece).await {
          return true;
        }
      }
      Ok(None) => return true,
      Err(_) => {
        feeder.cut().await;
        return false;
      }
    }
  }
}

/// Hands the answer to the caller. One that the upstream cuts is cut for the caller too, never
/// ended as if it were whole.
async fn give_back(shared: &Shared, download: &mut Download, mut answer: Answer) {
  let mut head = Response::new(());
  *head.status_mut() = answer.response.status();
  *head.headers_mut() = answer.response.headers().clone();
  upstream::strip(head.headers_mut());
  if download.send_response(head).await.is_err() {
    return shared.counter.count(Code::RequestCancelled);
  }
  loop {
    match answer.piece().await {
      Ok(Some(piece)) => {
        if download.send_data(piece).await.is_err() {
          return shared.counter.count(Code::RequestCancelled);
        }
      }
      Ok(None) => break,
      Err(_) => {
        shared.counter.count(Code::RequestOutcomeUnknown);
        return download.stop_stream(Reason::H3_INTERNAL_ERROR);
      }
    }
  }
  let _ = download.finish().await;
}

async fn refuse(shared: &Shared, download: &mut Download, problem: Problem) {
  shared.counter.count(problem.code);
  let (head, body) = problem.response();
  if download.send_response(head).await.is_ok() && download.send_data(body).await.is_ok() {
    let _ = download.finish().await;
  }
}
