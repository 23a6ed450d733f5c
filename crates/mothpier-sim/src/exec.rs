//! The executor: tasks, virtual time and the order of everything, decided by a seed.
//!
//! One thread, no real clock. Ready tasks are polled in an order that the seed draws; when none is ready the clock
//! moves to the next event. Between two events everything that became ready runs, so that "after every step" means
//! after each of them. Times are nanoseconds since the start.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Arguments;
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};

use mothpier_world::Dice;
use xxhash_rust::xxh3::Xxh3;

/// A machine of the simulation.
pub type Host = usize;

/// Unix time at which every simulation begins.
pub const EPOCH: Duration = Duration::from_secs(1_800_000_000);

type Job = Pin<Box<dyn Future<Output = ()>>>;

struct Slot {
    host: Host,
    job: Option<Job>,
    aborted: bool,
    wake: Arc<TaskWake>,
}

struct TaskWake {
    slot: usize,
    life: u64,
    queued: AtomicBool,
    queue: Arc<Mutex<VecDeque<(usize, u64)>>>,
}

impl Wake for TaskWake {
    fn wake(self: Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            self.queue.lock().unwrap_or_else(PoisonError::into_inner).push_back((self.slot, self.life));
        }
    }
}

enum Happening {
    Wake(Waker),
    Do(Box<dyn FnOnce()>),
}

/// The executor.
pub struct Exec {
    base: Instant,
    now: Cell<u64>,
    slots: RefCell<Vec<Slot>>,
    free: RefCell<Vec<usize>>,
    lives: Cell<u64>,
    queue: Arc<Mutex<VecDeque<(usize, u64)>>>,
    /// Woken when nothing else is ready, before the clock moves.
    yielded: RefCell<Vec<Waker>>,
    /// By time, then by a drawn figure, then by number.
    events: RefCell<BTreeMap<(u64, u32, u64), Happening>>,
    numbers: Cell<u64>,
    dice: Dice,
    trace: RefCell<Trace>,
}

/// What happened, as a hash of its lines, and the lines themselves where they are wanted.
struct Trace {
    hash: Xxh3,
    line: String,
    lines: Option<Vec<String>>,
    count: u64,
}

impl Exec {
    /// An executor whose order a seed decides; `lines` keeps the trace's lines.
    pub fn new(seed: u64, lines: bool) -> Rc<Self> {
        let trace = Trace { hash: Xxh3::new(), line: String::new(), lines: lines.then(Vec::new), count: 0 };
        Rc::new(Exec {
            base: Instant::now(),
            now: Cell::new(0),
            slots: RefCell::default(),
            free: RefCell::default(),
            lives: Cell::new(0),
            queue: Arc::default(),
            yielded: RefCell::default(),
            events: RefCell::default(),
            numbers: Cell::new(0),
            dice: Dice::part(seed, 1),
            trace: RefCell::new(trace),
        })
    }

    /// Nanoseconds since the start.
    pub fn nanos(&self) -> u64 {
        self.now.get()
    }

    /// Milliseconds since the start.
    pub fn millis(&self) -> u64 {
        self.now.get() / 1_000_000
    }

    /// The clock as programs read it. Only differences of it are ever used.
    pub fn now(&self) -> Instant {
        self.base + Duration::from_nanos(self.now.get())
    }

