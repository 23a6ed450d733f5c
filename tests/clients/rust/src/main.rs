//! One way to connect with `redis` or `fred`: see `../README.md`.

use std::io::BufRead;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use fred::clients::Client as FredClient;
use fred::interfaces::ClientLike;
use fred::types::config::{Config as FredConfig, ServerConfig};
use fred::types::{ClusterHash, CustomCommand, RespVersion};

const DEPTH: u64 = 50;
const WAIT_MS: u64 = 900;

/// A request under an id of its own.
#[derive(Clone)]
struct Ask {
    write: bool,
    key: String,
    id: String,
    extras: String,
}

/// How an ask ended: its value, or the error's text and whether the connection had gone.
type End = Result<String, (String, bool)>;

/// What a library does.
trait Library {
    fn ping(&mut self) -> Result<(), String>;
    /// Asks all of them, in a pipeline where the library has one.
    fn ask(&mut self, asks: &[Ask]) -> Vec<End>;
}

struct Ids(u64);

impl Ids {
    fn ask(&mut self, n: u64) -> Ask {
        let write = n % 5 == 4;
        let class = if write { "send-message" } else { "browse" };
        let extras = format!("c={class},t=acme,d={WAIT_MS}");
        self.0 += 1;
        Ask {
            write,
            key: format!("k{}", n % 97),
            id: format!("{:08x}{:x}", std::process::id(), self.0),
            extras,
        }
    }
}

/// How long to wait before it is asked again; `None` where it was served.
fn again(ask: &Ask, end: &End, lost: bool) -> Result<Option<u64>, String> {
    match end {
        Ok(value) if value.starts_with(&format!("{}|{}|", ask.key, ask.id)) => Ok(None),
        Ok(value) => Err(format!("{} was answered {value}", ask.id)),
        Err((text, _)) if text.contains("BUSY") => {
            let ms = text.split(|c: char| !c.is_ascii_digit()).rfind(|d| !d.is_empty());
            Ok(Some(ms.and_then(|d| d.parse().ok()).unwrap_or(20).min(1_000)))
        }
        Err((_, true)) if lost => Ok(Some(50)),
        Err((text, _)) if !ask.write && text.contains("failed") => Ok(Some(20)),
        Err((text, _)) => Err(format!("{} of {} ended in {text}", ask.id, ask.key)),
    }
}

fn serve(library: &mut dyn Library, ids: &mut Ids, count: u64, lost: bool) -> Result<u64, String> {
    let mut served = 0;
    for from in (0..count).step_by(DEPTH as usize) {
        let mut batch: Vec<(u64, Ask)> = (from..from + DEPTH).map(|n| (n, ids.ask(n))).collect();
        for _ in 0..200 {
            let asks: Vec<Ask> = batch.iter().map(|(_, a)| a.clone()).collect();
            let ends = library.ask(&asks);
            let mut left = Vec::new();
            let mut wait = 0;
            for ((n, ask), end) in batch.iter().zip(&ends) {
                match again(ask, end, lost)? {
                    None => served += 1,
                    Some(ms) => {
                        wait = wait.max(ms);
                        left.push((*n, ids.ask(*n)));
                    }
                }
            }
            batch = left;
            if batch.is_empty() {
                break;
            }
            thread::sleep(Duration::from_millis(wait));
        }
    }
    Ok(served)
}

/// The blocking client of `redis`.
struct Sync {
    client: redis::Client,
    connection: redis::Connection,
}

fn command(ask: &Ask) -> redis::Cmd {
    let mut command = redis::cmd(if ask.write { "CACHE.SET" } else { "CACHE.GET" });
    command.arg(&ask.key).arg(&ask.id).arg(&ask.extras);
    if ask.write {
        command.arg("new");
    }
    command
}

fn end(e: &redis::RedisError) -> (String, bool) {
    (e.to_string(), e.is_io_error() || e.is_connection_dropped())
}

impl Library for Sync {
    fn ping(&mut self) -> Result<(), String> {
        let pong: String = redis::cmd("PING").query(&mut self.connection).map_err(|e| e.to_string())?;
        if pong == "PONG" { Ok(()) } else { Err(pong) }
    }

    fn ask(&mut self, asks: &[Ask]) -> Vec<End> {
        let packed: Vec<u8> = asks.iter().flat_map(|a| command(a).get_packed_command()).collect();
        let answers =
            redis::ConnectionLike::req_packed_commands(&mut self.connection, &packed, 0, asks.len());
        match answers {
            Ok(values) => values
                .into_iter()
                .map(|v| match v.extract_error() {
                    Ok(v) => redis::from_redis_value::<String>(v).map_err(|e| (e.to_string(), false)),
                    Err(e) => Err(end(&e)),
                })
                .collect(),
            Err(e) => {
                let gone = end(&e);
                if let Ok(connection) = self.client.get_connection() {
                    self.connection = connection;
                }
                vec![Err(gone); asks.len()]
            }
        }
    }
}

/// The cluster client of `redis`.
struct Cluster(redis::cluster::ClusterConnection);

impl Library for Cluster {
    fn ping(&mut self) -> Result<(), String> {
        let pong: String = redis::cmd("PING").query(&mut self.0).map_err(|e| e.to_string())?;
        if pong == "PONG" { Ok(()) } else { Err(pong) }
    }

    fn ask(&mut self, asks: &[Ask]) -> Vec<End> {
        asks.iter().map(|a| command(a).query::<String>(&mut self.0).map_err(|e| end(&e))).collect()
    }
}

