//! Keys and tokens that must not appear in logs or dumps.

use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use subtle::ConstantTimeEq;

/// A key or token. `Debug` and `Serialize` write `(hidden)` instead of its text.
///
/// ```
/// let secret = entry::secret::Secret::new("s3cret");
/// assert!(secret.matches("s3cret"));
/// assert_eq!(format!("{secret:?}"), "(hidden)");
/// ```
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps the text of a secret.
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }

    /// Compares in constant time, so that response times reveal nothing of the secret.
    pub fn matches(&self, other: &str) -> bool {
        self.0.as_bytes().ct_eq(other.as_bytes()).into()
    }

    /// Returns the bytes, for computing a proof.
    pub fn bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(hidden)")
    }
}

impl Serialize for Secret {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str("(hidden)")
    }
}
