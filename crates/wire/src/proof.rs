//! Proof that both ends hold the shared key.
//!
//! Each end sends a fresh nonce; each then sends a keyed hash over both nonces,
//! its role and what it says of itself. Nothing else is read before that.

use crate::{Error, Result};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Random bytes that make every proof different.
pub type Nonce = [u8; 16];

/// What a process says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the cluster, from the settings.
    pub cluster: String,
    /// Name of the entry.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Identity of its data folder, or of the process when it has none.
    pub incarnation: u64,
    /// Life of the process, a new one for each start.
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

/// Draws a nonce.
pub fn nonce() -> Nonce {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce).expect("the operating system gives random bytes");
    nonce
}

/// Keyed hash over both nonces, the side and the identity.
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

/// Checks a proof in constant time.
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
