//! Plays one case against the project's own processes: `harness CASE BINARY RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod cases;
mod http;
mod json;
mod record;
mod system;
mod worker;

use record::Record;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use system::System;

/// Time after which a case has not run.
const LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, binary, path] = args.as_slice() else {
        eprintln!("usage: harness CASE BINARY RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new());
    record.line(format!("case {case}, trouble {has_trouble}"));
    let system = System::start(PathBuf::from(binary), record.clone()).map(Arc::new);
    let code = match &system {
        None => 2,
        Some(system) => {
            let (guarded, case, path) = (system.clone(), case.clone(), path.clone());
            let watch = system.clone();
            thread::spawn(move || {
                thread::sleep(LIMIT);
                watch.record.line("the case takes too long");
                watch.stop();
                let _ = std::fs::write(path, watch.record.text());
                std::process::exit(2);
            });
            let played = thread::spawn(move || cases::run(&case, &guarded, has_trouble)).join();
            match played {
                Ok(Some(true)) => 0,
                Ok(Some(false)) => 1,
                Ok(None) | Err(_) => 2,
            }
        }
    };
    let verdict = ["the rule held", "the rule was broken", "the case couldn't run"][code];
    record.line(verdict);
    println!("{case}: {verdict}");
    if let Some(system) = system {
        system.stop();
    }
    if let Err(error) = std::fs::write(path, record.text()) {
        eprintln!("{path}: {error}");
    }
    std::process::exit(code as i32);
}
