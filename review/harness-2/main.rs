//! Runs one case: `cases NAME RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

mod http;
mod json;
mod late;
mod policy;
mod record;
mod system;
mod worker;

use record::Record;
use std::path::Path;
use std::process::exit;

/// What a case came to.
pub type Verdict = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let record = Record::create(Path::new(path));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match name.as_str() {
        "late" => late::run(&record, has_trouble),
        "limit" => late::run_limit(&record, has_trouble),
        "policy" => policy::run(&record, has_trouble),
        _ => Err(format!("no case {name}")),
    };
    match verdict {
        Ok(false) => {
            record.say("the rule held");
            exit(0);
        }
        Ok(true) => {
            record.say("the rule was broken");
            exit(1);
        }
        Err(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            exit(2);
        }
    }
}
