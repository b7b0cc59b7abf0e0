use {
  super::Plan,
  crate::{
    code::{Code, Fault},
    web,
  },
  bytes::Bytes,
  http::{Method, Request, Response, StatusCode},
  http_body_util::{BodyExt, Full},
  hyper::body::Incoming,
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  serde::{Deserialize, Serialize},
  serde_json::json,
  std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
      Arc, Mutex, MutexGuard, PoisonError,
      atomic::{AtomicU64, Ordering},
    },
    time::Duration,
  },
  tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
      TcpListener, TcpStream, UdpSocket,
      tcp::{ReadHalf, WriteHalf},
    },
  },
};

/// The size of a receive buffer, in bytes: no datagram is larger.
const BUFFER_BYTES: usize = 1 << 16;

/// How often a forwarded connection checks whether it is cut off.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An address that the fabric listens on, and the addresses that it forwards to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
  /// The destinations: a datagram goes to a random one, a connection to the first.
  pub backs: Vec<SocketAddr>,
  /// The address that senders connect to.
  pub listen: SocketAddr,
}

/// A network with faults. It forwards each datagram to a random destination of its front, using one
/// socket per sender, and TCP connections to the first destination. The faults are those of its
/// [`Plan`].
#[derive(Debug, Default)]
pub struct Fabric {
  datagram_bytes: AtomicU64,
  datagrams: AtomicU64,
  fronts: Mutex<HashMap<SocketAddr, Vec<SocketAddr>>>,
  plan: Mutex<Plan>,
  stream_bytes: AtomicU64,
}

/// Forwards datagrams between one sender and the destinations of one front.
struct Session {
  fabric: Arc<Fabric>,
  front: Arc<UdpSocket>,
  listen: SocketAddr,
  sender: SocketAddr,
  socket: Arc<UdpSocket>,
}

impl Fabric {
  /// Opens the fronts, and serves the control API until the future is dropped.
  pub async fn run(
    control_address: SocketAddr,
    fronts: Vec<Front>,
    seed: u64,
  ) -> Result<(), Fault> {
    let fabric = Arc::new(Self::default());
    for (index, front) in fronts.into_iter().enumerate() {
      Arc::clone(&fabric)
        .open(front, seed.wrapping_add(index as u64))
        .await?;
    }
    let handler = move |request: Request<Incoming>| {
      let fabric = Arc::clone(&fabric);
      async move { fabric.handle_control(request).await }
    };
    web::serve(control_address, handler).await
  }

  async fn open(self: Arc<Self>, front: Front, seed: u64) -> Result<(), Fault> {
    let failed = |error| {
      Fault::new(
        Code::AddressUnavailable,
        format!("{}: {error}", front.listen),
      )
    };
    let socket = UdpSocket::bind(front.listen).await.map_err(failed)?;
    let listener = TcpListener::bind(front.listen).await.map_err(failed)?;
    lock(&self.fronts).insert(front.listen, front.backs.clone());
    tokio::spawn(Arc::clone(&self).forward_datagrams(front.listen, Arc::new(socket), seed));
    tokio::spawn(self.forward_streams(front.listen, listener));
    Ok(())
  }

