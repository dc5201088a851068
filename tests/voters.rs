//! Real core processes that are lost for good and replaced, one after another.

use crate::system::{CONTROL, System, until};
use async_std::task::block_on;
use http_types::Method;
use platform_standin::call;
use std::collections::BTreeSet;

/// Cores that found the cluster, and the numbers of those that replace others.
const FOUNDERS: u8 = 8;
const SUCCESSORS: u8 = 5;

fn voters(system: &System) -> BTreeSet<String> {
    let dump = system.leader().and_then(|leader| system.dump(leader)).unwrap_or_default();
    let names = dump["voters"].as_array().into_iter().flatten();
    names.filter_map(|voter| Some(voter["name"].as_str()?.to_string())).collect()
}

/// Guards against a cluster without a leader after five of eight cores were replaced: those that were
/// lost kept their votes.
#[test]
fn eight_cores_have_a_leader_after_five_were_replaced_and_two_lost() {
    let mut system = System::with_size(FOUNDERS + SUCCESSORS, 1);
    (1..=FOUNDERS).for_each(|core| system.run(core, true));
    system.run(*system.edges().start(), true);
    until("there are seven voters", || voters(&system).len() == 7);
    system.configure(1);
    for (lost, successor) in [4, 6, 2, 8, 5].into_iter().zip(FOUNDERS + 1..) {
        system.kill(lost);
        system.run(successor, false);
        until("each voter runs", || {
            let running: BTreeSet<String> =
                system.processes.keys().map(|host| format!("p{host}")).collect();
            let voters = voters(&system);
            voters.len() >= 7 && voters.is_subset(&running)
        });
    }
    let leader = system.wait_for_leader();
    system.kill(leader);
    let other = system.cores().find(|core| system.processes.contains_key(core)).unwrap();
    system.kill(other);
    system.wait_for_leader();
    until("each core returns the configuration", || {
        let mut cores = system.cores().filter(|core| system.processes.contains_key(core));
        cores.all(|core| {
            let read = call(system.address(core, CONTROL), Method::Get, "/api/config", None);
            matches!(block_on(read), Ok((200, config)) if config["version"] == 1)
        })
    });
}
