use super::*;

/// However a client's input is split into reads, it must give the same commands, up to the error that ends
/// it. No input may cause a panic.
#[test]
fn any_split_into_reads_gives_the_same_commands() {
    let random = mothpier_world::Dice::new(9);
    let fragments: [&[u8]; 12] = [
        b"*1\r\n$4\r\nPING\r\n",
        b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$9\r\nc=a,d=900\r\n",
        b"HELLO 3\r\n",
        b"hello\n",
        b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n",
        b"*1\r\n*1\r\n*0\r\n",
        b"$-1\r\n",
        b":12\r\n",
        b"%1\r\n+a\r\n+b\r\n",
        b"*?\r\n",
        b"\r\n",
        b"$3\r\n\xff\x00\r\r\n",
    ];
    let read_all = |reads: &[&[u8]]| {
        let (mut buffer, mut commands) = (BytesMut::new(), Vec::new());
        for read in reads {
            buffer.extend_from_slice(read);
            loop {
                match take_command(&mut buffer, MAX_VALUE) {
                    Ok(Some(command)) => commands.push(command),
                    Ok(None) => break,
                    Err(_) => return (commands, true),
                }
            }
        }
        (commands, false)
    };
    let mut failed = 0;
    for _ in 0..20_000 {
        let count = random.within(1, 6);
        let mut bytes: Vec<u8> = (0..count)
            .flat_map(|_| fragments[random.within(0, fragments.len() as u64) as usize].to_vec())
            .collect();
        for _ in 0..random.within(0, 3) {
            let at = random.within(0, bytes.len() as u64) as usize;
            bytes[at] = b"*$:+-%HhELO 0193\r\n\xff"[random.within(0, 19) as usize];
        }
        let unsplit = read_all(&[&bytes]);
        let (mut cuts, mut rest) = (Vec::new(), &bytes[..]);
        while !rest.is_empty() {
            let (read, left) = rest.split_at(1 + random.within(0, rest.len() as u64) as usize);
            cuts.push(read);
            rest = left;
        }
        assert_eq!(read_all(&cuts), unsplit, "{:?}", String::from_utf8_lossy(&bytes));
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(read_all(&single), unsplit, "{:?}", String::from_utf8_lossy(&bytes));
        failed += u32::from(unsplit.1);
    }
    assert!((2_000..18_000).contains(&failed), "{failed} of 20,000 end in an error");
}

#[test]
fn hello_is_the_only_accepted_inline_command() {
    let argument_count = |line: &str| match take_command(&mut BytesMut::from(line), MAX_VALUE) {
        Ok(Some(BytesFrame::Array(arguments))) => arguments.len(),
        Ok(None) => 0,
        other => panic!("{line}: {other:?}"),
    };
    let complete = "HELLO 3 AUTH me it\r\n";
    (1..complete.len()).for_each(|cut| assert_eq!(argument_count(&complete[..cut]), 0, "{cut}"));
    assert_eq!(
        (argument_count(complete), argument_count("hello\n"), argument_count("HELLO  3 \r\n*1\r\n")),
        (5, 1, 2)
    );
    let long = format!("HELLO {}", "x".repeat(MAX_LINE_LENGTH));
    for bad in ["HELP\r\n", "HELLOS 3\r\n", "PING\r\n", "GET k\r\n", &long] {
        assert!(take_command(&mut BytesMut::from(bad), MAX_VALUE).is_err(), "{bad:.10}");
    }
    // What follows stays in the buffer.
    let mut buffer = BytesMut::from("HELLO 3\r\n+PONG\r\n");
    assert!(take_command(&mut buffer, MAX_VALUE).unwrap().is_some());
    assert_eq!(buffer, "+PONG\r\n");
}

#[test]
fn a_frame_is_taken_only_when_complete_and_malformed_ones_are_rejected() {
    let complete = b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n";
    for cut in 0..complete.len() {
        assert_eq!(take_frame(&mut BytesMut::from(&complete[..cut])), Ok(None), "{cut}");
    }
    let mut two = BytesMut::from(&[complete.as_slice(), b"+PONG\r\n"].concat()[..]);
    let arguments = ["GET", "k"].map(|w| BytesFrame::BulkString(Bytes::from(w))).to_vec();
    assert_eq!(take_frame(&mut two), Ok(Some(BytesFrame::Array(arguments))));
    assert_eq!(take_frame(&mut two), Ok(Some(BytesFrame::SimpleString("PONG".into()))));
    assert!(two.is_empty());
    let nested = "*1\r\n".repeat(100_000); // Would exhaust the stack of a decoder that recurses.
    for bad in
        ["GET k\r\n", "*x\r\n", "*-2\r\n", "$65537\r\n", "$1\r\nkk\r\n", "*99\r\n", "$1\n", nested.as_str()]
    {
        assert!(take_frame(&mut BytesMut::from(bad)).is_err(), "{:.20}", bad);
    }
}
