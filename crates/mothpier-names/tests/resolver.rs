//! Tests the resolver with answers of every kind, on a simulated clock.

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
        timeout_ms: 1_000,
        ipv6: false,
        networks: vec!["10.0.0.0/8".parse().unwrap()],
    }
}

fn new_resolver() -> Resolver {
    Resolver::new(settings(), [7; 32], NOW).unwrap()
}

/// Builds the answer of a DNS server to a query.
fn reply(query: &Query, fill: impl FnOnce(&mut Message)) -> Vec<u8> {
    let request = Message::from_vec(&query.bytes).unwrap();
    let mut message = Message::new(request.metadata.id, MessageType::Response, OpCode::Query);
    message.add_queries(request.queries.iter().cloned());
    fill(&mut message);
    message.to_vec().unwrap()
}

fn srv_record(host: &str, ttl: u32) -> Record {
    Record::from_rdata(name(SERVICE), ttl, RData::SRV(SRV::new(0, 10, 6379, name(host))))
}

fn a_record(host: &str, last: u8, ttl: u32) -> Record {
    Record::from_rdata(name(host), ttl, RData::A(A(Ipv4Addr::new(10, 1, 0, last))))
}

fn cname_record(from: &str, to: &str) -> Record {
    Record::from_rdata(name(from), 60, RData::CNAME(CNAME(name(to))))
}

fn soa_record(ttl: u32, minimum: u32) -> Record {
    let soa = SOA::new(name("ns.example.org."), name("root.example.org."), 1, 60, 60, 60, minimum);
    Record::from_rdata(name("example.org."), ttl, RData::SOA(soa))
}

/// Adds two servers, with their addresses in the additional section.
fn add_both_servers(message: &mut Message) {
    message.add_answers([srv_record("pb1.example.org.", 30), srv_record("pb2.example.org.", 20)]);
    message.add_additionals([a_record("pb1.example.org.", 1, 30), a_record("pb2.example.org.", 2, 30)]);
}

fn only_query(resolver: &mut Resolver, now: u64) -> Query {
    let mut queries = resolver.due_queries(now);
    assert_eq!(queries.len(), 1, "{queries:?}");
    queries.remove(0)
}

fn addresses(resolver: &mut Resolver, now: u64) -> Vec<String> {
    resolver.view(now).servers.iter().map(|n| n.address.to_string()).collect()
}

const BOTH: [&str; 2] = ["10.1.0.1:6379", "10.1.0.2:6379"];

#[test]
fn a_service_with_additional_addresses_takes_one_query_and_is_refreshed_early() {
    let mut resolver = new_resolver();
    assert_eq!(resolver.view(NOW).trust, DnsTrust::Unknown);
    let query = only_query(&mut resolver, NOW);
    assert_eq!((query.transport, query.question.kind), (Transport::Udp, Kind::Srv));
    assert!(resolver.due_queries(NOW).is_empty(), "a second query while one is outstanding");
    resolver.handle_answer(NOW + 5, query.ticket, &reply(&query, add_both_servers));
    let view = resolver.view(NOW + 5);
    assert_eq!((view.trust, view.pending, view.answers), (DnsTrust::Fresh, 0, 1));
    assert_eq!(addresses(&mut resolver, NOW + 5), BOTH);
    // The lowest TTL of the set applies: 20 s. The refresh is due after 70 to 90 % of it.
    let due = resolver.due(NOW + 5);
    assert!((NOW + 5 + 14_000..=NOW + 5 + 18_000).contains(&due), "{}", due - NOW);
    assert!(resolver.due_queries(due - 1).is_empty());
    assert!(resolver.due_queries(due).iter().any(|query| query.question.kind == Kind::Srv));
}

