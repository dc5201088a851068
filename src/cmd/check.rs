//! `skylarkwinch check`: validates settings and records without an entry.

use crate::util::{self, Error, Result};
use argh::FromArgs;
use std::path::{Path, PathBuf};

/// Validate settings and record files without talking to an entry.
///
/// A file with the field `entries` is read as settings of an entry, one with the
/// field `seeds` as settings of a core or edge process, any other as records.
/// Records are checked together: references must be met within the files given.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Args {
    /// files to check
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    if args.files.is_empty() {
        return Err(Error::Input(vec!["FILES: give at least one".to_string()]));
    }
    let mut field_errors = Vec::new();
    let mut documents = Vec::new();
    for path in &args.files {
        match check_file(path)? {
            Checked::Settings => println!("{}: settings are valid", path.display()),
            Checked::Records(found) => {
                println!("{}: {} records read", path.display(), found.len());
                documents.extend(found);
            }
            Checked::Invalid(found) => field_errors.extend(found),
        }
    }
    field_errors.extend(cross_record_errors(&documents));
    if field_errors.is_empty() { Ok(()) } else { Err(Error::Input(field_errors)) }
}

/// Result of checking one file; an invalid file carries one message for each error.
enum Checked {
    Settings,
    Records(Vec<record::Document>),
    Invalid(Vec<String>),
}

fn check_file(path: &Path) -> Result<Checked> {
    let text = util::read_file(path)?;
    let with_path = |field_errors: Vec<record::FieldError>| {
        field_errors
            .iter()
            .map(|field_error| format!("{}: {field_error}", path.display()))
            .collect()
    };
    if has_field(&text, "seeds") {
        return Ok(match mesh::Settings::parse(&text) {
            Ok(_) => Checked::Settings,
            Err(error) => Checked::Invalid(vec![format!("{}: {error}", path.display())]),
        });
    }
    if has_field(&text, "entries") {
        return Ok(match entry::Settings::load(path) {
            Ok(_) => Checked::Settings,
            Err(field_errors) => Checked::Invalid(with_path(field_errors)),
        });
    }
    let documents = match record::document::parse_all(&text) {
        Ok(documents) if documents.is_empty() => {
            return Ok(Checked::Invalid(vec![format!("{}: holds no record", path.display())]));
        }
        Ok(documents) => documents,
        Err(field_errors) => return Ok(Checked::Invalid(with_path(field_errors))),
    };
    let mut field_errors = Vec::new();
    for document in &documents {
        let found = document.check().err().unwrap_or_default();
        let prefix = document.key().to_string();
        field_errors.extend(found.into_iter().map(|field_error| {
            record::FieldError::new(format!("{prefix}: {}", field_error.field), field_error.reason)
        }));
    }
    Ok(if field_errors.is_empty() {
        Checked::Records(documents)
    } else {
        Checked::Invalid(with_path(field_errors))
    })
}

fn has_field(text: &str, field: &str) -> bool {
    serde_norway::from_str::<serde_json::Value>(text).is_ok_and(|value| value.get(field).is_some())
}

/// Returns the errors between records, such as unresolved references and duplicates.
fn cross_record_errors(documents: &[record::Document]) -> Vec<String> {
    let no_live_specs = fleet::check::LiveSpecs::new();
    let mut overlay = fleet::check::Overlay::new(&no_live_specs);
    let mut checked_keys = Vec::new();
    let mut field_errors = Vec::new();
    for document in documents {
        let key = document.key();
        if checked_keys.contains(&key) {
            field_errors.push(format!("{key}: is declared twice"));
        }
        if let Ok(spec) = document.check() {
            overlay.put(key.clone(), spec);
        }
        checked_keys.push(key);
    }
    field_errors.extend(overlay.field_errors().iter().map(ToString::to_string));
    field_errors
}
