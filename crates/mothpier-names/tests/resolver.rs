//! The resolver against answers of every kind, on a clock that the test sets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use hickory_proto::op::{Message, MessageType, OpCode, Query as DnsQuery, ResponseCode};
use hickory_proto::rr::rdata::{A, CNAME, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use mothpier_membership::DnsTrust;
use mothpier_names::{Failure, Kind, Lifetimes, Match, Query, Resolver, Settings, Transport};
use proptest::prelude::*;

const NOW: u64 = 5_000_000;
const SERVICE: &str = "_profile._tcp.makati.example.org.";

fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap()
}

fn settings() -> Settings {
    Settings {
        service: name(SERVICE),
        servers: (1..=2).map(|n| SocketAddr::from(([10, 5, 0, n], 53))).collect(),
        nodes: 1,
        tier_per_s: 1_000.0,
        burst: 1_000.0,
        lifetimes: Lifetimes { floor: 2_000, ceiling: 60_000, negative_ceiling: 10_000, stale: 100_000 },
        wait: 1_000,
        ipv6: false,
        networks: vec!["10.0.0.0/8".parse().unwrap()],
    }
}

fn resolver() -> Resolver {
    Resolver::new(settings(), [7; 32], NOW).unwrap()
}

/// An answer to what was asked, as a server makes it.
fn reply(ask: &Query, make: impl FnOnce(&mut Message)) -> Vec<u8> {
    let asked = Message::from_vec(&ask.bytes).unwrap();
    let mut message = Message::new(asked.metadata.id, MessageType::Response, OpCode::Query);
    message.add_queries(asked.queries.iter().cloned());
    make(&mut message);
    message.to_vec().unwrap()
}

fn srv(host: &str, ttl: u32) -> Record {
    Record::from_rdata(name(SERVICE), ttl, RData::SRV(SRV::new(0, 10, 6379, name(host))))
}

fn a(host: &str, last: u8, ttl: u32) -> Record {
    Record::from_rdata(name(host), ttl, RData::A(A(Ipv4Addr::new(10, 1, 0, last))))
}

fn cname(from: &str, to: &str) -> Record {
    Record::from_rdata(name(from), 60, RData::CNAME(CNAME(name(to))))
}

fn soa(ttl: u32, minimum: u32) -> Record {
    let soa = SOA::new(name("ns.example.org."), name("root.example.org."), 1, 60, 60, 60, minimum);
    Record::from_rdata(name("example.org."), ttl, RData::SOA(soa))
}

/// Two boxes with their addresses beside.
fn both(message: &mut Message) {
    message.add_answers([srv("pb1.example.org.", 30), srv("pb2.example.org.", 20)]);
    message.add_additionals([a("pb1.example.org.", 1, 30), a("pb2.example.org.", 2, 30)]);
}

fn one(r: &mut Resolver, now: u64) -> Query {
    let mut asks = r.asks(now);
    assert_eq!(asks.len(), 1, "{asks:?}");
    asks.remove(0)
}

fn hosts(r: &mut Resolver, now: u64) -> Vec<String> {
    r.view(now).named.iter().map(|n| n.address.to_string()).collect()
}

const BOTH: [&str; 2] = ["10.1.0.1:6379", "10.1.0.2:6379"];

#[test]
fn a_service_with_its_addresses_beside_takes_one_question_and_is_asked_for_ahead_of_its_end() {
    let mut r = resolver();
    assert_eq!(r.view(NOW).word, DnsTrust::Unknown);
    let ask = one(&mut r, NOW);
    assert_eq!((ask.transport, ask.question.kind), (Transport::Udp, Kind::Srv));
    assert!(r.asks(NOW).is_empty(), "no second question while one is out");
    r.heard(NOW + 5, ask.ticket, &reply(&ask, both));
    let view = r.view(NOW + 5);
    assert_eq!((view.word, view.pending, view.answers), (DnsTrust::Fresh, 0, 1));
    assert_eq!(hosts(&mut r, NOW + 5), BOTH);
    // The least lifetime of the set counts: 20 s, and it is asked for between seven and nine tenths of it.
    let due = r.due(NOW + 5);
    assert!((NOW + 5 + 14_000..=NOW + 5 + 18_000).contains(&due), "{}", due - NOW);
    assert!(r.asks(due - 1).is_empty());
    assert!(r.asks(due).iter().any(|a| a.question.kind == Kind::Srv));
}

