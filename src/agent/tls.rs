use {
  super::Shared,
  crate::code::{Code, Fault},
  quinn::{
    EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::QuicServerConfig,
  },
  ring::hmac,
  rustls::pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
  std::{sync::Arc, time::Duration},
};

/// A flow without a sign of its caller for so long is ended.
const IDLE_MS: u32 = 60_000;

/// How often a quiet flow is kept alive.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// The largest packet that is tried: an Ethernet frame less the tunnel's header.
const MTU_MAX: u16 = 1350;

/// How many requests of one caller run at once. The transport takes memory for each ahead.
const STREAMS: u32 = 32;

/// How many one-way streams a caller may open: HTTP/3 needs three, and some are greased.
const ONE_WAY_STREAMS: u32 = 8;

/// Reads the certificate and the key, and makes the transport's settings of them.
pub fn server(shared: &Shared) -> Result<ServerConfig, Fault> {
  let settings = &shared.settings;
  let invalid = |what: &dyn std::fmt::Display| Fault::new(Code::TlsInvalid, what);
  let chain = CertificateDer::pem_file_iter(&settings.certificate)
    .and_then(Iterator::collect::<Result<Vec<_>, _>>)
    .map_err(|error| invalid(&format!("{}: {error}", settings.certificate.display())))?;
  let key = PrivateKeyDer::from_pem_file(&settings.key)
    .map_err(|error| invalid(&format!("{}: {error}", settings.key.display())))?;
  let provider = Arc::new(rustls::crypto::ring::default_provider());
  let mut tls = rustls::ServerConfig::builder_with_provider(provider)
    .with_protocol_versions(&[&rustls::version::TLS13])
    .and_then(|builder| builder.with_no_client_auth().with_single_cert(chain, key))
    .map_err(|error| invalid(&error))?;
  tls.alpn_protocols = vec![b"h3".to_vec()];
  let crypto = QuicServerConfig::try_from(tls).map_err(|error| invalid(&error))?;
  let mut config = ServerConfig::with_crypto(Arc::new(crypto));
  config.transport_config(Arc::new(transport()));
  Ok(config)
}

fn transport() -> TransportConfig {
  let mut mtu = MtuDiscoveryConfig::default();
  mtu.upper_bound(MTU_MAX);
  let mut transport = TransportConfig::default();
  transport
    .keep_alive_interval(Some(KEEP_ALIVE))
    .max_concurrent_bidi_streams(VarInt::from_u32(STREAMS))
    .max_concurrent_uni_streams(VarInt::from_u32(ONE_WAY_STREAMS))
    .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_MS))))
    .mtu_discovery_config(Some(mtu));
  transport
}

/// The endpoint's settings. The key of stateless resets is the same in every run of a target, so
/// that a new run can tell the callers of the former that their flows are gone.
pub fn endpoint(secret: &[u8; 16], shared: &Shared) -> EndpointConfig {
  let settings = &shared.settings;
  let mut bytes = secret.to_vec();
  bytes.extend(settings.service.0.to_be_bytes());
  bytes.extend(settings.target.0.to_be_bytes());
  EndpointConfig::new(Arc::new(hmac::Key::new(hmac::HMAC_SHA256, &bytes)))
}