#[test]
fn hosts_without_addresses_are_queried_and_pending_until_answered() {
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            m.add_answers([srv_record("pb1.example.org.", 30), srv_record("pb2.example.org.", 30)]);
            m.add_additional(a_record("pb1.example.org.", 1, 30));
            // No record names this host: it is ignored.
            m.add_additional(a_record("evil.example.org.", 66, 30));
        }),
    );
    assert_eq!((resolver.view(NOW).pending, addresses(&mut resolver, NOW)), (1, vec![BOTH[0].to_owned()]));
    let query = only_query(&mut resolver, NOW);
    assert_eq!((query.question.kind, query.question.name.clone()), (Kind::A, name("pb2.example.org.")));
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            m.add_answers([
                cname_record("pb2.example.org.", "x.example.org."),
                a_record("x.example.org.", 2, 30),
            ]);
        }),
    );
    assert_eq!(
        (resolver.view(NOW).pending, addresses(&mut resolver, NOW)),
        (0, BOTH.map(str::to_owned).to_vec())
    );
    // A host that the service no longer names is removed together with its outstanding query.
    assert_eq!(resolver.len(), 3);
    let due = NOW + 60_000;
    let queries = resolver.due_queries(due);
    let service = queries.iter().find(|query| query.question.kind == Kind::Srv).unwrap();
    resolver.handle_answer(
        due,
        service.ticket,
        &reply(service, |m| {
            m.add_answer(srv_record("pb1.example.org.", 30));
        }),
    );
    assert_eq!((resolver.len(), addresses(&mut resolver, due)), (2, vec![BOTH[0].to_owned()]));
    let late = queries.iter().find(|query| query.question.name == name("pb2.example.org.")).unwrap();
    resolver.handle_answer(
        due,
        late.ticket,
        &reply(late, |m| {
            m.add_answer(a_record("pb2.example.org.", 2, 30));
        }),
    );
    assert_eq!(resolver.len(), 2, "an answer for a removed host must not restore it");
}

#[test]
fn truncated_answers_are_repeated_over_tcp_and_a_server_without_tcp_is_skipped() {
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            add_both_servers(m);
            m.metadata.truncation = true;
        }),
    );
    assert!(resolver.view(NOW).servers.is_empty(), "a truncated answer must not be used");
    let tcp = only_query(&mut resolver, NOW);
    assert_eq!((tcp.transport, tcp.server), (Transport::Tcp, query.server));
    resolver.handle_failure(NOW + 1, tcp.ticket, Failure::Broken);
    let other = only_query(&mut resolver, NOW + 1);
    assert!(other.transport == Transport::Udp && other.server != query.server);
    resolver.handle_answer(NOW + 2, other.ticket, &reply(&other, add_both_servers));
    assert_eq!(addresses(&mut resolver, NOW + 2), BOTH);
    assert_eq!((resolver.counts().tcp, resolver.counts().failed, resolver.counts().answered), (1, 1, 1));
}

#[test]
fn stale_data_is_used_within_its_limit_and_failing_servers_are_queried_rarely() {
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    resolver.handle_answer(NOW, query.ticket, &reply(&query, add_both_servers));
    let (mut now, mut query_count) = (NOW, 0);
    while now < NOW + 100_000 {
        now = resolver.due(now).max(now + 1);
        let queries = resolver.due_queries(now);
        query_count += queries.len();
        for query in queries {
            match query.ticket % 3 {
                0 => resolver.handle_failure(now, query.ticket, Failure::TimedOut),
                1 => resolver.handle_answer(
                    now,
                    query.ticket,
                    &reply(&query, |m| {
                        m.metadata.response_code = ResponseCode::ServFail;
                    }),
                ),
                _ => resolver.handle_answer(now, query.ticket, b"what is this"),
            }
        }
        assert_eq!(addresses(&mut resolver, now), BOTH, "{}", now - NOW);
    }
    // Three names, two servers, back-off of up to 30 s for each: not much more than one query every four
    // seconds.
    assert!((10..=40).contains(&query_count), "{query_count}");
    assert_eq!(resolver.view(NOW + 19_999).trust, DnsTrust::Fresh);
    assert_eq!(resolver.view(NOW + 20_000).trust, DnsTrust::Stale);
    assert_eq!(resolver.view(NOW + 119_999).servers.len(), 2);
    assert_eq!(
        (resolver.view(NOW + 120_000).trust, resolver.view(NOW + 120_000).servers.len()),
        (DnsTrust::Expired, 0)
    );
    assert!(resolver.take_last_error().is_some_and(|t| t.contains("example.org")));
}

