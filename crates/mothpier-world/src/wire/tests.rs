use super::*;

#[test]
fn commands_answers_and_calls_are_taken_only_whole() {
    let (words, http) =
        (encode(&["CACHE.GET", "k", ""]), b"PUT /k HTTP/1.1\r\nX-Id: 7\r\ncontent-length: 2\r\n\r\nab");
    for cut in 0..words.len() {
        assert_eq!(command(&mut BytesMut::from(&words[..cut])), Ok(None), "{cut}");
    }
    for cut in 0..http.len() {
        assert_eq!(call(&mut BytesMut::from(&http[..cut])), Ok(None), "{cut}");
    }
    let mut two =
        BytesMut::from(&[&words[..], b"-BUSY 7\r\n$2\r\nhi\r\n-ERR x\r\n$-1\r\n+OK\r\n"].concat()[..]);
    assert_eq!(command(&mut two).unwrap().unwrap(), ["CACHE.GET", "k", ""]);
    let answers: Vec<_> = std::iter::from_fn(|| answer(&mut two).unwrap()).collect();
    let error = |e: &str| Answer::Error(e.into());
    let all = [
        Answer::Busy(Some(7)),
        Answer::Value("hi".into()),
        error("ERR x"),
        error("null"),
        Answer::Line("OK".into()),
    ];
    assert_eq!(answers, all);
    let read = call(&mut BytesMut::from(&http[..])).unwrap().unwrap();
    assert_eq!(
        (read.method.as_str(), read.path.as_str(), read.header("x-id"), read.body.as_str()),
        ("PUT", "/k", "7", "ab")
    );
    for bad in ["x", "*1\r\n:1\r\n", "*9999999999\r\n", "*x\r\n"] {
        assert!(command(&mut BytesMut::from(bad)).is_err(), "{bad}");
    }
    assert!(answer(&mut BytesMut::from("?")).is_err());
}
