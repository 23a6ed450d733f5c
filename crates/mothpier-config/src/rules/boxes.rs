//! Which boxes there are, and whether one that drains could get work.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::app::{App, BoxLine, Kind, State};
use crate::code;
use crate::finding::Finding;
use crate::place::Host;
use crate::take::like;
use crate::tree::{At, Span};
use crate::units::show_time;

/// The rule's figure: boxes are stopped so long after the notice.
const GRACE: Duration = Duration::from_millis(500);

pub fn check(app: &App, found: &mut Vec<Finding>) {
    twice(app, found);
    drained(app, found);
    named(app, found);
    origin(app, found);
    if app.grace.value > GRACE {
        let what = format!("the drain grace is {}", show_time(app.grace.value));
        found.push(Finding::error(
            code::GRACE_TOO_LONG,
            app.grace.span.clone(),
            what,
            code::GRACE_TOO_LONG.mend(),
        ));
    }
    let ready = app.boxes.iter().any(|b| b.state.value == State::Ready);
    if let Some(first) = app.boxes.first().filter(|_| !ready && app.kind == Kind::Application) {
        let what = "none of the boxes is ready";
        found.push(Finding::warning(
            code::NO_READY_BOX,
            first.id.span.clone(),
            what,
            code::NO_READY_BOX.mend(),
        ));
    }
}

fn span(b: &BoxLine) -> Span {
    b.place.as_ref().map_or_else(|| b.id.span.clone(), |p| p.span.clone())
}

/// One place under two ids, or one id at two places, whatever the spelling.
fn twice(app: &App, found: &mut Vec<Finding>) {
    let mut places: BTreeMap<String, &BoxLine> = BTreeMap::new();
    let mut ids: BTreeMap<&str, &BoxLine> = BTreeMap::new();
    for b in &app.boxes {
        let Some(place) = b.place.as_ref().map(|p| p.value.plain()) else { continue };
        if let Some(before) = ids.get(b.id.value.as_str()) {
            let other = before.place.as_ref().map(|p| p.value.plain()).unwrap_or_default();
            if other != place {
                let what = format!("{:?} is at {place} and at {other}", b.id.value);
                found.push(
                    Finding::error(code::ID_TWICE, span(b), what, code::ID_TWICE.mend())
                        .with(span(before), "the other place"),
                );
            }
        }
        ids.entry(&b.id.value).or_insert(b);
        let Some(before) = places.get(&place) else {
            places.insert(place, b);
            continue;
        };
        let states = (before.state.value, b.state.value);
        let both = states.0 != states.1 && (states.0 == State::Ready || states.1 == State::Ready);
        if both {
            let what = format!(
                "{:?} and {:?} are one box, {place}, which is ready and is not",
                before.id.value, b.id.value
            );
            found.push(
                Finding::error(code::READY_AND_DRAINING, span(b), what, code::READY_AND_DRAINING.mend())
                    .with(span(before), "the other state"),
            );
        } else {
            let what = format!("{:?} and {:?} are one box, {place}", before.id.value, b.id.value);
            found.push(
                Finding::error(code::BOX_TWICE, span(b), what, code::BOX_TWICE.mend())
                    .with(span(before), "the first spelling"),
            );
        }
    }
}

fn state(b: &BoxLine) -> &'static str {
    match b.state.value {
        State::Ready => "is ready",
        State::Draining => "drains",
        State::Gone => "is gone",
    }
}

/// Whatever would send work to a box that wants none.
fn drained(app: &App, found: &mut Vec<Finding>) {
    for b in app.boxes.iter().filter(|b| b.state.value != State::Ready) {
        let what = |does: &str| format!("{:?} {} and {does}", b.id.value, state(b));
        let says = |f: Finding| f.with(b.state.span.clone(), state(b));
        if let Some(weight) = b.weight.as_ref().filter(|w| w.value > 0.0) {
            let has = what(&format!("has the weight {}", weight.value));
            found.push(says(Finding::error(
                code::DRAINED_WEIGHT,
                weight.span.clone(),
                has,
                code::DRAINED_WEIGHT.mend(),
            )));
        }
        if let Some(warm_up) = b.warm_up.as_ref().filter(|w| w.value) {
            let is = what("is to be warmed up");
            let mend = code::DRAINED_WARM_UP.mend();
            found.push(says(Finding::error(code::DRAINED_WARM_UP, warm_up.span.clone(), is, mend)));
        }
        for name in app.pool.iter().filter(|name| is(b, name)) {
            let is = what("stands in the static pool");
            let mend = code::DRAINED_IN_POOL.mend();
            found.push(says(Finding::error(code::DRAINED_IN_POOL, name.span.clone(), is, mend)));
        }
        for class in &app.classes {
            let route = class.boxes.iter().flat_map(|boxes| &boxes.value);
            for name in route.filter(|name| is(b, name)) {
                let is = what(&format!("class {:?} is routed to it", class.name.value));
                let mend = code::DRAINED_ROUTE.mend();
                found.push(says(Finding::error(code::DRAINED_ROUTE, name.span.clone(), is, mend)));
            }
        }
    }
}

