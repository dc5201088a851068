//! Tests that start the real processes; one file for each command or promise.

mod check;
mod demo;
mod entry;
mod faults;
mod once;
mod path;
mod ports;
mod record;
mod recover;
mod refusals;
mod roles;
mod workdir;
