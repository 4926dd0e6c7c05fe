//! Publishing against a platform that loses answers, is down, and other operators.

#![allow(clippy::expect_used, clippy::panic, missing_docs)]

use {
    conf::{Change, Edit, Generation, Root},
    fastrand::Rng,
    plat::{Publish, PublishAction, PublishEvent, Verdict},
    quickcheck::quickcheck,
    std::fmt::Write,
    unit::{Span, Time},
};

/// The root object, with writes whose answers are lost.
#[derive(Default)]
struct Platform {
    root: Root,
    version: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The call is refused.
    Down,
    /// The call takes effect, and its answer is lost.
    Lost,
    /// The call is lost before it takes effect.
    Never,
    None,
}

impl Platform {
    fn call(&mut self, action: &PublishAction, fault: Fault) -> PublishEvent {
        match (action, fault) {
            (_, Fault::Down) => PublishEvent::Refused,
            (_, Fault::Never) => PublishEvent::Lost,
            (PublishAction::ReadRoot, Fault::Lost) => PublishEvent::Lost,
            (PublishAction::ReadRoot, Fault::None) => {
                PublishEvent::Root(Generation(self.version), self.root.clone())
            }
            (PublishAction::Store(_), Fault::Lost) => PublishEvent::Lost,
            (PublishAction::Store(_), Fault::None) => PublishEvent::Wrote(Generation(1)),
            (PublishAction::WriteRoot { base, root }, fault) => {
                let fits = base.0 == self.version;
                if fits {
                    self.version += 1;
                    self.root = root.clone();
                }
                match (fault, fits) {
                    (Fault::Lost, _) => PublishEvent::Lost,
                    (_, true) => PublishEvent::Wrote(Generation(self.version)),
                    (_, false) => PublishEvent::Beaten,
                }
            }
            (PublishAction::Finish(_) | PublishAction::Pause(_), _) => PublishEvent::Wake,
        }
    }
}

fn operator(id: &str, edit: Edit, end: u64) -> Publish {
    let change = Change {
        at: 0,
        by: id.to_owned(),
        generation: 0,
        id: id.to_owned(),
        touched: edit.touched(),
    };
    Publish::new(
        edit,
        change,
        vec![format!("file.{id}")],
        None,
        Time::at(Span::millis(end)),
    )
}

fn out(name: &str) -> Edit {
    Edit::Centre(name.into(), true)
}

/// Runs one operator; `faults` are those of its calls in turn. Gives the log and the verdict.
fn session(platform: &mut Platform, mut core: Publish, faults: &[Fault]) -> (String, Verdict) {
    let (mut log, mut event) = (String::new(), PublishEvent::Wake);
    let mut rng = Rng::with_seed(1);
    let mut faults = faults.iter();
    for step in 0..200 {
        let now = Time::at(Span::millis(step * 100));
        let action = core.step(now, event.clone(), &mut rng);
        let _fits = writeln!(log, "{step}: {} -> {}", short(&event), shorter(&action));
        if let PublishAction::Finish(verdict) = action {
            return (log, verdict);
        }
        let fault = match action {
            PublishAction::Pause(_) => Fault::None,
            _ => faults.next().copied().unwrap_or(Fault::None),
        };
        event = platform.call(&action, fault);
    }
    panic!("does not end:\n{log}");
}

fn short(event: &PublishEvent) -> String {
    match event {
        PublishEvent::Root(generation, root) => format!("root {} {:?}", generation.0, root.centres),
        other => format!("{other:?}"),
    }
}

fn shorter(action: &PublishAction) -> String {
    match action {
        PublishAction::WriteRoot { base, root } => {
            format!("write on {} {:?}", base.0, root.centres)
        }
        PublishAction::Pause(_) => "pause".to_owned(),
        other => format!("{other:?}"),
    }
}

