use super::*;

fn encoded(action: Action) -> (Vec<u8>, Vec<u8>) {
    let (mut reply, mut frame) = (Reply::default(), Vec::new());
    reply.push(3, &action);
    reply.finish(12, &mut frame);
    assert_eq!(u32_at(&frame, 0), 1);
    assert_eq!(u32_at(&frame, 4) as usize, frame.len() - 12);
    assert_eq!(u32_at(&frame, 8), 12);
    (frame[12..36].to_vec(), frame[36..].to_vec())
}

fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut r = vec![0; ACTION_SIZE];
    (r[0], r[1]) = (code, 3);
    fields.iter().for_each(|(at, bytes)| r[*at..at + bytes.len()].copy_from_slice(bytes));
    r
}

#[test]
fn each_action_is_encoded_with_its_code_and_fields() {
    let (id, server, tail) = (0x0002_dd71_5d3a_91c4u64, 0x0312_4a07u32, vec![0, 0, 0, 0, 2, 0, 0, 0]);
    let (i, s) = (id.to_le_bytes(), server.to_le_bytes());
    let cases = [
        (
            Action::Send { request: id, server, timeout: 80_000, asking: false },
            record(1, &[(3, &i), (11, &s), (15, &80_000u32.to_le_bytes())]),
        ),
        (Action::Refuse { request: id, retry_after: 7 }, record(2, &[(3, &i), (11, &7u32.to_le_bytes())])),
        (Action::Fail(id), record(3, &[(3, &i)])),
        (Action::Cancel { request: id, attempt: 2 }, record(4, &[(3, &i), (11, &[2])])),
        (
            Action::Timer { after: 500_000, token: 77 },
            record(5, &[(3, &500_000u32.to_le_bytes()), (7, &[77])]),
        ),
        (Action::Probe(server), record(6, &[(3, &s)])),
        (Action::CloseIdle(server), record(7, &[(3, &s)])),
        (Action::SendToPeer { to: None, bytes: b"hi".to_vec() }, record(8, &[(3, &[0xff; 4]), (7, &tail)])),
        (Action::SendToPeer { to: Some(4), bytes: b"hi".to_vec() }, record(8, &[(3, &[4]), (7, &tail)])),
        (Action::Log("hi".into()), record(9, &[(3, &tail)])),
        (Action::Fault("hi".into()), record(10, &[(3, &tail)])),
        (Action::Subscribe(true), record(11, &[(3, &[1])])),
        (Action::Subscribe(false), record(11, &[])),
        (Action::FetchList, record(12, &[])),
    ];
    for (action, expected) in cases {
        let (got, rest) = encoded(action.clone());
        assert_eq!(got, expected, "{action:?}");
        let text = matches!(action, Action::SendToPeer { .. } | Action::Log(_) | Action::Fault(_));
        assert_eq!(rest, if text { b"hi".to_vec() } else { Vec::new() });
    }
}

#[test]
fn a_request_and_an_outcome_are_decoded() {
    let mut body = vec![0u8; 2 * EVENT_SIZE];
    body[0] = 4;
    body[3] = 9; // id
    body[11] = 1; // tenant
    body[13] = 7; // flags: cost is valid, a repeat, a write
    body[14] = 2; // class
    body[15] = 50; // cost
    body[19] = 5; // key
    body[32] = 1; // time left: 256 µs
    let r = EVENT_SIZE;
    (body[r], body[r + 3], body[r + 11], body[r + 15], body[r + 19]) = (3, 9, 3, 40, 1);
    body[r + 21] = 1;
    body[r + 22..r + 24].copy_from_slice(&429u16.to_le_bytes());
    (body[r + 24], body[r + 28]) = (6, 1);
    body[r + 29..r + 33].copy_from_slice(&1.5f32.to_le_bytes());
    let request = Request {
        id: 9,
        class: 2,
        tenant: 1,
        key: 5,
        write: true,
        repeat: true,
        time_left: 256,
        cost: Some(50),
        size: 0.0,
        slot: None,
    };
    assert_eq!(read_record(&body, 2, 0), Ok(Record::Event(0, brassrouter::Event::Request(request))));
    let load = Load { count: 1, values: [1.5, 0.0, 0.0, 0.0] };
    let outcome = Outcome {
        request: 9,
        attempt: 1,
        server: 6,
        status: Status::Rejected,
        request_finished: true,
        lookup: CacheLookup::MissFetchPending,
        elapsed: 40,
        load,
    };
    assert_eq!(read_record(&body, 2, 1), Ok(Record::Event(0, brassrouter::Event::Outcome(outcome))));
}
