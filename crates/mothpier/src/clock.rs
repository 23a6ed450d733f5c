//! The node's clock.

use std::time::Instant;

use brassrouter::Micros;
use mothpier_net::Net;

/// Unix time at the start plus the monotonic time since. Comparable with times in server lists, and never set
/// back.
#[derive(Clone)]
pub struct Clock<N> {
    net: N,
    start: Instant,
    unix: Micros,
}

impl<N: Net> Clock<N> {
    pub fn start(net: N) -> Self {
        let (start, unix) = (net.now(), net.unix_time().as_micros() as Micros);
        Clock { net, start, unix }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.net.since(self.start).as_micros() as Micros
    }
}