#[test]
fn hosts_without_addresses_are_asked_for_and_pending_until_then() {
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            m.add_answers([srv("pb1.example.org.", 30), srv("pb2.example.org.", 30)]);
            m.add_additional(a("pb1.example.org.", 1, 30));
            // Nobody asked for this one: not taken.
            m.add_additional(a("evil.example.org.", 66, 30));
        }),
    );
    assert_eq!((r.view(NOW).pending, hosts(&mut r, NOW)), (1, vec![BOTH[0].to_owned()]));
    let ask = one(&mut r, NOW);
    assert_eq!((ask.question.kind, ask.question.name.clone()), (Kind::A, name("pb2.example.org.")));
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            m.add_answers([cname("pb2.example.org.", "x.example.org."), a("x.example.org.", 2, 30)]);
        }),
    );
    assert_eq!((r.view(NOW).pending, hosts(&mut r, NOW)), (0, BOTH.map(str::to_owned).to_vec()));
    // A host that the service names no more is forgotten, with what is asked for it.
    assert_eq!(r.len(), 3);
    let due = NOW + 60_000;
    let asks = r.asks(due);
    let service = asks.iter().find(|a| a.question.kind == Kind::Srv).unwrap();
    r.heard(
        due,
        service.ticket,
        &reply(service, |m| {
            m.add_answer(srv("pb1.example.org.", 30));
        }),
    );
    assert_eq!((r.len(), hosts(&mut r, due)), (2, vec![BOTH[0].to_owned()]));
    let late = asks.iter().find(|a| a.question.name == name("pb2.example.org.")).unwrap();
    r.heard(
        due,
        late.ticket,
        &reply(late, |m| {
            m.add_answer(a("pb2.example.org.", 2, 30));
        }),
    );
    assert_eq!(r.len(), 2, "an answer for what is forgotten brings nothing back");
}

#[test]
fn cut_answers_are_asked_for_over_tcp_and_a_server_without_tcp_is_left() {
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            both(m);
            m.metadata.truncation = true;
        }),
    );
    assert!(r.view(NOW).named.is_empty(), "nothing of a cut answer is used");
    let tcp = one(&mut r, NOW);
    assert_eq!((tcp.transport, tcp.server), (Transport::Tcp, ask.server));
    r.failed(NOW + 1, tcp.ticket, Failure::Broken);
    let other = one(&mut r, NOW + 1);
    assert!(other.transport == Transport::Udp && other.server != ask.server);
    r.heard(NOW + 2, other.ticket, &reply(&other, both));
    assert_eq!(hosts(&mut r, NOW + 2), BOTH);
    assert_eq!((r.counts().tcp, r.counts().failed, r.counts().answered), (1, 1, 1));
}

#[test]
fn what_is_held_goes_on_stale_within_its_time_while_servers_fail_and_they_are_left_in_peace() {
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    r.heard(NOW, ask.ticket, &reply(&ask, both));
    let (mut now, mut asked) = (NOW, 0);
    while now < NOW + 100_000 {
        now = r.due(now).max(now + 1);
        let asks = r.asks(now);
        asked += asks.len();
        for ask in asks {
            match ask.ticket % 3 {
                0 => r.failed(now, ask.ticket, Failure::TimedOut),
                1 => r.heard(
                    now,
                    ask.ticket,
                    &reply(&ask, |m| {
                        m.metadata.response_code = ResponseCode::ServFail;
                    }),
                ),
                _ => r.heard(now, ask.ticket, b"what is this"),
            }
        }
        assert_eq!(hosts(&mut r, now), BOTH, "{}", now - NOW);
    }
    // Three names, two servers, rests of up to 30 s for each: not much more than one question in four seconds.
    assert!((10..=40).contains(&asked), "{asked}");
    assert_eq!(r.view(NOW + 19_999).word, DnsTrust::Fresh);
    assert_eq!(r.view(NOW + 20_000).word, DnsTrust::Stale);
    assert_eq!(r.view(NOW + 119_999).named.len(), 2);
    assert_eq!((r.view(NOW + 120_000).word, r.view(NOW + 120_000).named.len()), (DnsTrust::Silent, 0));
    assert!(r.trouble().is_some_and(|t| t.contains("example.org")));
}

