use super::*;

fn canonical(text: &str) -> String {
    let hosts = Hosts::parse("10.1.0.7 pb7.makati.example.org pb7 # the seventh\nnonsense here\n");
    match Endpoint::parse(text, Some(6379), &hosts) {
        Ok(endpoint) => {
            format!("{}{}", endpoint.canonical(), if endpoint.ambiguous { " ambiguous" } else { "" })
        }
        Err(e) => format!("{e}"),
    }
}

#[test]
fn all_spellings_of_an_endpoint_have_one_canonical_form() {
    for spelling in [
        "10.1.0.7:6379",
        "10.1.0.7",
        " 10.1.0.7 ",
        "pb7.makati.example.org",
        "PB7.Makati.Example.ORG.:6379",
        "pb7:6379",
        "[::ffff:10.1.0.7]:6379",
        "::ffff:10.1.0.7",
        "[::ffff:a01:7]",
    ] {
        assert_eq!(canonical(spelling), "10.1.0.7:6379", "{spelling}");
    }
    for text in ["10.1.7", "012.1.0.7", "10.01.0.007", "0x0a.1.0.7", "167837703", "10.65543"] {
        assert_eq!(canonical(text), "10.1.0.7:6379 ambiguous", "{text}");
    }
    assert_eq!(canonical("bücher.example:80"), "xn--bcher-kva.example:80");
    assert_eq!(canonical("[fd00:0::18]:7"), "[fd00::18]:7");
    assert_eq!(canonical("other.example"), "other.example:6379");
}

#[test]
fn invalid_endpoints_are_rejected_with_a_reason() {
    for (text, error) in [
        ("", "it is empty"),
        ("10.1.0.7:0", "\"0\" is not a port"),
        ("10.1.0.7:+80", "\"+80\" is not a port"),
        ("10.1.0.7:70000", "\"70000\" is not a port"),
        ("10.1.0.256", "neither an address nor a name"),
        ("-bad.example", "neither an address nor a name"),
        ("[::1", "neither an address nor a name"),
        ("[::1]6379", "\"6379\" is not a port"),
        ("a b", "neither an address nor a name"),
        ("1.2.3.4.5", "neither an address nor a name"),
    ] {
        assert!(canonical(text).contains(error), "{text}: {}", canonical(text));
    }
    assert_eq!(Endpoint::parse("10.1.0.7", None, &Hosts::default()), Err(EndpointError::NoPort));
}
