//! Keys and tokens that must not show in logs or dumps.

use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use subtle::ConstantTimeEq;

/// A key or token.
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
    /// Wraps a secret.
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }

    /// Compares in a time that does not depend on the content.
    pub fn matches(&self, other: &str) -> bool {
        self.0.as_bytes().ct_eq(other.as_bytes()).into()
    }

    /// The bytes, to compute with.
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