/// In an outage of all servers, 60 hosts are not 60 questions: one at a time, and ever more seldom.
#[test]
fn servers_that_say_nothing_are_asked_by_one_question_at_a_time() {
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            for n in 0..60 {
                m.add_answer(srv(&format!("pb{n}.example.org."), 10));
                m.add_additional(a(&format!("pb{n}.example.org."), n, 10));
            }
        }),
    );
    let (mut now, mut out, mut asked, mut late) = (NOW, Vec::new(), 0, 0);
    while now < NOW + 100_000 {
        for ask in r.asks(now) {
            asked += 1;
            late += u64::from(now > NOW + 50_000);
            out.push((now + ask.wait, ask));
        }
        assert!(out.len() <= if asked > 16 { 1 } else { 8 }, "{} out after {asked}", out.len());
        let next = out.iter().map(|(at, _)| *at).min().unwrap_or(u64::MAX);
        now = r.due(now).min(next).max(now + 1);
        out.retain(|(at, ask)| {
            if *at <= now {
                r.failed(now, ask.ticket, Failure::TimedOut);
            }
            *at > now
        });
    }
    assert_eq!(r.view(now).named.len(), 60);
    assert!(asked <= 40 && late <= 6, "{asked} asked, {late} in the second half");
    // One of them is back: all is asked again as ever.
    now = r.due(now);
    let ask = one(&mut r, now);
    r.heard(
        now,
        ask.ticket,
        &reply(&ask, |m| match ask.question.kind {
            Kind::Srv => {
                m.add_answers((0..60).map(|n| srv(&format!("pb{n}.example.org."), 10)));
            }
            _ => {
                m.add_answer(a(&ask.question.name.to_ascii(), 1, 10));
            }
        }),
    );
    assert_eq!(r.asks(now).len(), 8);
}

#[test]
fn no_such_name_no_such_kind_and_a_service_that_is_decidedly_not_there() {
    type Make = fn(&mut Message);
    let cases: [(Make, u64); 4] = [
        (
            |m| {
                m.metadata.response_code = ResponseCode::NXDomain;
                m.add_authority(soa(900, 5));
            },
            5_000,
        ),
        (
            |m| {
                m.add_authority(soa(4, 900));
            },
            4_000,
        ),
        (|_| {}, 2_000),
        (
            |m| {
                m.add_answer(Record::from_rdata(
                    name(SERVICE),
                    7,
                    RData::SRV(SRV::new(0, 0, 0, Name::root())),
                ));
            },
            7_000,
        ),
    ];
    for (make, counts) in cases {
        let mut r = resolver();
        let ask = one(&mut r, NOW);
        r.heard(NOW, ask.ticket, &reply(&ask, make));
        let view = r.view(NOW);
        assert_eq!((view.word, view.named.len(), view.pending, view.answers), (DnsTrust::Nothing, 0, 0, 1));
        let due = r.due(NOW) - NOW;
        assert!((counts * 7 / 10..=counts).contains(&due), "{counts}: {due}");
    }
}

#[test]
fn lifetimes_of_nothing_and_of_half_of_all_numbers_are_the_floor() {
    for ttl in [0, 1 << 31, u32::MAX] {
        let mut r = resolver();
        let ask = one(&mut r, NOW);
        r.heard(
            NOW,
            ask.ticket,
            &reply(&ask, |m| {
                m.add_answer(srv("pb1.example.org.", ttl));
                m.add_additional(a("pb1.example.org.", 1, ttl));
            }),
        );
        let due = r.due(NOW) - NOW;
        assert!((1_400..=1_800).contains(&due), "{ttl}: {due}");
    }
}

#[test]
fn chains_of_names_are_followed_so_far_and_circles_are_not() {
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    // The chain leaves the answer: its end is asked for, and then held for the service's own name.
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            m.add_answer(cname(SERVICE, "boxes.example.net."));
        }),
    );
    let ask = one(&mut r, NOW);
    assert_eq!(ask.question.name, name("boxes.example.net."));
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            m.add_answer(Record::from_rdata(
                name("boxes.example.net."),
                30,
                RData::SRV(SRV::new(0, 1, 1, name("pb1.example.org."))),
            ));
            m.add_additional(a("pb1.example.org.", 1, 30));
        }),
    );
    assert_eq!(hosts(&mut r, NOW), ["10.1.0.1:1"]);
    let again = r.asks(NOW + 60_000);
    assert!(again.iter().any(|a| a.question.name == name(SERVICE)), "a refresh begins at the name itself");
    // In one answer, and over several.
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            m.add_answers([cname(SERVICE, "x.example.org."), cname("x.example.org.", SERVICE)]);
        }),
    );
    assert_eq!(r.counts().failed, 1);
    let mut r = resolver();
    let mut asked = 0;
    while let [ask] = &r.asks(NOW)[..] {
        asked += 1;
        let to = if ask.question.name == name(SERVICE) { "x.example.org." } else { SERVICE };
        r.heard(
            NOW,
            ask.ticket,
            &reply(ask, |m| {
                m.add_answer(cname(&ask.question.name.to_ascii(), to));
            }),
        );
    }
    assert_eq!(asked, 9, "eight links, and the question that finds one too many");
    assert_eq!(r.view(NOW).word, DnsTrust::Unknown);
}