    /// A clock value in nanoseconds since the start.
    pub fn nanos_of(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.base).as_nanos() as u64
    }

    /// Adds a line to the trace.
    pub fn trace(&self, what: Arguments<'_>) {
        use std::fmt::Write;
        let mut trace = self.trace.borrow_mut();
        let Trace { hash, line, lines, count } = &mut *trace;
        line.clear();
        let _ = write!(line, "{:>10.6} {what}", self.now.get() as f64 / 1e9);
        hash.update(line.as_bytes());
        hash.update(b"\n");
        *count += 1;
        if let Some(lines) = lines {
            lines.push(line.clone());
        }
    }

    /// The hash of the trace so far.
    pub fn hash(&self) -> u64 {
        self.trace.borrow().hash.digest()
    }

    /// The trace's lines, where they are kept.
    pub fn take_lines(&self) -> Vec<String> {
        self.trace.borrow_mut().lines.take().unwrap_or_default()
    }

    /// Runs a task on a machine.
    pub fn spawn(self: &Rc<Self>, host: Host, job: impl Future<Output = ()> + 'static) -> Handle {
        let slot = self.free.borrow_mut().pop().unwrap_or_else(|| self.slots.borrow().len());
        let life = self.lives.get() + 1;
        self.lives.set(life);
        let wake =
            Arc::new(TaskWake { slot, life, queued: AtomicBool::new(false), queue: self.queue.clone() });
        let made = Slot { host, job: Some(Box::pin(job)), aborted: false, wake: wake.clone() };
        let mut slots = self.slots.borrow_mut();
        match slots.get_mut(slot) {
            Some(old) => *old = made,
            None => slots.push(made),
        }
        drop(slots);
        wake.wake();
        Handle { exec: Rc::downgrade(self), slot, life }
    }

    /// Ends all tasks of a machine at once.
    pub fn kill(&self, host: Host) {
        let jobs: Vec<Job> = {
            let mut slots = self.slots.borrow_mut();
            slots.iter_mut().filter(|s| s.host == host).filter_map(|s| s.job.take()).collect()
        };
        // Their drops may spawn, close and wake.
        drop(jobs);
    }

    /// Ends everything: tasks and networks hold each other otherwise.
    pub fn clear(&self) {
        let slots = std::mem::take(&mut *self.slots.borrow_mut());
        drop(slots);
        let events = std::mem::take(&mut *self.events.borrow_mut());
        drop(events);
        let yielded = std::mem::take(&mut *self.yielded.borrow_mut());
        drop(yielded);
    }

    /// Does something at a time.
    pub fn at(&self, nanos: u64, job: impl FnOnce() + 'static) {
        self.schedule(nanos, Happening::Do(Box::new(job)));
    }

    fn schedule(&self, nanos: u64, what: Happening) -> (u64, u32, u64) {
        self.numbers.set(self.numbers.get() + 1);
        let key = (nanos.max(self.now.get()), self.dice.within(0, 1 << 20) as u32, self.numbers.get());
        self.events.borrow_mut().insert(key, what);
        key
    }

    /// Ends at a time.
    pub fn sleep_until(self: &Rc<Self>, nanos: u64) -> Sleep {
        Sleep { exec: self.clone(), nanos, key: None }
    }

    /// Goes once round everything that is ready.
    pub fn yield_now(self: &Rc<Self>) -> Yield {
        Yield { exec: self.clone(), done: false }
    }

    /// Runs until a time, or until `stop` says so after a step.
    pub fn run_until(&self, nanos: u64, stop: &dyn Fn() -> bool) {
        loop {
            while self.poll_one() {}
            if stop() {
                return;
            }
            let yielded = std::mem::take(&mut *self.yielded.borrow_mut());
            if !yielded.is_empty() {
                yielded.into_iter().for_each(Waker::wake);
                continue;
            }
            let next = {
                let mut events = self.events.borrow_mut();
                match events.first_key_value() {
                    Some((key, _)) if key.0 <= nanos => events.pop_first(),
                    _ => None,
                }
            };
            let Some(((time, ..), what)) = next else {
                self.now.set(self.now.get().max(nanos));
                return;
            };
            assert!(time >= self.now.get(), "the clock never goes back");
            self.now.set(time);
            match what {
                Happening::Wake(waker) => waker.wake(),
                Happening::Do(job) => job(),
            }
        }
    }

    fn poll_one(&self) -> bool {
        let (slot, life) = {
            let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
            let at = match queue.len() {
                0 => return false,
                1 => 0,
                more => self.dice.within(0, more as u64) as usize,
            };
            let Some(next) = queue.remove(at) else { return false };
            next
        };
        let (mut job, waker) = {
            let mut slots = self.slots.borrow_mut();
            let Some(s) = slots.get_mut(slot).filter(|s| s.wake.life == life) else { return true };
            s.wake.queued.store(false, Ordering::Relaxed);
            let Some(job) = s.job.take() else { return true };
            (job, Waker::from(s.wake.clone()))
        };
        let aborted = |s: &Slot| s.wake.life == life && s.aborted;
        let ended = self.slots.borrow().get(slot).is_some_and(aborted)
            || job.as_mut().poll(&mut Context::from_waker(&waker)).is_ready();
        if ended {
            drop(job);
            self.free.borrow_mut().push(slot);
            return true;
        }
        if let Some(s) = self.slots.borrow_mut().get_mut(slot) {
            s.job = Some(job);
        }
        true
    }
}

/// A task that runs.
pub struct Handle {
    exec: Weak<Exec>,
    slot: usize,
    life: u64,
}

impl mothpier_net::Task for Handle {
    fn abort(&self) {
        let Some(exec) = self.exec.upgrade() else { return };
        let wake = {
            let mut slots = exec.slots.borrow_mut();
            let Some(s) = slots.get_mut(self.slot).filter(|s| s.wake.life == self.life) else { return };
            s.aborted = true;
            s.wake.clone()
        };
        wake.wake();
    }
}

/// Ends at a time.
pub struct Sleep {
    exec: Rc<Exec>,
    nanos: u64,
    key: Option<(u64, u32, u64)>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.exec.now.get() >= self.nanos {
            return Poll::Ready(());
        }
        let waker = cx.waker();
        if let Some(key) = self.key
            && let Some(Happening::Wake(held)) = self.exec.events.borrow_mut().get_mut(&key)
        {
            if !held.will_wake(waker) {
                *held = waker.clone();
            }
            return Poll::Pending;
        }
        self.key = Some(self.exec.schedule(self.nanos, Happening::Wake(waker.clone())));
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            let gone = self.exec.events.borrow_mut().remove(&key);
            drop(gone);
        }
    }
}

/// Goes once round everything that is ready.
pub struct Yield {
    exec: Rc<Exec>,
    done: bool,
}

impl Future for Yield {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.done {
            return Poll::Ready(());
        }
        self.done = true;
        self.exec.yielded.borrow_mut().push(cx.waker().clone());
        Poll::Pending
    }
}
