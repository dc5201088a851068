//! Documents: records in the form in which operators write them, and their parser.

use crate::{Key, Kind, Revision, Spec};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Result of parsing or checking documents, with every error found.
pub type Result<T> = std::result::Result<T, Vec<FieldError>>;

const MAX_NAME_BYTES: usize = 63;

/// An invalid field and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field, for example `spec.slots`.
    pub field: String,
    /// Why the value is invalid.
    pub reason: String,
}

impl FieldError {
    /// Creates an error for a field.
    ///
    /// ```
    /// let error = record::FieldError::new("spec.slots", "must be at least 1");
    /// assert_eq!(error.to_string(), "spec.slots: must be at least 1");
    /// ```
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> FieldError {
        FieldError { field: field.into(), reason: reason.into() }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

/// A record as an operator wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Kind of the record.
    pub kind: Kind,
    /// Schema version of `spec`.
    pub schema: u32,
    /// Name, unique inside the kind.
    pub name: String,
    /// Revision that the operator's change is based on; `None` for a new record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// Content, in the format of the kind and schema version.
    pub spec: serde_json::Value,
}

impl Document {
    /// Returns the key of the record.
    pub fn key(&self) -> Key {
        Key::new(self.kind, self.name.clone())
    }

    /// Parses the content and checks the name and each value. Checks that involve other
    /// records are in the `fleet` crate.
    ///
    /// ```
    /// let text = "{kind: team, schema: 1, name: gate, spec: {quota: 3, weight: 0}}";
    /// let documents = record::document::parse_all(text).unwrap();
    /// let field_errors = documents[0].check().unwrap_err();
    /// assert_eq!(field_errors[0].field, "spec.weight");
    /// ```
    pub fn check(&self) -> Result<Spec> {
        let mut field_errors: Vec<FieldError> = name_error(&self.name).into_iter().collect();
        match Spec::parse(self.kind, self.schema, &self.spec) {
            Ok(spec) => {
                field_errors.extend(spec.field_errors());
                if field_errors.is_empty() { Ok(spec) } else { Err(field_errors) }
            }
            Err(error) => {
                field_errors.push(error);
                Err(field_errors)
            }
        }
    }
}

/// Parses a YAML stream of documents, separated by `---`.
///
/// Reports an error for every document that is not a record. Stops at a syntax error,
/// because the documents after it can't be separated.
///
/// ```
/// let text = "kind: team\nschema: 1\nname: gate\nspec: {quota: 3, weight: 1}\n";
/// assert_eq!(record::document::parse_all(text).unwrap()[0].name, "gate");
/// assert!(record::document::parse_all("kind: barn").is_err());
/// ```
pub fn parse_all(text: &str) -> Result<Vec<Document>> {
    let mut documents = Vec::new();
    let mut field_errors = Vec::new();
    for (position, part) in serde_norway::Deserializer::from_str(text).enumerate() {
        let number = position + 1;
        let value = match serde_norway::Value::deserialize(part) {
            Ok(value) => value,
            Err(error) => {
                field_errors.push(syntax_error(number, &error));
                break;
            }
        };
        match serde_path_to_error::deserialize::<_, Option<Document>>(value) {
            Ok(document) => documents.extend(document),
            Err(error) => {
                let field = format!("document {number}, {}", error.path());
                field_errors.push(FieldError::new(field, error.into_inner().to_string()));
            }
        }
    }
    if field_errors.is_empty() { Ok(documents) } else { Err(field_errors) }
}

/// Returns the error of a document that is not YAML, with its line and column.
fn syntax_error(document: usize, error: &serde_norway::Error) -> FieldError {
    let location = error.location().map_or(String::new(), |location| {
        format!(", line {}, column {}", location.line(), location.column())
    });
    FieldError::new(format!("document {document}{location}"), error.to_string())
}

/// Returns an error if a record name is empty, too long or has an invalid character.
fn name_error(name: &str) -> Option<FieldError> {
    let valid = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(valid) {
        return None;
    }
    let reason = format!("\"{name}\" must be 1 to {MAX_NAME_BYTES} of a-z, 0-9 and '-'");
    Some(FieldError::new("name", reason))
}