#[test]
fn answers_of_others_are_none_and_neither_are_addresses_outside() {
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    let good = reply(&ask, both);
    let with = |change: &dyn Fn(&mut Message)| {
        let mut message = Message::from_vec(&good).unwrap();
        change(&mut message);
        message.to_vec().unwrap()
    };
    let other = |name: &str, kind| DnsQuery::query(Name::from_ascii(name).unwrap(), kind);
    for not in [
        with(&|m| m.metadata.id = m.metadata.id.wrapping_add(1)),
        with(&|m| m.metadata.message_type = MessageType::Query),
        with(&|m| m.queries = vec![other("other.example.org.", RecordType::SRV)]),
        with(&|m| m.queries = vec![other(SERVICE, RecordType::A)]),
        with(&|m| m.queries = Vec::new()),
        with(&|m| m.queries = vec![other(SERVICE, RecordType::SRV), other(SERVICE, RecordType::SRV)]),
        ask.bytes.clone(),
        Vec::new(),
        vec![0; 2],
    ] {
        assert_eq!(ask.question.matches(&not), Match::Not, "{not:?}");
    }
    assert_eq!(ask.question.matches(&good[..good.len() - 3]), Match::Broken);
    assert!(matches!(ask.question.matches(&good), Match::Answer(_)));
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            m.add_answers([srv("pb1.example.org.", 30), srv("out.example.org.", 30)]);
            let outside = A(Ipv4Addr::new(192, 0, 2, 1));
            m.add_additionals([
                a("pb1.example.org.", 1, 30),
                Record::from_rdata(name("out.example.org."), 30, RData::A(outside)),
            ]);
        }),
    );
    assert_eq!((hosts(&mut r, NOW), r.counts().outside), (vec![BOTH[0].to_owned()], 1));
}

#[test]
fn a_server_without_edns_is_asked_again_without_it() {
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    assert!(Message::from_vec(&ask.bytes).unwrap().edns.is_some());
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            m.metadata.response_code = ResponseCode::FormErr;
            m.queries.clear();
        }),
    );
    let again = one(&mut r, NOW);
    assert_eq!(again.server, ask.server);
    assert!(Message::from_vec(&again.bytes).unwrap().edns.is_none());
    // It says so of the plain question, too: it is of no use.
    r.heard(
        NOW,
        again.ticket,
        &reply(&again, |m| {
            m.metadata.response_code = ResponseCode::FormErr;
        }),
    );
    assert_ne!(one(&mut r, NOW).server, ask.server);
}

#[test]
fn five_hundred_records_are_read_and_too_many_are_refused_whole() {
    let many = |count: u32| {
        move |m: &mut Message| {
            for n in 0..count {
                let host = format!("pb{n}.example.org.");
                m.add_answer(srv(&host, 30));
                let at = Ipv4Addr::from(0x0a02_0000 + n);
                m.add_additional(Record::from_rdata(name(&host), 30, RData::A(A(at))));
            }
        }
    };
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    r.heard(NOW, ask.ticket, &reply(&ask, many(500)));
    assert_eq!(hosts(&mut r, NOW).len(), 500);
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    r.heard(NOW, ask.ticket, &reply(&ask, many(520)));
    assert_eq!((r.view(NOW).word, r.len()), (DnsTrust::Unknown, 1));
    assert!(r.trouble().unwrap().contains("1040 records; 1024 are taken at the most"));
}

#[test]
fn askings_keep_to_the_budget_and_nodes_that_begin_together_spread_them() {
    let slow = Settings { nodes: 80, tier_per_s: 40.0, burst: 4.0, ..settings() };
    let mut first = Vec::new();
    let mut per_second = [0; 30];
    for node in 0..80u8 {
        let mut r = Resolver::new(slow.clone(), [node; 32], NOW).unwrap();
        let mut now = NOW;
        while now < NOW + 30_000 {
            for ask in r.asks(now) {
                if ask.ticket == 1 {
                    first.push(now);
                }
                per_second[(now - NOW) as usize / 1000] += 1;
                // 60 hosts, none with its address beside.
                r.heard(
                    now,
                    ask.ticket,
                    &reply(&ask, |m| match ask.question.kind {
                        Kind::Srv => {
                            m.add_answers((0..60).map(|n| srv(&format!("pb{n}.example.org."), 60)));
                        }
                        _ => {
                            m.add_answer(a(&ask.question.name.to_ascii(), 1, 60));
                        }
                    }),
                );
            }
            now = r.due(now).max(now + 1);
        }
    }
    first.sort_unstable();
    assert!(first[0] < NOW + 100 && first[79] > NOW + 1_900 && first[40] - first[39] < 200, "{first:?}");
    // The bursts of all nodes within the spread, and the rate from then on.
    assert!(per_second[0..3].iter().sum::<i32>() <= 80 * 4 + 3 * 40);
    assert!(per_second[4..].iter().all(|n| (30..=50).contains(n)), "{per_second:?}");
}

