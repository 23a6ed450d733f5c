//! Checks that no side effect can happen twice: how a class may be repeated must fit its effect.

use crate::app::{App, Class, Command, Effect, Scope};
use crate::code;
use crate::finding::Finding;
use crate::units::format_duration;

/// First words of class names that indicate a write.
const WRITE_VERBS: [&str; 22] = [
    "send", "post", "put", "set", "add", "create", "update", "delete", "remove", "write", "pay", "charge",
    "order", "book", "submit", "publish", "invite", "accept", "cancel", "insert", "save", "transfer",
];

pub fn check(app: &App, findings: &mut Vec<Finding>) {
    for class in &app.classes {
        check_repeats(class, findings);
        check_name(class, findings);
        check_window(app, class, findings);
    }
    check_defaults(app, findings);
}

/// Reports classes whose flags or command do not fit their effect.
fn check_repeats(class: &Class, findings: &mut Vec<Finding>) {
    let name = &class.name.value;
    let write = class.command.as_ref().filter(|c| c.value == Command::Write);
    if let Some(command) = write.filter(|_| class.effect.value == Effect::Safe) {
        findings.push(
            Finding::error(
                code::WRITE_WITHOUT_KEY,
                class.effect.span.clone(),
                format!("class {name:?} writes and has no key, yet counts as safe to repeat"),
                "set effect to \"unsafe\", or to \"keyed\" where the boxes drop repeats",
            )
            .with_related(command.span.clone(), "it writes"),
        );
    }
    for (flag, description) in
        [(&class.repeat, "marked safe to repeat"), (&class.copies, "copied while the first is pending")]
    {
        let Some(flag) = flag.as_ref().filter(|f| f.value) else { continue };
        match class.effect.value {
            Effect::Unsafe => findings.push(
                Finding::error(
                    code::UNSAFE_REPEATED,
                    flag.span.clone(),
                    format!("class {name:?} is unsafe and {description}"),
                    code::UNSAFE_REPEATED.fix(),
                )
                .with_related(class.effect.span.clone(), "its effect happens once more with each repeat"),
            ),
            Effect::Keyed if description.starts_with("copied") => findings.push(
                Finding::error(
                    code::WRITE_COPIED,
                    flag.span.clone(),
                    format!("class {name:?} is keyed and {description}"),
                    code::WRITE_COPIED.fix(),
                )
                .with_related(
                    class.effect.span.clone(),
                    "a box knows its key only once the first copy has arrived",
                ),
            ),
            _ => {}
        }
    }
}

/// Reports a class that counts as safe although its name indicates a write.
fn check_name(class: &Class, findings: &mut Vec<Finding>) {
    if class.effect.value != Effect::Safe {
        return;
    }
    let name = class.name.value.to_lowercase();
    let first_word = name.split(['-', '_', '.']).next().unwrap_or_default();
    if WRITE_VERBS.contains(&first_word) {
        findings.push(
            Finding::error(
                code::WRITE_NAME_MARKED_SAFE,
                class.effect.span.clone(),
                format!(
                    "class {:?} is marked as safe to repeat, but its name suggests a write",
                    class.name.value
                ),
                "set effect to \"unsafe\" or \"keyed\"; a class that only reads needs another name",
            )
            .with_related(class.name.span.clone(), format!("{first_word:?}")),
        );
    }
}

/// Checks the window and scope in which repeats of a keyed class are dropped.
fn check_window(app: &App, class: &Class, findings: &mut Vec<Finding>) {
    let name = &class.name.value;
    if class.effect.value != Effect::Keyed {
        if let Some(window) = &class.window {
            let problem = format!("class {name:?} has a window and no key");
            findings.push(
                Finding::error(code::WINDOW_UNUSED, window.span.clone(), problem, code::WINDOW_UNUSED.fix())
                    .with_related(class.effect.span.clone(), "no keys here"),
            );
        } else if let Some(scope) = &class.scope {
            let problem = format!("class {name:?} says which boxes drop repeats, and has no key");
            findings.push(Finding::error(
                code::WINDOW_UNUSED,
                scope.span.clone(),
                problem,
                code::WINDOW_UNUSED.fix(),
            ));
        }
        return;
    }
    match &class.window {
        None => {
            let problem = format!("class {name:?} is keyed and has no window");
            let fix = "write `window`: how long boxes drop a repeat of a key";
            findings.push(Finding::error(code::NO_WINDOW, class.effect.span.clone(), problem, fix));
        }
        Some(window) if window.value < class.deadline.value => findings.push(
            Finding::error(
                code::WINDOW_TOO_SHORT,
                window.span.clone(),
                format!(
                    "class {name:?} may be repeated for {}, and boxes drop repeats for {}",
                    format_duration(class.deadline.value),
                    format_duration(window.value)
                ),
                format!("set `deadline` to {} or less", format_duration(window.value)),
            )
            .with_related(class.deadline.span.clone(), "repeats may arrive until then"),
        ),
        Some(_) => {}
    }
    let single_zone = match &class.zones {
        Some(zones) => zones.value.len() == 1,
        None => app.zones.len() < 2,
    };
    if let Some(scope) = class.scope.as_ref().filter(|s| s.value != Scope::All) {
        // The configuration does not state cells; the policy keeps a repeat within one.
        let too_narrow = scope.value == Scope::Zone && !single_zone;
        if too_narrow {
            let problem = format!("class {name:?} drops repeats within a zone, and may go to several");
            let fix = code::SCOPE_TOO_NARROW.fix();
            findings.push(Finding::error(code::SCOPE_TOO_NARROW, scope.span.clone(), problem, fix));
        }
    }
}

/// Checks that at most one class of each command is marked as the default for requests that name no class.
fn check_defaults(app: &App, findings: &mut Vec<Finding>) {
    if !app.sidecar {
        return;
    }
    for command in [Command::Read, Command::Write] {
        let classes: Vec<&Class> =
            app.classes.iter().filter(|c| c.command.as_ref().is_some_and(|c| c.value == command)).collect();
        let marked: Vec<&&Class> = classes.iter().filter(|c| c.default).collect();
        if let [first, second, ..] = marked[..] {
            let problem = format!("{:?} and {:?} are both the default", first.name.value, second.name.value);
            let fix = "mark one class of each command";
            findings.push(
                Finding::error(code::AMBIGUOUS_DEFAULT_CLASS, second.name.span.clone(), problem, fix)
                    .with_related(first.name.span.clone(), "the first one"),
            );
        }
    }
}
