use super::*;

fn binding(tier: bool) -> Binding {
    let class = |name: &str, write, default| Class { name: name.into(), write, default };
    let classes = vec![class("browse", false, true), class("list", false, false), class("send", true, false)];
    Binding { app: "profiles".into(), tenant: "acme".into(), classes, tier }
}

#[test]
fn a_sidecar_adds_missing_extras_and_rejects_other_tenants_and_classes() {
    let own = binding(false);
    let bound = |write, names: &[(&str, &str)]| bind(Some(&own), write, &names.to_vec());
    assert_eq!(bound(false, &[("d", "480")]), Ok(Some("d=480,t=acme,c=browse".into())));
    assert_eq!(
        bound(false, &[("c", "list"), ("t", "acme"), ("d", "1")]),
        Ok(Some("c=list,t=acme,d=1".into()))
    );
    assert_eq!(bound(true, &[("c", "send"), ("k", "7")]), Ok(Some("c=send,k=7,t=acme".into())));
    // A write without a class is rejected even if there is only one write class: omitting it must not cause a
    // write.
    assert_eq!(bound(true, &[("k", "7")]), Err(BindError::NoClass));
    let other = BindError::Tenant { asked: "rival".into(), own: "acme".into() };
    assert_eq!(bound(false, &[("t", "rival")]), Err(other));
    assert_eq!(bound(false, &[("t", "")]).unwrap_err().to_string().split(' ').next(), Some("NOPERM"));
    assert_eq!(bound(false, &[("c", "send")]), Err(BindError::Command("send".into())));
    assert_eq!(bound(true, &[("c", "browse")]), Err(BindError::Command("browse".into())));
    assert_eq!(bound(false, &[("c", "pay")]), Err(BindError::Class("pay".into())));
}

#[test]
fn hops_are_counted_and_never_sent_to_a_cache_server() {
    assert_eq!(bind(None, false, &vec![("c", "browse"), ("d", "1")]), Ok(None), "unchanged");
    assert_eq!(bind(None, false, &vec![("c", "b"), ("hop", "1"), ("d", "1")]), Ok(Some("c=b,d=1".into())));
    let to_tier = binding(true);
    assert_eq!(bind(Some(&to_tier), false, &vec![("d", "1")]), Ok(Some("d=1,t=acme,c=browse,hop=1".into())));
    // Two sidecars that are configured as each other's tier.
    assert_eq!(bind(Some(&to_tier), false, &vec![("hop", "1")]), Ok(Some("t=acme,c=browse,hop=2".into())));
    for many in ["2", "3", "99999999999999999999", "-1", "", "x"] {
        assert_eq!(bind(None, false, &vec![("hop", many)]), Err(BindError::Hops), "{many}");
    }
}