/// While all servers are down, 60 hosts do not cause 60 queries: there is one query at a time, less and less
/// often.
#[test]
fn silent_servers_get_one_query_at_a_time() {
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            for n in 0..60 {
                m.add_answer(srv_record(&format!("pb{n}.example.org."), 10));
                m.add_additional(a_record(&format!("pb{n}.example.org."), n, 10));
            }
        }),
    );
    let (mut now, mut outstanding, mut query_count, mut late) = (NOW, Vec::new(), 0, 0);
    while now < NOW + 100_000 {
        for query in resolver.due_queries(now) {
            query_count += 1;
            late += u64::from(now > NOW + 50_000);
            outstanding.push((now + query.timeout_ms, query));
        }
        assert!(
            outstanding.len() <= if query_count > 16 { 1 } else { 8 },
            "{} outstanding after {query_count}",
            outstanding.len()
        );
        let next = outstanding.iter().map(|(deadline, _)| *deadline).min().unwrap_or(u64::MAX);
        now = resolver.due(now).min(next).max(now + 1);
        outstanding.retain(|(deadline, query)| {
            if *deadline <= now {
                resolver.handle_failure(now, query.ticket, Failure::TimedOut);
            }
            *deadline > now
        });
    }
    assert_eq!(resolver.view(now).servers.len(), 60);
    assert!(query_count <= 40 && late <= 6, "{query_count} queries, {late} in the second half");
    // After one server recovers, queries are sent at the normal rate again.
    now = resolver.due(now);
    let query = only_query(&mut resolver, now);
    resolver.handle_answer(
        now,
        query.ticket,
        &reply(&query, |m| match query.question.kind {
            Kind::Srv => {
                m.add_answers((0..60).map(|n| srv_record(&format!("pb{n}.example.org."), 10)));
            }
            _ => {
                m.add_answer(a_record(&query.question.name.to_ascii(), 1, 10));
            }
        }),
    );
    assert_eq!(resolver.due_queries(now).len(), 8);
}

