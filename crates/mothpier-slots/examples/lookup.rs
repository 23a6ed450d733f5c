//! What the slot of a request costs: the slot of its key, and the boxes that hold it. Prints nanoseconds for each.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use mothpier_slots::redirect::place;
use mothpier_slots::slot_of;
use mothpier_slots::table::Table;
use mothpier_slots::view::{ClusterMember, Range, View};

const ROUNDS: u32 = 2_000_000;

fn nanoseconds(mut what: impl FnMut(u32)) -> f64 {
    (0..ROUNDS / 10).for_each(&mut what);
    let since = Instant::now();
    (0..ROUNDS).for_each(&mut what);
    since.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn main() {
    let at = |n: u16| SocketAddr::from(([10, 1, 0, (n % 89) as u8 + 1], 6379));
    let listed = |address: SocketAddr| Some(u32::from(address.port()) + address.ip().is_ipv4() as u32);
    // 89 boxes with a thousand ranges, as after many reshuffles.
    let range = |n: u16| {
        let seat = ClusterMember { places: place(&at(n).to_string()).into_iter().collect(), alias: None };
        Range { first: n * 16, last: n * 16 + 15, owner: seat, copies: Vec::new() }
    };
    let view = View { epoch: 1, ranges: (0..1_024).map(range).collect() };
    let mut table = Table::new(false);
    let heard: Vec<_> = (0..3).map(|n| (at(n), view.clone())).collect();
    let since = Instant::now();
    table.merge(heard, 0, &listed);
    println!("three maps of 1,024 ranges merged: {:.0} us", since.elapsed().as_nanos() as f64 / 1_000.0);
    let keys: Vec<String> = (0..1_024).map(|n| format!("member:{n:08}:profile")).collect();
    let key = |n: u32| keys[n as usize % keys.len()].as_bytes();
    println!(
        "slot of a key of 23 bytes: {:.1} ns",
        nanoseconds(|n| {
            black_box(slot_of(black_box(key(n))));
        })
    );
    println!(
        "boxes of a slot: {:.1} ns",
        nanoseconds(|n| {
            black_box(table.home(black_box(n as u16 % 16_384)).first());
        })
    );
}
