//! A machine among others in one process: what runs on it can be ended at once, as the death of a process does.

use std::cell::RefCell;
use std::fmt::Display;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mothpier_net::{Net, Tokio};
use tokio::sync::oneshot;

/// How many tasks are remembered before those that have ended are forgotten.
const REMEMBERED: usize = 256;

type Tasks = Vec<(<Tokio as Net>::Task, oneshot::Receiver<()>)>;

/// The real machine's sockets and time, with tasks that end together.
#[derive(Clone, Default)]
pub struct Machine {
    tasks: Rc<RefCell<Tasks>>,
}

impl Machine {
    /// Ends all that runs on it; its sockets close.
    pub fn kill(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|(task, _)| task.abort());
    }
}

impl Net for Machine {
    type Stream = <Tokio as Net>::Stream;
    type Listener = <Tokio as Net>::Listener;
    type Socket = <Tokio as Net>::Socket;
    type Task = <Tokio as Net>::Task;

    fn now(&self) -> Instant {
        Tokio.now()
    }

    fn unix_time(&self) -> Duration {
        Tokio.unix_time()
    }

    fn boot_time(&self) -> Duration {
        Tokio.boot_time()
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        Tokio.sleep_until(at)
    }

    fn yield_now(&self) -> impl Future<Output = ()> {
        Tokio.yield_now()
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task {
        let (lives, ended) = oneshot::channel();
        let handle = Tokio.spawn(async move {
            let _lives: oneshot::Sender<()> = lives;
            task.await;
        });
        let mut tasks = self.tasks.borrow_mut();
        if tasks.len() >= REMEMBERED && tasks.len().is_power_of_two() {
            tasks.retain_mut(|(_, ended)| {
                matches!(ended.try_recv(), Err(oneshot::error::TryRecvError::Empty))
            });
        }
        tasks.push((handle.clone(), ended));
        handle
    }

    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> {
        Tokio.connect(to)
    }

    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> {
        Tokio.listen(at)
    }

    fn socket(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Socket>> {
        Tokio.socket(at)
    }

    fn entropy(&self) -> io::Result<[u8; 32]> {
        Tokio.entropy()
    }

    fn log(&self, line: impl Display) {
        Tokio.log(line);
    }
}