#[test]
fn negative_answers_are_cached_for_their_lifetime() {
    type Make = fn(&mut Message);
    let cases: [(Make, u64); 4] = [
        (
            |m| {
                m.metadata.response_code = ResponseCode::NXDomain;
                m.add_authority(soa_record(900, 5));
            },
            5_000,
        ),
        (
            |m| {
                m.add_authority(soa_record(4, 900));
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
    for (fill, lifetime) in cases {
        let mut resolver = new_resolver();
        let query = only_query(&mut resolver, NOW);
        resolver.handle_answer(NOW, query.ticket, &reply(&query, fill));
        let view = resolver.view(NOW);
        assert_eq!((view.trust, view.servers.len(), view.pending, view.answers), (DnsTrust::Empty, 0, 0, 1));
        let due = resolver.due(NOW) - NOW;
        assert!((lifetime * 7 / 10..=lifetime).contains(&due), "{lifetime}: {due}");
    }
}

#[test]
fn zero_ttls_and_ttls_with_the_highest_bit_use_the_floor() {
    for ttl in [0, 1 << 31, u32::MAX] {
        let mut resolver = new_resolver();
        let query = only_query(&mut resolver, NOW);
        resolver.handle_answer(
            NOW,
            query.ticket,
            &reply(&query, |m| {
                m.add_answer(srv_record("pb1.example.org.", ttl));
                m.add_additional(a_record("pb1.example.org.", 1, ttl));
            }),
        );
        let due = resolver.due(NOW) - NOW;
        assert!((1_400..=1_800).contains(&due), "{ttl}: {due}");
    }
}

#[test]
fn alias_chains_are_followed_up_to_the_limit_and_loops_are_rejected() {
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    // The end of the chain is not in the answer: it is queried next, and the result is stored for the
    // service's own name.
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            m.add_answer(cname_record(SERVICE, "boxes.example.net."));
        }),
    );
    let query = only_query(&mut resolver, NOW);
    assert_eq!(query.question.name, name("boxes.example.net."));
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            m.add_answer(Record::from_rdata(
                name("boxes.example.net."),
                30,
                RData::SRV(SRV::new(0, 1, 1, name("pb1.example.org."))),
            ));
            m.add_additional(a_record("pb1.example.org.", 1, 30));
        }),
    );
    assert_eq!(addresses(&mut resolver, NOW), ["10.1.0.1:1"]);
    let again = resolver.due_queries(NOW + 60_000);
    assert!(
        again.iter().any(|query| query.question.name == name(SERVICE)),
        "a refresh must start at the name itself"
    );
    // Loops within one answer and over several answers.
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            m.add_answers([cname_record(SERVICE, "x.example.org."), cname_record("x.example.org.", SERVICE)]);
        }),
    );
    assert_eq!(resolver.counts().failed, 1);
    let mut resolver = new_resolver();
    let mut query_count = 0;
    while let [query] = &resolver.due_queries(NOW)[..] {
        query_count += 1;
        let to = if query.question.name == name(SERVICE) { "x.example.org." } else { SERVICE };
        resolver.handle_answer(
            NOW,
            query.ticket,
            &reply(query, |m| {
                m.add_answer(cname_record(&query.question.name.to_ascii(), to));
            }),
        );
    }
    assert_eq!(query_count, 9, "eight links, and the query that finds one too many");
    assert_eq!(resolver.view(NOW).trust, DnsTrust::Unknown);
}

#[test]
fn foreign_answers_and_addresses_outside_the_networks_are_ignored() {
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    let valid_answer = reply(&query, add_both_servers);
    let with = |change: &dyn Fn(&mut Message)| {
        let mut message = Message::from_vec(&valid_answer).unwrap();
        change(&mut message);
        message.to_vec().unwrap()
    };
    let other = |name: &str, kind| DnsQuery::query(Name::from_ascii(name).unwrap(), kind);
    for foreign in [
        with(&|m| m.metadata.id = m.metadata.id.wrapping_add(1)),
        with(&|m| m.metadata.message_type = MessageType::Query),
        with(&|m| m.queries = vec![other("other.example.org.", RecordType::SRV)]),
        with(&|m| m.queries = vec![other(SERVICE, RecordType::A)]),
        with(&|m| m.queries = Vec::new()),
        with(&|m| m.queries = vec![other(SERVICE, RecordType::SRV), other(SERVICE, RecordType::SRV)]),
        query.bytes.clone(),
        Vec::new(),
        vec![0; 2],
    ] {
        assert_eq!(query.question.matches(&foreign), Match::NoMatch, "{foreign:?}");
    }
    assert_eq!(query.question.matches(&valid_answer[..valid_answer.len() - 3]), Match::Broken);
    assert!(matches!(query.question.matches(&valid_answer), Match::Answer(_)));
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            m.add_answers([srv_record("pb1.example.org.", 30), srv_record("out.example.org.", 30)]);
            let outside = A(Ipv4Addr::new(192, 0, 2, 1));
            m.add_additionals([
                a_record("pb1.example.org.", 1, 30),
                Record::from_rdata(name("out.example.org."), 30, RData::A(outside)),
            ]);
        }),
    );
    assert_eq!((addresses(&mut resolver, NOW), resolver.counts().outside), (vec![BOTH[0].to_owned()], 1));
}