/// The multiplexed client of `redis`, which connects again by itself.
struct Multiplexed(tokio::runtime::Runtime, redis::Client, redis::aio::MultiplexedConnection);

impl Library for Multiplexed {
    fn ping(&mut self) -> Result<(), String> {
        let pong: Result<String, _> = self.0.block_on(redis::cmd("PING").query_async(&mut self.2));
        pong.map(|_| ()).map_err(|e| e.to_string())
    }

    fn ask(&mut self, asks: &[Ask]) -> Vec<End> {
        let Multiplexed(runtime, client, connection) = self;
        let ends: Vec<End> = runtime.block_on(async {
            let mut tasks = tokio::task::JoinSet::new();
            for (n, ask) in asks.iter().enumerate() {
                let (command, mut connection) = (command(ask), connection.clone());
                tasks.spawn(async move {
                    (n, command.query_async::<String>(&mut connection).await.map_err(|e| end(&e)))
                });
            }
            let mut ends = tasks.join_all().await;
            ends.sort_by_key(|(n, _)| *n);
            ends.into_iter().map(|(_, end)| end).collect()
        });
        if ends.iter().any(|e| matches!(e, Err((_, true))))
            && let Ok(new) = runtime.block_on(client.get_multiplexed_async_connection())
        {
            *connection = new;
        }
        ends
    }
}

/// `fred`, plain or cluster.
struct Fred(tokio::runtime::Runtime, FredClient);

impl Library for Fred {
    fn ping(&mut self) -> Result<(), String> {
        let pong: Result<String, _> = self.0.block_on(self.1.ping(None));
        pong.map(|_| ()).map_err(|e| e.to_string())
    }

    fn ask(&mut self, asks: &[Ask]) -> Vec<End> {
        let Fred(runtime, client) = self;
        runtime.block_on(async {
            let mut tasks = tokio::task::JoinSet::new();
            for (n, ask) in asks.iter().cloned().enumerate() {
                let client = client.clone();
                tasks.spawn(async move {
                    let name = if ask.write { "CACHE.SET" } else { "CACHE.GET" };
                    let mut words = vec![ask.key, ask.id, ask.extras];
                    words.extend(ask.write.then(|| "new".to_owned()));
                    let command = CustomCommand::new_static(name, ClusterHash::FirstKey, false);
                    let value: Result<String, fred::error::Error> = client.custom(command, words).await;
                    let gone = |e: &fred::error::Error| {
                        use fred::error::ErrorKind::{Canceled, IO, Timeout};
                        matches!(e.kind(), IO | Canceled | Timeout)
                    };
                    (n, value.map_err(|e| (e.details().to_owned(), gone(&e))))
                });
            }
            let mut ends = tasks.join_all().await;
            ends.sort_by_key(|(n, _)| *n);
            ends.into_iter().map(|(_, end)| end).collect()
        })
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

fn open(way: &str, host: &str, port: u16) -> Result<Box<dyn Library>, String> {
    let text = |e: redis::RedisError| e.to_string();
    let url = format!("redis://{host}:{port}");
    let fred = |server: ServerConfig, version: RespVersion| -> Result<Box<dyn Library>, String> {
        let config = FredConfig { server, version, ..FredConfig::default() };
        let policy = fred::types::config::ReconnectPolicy::new_constant(0, 50);
        let (runtime, client) = (runtime()?, FredClient::new(config, None, None, Some(policy)));
        runtime.block_on(async { client.init().await.map_err(|e| e.to_string()) })?;
        Ok(Box::new(Fred(runtime, client)))
    };
    let plain = || ServerConfig::new_centralized(host, port);
    Ok(match way {
        "redis-sync" | "redis-sync-resp3" => {
            let more = if way.ends_with("resp3") { "?protocol=resp3" } else { "" };
            let client = redis::Client::open(format!("{url}/{more}")).map_err(text)?;
            let connection = client.get_connection().map_err(text)?;
            Box::new(Sync { client, connection })
        }
        "redis-cluster" | "redis-cluster-resp3" => {
            let mut builder = redis::cluster::ClusterClientBuilder::new(vec![url]);
            if way.ends_with("resp3") {
                builder = builder.use_protocol(redis::ProtocolVersion::RESP3);
            }
            let client = builder.build().map_err(text)?;
            Box::new(Cluster(client.get_connection().map_err(text)?))
        }
        "redis-multiplexed" => {
            let (runtime, client) = (runtime()?, redis::Client::open(url).map_err(text)?);
            let connection = runtime.block_on(client.get_multiplexed_async_connection()).map_err(text)?;
            Box::new(Multiplexed(runtime, client, connection))
        }
        "fred-plain" => fred(plain(), RespVersion::RESP2)?,
        "fred-plain-resp3" => fred(plain(), RespVersion::RESP3)?,
        "fred-cluster" => fred(ServerConfig::new_clustered(vec![(host, port)]), RespVersion::RESP2)?,
        _ => return Err(format!("no way {way:?}")),
    })
}

fn run() -> Result<(), String> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [way, host, port] = words.as_slice() else { return Err("usage: WAY HOST PORT".into()) };
    let port = port.parse().map_err(|_| format!("{port:?} is no port"))?;
    let mut library = open(way, host, port)?;
    library.ping()?;
    let mut ids = Ids(0);
    for (name, count, lost) in
        [("served", 1_000, false), ("after box", 200, false), ("after restart", 200, true)]
    {
        let served = serve(library.as_mut(), &mut ids, count, lost)?;
        println!("{name} {served}");
        if name != "after restart" {
            let _ = std::io::stdin().lock().read_line(&mut String::new());
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
