//! Mutual authentication: proof that both ends of a connection hold the shared key.
//!
//! Each end sends its identity and a fresh nonce, and then an HMAC-SHA256 over both
//! nonces, its side of the connection and its identity. No other frame is read before
//! the proof is verified.

use crate::{Error, Result};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Random bytes, drawn for each connection, that prevent the replay of a proof.
pub type Nonce = [u8; 16];

/// Identity that a process reports to its peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the cluster, from the settings.
    pub cluster: String,
    /// Name of the entry.
    pub name: String,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Id of its data folder, or of the process if it has none.
    pub incarnation: u64,
    /// Incarnation of the process, new for each start.
    #[serde(rename = "life")]
    pub process_incarnation: u64,
    /// Whether it has a data folder.
    pub durable: bool,
}

/// Which end of the connection a proof is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Side {
    /// The end that connected.
    Caller,
    /// The end that listened.
    Listener,
}

/// Returns a new random nonce.
pub fn nonce() -> Nonce {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce).expect("the operating system gives random bytes");
    nonce
}

/// Returns the proof of one end: the HMAC-SHA256 over both nonces, its side and its
/// identity.
///
/// ```
/// use wire::proof::{Identity, Side, prove, verify};
/// let identity = Identity {
///     cluster: "c".into(), name: "a".into(), data_centre: "dc1".into(),
///     incarnation: 1, process_incarnation: 2, durable: true,
/// };
/// let (caller, listener) = (wire::proof::nonce(), wire::proof::nonce());
/// let proof = prove(b"key", Side::Caller, &caller, &listener, &identity);
/// assert!(verify(b"key", Side::Caller, &caller, &listener, &identity, &proof).is_ok());
/// assert!(verify(b"other", Side::Caller, &caller, &listener, &identity, &proof).is_err());
/// ```
pub fn prove(
    key: &[u8],
    side: Side,
    caller: &Nonce,
    listener: &Nonce,
    identity: &Identity,
) -> Vec<u8> {
    mac(key, side, caller, listener, identity).finalize().into_bytes().to_vec()
}

/// Verifies a peer's proof in constant time.
///
/// Fails with [`Error::WrongKey`] if the proof was not made with this key.
pub fn verify(
    key: &[u8],
    side: Side,
    caller: &Nonce,
    listener: &Nonce,
    identity: &Identity,
    proof: &[u8],
) -> Result<()> {
    mac(key, side, caller, listener, identity)
        .verify_slice(proof)
        .map_err(|_| Error::WrongKey(identity.name.clone()))
}

fn mac(
    key: &[u8],
    side: Side,
    caller: &Nonce,
    listener: &Nonce,
    identity: &Identity,
) -> Hmac<Sha256> {
    let mut content = Vec::new();
    ciborium::into_writer(&(side, caller, listener, identity), &mut content)
        .expect("an identity serialises to memory");
    let mut mac = Hmac::new_from_slice(key).expect("a key of any length fits");
    mac.update(&content);
    mac
}