#[test]
fn an_asking_that_its_caller_forgot_ends_all_the_same() {
    let mut r = resolver();
    let ask = one(&mut r, NOW);
    assert_eq!(r.due(NOW), NOW + 1_500);
    let again = one(&mut r, NOW + 1_500);
    assert_ne!(again.server, ask.server);
    r.heard(NOW + 1_600, ask.ticket, &reply(&ask, both));
    assert_eq!(r.view(NOW + 1_600).word, DnsTrust::Unknown, "its ticket is over");
}

/// The longest name that there is: 255 bytes on the wire. A longer one is none.
#[test]
fn a_service_may_have_the_longest_name_that_there_is() {
    let label = "a".repeat(63);
    let longest = format!("{label}.{label}.{label}.{}.", "a".repeat(61));
    assert!(
        Name::from_ascii(longest.replacen('a', "ab", 1)).is_err()
            && Name::from_ascii(format!("b.{longest}")).is_err()
    );
    let service = name(&longest);
    let mut r = Resolver::new(Settings { service, ..settings() }, [7; 32], NOW).unwrap();
    let ask = one(&mut r, NOW);
    r.heard(
        NOW,
        ask.ticket,
        &reply(&ask, |m| {
            let target = RData::SRV(SRV::new(0, 1, 6379, name("pb1.example.org.")));
            m.add_answer(Record::from_rdata(ask.question.name.clone(), 30, target));
            m.add_additional(a("pb1.example.org.", 1, 30));
        }),
    );
    assert_eq!(hosts(&mut r, NOW), ["10.1.0.1:6379"]);
}

#[test]
fn settings_that_can_not_work_are_refused() {
    let bad = |settings| Resolver::new(settings, [0; 32], 0).err().unwrap().to_string();
    assert_eq!(bad(Settings { servers: vec![], ..settings() }), "0 servers; name 1 to 8");
    let at = "0.0.0.0:53".parse().unwrap();
    assert_eq!(
        bad(Settings { servers: vec![at], ..settings() }),
        "0.0.0.0:53 is no address that can be asked"
    );
    assert_eq!(bad(Settings { service: Name::root(), ..settings() }), "the service has no name");
}

/// `PROPTEST_CASES` asks for more.
fn cases(usual: u32) -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}

fn spoilt() -> impl Strategy<Value = (Vec<(usize, u8)>, usize, Vec<u8>)> {
    let changes = proptest::collection::vec((0..400usize, any::<u8>()), 0..12);
    (changes, 0..500usize, proptest::collection::vec(any::<u8>(), 0..64))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(4_000), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever bytes come, nothing panics, what is kept stays bounded, no address is outside, and the asking ends.
    #[test]
    fn any_bytes(spoilt in proptest::collection::vec(spoilt(), 1..6)) {
        let mut r = resolver();
        let mut now = NOW;
        for (changes, length, tail) in spoilt {
            for ask in r.asks(now) {
                let mut bytes = reply(&ask, |m| {
                    both(m);
                    m.add_answers([cname(SERVICE, "x.example.org."), cname("x.example.org.", "y.example.org.")]);
                    m.add_authority(soa(1, 1));
                });
                bytes.truncate(length.max(12));
                bytes.extend(&tail);
                for (at, value) in &changes {
                    // The id stays, or nothing behind it would be read.
                    if let Some(byte) = bytes.get_mut(at + 2) {
                        *byte = *value;
                    }
                }
                let _ = ask.question.matches(&bytes);
                r.heard(now, ask.ticket, &bytes);
                prop_assert!(r.asks(now).iter().all(|a| a.ticket != ask.ticket));
            }
            let view = r.view(now);
            let inside = |ip: IpAddr| matches!(ip, IpAddr::V4(a) if a.octets()[0] == 10);
            prop_assert!(view.named.iter().all(|n| inside(n.address.ip())));
            prop_assert!(r.len() <= 1 + 1024 && view.pending <= 1024);
            now = r.due(now).max(now + 1);
        }
    }
}
