//! Tests that start real processes; one file for each command or guarantee.

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
mod soak;
mod system;
mod voters;
mod workdir;