/// Whether a name or an address means a box.
fn is(b: &BoxLine, name: &At<String>) -> bool {
    b.id.value == name.value || b.place.as_ref().is_some_and(|p| p.value.plain() == name.value)
}

/// Names of boxes, zones and kinds that mean none.
fn named(app: &App, found: &mut Vec<Finding>) {
    let ids = || app.boxes.iter().map(|b| b.id.value.as_str());
    let unknown = |name: &At<String>, what: String| {
        let mend = like(&name.value, ids())
            .map_or("declare it with `box`".into(), |l| format!("did you mean {l:?}?"));
        Finding::error(code::POOL_UNKNOWN, name.span.clone(), what, mend)
    };
    let any = |name: &At<String>| app.boxes.iter().any(|b| is(b, name));
    if app.kind == Kind::Application {
        for name in app.pool.iter().filter(|n| !any(n)) {
            found.push(unknown(name, format!("the pool names {:?}, which is no box", name.value)));
        }
    }
    let among = |name: &At<String>, names: &[At<String>]| names.iter().any(|n| n.value == name.value);
    for class in &app.classes {
        for name in class.boxes.iter().flat_map(|b| &b.value).filter(|n| !any(n)) {
            let what = format!("class {:?} is routed to {:?}, which is no box", class.name.value, name.value);
            found.push(unknown(name, what));
        }
        for (names, all, what) in [(&class.zones, &app.zones, "zone"), (&class.kinds, &app.kinds, "kind")] {
            for name in names.iter().flat_map(|n| &n.value).filter(|n| !among(n, all)) {
                let what = format!(
                    "class {:?} is bound to {what} {:?}, which the fleet does not have",
                    class.name.value, name.value
                );
                let mend = like(&name.value, all.iter().map(|n| n.value.as_str()));
                let mend =
                    mend.map_or_else(|| code::KIND_UNKNOWN.mend().into(), |l| format!("did you mean {l:?}?"));
                found.push(Finding::error(code::KIND_UNKNOWN, name.span.clone(), what, mend));
            }
        }
    }
    for b in &app.boxes {
        for (name, all, what) in [(&b.zone, &app.zones, "zone"), (&b.kind, &app.kinds, "kind")] {
            let Some(name) = name.as_ref().filter(|n| !all.is_empty() && !among(n, all)) else { continue };
            let what =
                format!("box {:?} is of {what} {:?}, which the fleet does not have", b.id.value, name.value);
            found.push(Finding::error(
                code::KIND_UNKNOWN,
                name.span.clone(),
                what,
                code::KIND_UNKNOWN.mend(),
            ));
        }
        if let Some(At { value: place, span, .. }) = &b.place
            && let Host::Name(name, None) = &place.host
        {
            let what = format!("box {:?} has the name {name:?}, whose address is not known", b.id.value);
            found.push(Finding::error(code::NO_ADDRESS, span.clone(), what, code::NO_ADDRESS.mend()));
        }
    }
}

fn origin(app: &App, found: &mut Vec<Finding>) {
    let Some(origin) = &app.origin else { return };
    for b in &app.boxes {
        let place = b.place.as_ref().zip(origin.place.as_ref());
        let same_place = place.is_some_and(|(b, o)| b.value.plain() == o.value.plain());
        let same_kind = b.kind.as_ref().is_some_and(|k| k.value == origin.kind.value);
        if same_place || same_kind {
            let what = format!("box {:?} is the origin", b.id.value);
            found.push(Finding::error(
                code::ORIGIN_AMONG_BOXES,
                span(b),
                what,
                code::ORIGIN_AMONG_BOXES.mend(),
            ));
        }
    }
    if let Some(kind) = app.kinds.iter().find(|k| k.value == origin.kind.value) {
        let what = format!("{:?} is the origin's kind and one of the boxes'", kind.value);
        found.push(Finding::error(
            code::ORIGIN_AMONG_BOXES,
            kind.span.clone(),
            what,
            "take it out of `kinds`",
        ));
    }
}
