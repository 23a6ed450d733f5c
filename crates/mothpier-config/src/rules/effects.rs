//! No effect twice: what a class does against how it may be repeated.

use crate::app::{App, Class, Command, Effect, Scope};
use crate::code;
use crate::finding::Finding;
use crate::units::show_time;

/// Beginnings of names that say that something is done.
const DOES: [&str; 22] = [
    "send", "post", "put", "set", "add", "create", "update", "delete", "remove", "write", "pay", "charge",
    "order", "book", "submit", "publish", "invite", "accept", "cancel", "insert", "save", "transfer",
];

pub fn check(app: &App, found: &mut Vec<Finding>) {
    for class in &app.classes {
        repeats(class, found);
        names(class, found);
        windows(app, class, found);
    }
    defaults(app, found);
}

fn repeats(class: &Class, found: &mut Vec<Finding>) {
    let name = &class.name.value;
    let write = class.command.as_ref().filter(|c| c.value == Command::Write);
    if let Some(command) = write.filter(|_| class.effect.value == Effect::Safe) {
        found.push(
            Finding::error(
                code::WRITE_WITHOUT_KEY,
                class.effect.span.clone(),
                format!("class {name:?} writes and has no key, yet counts as safe to repeat"),
                "set effect to \"unsafe\", or to \"keyed\" where the boxes drop repeats",
            )
            .with(command.span.clone(), "it writes"),
        );
    }
    for (flag, what) in
        [(&class.repeat, "marked safe to repeat"), (&class.copies, "copied while the first is out")]
    {
        let Some(flag) = flag.as_ref().filter(|f| f.value) else { continue };
        match class.effect.value {
            Effect::Unsafe => found.push(
                Finding::error(
                    code::UNSAFE_REPEATED,
                    flag.span.clone(),
                    format!("class {name:?} is unsafe and {what}"),
                    code::UNSAFE_REPEATED.mend(),
                )
                .with(class.effect.span.clone(), "its effect happens once more with each repeat"),
            ),
            Effect::Keyed if what.starts_with("copied") => found.push(
                Finding::error(
                    code::WRITE_COPIED,
                    flag.span.clone(),
                    format!("class {name:?} is keyed and {what}"),
                    code::WRITE_COPIED.mend(),
                )
                .with(
                    class.effect.span.clone(),
                    "its key is known to a box only once the first copy has come",
                ),
            ),
            _ => {}
        }
    }
}

fn names(class: &Class, found: &mut Vec<Finding>) {
    if class.effect.value != Effect::Safe {
        return;
    }
    let name = class.name.value.to_lowercase();
    let first = name.split(['-', '_', '.']).next().unwrap_or_default();
    if DOES.contains(&first) {
        found.push(
            Finding::error(
                code::NAME_SAYS_WRITE,
                class.effect.span.clone(),
                format!(
                    "class {:?} is marked as safe to repeat, and its name says that it does something",
                    class.name.value
                ),
                "set effect to \"unsafe\" or \"keyed\"; a class that only reads needs another name",
            )
            .with(class.name.span.clone(), format!("{first:?}")),
        );
    }
}

fn windows(app: &App, class: &Class, found: &mut Vec<Finding>) {
    let name = &class.name.value;
    if class.effect.value != Effect::Keyed {
        if let Some(window) = &class.window {
            let what = format!("class {name:?} has a window and no key");
            found.push(
                Finding::error(code::WINDOW_UNUSED, window.span.clone(), what, code::WINDOW_UNUSED.mend())
                    .with(class.effect.span.clone(), "no keys here"),
            );
        } else if let Some(scope) = &class.scope {
            let what = format!("class {name:?} says which boxes drop repeats, and has no key");
            found.push(Finding::error(
                code::WINDOW_UNUSED,
                scope.span.clone(),
                what,
                code::WINDOW_UNUSED.mend(),
            ));
        }
        return;
    }
    match &class.window {
        None => {
            let what = format!("class {name:?} is keyed and has no window");
            let mend = "write `window`: for how long boxes drop a repeat of a key";
            found.push(Finding::error(code::NO_WINDOW, class.effect.span.clone(), what, mend));
        }
        Some(window) if window.value < class.deadline.value => found.push(
            Finding::error(
                code::WINDOW_TOO_SHORT,
                window.span.clone(),
                format!(
                    "class {name:?} may be repeated for {}, and boxes drop repeats for {}",
                    show_time(class.deadline.value),
                    show_time(window.value)
                ),
                format!("set `deadline` to {} or less", show_time(window.value)),
            )
            .with(class.deadline.span.clone(), "repeats may come until then"),
        ),
        Some(_) => {}
    }
    let one_zone = match &class.zones {
        Some(zones) => zones.value.len() == 1,
        None => app.zones.len() < 2,
    };
    if let Some(scope) = class.scope.as_ref().filter(|s| s.value != Scope::All) {
        // Cells are not told here: that a repeat stays in one is the module's to see to.
        let narrow = scope.value == Scope::Zone && !one_zone;
        if narrow {
            let what = format!("class {name:?} drops repeats within a zone, and may go to several");
            let mend = code::SCOPE_TOO_NARROW.mend();
            found.push(Finding::error(code::SCOPE_TOO_NARROW, scope.span.clone(), what, mend));
        }
    }
}

/// Requests that name no class are of the one class of their command, or of the one that is marked.
fn defaults(app: &App, found: &mut Vec<Finding>) {
    if !app.sidecar {
        return;
    }
    for command in [Command::Read, Command::Write] {
        let of: Vec<&Class> =
            app.classes.iter().filter(|c| c.command.as_ref().is_some_and(|c| c.value == command)).collect();
        let marked: Vec<&&Class> = of.iter().filter(|c| c.default).collect();
        if let [first, second, ..] = marked[..] {
            let what = format!("{:?} and {:?} are both the default", first.name.value, second.name.value);
            let mend = "mark one class of each command";
            found.push(
                Finding::error(code::NO_DEFAULT_CLASS, second.name.span.clone(), what, mend)
                    .with(first.name.span.clone(), "the first one"),
            );
        }
    }
}