#[test]
fn a_server_without_edns_is_queried_again_without_it() {
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    assert!(Message::from_vec(&query.bytes).unwrap().edns.is_some());
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            m.metadata.response_code = ResponseCode::FormErr;
            m.queries.clear();
        }),
    );
    let again = only_query(&mut resolver, NOW);
    assert_eq!(again.server, query.server);
    assert!(Message::from_vec(&again.bytes).unwrap().edns.is_none());
    // The same error for the query without EDNS makes the answer unusable.
    resolver.handle_answer(
        NOW,
        again.ticket,
        &reply(&again, |m| {
            m.metadata.response_code = ResponseCode::FormErr;
        }),
    );
    assert_ne!(only_query(&mut resolver, NOW).server, query.server);
}

#[test]
fn five_hundred_hosts_are_accepted_and_too_many_records_are_rejected_whole() {
    let add_hosts = |count: u32| {
        move |m: &mut Message| {
            for n in 0..count {
                let host = format!("pb{n}.example.org.");
                m.add_answer(srv_record(&host, 30));
                let at = Ipv4Addr::from(0x0a02_0000 + n);
                m.add_additional(Record::from_rdata(name(&host), 30, RData::A(A(at))));
            }
        }
    };
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    resolver.handle_answer(NOW, query.ticket, &reply(&query, add_hosts(500)));
    assert_eq!(addresses(&mut resolver, NOW).len(), 500);
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    resolver.handle_answer(NOW, query.ticket, &reply(&query, add_hosts(520)));
    assert_eq!((resolver.view(NOW).trust, resolver.len()), (DnsTrust::Unknown, 1));
    assert!(resolver.take_last_error().unwrap().contains("1040 records, more than the limit of 1024"));
}

#[test]
fn queries_keep_to_the_budget_and_nodes_that_start_together_spread_them() {
    let limited = Settings { nodes: 80, tier_per_s: 40.0, burst: 4.0, ..settings() };
    let mut first_queries = Vec::new();
    let mut queries_per_second = [0; 30];
    for node in 0..80u8 {
        let mut resolver = Resolver::new(limited.clone(), [node; 32], NOW).unwrap();
        let mut now = NOW;
        while now < NOW + 30_000 {
            for query in resolver.due_queries(now) {
                if query.ticket == 1 {
                    first_queries.push(now);
                }
                queries_per_second[(now - NOW) as usize / 1000] += 1;
                // 60 hosts, without additional addresses.
                resolver.handle_answer(
                    now,
                    query.ticket,
                    &reply(&query, |m| match query.question.kind {
                        Kind::Srv => {
                            m.add_answers((0..60).map(|n| srv_record(&format!("pb{n}.example.org."), 60)));
                        }
                        _ => {
                            m.add_answer(a_record(&query.question.name.to_ascii(), 1, 60));
                        }
                    }),
                );
            }
            now = resolver.due(now).max(now + 1);
        }
    }
    first_queries.sort_unstable();
    assert!(
        first_queries[0] < NOW + 100
            && first_queries[79] > NOW + 1_900
            && first_queries[40] - first_queries[39] < 200,
        "{first_queries:?}"
    );
    // The bursts of all nodes fall within the startup spread; afterwards the rate applies.
    assert!(queries_per_second[0..3].iter().sum::<i32>() <= 80 * 4 + 3 * 40);
    assert!(queries_per_second[4..].iter().all(|n| (30..=50).contains(n)), "{queries_per_second:?}");
}

#[test]
fn a_query_whose_result_is_never_reported_times_out() {
    let mut resolver = new_resolver();
    let query = only_query(&mut resolver, NOW);
    assert_eq!(resolver.due(NOW), NOW + 1_500);
    let again = only_query(&mut resolver, NOW + 1_500);
    assert_ne!(again.server, query.server);
    resolver.handle_answer(NOW + 1_600, query.ticket, &reply(&query, add_both_servers));
    assert_eq!(resolver.view(NOW + 1_600).trust, DnsTrust::Unknown, "the query has ended");
}

