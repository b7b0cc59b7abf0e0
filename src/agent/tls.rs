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

/// The idle timeout of a flow, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 60_000;

/// The interval between keep-alive packets on an idle flow.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// The upper bound of path MTU discovery: an Ethernet frame minus the tunnel's headers.
const MTU_MAX: u16 = 1350;

/// The maximum number of concurrent requests of one flow. The transport allocates memory for each
/// in advance.
const REQUEST_STREAMS_MAX: u32 = 32;

/// The maximum number of unidirectional streams that a caller may open: HTTP/3 needs three, and
/// some callers open more of reserved types (GREASE).
const UNI_STREAMS_MAX: u32 = 8;

/// Builds the QUIC server configuration with the certificate and the key, read from their files.
///
/// Fails with `TlsInvalid` when one of them cannot be read or they do not match.
pub fn server_config(shared: &Shared) -> Result<ServerConfig, Fault> {
  let settings = &shared.settings;
  let invalid = |detail: &dyn std::fmt::Display| Fault::new(Code::TlsInvalid, detail);
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
  config.transport_config(Arc::new(transport_config()));
  Ok(config)
}

fn transport_config() -> TransportConfig {
  let mut mtu = MtuDiscoveryConfig::default();
  mtu.upper_bound(MTU_MAX);
  let mut transport = TransportConfig::default();
  transport
    .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
    .max_concurrent_bidi_streams(VarInt::from_u32(REQUEST_STREAMS_MAX))
    .max_concurrent_uni_streams(VarInt::from_u32(UNI_STREAMS_MAX))
    .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
    .mtu_discovery_config(Some(mtu));
  transport
}

/// Builds the QUIC endpoint configuration. The stateless reset key depends only on the secret and
/// the target, so that callers accept resets of flows of a previous incarnation.
pub fn endpoint_config(secret: &[u8; 16], shared: &Shared) -> EndpointConfig {
  let settings = &shared.settings;
  let mut bytes = secret.to_vec();
  bytes.extend(settings.service.0.to_be_bytes());
  bytes.extend(settings.target.0.to_be_bytes());
  EndpointConfig::new(Arc::new(hmac::Key::new(hmac::HMAC_SHA256, &bytes)))
}
