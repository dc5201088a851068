//! `skylarkwinch entry`: runs an entry process until SIGTERM or SIGINT.

use crate::config;
use crate::util::{self, Error, Result};
use ::entry::{Listeners, Process, Settings};
use argh::FromArgs;
use async_std::task;
use std::path::PathBuf;

/// Run an entry process until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct Args {
    /// settings file
    #[argh(positional)]
    settings: PathBuf,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    let settings = Settings::load(&args.settings)
        .map_err(|field_errors| Error::in_file(&args.settings, &field_errors))?;
    config::start_log(&settings.log);
    let metrics = config::start_metrics()?;
    task::block_on(async {
        let listeners = Listeners::bind(&settings)
            .await
            .map_err(|error| settings_error(&args.settings, &error))?;
        let process = Process::start(settings, listeners, metrics)
            .map_err(|error| settings_error(&args.settings, &error))?;
        util::stop_signal().await?;
        process.stop().await;
        Ok(())
    })
}

fn settings_error(path: &std::path::Path, error: &::entry::process::Error) -> Error {
    Error::Input(vec![format!("{}: {error}", path.display())])
}
