//! Measures the cost of slot lookups: the slot of a key, and the servers of a slot. Prints nanoseconds for
//! each.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use mothpier_slots::redirect::parse_endpoint;
use mothpier_slots::slot_of;
use mothpier_slots::table::Table;
use mothpier_slots::view::{ClusterMember, Range, View};

const ROUNDS: u32 = 2_000_000;

fn nanoseconds_per_call(mut operation: impl FnMut(u32)) -> f64 {
    (0..ROUNDS / 10).for_each(&mut operation);
    let started_at = Instant::now();
    (0..ROUNDS).for_each(&mut operation);
    started_at.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn main() {
    let address = |number: u16| SocketAddr::from(([10, 1, 0, (number % 89) as u8 + 1], 6379));
    let lookup = |address: SocketAddr| Some(u32::from(address.port()) + address.ip().is_ipv4() as u32);
    // A map of 89 servers and 1,024 ranges, as a cluster has it after many slot migrations.
    let range = |number: u16| {
        let member = ClusterMember {
            endpoints: parse_endpoint(&address(number).to_string()).into_iter().collect(),
            alias: None,
        };
        Range { first: number * 16, last: number * 16 + 15, owner: member, replicas: Vec::new() }
    };
    let view = View { epoch: 1, ranges: (0..1_024).map(range).collect() };
    let mut table = Table::new(false);
    let views: Vec<_> = (0..3).map(|number| (address(number), view.clone())).collect();
    let started_at = Instant::now();
    table.merge(views, 0, &lookup);
    println!("three maps of 1,024 ranges merged: {:.0} us", started_at.elapsed().as_nanos() as f64 / 1_000.0);
    let keys: Vec<String> = (0..1_024).map(|number| format!("member:{number:08}:profile")).collect();
    let key = |number: u32| keys[number as usize % keys.len()].as_bytes();
    println!(
        "slot of a key of 23 bytes: {:.1} ns",
        nanoseconds_per_call(|number| {
            black_box(slot_of(black_box(key(number))));
        })
    );
    println!(
        "servers of a slot: {:.1} ns",
        nanoseconds_per_call(|number| {
            black_box(table.servers_of(black_box(number as u16 % 16_384)).first());
        })
    );
}
