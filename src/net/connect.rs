use {
  std::{
    io,
    net::{IpAddr, SocketAddr},
  },
  tokio::net::{TcpSocket, TcpStream},
};

/// Connects to a peer from the IP address `bind`, or from one that the kernel chooses. Nagle's
/// algorithm is disabled.
pub async fn connect(to: SocketAddr, bind: Option<IpAddr>) -> io::Result<TcpStream> {
  let socket = match to {
    SocketAddr::V4(_) => TcpSocket::new_v4()?,
    SocketAddr::V6(_) => TcpSocket::new_v6()?,
  };
  if let Some(bind) = bind {
    socket.bind(SocketAddr::new(bind, 0))?;
  }
  let stream = socket.connect(to).await?;
  stream.set_nodelay(true)?;
  Ok(stream)
}