  async fn forward_datagrams(
    self: Arc<Self>,
    listen: SocketAddr,
    front: Arc<UdpSocket>,
    seed: u64,
  ) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sessions: HashMap<SocketAddr, Arc<Session>> = HashMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
      let Ok((length, sender)) = front.recv_from(&mut buffer).await else {
        continue;
      };
      let session = if let Some(session) = sessions.get(&sender) {
        Arc::clone(session)
      } else {
        let local = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let Ok(socket) = UdpSocket::bind(local).await else {
          continue;
        };
        let session = Arc::new(Session {
          fabric: Arc::clone(&self),
          front: Arc::clone(&front),
          listen,
          sender,
          socket: Arc::new(socket),
        });
        tokio::spawn(Arc::clone(&session).return_datagrams(rng.random()));
        sessions.insert(sender, Arc::clone(&session));
        session
      };
      session.forward(&buffer[..length], &mut rng).await;
    }
  }

  async fn forward_streams(self: Arc<Self>, listen: SocketAddr, listener: TcpListener) {
    while let Ok((mut inward, client)) = listener.accept().await {
      let fabric = Arc::clone(&self);
      tokio::spawn(async move {
        let back = lock(&fabric.fronts)
          .get(&listen)
          .and_then(|backs| backs.first().copied());
        let Some(back) = back else {
          return;
        };
        let ends = [client.ip(), listen.ip(), back.ip()];
        let cut = async {
          while !fabric.is_cut(&ends) {
            tokio::time::sleep(POLL_INTERVAL).await;
          }
        };
        let both = async {
          let mut outward = TcpStream::connect(back).await.ok()?;
          let _ = outward.set_nodelay(true);
          let _ = inward.set_nodelay(true);
          let (read_in, write_in) = inward.split();
          let (read_out, write_out) = outward.split();
          tokio::select! {
            () = fabric.copy_stream(read_in, write_out, &ends) => {}
            () = fabric.copy_stream(read_out, write_in, &ends) => {}
          }
          Some(())
        };
        tokio::select! {
          biased;
          () = cut => {}
          _ = both => {}
        }
      });
    }
  }

  /// Forwards one direction of a connection until it ends or is cut. Data that arrives after the
  /// cut is not forwarded.
  async fn copy_stream(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, ends: &[IpAddr; 3]) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
      if length == 0 || self.is_cut(ends) || to.write_all(&buffer[..length]).await.is_err() {
        return;
      }
      self
        .stream_bytes
        .fetch_add(length as u64, Ordering::Relaxed);
    }
  }

  /// Whether the client, or the front that it is connected to, is cut off from the destination.
  fn is_cut(&self, [client, listen, back]: &[IpAddr; 3]) -> bool {
    let plan = lock(&self.plan);
    plan.is_cut(*client, *back) || plan.is_cut(*listen, *back)
  }

  fn count(&self, datagram: &[u8]) {
    self.datagrams.fetch_add(1, Ordering::Relaxed);
    let bytes = datagram.len() as u64;
    self.datagram_bytes.fetch_add(bytes, Ordering::Relaxed);
  }

  async fn handle_control(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let Ok(body) = request.into_body().collect().await else {
      return web::answer(StatusCode::BAD_REQUEST, "");
    };
    let body = body.to_bytes();
    match (method, path.as_str()) {
      (Method::GET, "/v1/figures") => {
        let figures = json!({
          "datagram_bytes": self.datagram_bytes.load(Ordering::Relaxed),
          "datagrams": self.datagrams.load(Ordering::Relaxed),
          "stream_bytes": self.stream_bytes.load(Ordering::Relaxed),
        });
        web::answer(StatusCode::OK, figures.to_string())
      }
      (Method::POST, "/v1/front") => match serde_json::from_slice::<Front>(&body) {
        Ok(front) => {
          lock(&self.fronts).insert(front.listen, front.backs);
          web::answer(StatusCode::OK, "")
        }
        Err(error) => web::answer(StatusCode::BAD_REQUEST, error.to_string()),
      },
      (Method::POST, "/v1/plan") => match serde_json::from_slice::<Plan>(&body) {
        Ok(plan) => {
          *lock(&self.plan) = plan;
          web::answer(StatusCode::OK, "")
        }
        Err(error) => web::answer(StatusCode::BAD_REQUEST, error.to_string()),
      },
      _ => web::answer(StatusCode::NOT_FOUND, ""),
    }
  }
}

impl Session {
  /// Forwards a datagram of the sender to a random destination.
  async fn forward(&self, datagram: &[u8], rng: &mut SmallRng) {
    let back = {
      let fronts = lock(&self.fabric.fronts);
      let backs = fronts.get(&self.listen).map_or(&[][..], Vec::as_slice);
      if backs.is_empty() {
        return;
      }
      backs[rng.random_range(0..backs.len())]
    };
    self.fabric.count(datagram);
    let copy_delays = self.copy_delays(back, rng);
    send_copies(&self.socket, back, datagram, copy_delays).await;
  }

  /// Forwards the datagrams from all destinations to the sender.
  async fn return_datagrams(self: Arc<Self>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
      let Ok((length, back)) = self.socket.recv_from(&mut buffer).await else {
        continue;
      };
      self.fabric.count(&buffer[..length]);
      let copy_delays = self.copy_delays(back, &mut rng);
      send_copies(&self.front, self.sender, &buffer[..length], copy_delays).await;
    }
  }

  fn copy_delays(&self, back: SocketAddr, rng: &mut SmallRng) -> Vec<Duration> {
    let plan = lock(&self.fabric.plan);
    if plan.is_cut(self.sender.ip(), back.ip()) {
      return Vec::new();
    }
    plan.copy_delays(rng)
  }
}

async fn send_copies(
  socket: &Arc<UdpSocket>,
  to: SocketAddr,
  datagram: &[u8],
  copy_delays: Vec<Duration>,
) {
  for delay in copy_delays {
    if delay.is_zero() {
      let _ = socket.send_to(datagram, to).await;
      continue;
    }
    let (socket, datagram) = (Arc::clone(socket), datagram.to_vec());
    tokio::spawn(async move {
      tokio::time::sleep(delay).await;
      let _ = socket.send_to(&datagram, to).await;
    });
  }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
