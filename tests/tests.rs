//! Tests that start the real processes; one file for each command or promise.

mod check;
mod demo;
mod entry;
mod path;
mod record;
mod refusals;
mod workdir;