/// The longest valid name has 255 bytes on the wire; a longer one is rejected.
#[test]
fn a_service_may_have_the_longest_valid_name() {
    let label = "a".repeat(63);
    let longest = format!("{label}.{label}.{label}.{}.", "a".repeat(61));
    assert!(
        Name::from_ascii(longest.replacen('a', "ab", 1)).is_err()
            && Name::from_ascii(format!("b.{longest}")).is_err()
    );
    let service = name(&longest);
    let mut resolver = Resolver::new(Settings { service, ..settings() }, [7; 32], NOW).unwrap();
    let query = only_query(&mut resolver, NOW);
    resolver.handle_answer(
        NOW,
        query.ticket,
        &reply(&query, |m| {
            let target = RData::SRV(SRV::new(0, 1, 6379, name("pb1.example.org.")));
            m.add_answer(Record::from_rdata(query.question.name.clone(), 30, target));
            m.add_additional(a_record("pb1.example.org.", 1, 30));
        }),
    );
    assert_eq!(addresses(&mut resolver, NOW), ["10.1.0.1:6379"]);
}

#[test]
fn invalid_settings_are_rejected() {
    let error_text = |settings| Resolver::new(settings, [0; 32], 0).err().unwrap().to_string();
    assert_eq!(error_text(Settings { servers: vec![], ..settings() }), "0 servers; name 1 to 8");
    let at = "0.0.0.0:53".parse().unwrap();
    assert_eq!(
        error_text(Settings { servers: vec![at], ..settings() }),
        "0.0.0.0:53 is no address that can be asked"
    );
    assert_eq!(error_text(Settings { service: Name::root(), ..settings() }), "the service has no name");
}

/// Returns the number of cases: `PROPTEST_CASES`, if set, else the default.
fn cases(default: u32) -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

fn corruption() -> impl Strategy<Value = (Vec<(usize, u8)>, usize, Vec<u8>)> {
    let changes = proptest::collection::vec((0..400usize, any::<u8>()), 0..12);
    (changes, 0..500usize, proptest::collection::vec(any::<u8>(), 0..64))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(4_000), failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary bytes cause no panic: the stored data stays bounded, no address is outside the networks, and
    /// each query ends.
    #[test]
    fn arbitrary_bytes_are_handled(corruptions in proptest::collection::vec(corruption(), 1..6)) {
        let mut resolver = new_resolver();
        let mut now = NOW;
        for (changes, length, suffix) in corruptions {
            for query in resolver.due_queries(now) {
                let mut bytes = reply(&query, |m| {
                    add_both_servers(m);
                    m.add_answers([
                        cname_record(SERVICE, "x.example.org."),
                        cname_record("x.example.org.", "y.example.org."),
                    ]);
                    m.add_authority(soa_record(1, 1));
                });
                bytes.truncate(length.max(12));
                bytes.extend(&suffix);
                for (at, value) in &changes {
                    // The id is kept, as otherwise the rest would not be parsed.
                    if let Some(byte) = bytes.get_mut(at + 2) {
                        *byte = *value;
                    }
                }
                let _ = query.question.matches(&bytes);
                resolver.handle_answer(now, query.ticket, &bytes);
                prop_assert!(resolver.due_queries(now).iter().all(|other| other.ticket != query.ticket));
            }
            let view = resolver.view(now);
            let inside = |ip: IpAddr| matches!(ip, IpAddr::V4(ip) if ip.octets()[0] == 10);
            prop_assert!(view.servers.iter().all(|n| inside(n.address.ip())));
            prop_assert!(resolver.len() <= 1 + 1024 && view.pending <= 1024);
            now = resolver.due(now).max(now + 1);
        }
    }
}
