use {
  super::{
    Shared,
    call::{Call, Writer},
    guard::Guard,
    home,
    problem::Problem,
    reply::{Live, Reply},
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

/// Carries one request of a caller to an upstream and its answer back.
pub async fn run(
  shared: Arc<Shared>,
  caller: SocketAddr,
  request: Request<()>,
  stream: RequestStream<BidiStream<Bytes>, Bytes>,
) {
  let _running = Guard::new(&shared.requests);
  let (mut download, upload) = stream.split();
  if let Err(problem) = check(&shared, &request) {
    return refuse(&shared, &mut download, problem).await;
  }
  let (gone, given_up) = oneshot::channel();
  let (writer, pieces) = Writer::new();
  let pieces = Call::has_body(&request).then_some(pieces);
  let most = shared.settings.request_max;
  tokio::spawn(async move {
    // Read to its end also where no body is expected: a side that is closed early makes the
    // caller's own end of the request fail.
    if !feed(upload, writer, most).await {
      let _ = gone.send(());
    }
  });
  let route = shared.route(request.method().as_str(), request.uri().path());
  let exchange = async {
    let reply = match Call::new(caller, request, route, pieces).await {
      Ok(call) => answer(&shared, call).await,
      Err(problem) => Reply::Problem(problem),
    };
    match reply {
      Reply::Held(answer) => give_held(&shared, &mut download, answer).await,
      Reply::Live(live) => give_live(&shared, &mut download, live).await,
      Reply::Problem(problem) => refuse(&shared, &mut download, problem).await,
    }
  };
  tokio::select! {
    () = exchange => {}
    Ok(()) = given_up => shared.counter.count(Code::RequestCancelled),
  }
}

/// A request with a key that may not be repeated runs at the key's home; one without a key runs
/// once, without retries.
async fn answer(shared: &Arc<Shared>, mut call: Call) -> Reply {
  if let Err(problem) = upstream::prepare(&mut call) {
    return Reply::Problem(problem);
  }
  match call.key() {
    Some(key) if !call.route.repeatable => home::run(shared, call, key).await,
    _ => runner::run(shared, call).await,
  }
}

/// Whether the request can be run at all.
fn check(shared: &Shared, request: &Request<()>) -> Result<(), Problem> {
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

/// Hands the caller's body on, while somebody reads it; false when the caller gave up before its
/// end.
async fn feed(mut upload: Upload, mut writer: Writer, most: u64) -> bool {
  let mut total = 0;
  let mut wanted = true;
  loop {
    match upload.recv_data().await {
      Ok(Some(mut piece)) => {
        total += piece.remaining() as u64;
        if total > most {
          writer.cut().await;
          upload.stop_sending(Reason::H3_NO_ERROR);
          return true;
        }
        let piece = piece.copy_to_bytes(piece.remaining());
        wanted = wanted && writer.add(piece).await;
      }
      Ok(None) => return true,
      Err(_) => {
        writer.cut().await;
        return false;
      }
    }
  }
}

async fn give_held(shared: &Shared, download: &mut Download, answer: ledger::Answer) {
  let mut head = Response::new(());
  *head.status_mut() = answer.status;
  *head.headers_mut() = (*answer.headers).clone();
  upstream::strip(head.headers_mut());
  let sent = download.send_response(head).await.is_ok()
    && download.send_data(answer.body).await.is_ok()
    && download.finish().await.is_ok();
  if !sent {
    shared.counter.count(Code::RequestCancelled);
  }
}

/// Hands the answer to the caller. One that the upstream cuts is cut for the caller too, never
/// ended as if it were whole.
async fn give_live(shared: &Shared, download: &mut Download, mut live: Live) {
  let (status, headers) = live.head();
  let mut head = Response::new(());
  *head.status_mut() = status;
  *head.headers_mut() = headers;
  upstream::strip(head.headers_mut());
  if download.send_response(head).await.is_err() {
    return shared.counter.count(Code::RequestCancelled);
  }
  loop {
    match live.piece().await {
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