quickcheck! {
    /// A change called published is in the root, one called not published isn't and can't get in,
    /// and both operators' disjoint changes land where the platform recovers in time.
    fn verdicts_are_true(faults: Vec<u8>, turns: Vec<bool>, crossing: bool) -> bool {
        let mut platform = Platform::default();
        let names = if crossing { ["x", "x"] } else { ["x", "y"] };
        let mut cores = [operator("ann", out(names[0]), 4_000), operator("bob", out(names[1]), 4_000)];
        let mut events = [PublishEvent::Wake, PublishEvent::Wake];
        let mut verdicts: [Option<Verdict>; 2] = [None, None];
        let mut rng = Rng::with_seed(2);
        let mut faults = faults.into_iter();
        for step in 0..400 {
            let who = usize::from(turns.get(step % turns.len().max(1)).copied().unwrap_or(step % 2 == 0));
            let who = if verdicts[who].is_some() { 1 - who } else { who };
            if verdicts[who].is_some() {
                break;
            }
            let now = Time::at(Span::millis(step as u64 * 40));
            let action = cores[who].step(now, events[who].clone(), &mut rng);
            if let PublishAction::Finish(verdict) = action {
                verdicts[who] = Some(verdict);
                continue;
            }
            let fault = match faults.next().unwrap_or(9) % 10 {
                0 => Fault::Down,
                1 => Fault::Lost,
                2 => Fault::Never,
                _ => Fault::None,
            };
            events[who] = platform.call(&action, fault);
        }
        ["ann", "bob"].iter().zip(&verdicts).all(|(id, verdict)| {
            let inside = platform.root.holds(id).is_some();
            match verdict {
                Some(Verdict::Done(_)) => inside,
                Some(Verdict::Conflict(_) | Verdict::Failed) => !inside,
                Some(Verdict::Unknown) => true,
                None => false,
            }
        })
    }
}

#[track_caller]
fn golden(name: &str, log: &str) {
    let path = format!("{}/tests/golden/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(&path, log).expect("can be written");
    }
    let held = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        held == log,
        "{name} differs; look at it, then BLESS=1\n{log}"
    );
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut platform = Platform::default();
    let faults = [Fault::None, Fault::None, Fault::None, Fault::Lost];
    let (log, verdict) = session(&mut platform, operator("ann", out("x"), 9_000), &faults);
    assert_eq!(verdict, Verdict::Done(Generation(1)));
    assert_eq!(platform.version, 1, "the change was made once");
    golden("write-with-lost-answer", &log);
}

#[test]
fn a_write_that_never_arrived_is_made_again_on_the_same_version() {
    let mut platform = Platform::default();
    let faults = [Fault::None, Fault::None, Fault::None, Fault::Never];
    let (log, verdict) = session(&mut platform, operator("ann", out("x"), 9_000), &faults);
    assert_eq!(verdict, Verdict::Done(Generation(1)));
    golden("write-that-never-arrived", &log);
}

#[test]
fn a_platform_that_stays_down_leaves_the_outcome_unknown_only_after_a_write() {
    let mut platform = Platform::default();
    let down = [Fault::Down; 100];
    let (log, verdict) = session(&mut platform, operator("ann", out("x"), 900), &down);
    assert_eq!(verdict, Verdict::Failed);
    golden("platform-down", &log);
    let mut faults = vec![Fault::None, Fault::None, Fault::None, Fault::Lost];
    faults.extend(down);
    let (log, verdict) = session(&mut platform, operator("bob", out("y"), 900), &faults);
    assert_eq!(verdict, Verdict::Unknown);
    golden("platform-down-after-a-write", &log);
}

#[test]
fn operators_who_cross() {
    let mut platform = Platform::default();
    let (mut log, verdict) = session(&mut platform, operator("ann", out("x"), 9_000), &[]);
    assert_eq!(verdict, Verdict::Done(Generation(1)));
    // Bob had looked at the site before Ann's change.
    let change = Change {
        at: 0,
        by: "bob".to_owned(),
        generation: 0,
        id: "bob".to_owned(),
        touched: out("x").touched(),
    };
    let end = Time::at(Span::secs(9));
    let bob = Publish::new(
        out("x"),
        change.clone(),
        Vec::new(),
        Some(Generation(0)),
        end,
    );
    let (more, verdict) = session(&mut platform, bob, &[]);
    assert!(matches!(verdict, Verdict::Conflict(_)));
    log += &more;
    let touched = out("y").touched();
    let change = Change { touched, ..change };
    let bob = Publish::new(out("y"), change, Vec::new(), Some(Generation(0)), end);
    let (more, verdict) = session(&mut platform, bob, &[]);
    assert_eq!(verdict, Verdict::Done(Generation(2)));
    golden("operators-crossing", &(log + &more));
}
