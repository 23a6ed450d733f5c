use super::*;

fn binding(tier: bool) -> Binding {
    let class = |name: &str, write, default| Class { name: name.into(), write, default };
    let classes = vec![class("browse", false, true), class("list", false, false), class("send", true, false)];
    Binding { app: "profiles".into(), tenant: "acme".into(), classes, tier }
}

#[test]
fn a_sidecar_puts_in_what_was_left_out_and_refuses_another_name() {
    let own = binding(false);
    let bound = |write, names: &[(&str, &str)]| bind(Some(&own), write, &names.to_vec());
    assert_eq!(bound(false, &[("d", "480")]), Ok(Some("d=480,t=acme,c=browse".into())));
    assert_eq!(
        bound(false, &[("c", "list"), ("t", "acme"), ("d", "1")]),
        Ok(Some("c=list,t=acme,d=1".into()))
    );
    assert_eq!(bound(true, &[("c", "send"), ("k", "7")]), Ok(Some("c=send,k=7,t=acme".into())));
    // A write that names no class is of none, even where there is only one: nothing is written by a word left out.
    assert_eq!(bound(true, &[("k", "7")]), Err(Denied::NoClass));
    let other = Denied::Tenant { asked: "rival".into(), own: "acme".into() };
    assert_eq!(bound(false, &[("t", "rival")]), Err(other));
    assert_eq!(bound(false, &[("t", "")]).unwrap_err().to_string().split(' ').next(), Some("NOPERM"));
    assert_eq!(bound(false, &[("c", "send")]), Err(Denied::Command("send".into())));
    assert_eq!(bound(true, &[("c", "browse")]), Err(Denied::Command("browse".into())));
    assert_eq!(bound(false, &[("c", "pay")]), Err(Denied::Class("pay".into())));
}

#[test]
fn hops_are_counted_and_never_reach_a_box() {
    assert_eq!(bind(None, false, &vec![("c", "browse"), ("d", "1")]), Ok(None), "as it came");
    assert_eq!(bind(None, false, &vec![("c", "b"), ("hop", "1"), ("d", "1")]), Ok(Some("c=b,d=1".into())));
    let to_tier = binding(true);
    assert_eq!(bind(Some(&to_tier), false, &vec![("d", "1")]), Ok(Some("d=1,t=acme,c=browse,hop=1".into())));
    // Two sidecars that name each other as their tier.
    assert_eq!(bind(Some(&to_tier), false, &vec![("hop", "1")]), Ok(Some("t=acme,c=browse,hop=2".into())));
    for many in ["2", "3", "99999999999999999999", "-1", "", "x"] {
        assert_eq!(bind(None, false, &vec![("hop", many)]), Err(Denied::Hops), "{many}");
    }
}
