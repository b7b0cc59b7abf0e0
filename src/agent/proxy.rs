use {
  super::{
    Shared,
    call::{BodyWriter, Call},
    count_guard::CountGuard,
    home,
    problem::Problem,
    reply::{Reply, Streamed},
    runner, upstream,
  },
  crate::{Code, ledger},
  bytes::{Buf, Bytes},
  h3::{error::Code as Reason, server::RequestStream},
  h3_quinn::{BidiStream, RecvStream, SendStream},
  http::{Request, Response, header},
  std::{net::SocketAddr, sync::Arc},
  tokio::sync::oneshot,
};

type Upload = RequestStream<RecvStream, Bytes>;
type Download = RequestStream<SendStream<Bytes>, Bytes>;

/// Serves a request: runs it, and sends the answer or a problem to the caller. Stops when the
/// caller cancels the request.
pub async fn serve(
  shared: Arc<Shared>,
  caller: SocketAddr,
  request: Request<()>,
  stream: RequestStream<BidiStream<Bytes>, Bytes>,
) {
  let _running = CountGuard::new(&shared.requests);
  let (mut download, upload) = stream.split();
  if let Err(problem) = check_length(&shared, &request) {
    return send_problem(&shared, &mut download, problem).await;
  }
  let (cancel, cancelled) = oneshot::channel();
  let (writer, chunks) = BodyWriter::new();
  let chunks = Call::has_body(&request).then_some(chunks);
  let body_max = shared.settings.request_max;
  tokio::spawn(async move {
    // Read to the end even if no body is expected: if this side closes the stream early, sending
    // the request fails for the caller.
    if !forward_body(upload, writer, body_max).await {
      let _ = cancel.send(());
    }
  });
  let route = shared.route(request.method().as_str(), request.uri().path());
  let exchange = async {
    let reply = match Call::new(caller, request, route, chunks).await {
      Ok(call) => run(&shared, call).await,
      Err(problem) => Reply::Problem(problem),
    };
    match reply {
      Reply::Buffered(answer) => send_buffered(&shared, &mut download, answer).await,
      Reply::Streamed(answer) => send_streamed(&shared, &mut download, answer).await,
      Reply::Problem(problem) => send_problem(&shared, &mut download, problem).await,
    }
  };
  tokio::select! {
    () = exchange => {}
    Ok(()) = cancelled => shared.counter.count(Code::RequestCancelled),
  }
}

/// Runs a request: at the home of its idempotency key if it has one and may not be repeated, else
/// at this agent's upstream or that of a peer.
async fn run(shared: &Arc<Shared>, mut call: Call) -> Reply {
  if let Err(problem) = upstream::prepare(&mut call) {
    return Reply::Problem(problem);
  }
  match call.key() {
    Some(key) if !call.route.repeatable => home::run(shared, call, key).await,
    _ => runner::run(shared, call).await,
  }
}

/// Fails when `Content-Length` is not valid, or larger than the limit.
fn check_length(shared: &Shared, request: &Request<()>) -> Result<(), Problem> {
  let Some(length) = request.headers().get(header::CONTENT_LENGTH) else {
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

/// Reads the caller's body to its end and forwards it as long as it is needed. A body larger than
/// `max` bytes is aborted. Returns false if the caller cancelled the request before its end.
async fn forward_body(mut upload: Upload, mut writer: BodyWriter, max: u64) -> bool {
  let mut total = 0;
  let mut needed = true;
  loop {
    match upload.recv_data().await {
      Ok(Some(mut chunk)) => {
        total += chunk.remaining() as u64;
        if total > max {
          writer.abort().await;
          upload.stop_sending(Reason::H3_NO_ERROR);
          return true;
        }
        let chunk = chunk.copy_to_bytes(chunk.remaining());
        needed = needed && writer.send(chunk).await;
      }
      Ok(None) => return true,
      Err(_) => {
        writer.abort().await;
        return false;
      }
    }
  }
}

async fn send_buffered(shared: &Shared, download: &mut Download, answer: ledger::Answer) {
  let mut head = Response::new(());
  *head.status_mut() = answer.status;
  *head.headers_mut() = (*answer.headers).clone();
  upstream::strip_connection_headers(head.headers_mut());
  let sent = download.send_response(head).await.is_ok()
    && download.send_data(answer.body).await.is_ok()
    && download.finish().await.is_ok();
  if !sent {
    shared.counter.count(Code::RequestCancelled);
  }
}

/// Sends an answer to the caller while it is received. If it ends early, the stream to the caller
/// is reset, so that the caller does not take it for complete.
async fn send_streamed(shared: &Shared, download: &mut Download, mut answer: Streamed) {
  let (status, headers) = answer.head();
  let mut head = Response::new(());
  *head.status_mut() = status;
  *head.headers_mut() = headers;
  upstream::strip_connection_headers(head.headers_mut());
  if download.send_response(head).await.is_err() {
    return shared.counter.count(Code::RequestCancelled);
  }
  loop {
    match answer.next_chunk().await {
      Ok(Some(chunk)) => {
        if download.send_data(chunk).await.is_err() {
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

async fn send_problem(shared: &Shared, download: &mut Download, problem: Problem) {
  shared.counter.count(problem.code);
  let (head, body) = problem.response();
  if download.send_response(head).await.is_ok() && download.send_data(body).await.is_ok() {
    let _ = download.finish().await;
  }
}
