//! Checks the cache servers: unique ids and endpoints, known names, and that no draining server can get
//! requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::app::{App, CacheServer, FileKind, State};
use crate::block::closest_match;
use crate::code;
use crate::endpoint::Host;
use crate::finding::Finding;
use crate::tree::{Span, Spanned};
use crate::units::format_duration;

/// Longest drain grace: cache servers are stopped this long after the drain notice.
const MAX_DRAIN_GRACE: Duration = Duration::from_millis(500);

pub fn check(app: &App, findings: &mut Vec<Finding>) {
    check_duplicates(app, findings);
    check_drained(app, findings);
    check_names(app, findings);
    check_origin(app, findings);
    if app.grace.value > MAX_DRAIN_GRACE {
        let problem = format!("the drain grace is {}", format_duration(app.grace.value));
        findings.push(Finding::error(
            code::GRACE_TOO_LONG,
            app.grace.span.clone(),
            problem,
            code::GRACE_TOO_LONG.fix(),
        ));
    }
    let any_ready = app.servers.iter().any(|server| server.state.value == State::Ready);
    if let Some(first) = app.servers.first().filter(|_| !any_ready && app.kind == FileKind::Application) {
        let problem = "none of the boxes is ready";
        findings.push(Finding::warning(
            code::NO_READY_SERVER,
            first.id.span.clone(),
            problem,
            code::NO_READY_SERVER.fix(),
        ));
    }
}

/// Returns the position of a server's endpoint, or of its id if the endpoint could not be read.
fn server_span(server: &CacheServer) -> Span {
    server.endpoint.as_ref().map_or_else(|| server.id.span.clone(), |p| p.span.clone())
}

/// Reports one endpoint under two ids and one id at two endpoints, regardless of the spelling.
fn check_duplicates(app: &App, findings: &mut Vec<Finding>) {
    let mut by_endpoint: BTreeMap<String, &CacheServer> = BTreeMap::new();
    let mut ids: BTreeMap<&str, &CacheServer> = BTreeMap::new();
    for server in &app.servers {
        let Some(endpoint) = server.endpoint.as_ref().map(|p| p.value.canonical()) else { continue };
        if let Some(before) = ids.get(server.id.value.as_str()) {
            let other = before.endpoint.as_ref().map(|p| p.value.canonical()).unwrap_or_default();
            if other != endpoint {
                let problem = format!("{:?} is at {endpoint} and at {other}", server.id.value);
                findings.push(
                    Finding::error(
                        code::DUPLICATE_SERVER_ID,
                        server_span(server),
                        problem,
                        code::DUPLICATE_SERVER_ID.fix(),
                    )
                    .with_related(server_span(before), "the other place"),
                );
            }
        }
        ids.entry(&server.id.value).or_insert(server);
        let Some(before) = by_endpoint.get(&endpoint) else {
            by_endpoint.insert(endpoint, server);
            continue;
        };
        let states = (before.state.value, server.state.value);
        let conflicting = states.0 != states.1 && (states.0 == State::Ready || states.1 == State::Ready);
        if conflicting {
            let problem = format!(
                "{:?} and {:?} are one box, {endpoint}, which is ready in one entry and not in the other",
                before.id.value, server.id.value
            );
            findings.push(
                Finding::error(
                    code::READY_AND_DRAINING,
                    server_span(server),
                    problem,
                    code::READY_AND_DRAINING.fix(),
                )
                .with_related(server_span(before), "the other state"),
            );
        } else {
            let problem = format!("{:?} and {:?} are one box, {endpoint}", before.id.value, server.id.value);
            findings.push(
                Finding::error(
                    code::DUPLICATE_SERVER_ADDRESS,
                    server_span(server),
                    problem,
                    code::DUPLICATE_SERVER_ADDRESS.fix(),
                )
                .with_related(server_span(before), "the first spelling"),
            );
        }
    }
}

fn state_text(server: &CacheServer) -> &'static str {
    match server.state.value {
        State::Ready => "is ready",
        State::Draining => "drains",
        State::Gone => "is gone",
    }
}

/// Reports everything that would send requests to a cache server that is draining or gone.
fn check_drained(app: &App, findings: &mut Vec<Finding>) {
    for server in app.servers.iter().filter(|server| server.state.value != State::Ready) {
        let problem = |suffix: &str| format!("{:?} {} and {suffix}", server.id.value, state_text(server));
        let with_state = |f: Finding| f.with_related(server.state.span.clone(), state_text(server));
        if let Some(weight) = server.weight.as_ref().filter(|w| w.value > 0.0) {
            let problem = problem(&format!("has the weight {}", weight.value));
            findings.push(with_state(Finding::error(
                code::DRAINED_WEIGHT,
                weight.span.clone(),
                problem,
                code::DRAINED_WEIGHT.fix(),
            )));
        }
        if let Some(warm_up) = server.warm_up.as_ref().filter(|w| w.value) {
            let problem = problem("is to be warmed up");
            let fix = code::DRAINED_WARM_UP.fix();
            findings.push(with_state(Finding::error(
                code::DRAINED_WARM_UP,
                warm_up.span.clone(),
                problem,
                fix,
            )));
        }
        for name in app.pool.iter().filter(|name| refers_to(server, name)) {
            let problem = problem("is in the static pool");
            let fix = code::DRAINED_IN_POOL.fix();
            findings.push(with_state(Finding::error(code::DRAINED_IN_POOL, name.span.clone(), problem, fix)));
        }
        for class in &app.classes {
            let route = class.servers.iter().flat_map(|servers| &servers.value);
            for name in route.filter(|name| refers_to(server, name)) {
                let problem = problem(&format!("class {:?} is routed to it", class.name.value));
                let fix = code::DRAINED_ROUTE.fix();
                findings.push(with_state(Finding::error(
                    code::DRAINED_ROUTE,
                    name.span.clone(),
                    problem,
                    fix,
                )));
            }
        }
    }
}

