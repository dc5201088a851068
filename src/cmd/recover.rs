//! `skylarkwinch recover`: makes one data folder the only voter after a majority of the
//! voters was lost for good.

use crate::util::{Error, Result};
use argh::FromArgs;
use quorum::Id;
use std::path::PathBuf;
use store::{DiskFolder, Store};

/// Make one data folder the only voter, after a majority of the voters' disks was
/// lost for good. Stop every entry first. Changes that only the lost disks held
/// are lost, also accepted ones; changes that were never accepted may come into
/// force. Take the folder that holds the highest index; without --yes the command
/// only shows it.
///
/// The folder belongs to a new founding of the cluster afterwards: other data
/// folders of the old one are ignored until they are emptied and admitted.
#[derive(FromArgs)]
#[argh(subcommand, name = "recover")]
pub struct Args {
    /// data folder that becomes the only voter
    #[argh(positional)]
    folder: PathBuf,
    /// name of its entry
    #[argh(option)]
    name: String,
    /// make the change
    #[argh(switch)]
    yes: bool,
}

/// Runs the command.
pub fn run(args: Args) -> Result<()> {
    let folder_error = |error: store::Error| Error::Input(vec![format!("FOLDER: {error}")]);
    let disk = DiskFolder::open(&args.folder).map_err(folder_error)?;
    let (mut store, recovered) = Store::open(Box::new(disk)).map_err(folder_error)?;
    let state = recovered.state;
    let last = state.last_index();
    if last == 0 {
        return Err(Error::Missing(format!("{} holds no state", args.folder.display())));
    }
    println!(
        "{} holds index {last}, committed up to {}",
        args.folder.display(),
        state.commit_index
    );
    if !args.yes {
        println!("nothing was changed; add --yes to make it the only voter");
        return Ok(());
    }
    let id = Id::new(args.name, recovered.incarnation);
    store.save(&state.force_new_cluster(id.clone(), rand::random())).map_err(folder_error)?;
    println!("{id} is the only voter; start its entry, then the others with empty data folders");
    println!("changes accepted after index {last} are lost");
    Ok(())
}
