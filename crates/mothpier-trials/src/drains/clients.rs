//! The clients of a trial of drains, and the health checks that tell them which nodes are ready.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mothpier_world::Dice;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use super::World;
use crate::drains_judge::Asked;

/// Between two questions whether a node is ready.
const PING_INTERVAL: Duration = Duration::from_millis(100);
/// Between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// A client waits so long for an answer; a request's own time is longer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection of a client, and its lines.
pub struct Line {
    lines: tokio::io::Lines<BufReader<tokio::net::tcp::OwnedReadHalf>>,
    write: tokio::net::tcp::OwnedWriteHalf,
}

impl Line {
    /// Connects.
    pub async fn to(at: SocketAddr) -> Option<Line> {
        let stream = tokio::time::timeout(ANSWER_TIMEOUT, TcpStream::connect(at)).await.ok()?.ok()?;
        let (read, write) = stream.into_split();
        Some(Line { lines: BufReader::new(read).lines(), write })
    }

    /// Asks, and gives the answer's lines; `None` where the connection is of no more use.
    pub async fn ask(&mut self, words: &[&str]) -> Option<Vec<String>> {
        let mut text = format!("*{}\r\n", words.len());
        words.iter().for_each(|w| text += &format!("${}\r\n{w}\r\n", w.len()));
        let answered = async {
            self.write.write_all(text.as_bytes()).await.ok()?;
            let mut answer = Vec::new();
            loop {
                let line = self.lines.next_line().await.ok()??;
                let more = line.starts_with('$') && !line.starts_with("$-1");
                answer.push(line);
                if !more {
                    return Some(answer);
                }
            }
        };
        tokio::time::timeout(ANSWER_TIMEOUT, answered).await.ok()?
    }
}

impl World {
    /// Asks a node whether it is ready, for as long as the trial lasts.
    pub async fn check_health(self: Rc<Self>, node: usize) {
        let mut line = None;
        loop {
            tokio::time::sleep(PING_INTERVAL).await;
            if line.is_none() {
                line = Line::to(self.fronts[node]).await;
            }
            let said = match &mut line {
                Some(open) => open.ask(&["PING"]).await,
                None => None,
            };
            let text = said.as_ref().and_then(|s| s.first()).cloned().unwrap_or_default();
            if said.is_none() {
                line = None;
            }
            let at_us = self.clock.us();
            self.ready.borrow_mut()[node] = text == "+PONG";
            if !text.is_empty() {
                let drained = text.contains("drained by the fleet");
                self.asked.borrow_mut().push(Asked { at_us, node, drained });
            }
        }
    }

    /// A client: asks through any node that its front says is ready.
    pub async fn client(self: Rc<Self>, number: usize, dice: Dice) {
        let mut lines: BTreeMap<usize, Line> = BTreeMap::new();
        let mut count = 0u64;
        loop {
            tokio::time::sleep(REQUEST_INTERVAL).await;
            let ready: Vec<usize> = {
                let ready = self.ready.borrow();
                (0..ready.len()).filter(|i| ready[*i]).collect()
            };
            if ready.is_empty() {
                continue;
            }
            let node = ready[dice.within(0, ready.len() as u64) as usize];
            if let Entry::Vacant(free) = lines.entry(node) {
                let Some(line) = Line::to(self.fronts[node]).await else { continue };
                free.insert(line);
            }
            count += 1;
            let (key, id) = (format!("k{}", dice.within(0, 400)), format!("{node}-{number}-{count}"));
            let Some(line) = lines.get_mut(&node) else { continue };
            let said = line.ask(&["CACHE.GET", &key, &id, "c=read,t=acme,d=1500"]).await;
            let (mut all, mut good, mut wrong) = self.answers.get();
            all += 1;
            match said {
                None => drop(lines.remove(&node)),
                Some(said) => match said.last().map(String::as_str) {
                    Some(value) if said.len() == 2 && value == id => good += 1,
                    Some(error) if error.starts_with('-') => {}
                    _ => wrong += 1,
                },
            }
            self.answers.set((all, good, wrong));
        }
    }
}