/// Returns whether an id or an address refers to a cache server.
fn refers_to(server: &CacheServer, name: &Spanned<String>) -> bool {
    server.id.value == name.value
        || server.endpoint.as_ref().is_some_and(|p| p.value.canonical() == name.value)
}

/// Reports names of cache servers, zones and kinds that are not declared, and host names without an address.
fn check_names(app: &App, findings: &mut Vec<Finding>) {
    let known_ids = || app.servers.iter().map(|server| server.id.value.as_str());
    let unknown = |name: &Spanned<String>, problem: String| {
        let fix = closest_match(&name.value, known_ids())
            .map_or("declare it with `box`".into(), |suggestion| format!("did you mean {suggestion:?}?"));
        Finding::error(code::UNKNOWN_SERVER, name.span.clone(), problem, fix)
    };
    let is_declared = |name: &Spanned<String>| app.servers.iter().any(|server| refers_to(server, name));
    if app.kind == FileKind::Application {
        for name in app.pool.iter().filter(|n| !is_declared(n)) {
            findings.push(unknown(name, format!("the pool names {:?}, which is not declared", name.value)));
        }
    }
    let contains =
        |name: &Spanned<String>, names: &[Spanned<String>]| names.iter().any(|n| n.value == name.value);
    for class in &app.classes {
        for name in class.servers.iter().flat_map(|names| &names.value).filter(|n| !is_declared(n)) {
            let problem =
                format!("class {:?} is routed to {:?}, which is not declared", class.name.value, name.value);
            findings.push(unknown(name, problem));
        }
        for (names, all, category) in [(&class.zones, &app.zones, "zone"), (&class.kinds, &app.kinds, "kind")]
        {
            for name in names.iter().flat_map(|n| &n.value).filter(|n| !contains(n, all)) {
                let problem = format!(
                    "class {:?} is bound to {category} {:?}, which the fleet does not have",
                    class.name.value, name.value
                );
                let fix = closest_match(&name.value, all.iter().map(|n| n.value.as_str()));
                let fix = fix.map_or_else(
                    || code::UNKNOWN_ZONE_OR_KIND.fix().into(),
                    |suggestion| format!("did you mean {suggestion:?}?"),
                );
                findings.push(Finding::error(code::UNKNOWN_ZONE_OR_KIND, name.span.clone(), problem, fix));
            }
        }
    }
    for server in &app.servers {
        for (name, all, category) in [(&server.zone, &app.zones, "zone"), (&server.kind, &app.kinds, "kind")]
        {
            let Some(name) = name.as_ref().filter(|n| !all.is_empty() && !contains(n, all)) else { continue };
            let problem = format!(
                "box {:?} is of {category} {:?}, which the fleet does not have",
                server.id.value, name.value
            );
            findings.push(Finding::error(
                code::UNKNOWN_ZONE_OR_KIND,
                name.span.clone(),
                problem,
                code::UNKNOWN_ZONE_OR_KIND.fix(),
            ));
        }
        if let Some(Spanned { value: endpoint, span, .. }) = &server.endpoint
            && let Host::Name(name, None) = &endpoint.host
        {
            let problem =
                format!("box {:?} has the name {name:?}, whose address is not known", server.id.value);
            findings.push(Finding::error(code::NO_ADDRESS, span.clone(), problem, code::NO_ADDRESS.fix()));
        }
    }
}

/// Reports the origin if it is listed among the cache servers.
fn check_origin(app: &App, findings: &mut Vec<Finding>) {
    let Some(origin) = &app.origin else { return };
    for server in &app.servers {
        let endpoint = server.endpoint.as_ref().zip(origin.endpoint.as_ref());
        let same_endpoint =
            endpoint.is_some_and(|(server, o)| server.value.canonical() == o.value.canonical());
        let same_kind = server.kind.as_ref().is_some_and(|k| k.value == origin.kind.value);
        if same_endpoint || same_kind {
            let problem = format!("box {:?} is the origin", server.id.value);
            findings.push(Finding::error(
                code::ORIGIN_LISTED_AS_SERVER,
                server_span(server),
                problem,
                code::ORIGIN_LISTED_AS_SERVER.fix(),
            ));
        }
    }
    if let Some(kind) = app.kinds.iter().find(|k| k.value == origin.kind.value) {
        let problem = format!("{:?} is the origin's kind and one of the boxes'", kind.value);
        findings.push(Finding::error(
            code::ORIGIN_LISTED_AS_SERVER,
            kind.span.clone(),
            problem,
            "remove it from `kinds`",
        ));
    }
}
