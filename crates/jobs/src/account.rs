//! Client accounts: their keys, weights and caps, as a configuration declares them.

use crate::definition::Resources;
use crate::{AccountName, QueueName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Number of bytes of a key's digest that logs and errors show.
const SHOWN_DIGEST_BYTES: usize = 4;

/// Result of declaring an account.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an account was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Two accounts have the same name.
    #[error("account \"{0}\" is declared twice")]
    Twice(AccountName),
    /// Two accounts have the same key.
    #[error("account \"{account}\": key {key} is also a key of account \"{other}\"")]
    SharedKey {
        /// Account that was declared last.
        account: AccountName,
        /// Account that has the key already.
        other: AccountName,
        /// Digest of the key.
        key: String,
    },
    /// A key is empty.
    #[error("account \"{0}\": a key must not be empty")]
    EmptyKey(AccountName),
    /// The weight is no number from 0 on.
    #[error("account \"{account}\": weight {weight} must be a number from 0 on")]
    Weight {
        /// Account with the weight.
        account: AccountName,
        /// The weight, as text.
        weight: String,
    },
}

/// Key by which a call shows its account. Shown as a digest only.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(String);

impl Key {
    /// Creates a key from its text.
    ///
    /// ```
    /// let key = jobs::account::Key::new("secret");
    /// assert_eq!(format!("{key:?}"), "Key(2bb80d53)");
    /// ```
    pub fn new(text: impl Into<String>) -> Key {
        Key(text.into())
    }

    /// Returns the first digits of the key's SHA-256 digest, by which logs name it.
    pub fn digest(&self) -> String {
        let digest = Sha256::digest(self.0.as_bytes());
        digest[..SHOWN_DIGEST_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Key({})", self.digest())
    }
}

/// Share and limit of an account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Account {
    /// Share of a full pool, relative to other accounts, and the jobs a second that the account is
    /// owed service for.
    pub weight: f64,
    /// Resources that the account may have running over all workers; 0 is no limit.
    pub cap: Resources,
}

impl Default for Account {
    fn default() -> Account {
        Account { weight: 1.0, cap: Resources::default() }
    }
}

/// The accounts of a configuration, and which of them each key belongs to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Accounts {
    by_name: BTreeMap<AccountName, Account>,
    owners: BTreeMap<Key, AccountName>,
}

impl Accounts {
    /// Declares an account.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is declared already, a key is empty or another account's, or
    /// the weight is no number from 0 on.
    ///
    /// ```
    /// use jobs::account::{Account, Accounts, Key};
    /// let mut accounts = Accounts::default();
    /// accounts.add("a", Account::default(), [Key::new("k1")]).unwrap();
    /// assert_eq!(accounts.owner(&Key::new("k1")), Some(&"a".to_string()));
    /// let error = accounts.add("b", Account::default(), [Key::new("k1")]).unwrap_err();
    /// assert!(error.to_string().contains("\"b\"") && error.to_string().contains("\"a\""));
    /// ```
    pub fn add(
        &mut self,
        name: impl Into<AccountName>,
        account: Account,
        keys: impl IntoIterator<Item = Key>,
    ) -> Result<()> {
        let name = name.into();
        if !account.weight.is_finite() || account.weight < 0.0 {
            return Err(Error::Weight { account: name, weight: account.weight.to_string() });
        }
        if self.by_name.contains_key(&name) {
            return Err(Error::Twice(name));
        }
        for key in keys {
            if key.0.is_empty() {
                return Err(Error::EmptyKey(name));
            }
            let digest = key.digest();
            let owner = self.owners.entry(key).or_insert_with(|| name.clone());
            if *owner != name {
                return Err(Error::SharedKey { account: name, other: owner.clone(), key: digest });
            }
        }
        self.by_name.insert(name, account);
        Ok(())
    }

    /// Returns the account that a key belongs to.
    pub fn owner(&self, key: &Key) -> Option<&AccountName> {
        self.owners.get(key)
    }

    /// Returns an account by its name.
    pub fn get(&self, name: &str) -> Option<&Account> {
        self.by_name.get(name)
    }

    /// Returns all accounts by name.
    pub fn by_name(&self) -> &BTreeMap<AccountName, Account> {
        &self.by_name
    }

    /// Returns the digests of an account's keys.
    pub fn key_digests(&self, name: &str) -> Vec<String> {
        let keys = self.owners.iter().filter(|(_, owner)| *owner == name);
        keys.map(|(key, _)| key.digest()).collect()
    }
}

/// Whom a call of a client counts for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// Nobody: the queue is public, or the configuration has no accounts.
    Open,
    /// The account that its key belongs to.
    Owner(AccountName),
    /// The call must not be served.
    Denied(Denial),
}

/// Why a call is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Denial {
    /// The call has no key.
    #[error("queue \"{0}\" needs a key")]
    NoKey(QueueName),
    /// No account has the key of the call.
    #[error("key {0} is not known")]
    UnknownKey(String),
}

impl Denial {
    /// Returns the short name of the reason, for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Denial::NoKey(_) => "no_key",
            Denial::UnknownKey(_) => "unknown_key",
        }
    }
}
