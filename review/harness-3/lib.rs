//! Stand-ins of the third review: clients, workers and the start of the project's processes.
//! Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

// ---------------------------------------------------------------- JSON

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Str(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Num(number) = self { *number as u64 } else { 0 }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Str(key) = parse_value(text, at)? else { return None };
                        skip(text, at);
                        *at += 1; // the colon
                        fields.push((key, parse_value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut values = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(values));
                    }
                    b',' => *at += 1,
                    _ => values.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut bytes = Vec::new();
            loop {
                match *text.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Str(String::from_utf8_lossy(&bytes).into_owned()));
                    }
                    b'\\' => {
                        let escaped = *text.get(*at + 1)?;
                        bytes.push(if escaped == b'n' { b'\n' } else { escaped });
                        *at += 2;
                    }
                    byte => {
                        bytes.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&text[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

// ---------------------------------------------------------------- HTTP

/// One request or response: the first line, the headers in lower case, the body.
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one message. None at the end of the stream or after a fault of it.
pub fn read_message(stream: &mut TcpStream, pending: &mut Vec<u8>) -> Option<Message> {
    let mut buffer = [0; 16384];
    let head_end = loop {
        if let Some(end) = pending.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        pending.extend(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&pending[..head_end]).into_owned();
    pending.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next()?.to_string();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_string()))
        .collect();
    let mut fill = |pending: &mut Vec<u8>, length: usize| -> Option<()> {
        while pending.len() < length {
            let count = stream.read(&mut buffer).ok()?;
            if count == 0 {
                return None;
            }
            pending.extend(&buffer[..count]);
        }
        Some(())
    };
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let line_end = loop {
                if let Some(end) = pending.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                let length = pending.len() + 1;
                fill(pending, length)?;
            };
            let line = String::from_utf8_lossy(&pending[..line_end]).into_owned();
            let length = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            fill(pending, line_end + 2 + length + 2)?;
            body.extend(&pending[line_end + 2..line_end + 2 + length]);
            pending.drain(..line_end + 2 + length + 2);
            if length == 0 {
                break;
            }
        }
    } else if let Some(length) = headers.get("content-length").and_then(|v| v.parse().ok()) {
        fill(pending, length)?;
        body.extend(pending.drain(..length));
    }
    Some(Message { first, headers, body })
}

/// Sends a request on a new connection. Returns the status and the body; None without a complete
/// answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: Option<&str>,
    limit: Duration,
) -> Option<(u16, Json)> {
    let mut stream =
        TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let host = if headers.to_lowercase().contains("host:") {
        String::new()
    } else {
        format!("Host: {address}\r\n")
    };
    let content = body.map_or(String::new(), |body| {
        format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len())
    });
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{host}{headers}{content}Connection: close\r\n\r\n{}",
        body.unwrap_or("")
    );
    stream.write_all(request.as_bytes()).ok()?;
    let message = read_message(&mut stream, &mut Vec::new())?;
    let status = message.first.split(' ').nth(1)?.parse().ok()?;
    Some((status, Json::parse(&message.body).unwrap_or(Json::Null)))
}

// ---------------------------------------------------------------- Record

/// What is written to `record.txt`: lines with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{ms:>7} {text}");
    }
}

// ---------------------------------------------------------------- Processes

/// The project's processes, each at a loopback address of its own.
pub struct System {
    pub folder: PathBuf,
    program: PathBuf,
    pub cores: u8,
    pub edges: u8,
    base: [u8; 3],
    /// Core processes reach each other at these ports; see `settings`.
    pub processes: BTreeMap<u8, Child>,
    pub cloud: Option<SocketAddr>,
    pub advice: Option<SocketAddr>,
}

pub const CALLERS: u16 = 7001;
pub const HEALTH: u16 = 7002;
pub const CONTROL: u16 = 7003;

impl System {
    pub fn new(program: &str, folder: &str, cores: u8, edges: u8) -> System {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let folder = PathBuf::from(folder);
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        System {
            folder,
            program: PathBuf::from(program),
            cores,
            edges,
            base: [127, high, low],
            processes: BTreeMap::new(),
            cloud: None,
            advice: None,
        }
    }

    /// Hosts 1 to `cores` are cores, the next ones are edges.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.base[0], self.base[1], self.base[2], 100 + host)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host).into(), port)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (1..=self.cores).map(|core| self.at(core, CONTROL)).collect()
    }

    /// Address of an edge for clients; edges count from 0.
    pub fn front(&self, edge: u8) -> SocketAddr {
        self.at(self.cores + 1 + edge % self.edges, CALLERS)
    }

    fn settings(&self, host: u8, founding: bool) -> String {
        let seeds: Vec<String> =
            self.controls().iter().take(3).map(|address| format!("\"{address}\"")).collect();
        let zone = ["norte", "sur", "este"][usize::from(host) % 3];
        let mut text = format!(
            "name: \"m{host}\"\ndata_centre: \"{zone}\"\nfounding: {founding}\nseeds: [{}]\n",
            seeds.join(",")
        );
        if host <= self.cores {
            let data = self.folder.join(format!("data{host}"));
            std::fs::create_dir_all(&data).expect("the data folder can be made");
            text += &format!("data_folder: \"{}\"\n", data.display());
        }
        text += &format!("listen:\n  ip: \"{}\"\n  internal: [7010,7025]\n", self.ip(host));
        if host <= self.cores {
            text += &format!("  control: \"{}\"\n", self.at(host, CONTROL));
        } else {
            text += &format!("  callers: \"{}\"\n", self.at(host, CALLERS));
            text += &format!("  health: \"{}\"\n", self.at(host, HEALTH));
        }
        if let Some(cloud) = self.cloud {
            text += &format!("cloud:\n  address: \"{cloud}\"\n");
        }
        if let Some(advice) = self.advice {
            text += &format!("advice: \"{advice}\"\n");
        }
        text += "bounds:\n  max_lease_ms: 10000\n  far_factor: 1.5\n  move_s: 1.5\n  upkeep_s: 2\n  grace_s: 6\n  status_s: 120\n";
        let memory_mb = if host <= self.cores { 256 } else { 260 };
        text += &format!("limits:\n  memory_mb: {memory_mb}\n");
        text
    }

    pub fn run(&mut self, host: u8, founding: bool) {
        let path = self.folder.join(format!("m{host}.yaml"));
        std::fs::write(&path, self.settings(host, founding)).expect("settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("m{host}.log")))
            .expect("the log can be opened");
        let role = if host <= self.cores { "core" } else { "edge" };
        let child = Command::new(&self.program)
            .arg(role)
            .env("SKYLARKWINCH_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.processes.insert(host, child);
    }

    pub fn run_all(&mut self) {
        for host in 1..=self.cores + self.edges {
            self.run(host, true);
        }
    }

    pub fn signal(&self, host: u8, name: &str) {
        let pid = self.processes[&host].id().to_string();
        let _ = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
    }

    pub fn kill(&mut self, host: u8) {
        if let Some(mut child) = self.processes.remove(&host) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the ends of processes that nobody ended.
    pub fn own_ends(&mut self) -> Vec<String> {
        let mut ends = Vec::new();
        for (host, child) in &mut self.processes {
            if let Ok(Some(status)) = child.try_wait() {
                ends.push(format!("m{host}: {status}"));
            }
        }
        ends
    }

    /// Sends the config until it is acknowledged.
    pub fn configure(&self, config: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        let mut host = 0;
        while Instant::now() < end {
            host = host % self.cores + 1;
            let address = self.at(host, CONTROL);
            let answer =
                call(address, "PUT", "/api/config", "", Some(config), Duration::from_secs(1));
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

// ---------------------------------------------------------------- Workers

pub const MAX_HOLD_MS: u64 = 10_000;
pub const GANG_TIMEOUT: Duration = Duration::from_millis(3000);

pub type Run = (String, u64);

#[derive(Clone)]
pub struct Progress {
    pub started: Instant,
    pub spec: String,
    /// When a member of a gang is at work, or other work will end.
    pub done_at: Option<Instant>,
    pub fails_at: Option<Instant>,
}

/// One life of a worker.
pub struct Life {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub clock: Instant,
    pub cpu: u64,
    pub mem_mb: u64,
    pub zone: String,
    pub rack: String,
    pub kind: String,
    pub is_up: bool,
    /// A grey worker fails all that it starts.
    pub is_grey: bool,
    pub fence: u64,
    pub lease_ms: u64,
    pub running: BTreeMap<Run, Progress>,
    pub refused: BTreeMap<String, u64>,
    pub finished: Vec<(u64, Run, &'static str)>,
    pub ends: u64,
    pub seq: u64,
    pub draining: bool,
}

impl Life {
    pub fn clock_ms(&self) -> u64 {
        self.clock.elapsed().as_millis() as u64
    }
}

/// What happened to one run on one life of a worker.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub life: usize,
    pub task: String,
    pub run: u64,
    pub started: Instant,
    pub spec: String,
    pub checkpoint: String,
    pub is_late: bool,
    pub end: Option<(Instant, &'static str)>,
    /// When its end was taken note of.
    pub acked: Option<Instant>,
    /// Whether the lease of the worker lapsed between the end and its acknowledgement.
    pub has_lapsed: bool,
}

/// All workers of a test, and the gangs that run on them.
pub struct World {
    pub runs: Vec<RunRecord>,
    /// Orders to these lives are left unanswered with this share (in hundredths), and are carried
    /// out 2 to 12 s later.
    pub late_percent: u64,
    /// Share of the orders that are carried out and whose answer is lost, in hundredths.
    pub lost_percent: u64,
    pub random: u64,
    /// Checkpoints that a unit, or its gang, has produced.
    pub checkpoints: BTreeMap<String, BTreeSet<String>>,
    /// Label in `requires` by step, workers that a step may have, for the record of breaks.
    pub breaks: Vec<String>,
    pub lives: Vec<Life>,
    /// By step name (ID.K.STEP), the number of members of its gang.
    pub gangs: BTreeMap<String, usize>,
    /// Ends of the whole test: unit, run, worker, how.
    pub history: Vec<(Instant, String, u64, String, &'static str)>,
    /// Gang runs that are at work, with the time of their end.
    pub at_work: BTreeMap<(String, u64), Instant>,
    /// Gang runs that lost a member with its worker.
    pub broken: BTreeSet<(String, u64)>,
    pub record: Record,
    pub control: Vec<SocketAddr>,
}

pub type Shared = Arc<Mutex<World>>;

pub fn locked(world: &Shared) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or(String::new(), |(step, _)| step.to_string())
}

fn work_of(spec: &str) -> Duration {
    Duration::from_millis(spec.split(' ').next().and_then(|ms| ms.parse().ok()).unwrap_or(500))
}

impl World {
    pub fn new(record: Record, control: Vec<SocketAddr>) -> Shared {
        Arc::new(Mutex::new(World {
            runs: Vec::new(),
            late_percent: 0,
            lost_percent: 0,
            random: 0x9e37_79b9_7f4a_7c15,
            checkpoints: BTreeMap::new(),
            breaks: Vec::new(),
            lives: Vec::new(),
            gangs: BTreeMap::new(),
            history: Vec::new(),
            at_work: BTreeMap::new(),
            broken: BTreeSet::new(),
            record,
            control,
        }))
    }

    fn end(&mut self, life: usize, run: &Run, how: &'static str) {
        let worker = &mut self.lives[life];
        if worker.running.remove(run).is_none() {
            return;
        }
        worker.ends += 1;
        let now = Instant::now();
        for record in &mut self.runs {
            if record.life == life
                && record.task == run.0
                && record.run == run.1
                && record.end.is_none()
            {
                record.end = Some((now, how));
            }
        }
        let highest = worker.refused.entry(run.0.clone()).or_default();
        *highest = run.1.max(*highest);
        worker.finished.push((worker.ends, run.clone(), how));
        let id = worker.id.clone();
        self.record.note(&format!("{id} ends {} run {}: {how}", run.0, run.1));
        self.history.push((Instant::now(), run.0.clone(), run.1, id, how));
        // The end of one member ends the others of the same run.
        let step = step_of(&run.0);
        if how != "done" && self.gangs.contains_key(&step) {
            self.at_work.remove(&(step.clone(), run.1));
        }
    }

    /// Draws a number below a bound.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound.max(1)
    }

    /// Ends a life without a word.
    pub fn crash(&mut self, index: usize) {
        let now = Instant::now();
        let life = &mut self.lives[index];
        life.is_up = false;
        life.running.clear();
        let id = life.id.clone();
        self.record.note(&format!("{id} crashes"));
        for record in &mut self.runs {
            if record.life == index && record.end.is_none() {
                record.end = Some((now, "killed"));
                let key = (step_of(&record.task), record.run);
                self.at_work.remove(&key);
                self.broken.insert(key);
            }
        }
    }

    /// Members of a gang's run that are present: life and run.
    fn members(&self, step: &str, number: u64) -> Vec<(usize, Run)> {
        let mut found = Vec::new();
        for (index, life) in self.lives.iter().enumerate().filter(|(_, life)| life.is_up) {
            for run in life.running.keys() {
                if run.1 == number && step_of(&run.0) == step {
                    found.push((index, run.clone()));
                }
            }
        }
        found
    }

    /// Does what is due.
    pub fn tick(&mut self) {
        let now = Instant::now();
        for index in 0..self.lives.len() {
            let life = &self.lives[index];
            if !life.is_up {
                continue;
            }
            if life.clock_ms() >= life.lease_ms {
                for record in &mut self.runs {
                    if record.life == index && record.end.is_some() && record.acked.is_none() {
                        record.has_lapsed = true;
                    }
                }
            }
            let has_lapsed = life.clock_ms() >= life.lease_ms;
            let mut due = Vec::new();
            for (run, progress) in &life.running {
                if has_lapsed {
                    due.push((run.clone(), "lapsed"));
                } else if progress.fails_at.is_some_and(|at| at <= now) {
                    due.push((run.clone(), "failed"));
                } else if progress.done_at.is_some_and(|at| at <= now) {
                    due.push((run.clone(), "done"));
                }
            }
            for (run, how) in due {
                self.end(index, &run, how);
            }
        }
        // Gangs: all present, then work together; one that ended otherwise breaks the others.
        let mut runs: BTreeSet<(String, u64)> = BTreeSet::new();
        for life in self.lives.iter().filter(|life| life.is_up) {
            for run in life.running.keys() {
                let step = step_of(&run.0);
                if self.gangs.contains_key(&step) {
                    runs.insert((step, run.1));
                }
            }
        }
        for (step, number) in runs {
            let members = self.members(&step, number);
            let size = self.gangs[&step];
            let ended: Vec<&str> = self
                .history
                .iter()
                .filter(|(_, task, run, _, _)| *run == number && step_of(task) == step)
                .map(|(.., how)| *how)
                .collect();
            if let Some(end) = self.at_work.get(&(step.clone(), number)).copied() {
                if now >= end {
                    for (life, run) in members {
                        self.end(life, &run, "done");
                    }
                }
            } else if self.broken.contains(&(step.clone(), number))
                || ended.iter().any(|how| *how != "done")
            {
                for (life, run) in members {
                    // A worker that fails all that it starts fails its members by itself.
                    if !self.lives[life].running.get(&run).is_some_and(|p| p.fails_at.is_some()) {
                        self.end(life, &run, "broken");
                    }
                }
            } else if members.len() == size {
                let work = members
                    .iter()
                    .map(|(life, run)| work_of(&self.lives[*life].running[run].spec))
                    .max()
                    .unwrap_or_default();
                self.record.note(&format!("gang {step} run {number} is at work"));
                self.at_work.insert((step, number), now + work);
            } else {
                for (life, run) in members {
                    let since = self.lives[life].running[&run].started;
                    if now >= since + GANG_TIMEOUT {
                        self.end(life, &run, "alone");
                    }
                }
            }
        }
    }

    /// Carries out an order. Returns the status and the body.
    fn order(&mut self, index: usize, path: &str, body: &Json, is_late: bool) -> (u16, String) {
        self.tick();
        let life = &mut self.lives[index];
        let clock_ms = life.clock_ms();
        let refused =
            |reason: &str| (409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"));
        let fence = body.get("fence_token").number();
        if fence < life.fence {
            return refused("fence");
        }
        life.fence = fence;
        let run = (body.get("task").text().to_string(), body.get("run_id").number());
        match path {
            "/api/run-start" => {
                let expires = body.get("expires_ms").number();
                life.lease_ms = life.lease_ms.max(expires.min(clock_ms + MAX_HOLD_MS));
                if life.running.contains_key(&run) {
                    return (200, format!("{{\"clock_ms\":{clock_ms}}}"));
                }
                if life.refused.get(&run.0).is_some_and(|highest| run.1 <= *highest) {
                    return refused("old");
                }
                if expires <= clock_ms {
                    return refused("late");
                }
                let spec = body.get("spec").text().to_string();
                let is_gang = self.gangs.contains_key(&step_of(&run.0));
                let now = Instant::now();
                let lasts = spec.starts_with("lasting");
                let progress = Progress {
                    started: now,
                    done_at: (!is_gang && !lasts).then(|| now + work_of(&spec)),
                    fails_at: life.is_grey.then(|| now + Duration::from_millis(100)),
                    spec,
                };
                let grey = if life.is_grey { " (grey)" } else { "" };
                self.record.note(&format!("{} starts {} run {}{grey}", life.id, run.0, run.1));
                self.runs.push(RunRecord {
                    life: index,
                    task: run.0.clone(),
                    run: run.1,
                    started: now,
                    spec: progress.spec.clone(),
                    checkpoint: body.get("checkpoint").text().to_string(),
                    is_late,
                    end: None,
                    acked: None,
                    has_lapsed: false,
                });
                life.running.insert(run, progress);
                (200, format!("{{\"clock_ms\":{clock_ms}}}"))
            }
            "/api/run-stop" => {
                let highest = life.refused.entry(run.0.clone()).or_default();
                *highest = run.1.max(*highest);
                if life.running.contains_key(&run) {
                    self.end(index, &run, "stopped");
                }
                (200, format!("{{\"clock_ms\":{clock_ms}}}"))
            }
            "/api/pace" => (200, format!("{{\"clock_ms\":{clock_ms}}}")),
            "/api/hold" => {
                let expires = body.get("expires_ms").number();
                life.lease_ms = life.lease_ms.max(expires.min(clock_ms + MAX_HOLD_MS));
                let through = body.get("acked_through").number();
                let now = Instant::now();
                for (_, run, _) in life.finished.iter().filter(|(number, ..)| *number <= through) {
                    for record in &mut self.runs {
                        if record.life == index && record.task == run.0 && record.run == run.1 {
                            record.acked = record.acked.or(Some(now));
                        }
                    }
                }
                life.finished.retain(|(number, ..)| *number > through);
                (200, self.lists(index))
            }
            _ => (404, "{}".to_string()),
        }
    }

    fn lists(&self, index: usize) -> String {
        let life = &self.lives[index];
        let running: Vec<String> = life
            .running
            .iter()
            .map(|((task, run), progress)| {
                let percent = if self.gangs.contains_key(&step_of(task))
                    && !self.at_work.contains_key(&(step_of(task), *run))
                {
                    0
                } else if progress.spec.starts_with("lasting") {
                    100
                } else {
                    let work = work_of(&progress.spec).as_millis().max(1);
                    (progress.started.elapsed().as_millis() * 100 / work).min(99)
                };
                format!("[\"{task}\",{run},\"\",{percent},0]")
            })
            .collect();
        let finished: Vec<String> = life
            .finished
            .iter()
            .take(500)
            .map(|(number, (task, run), how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            life.clock_ms(),
            life.born,
            running.join(","),
            finished.join(",")
        )
    }

    fn report(&mut self, index: usize) -> String {
        let life = &mut self.lives[index];
        life.seq += 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpus\":0}},\
             \"labels\":[\"{}\",\"{}\"],\"clock_ms\":{},\"machine\":\"{}\",\"born\":{},\"seq\":{}}}",
            life.service,
            life.address,
            life.zone,
            if life.draining { "draining" } else { "ready" },
            life.cpu,
            life.mem_mb,
            life.kind,
            life.rack,
            life.clock_ms(),
            life.machine,
            life.born,
            life.seq
        )
    }
}

/// Starts a worker: its server and its reports. Returns its place among the lives.
pub fn start_worker(
    world: &Shared,
    id: &str,
    machine: &str,
    service: &str,
    (cpu, mem_mb): (u64, u64),
    (zone, rack, kind): (&str, &str, &str),
) -> usize {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("a bound address");
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = since.map_or(1, |time| time.as_millis() as u64);
    let index = {
        let mut world = locked(world);
        world.lives.push(Life {
            id: id.to_string(),
            machine: machine.to_string(),
            service: service.to_string(),
            address,
            born,
            clock: Instant::now(),
            cpu,
            mem_mb,
            zone: zone.to_string(),
            rack: rack.to_string(),
            kind: kind.to_string(),
            is_up: true,
            is_grey: false,
            fence: 0,
            lease_ms: 0,
            running: BTreeMap::new(),
            refused: BTreeMap::new(),
            finished: Vec::new(),
            ends: 0,
            seq: 0,
            draining: false,
        });
        world.lives.len() - 1
    };
    let shared = world.clone();
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            if !locked(&shared).lives[index].is_up {
                return;
            }
            let shared = shared.clone();
            thread::spawn(move || serve(stream, &shared, index));
        }
    });
    let shared = world.clone();
    thread::spawn(move || {
        loop {
            let (report, path, control) = {
                let mut world = locked(&shared);
                if !world.lives[index].is_up {
                    return;
                }
                let path = format!("/api/instances/{}", world.lives[index].id);
                (world.report(index), path, world.control.clone())
            };
            for address in control {
                let answer = call(address, "PUT", &path, "", Some(&report), Duration::from_secs(1));
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(500));
        }
    });
    index
}

fn serve(mut stream: TcpStream, world: &Arc<Mutex<World>>, index: usize) {
    let _ = stream.set_nodelay(true);
    let mut pending = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut pending) {
        let path = message.first.split(' ').nth(1).unwrap_or("").to_string();
        let body = Json::parse(&message.body).unwrap_or(Json::Null);
        let is_other = {
            let world = locked(world);
            if !world.lives[index].is_up {
                return;
            }
            let id = &world.lives[index].id;
            message.headers.get("x-target-instance").is_some_and(|target| target != id)
        };
        let (status, answer) = if is_other {
            (421, "{}".to_string())
        } else if path == "/health" {
            (200, "{}".to_string())
        } else {
            let (is_held, is_lost) = {
                let mut world = locked(world);
                let is_order = path.starts_with("/api/");
                let (late, lost) = (world.late_percent, world.lost_percent);
                (is_order && world.draw(100) < late, is_order && world.draw(100) < lost)
            };
            if is_held {
                let delay = Duration::from_millis(2000 + locked(world).draw(10_000));
                let (shared, id) = (world.clone(), locked(world).lives[index].id.clone());
                thread::spawn(move || {
                    thread::sleep(delay);
                    let mut world = locked(&shared);
                    let present = world.lives.iter().rposition(|l| l.is_up && l.id == id);
                    if let Some(present) = present {
                        let answer = world.order(present, &path, &body, true);
                        world.record.note(&format!(
                            "{id} carries out {path} {} run {} late: {}",
                            body.get("task").text(),
                            body.get("run_id").number(),
                            answer.0
                        ));
                    }
                });
                thread::sleep(Duration::from_secs(15));
                return;
            }
            let mut answer = locked(world).order(index, &path, &body, false);
            if is_lost {
                return;
            }
            if path == "/api/hold" && answer.0 == 200 {
                let wait = body.get("wait_ms").number().min(2000);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    {
                        let world = locked(world);
                        answer.1 = world.lists(index);
                        if !world.lives[index].finished.is_empty() || !world.lives[index].is_up {
                            break;
                        }
                    }
                    if Instant::now() >= end {
                        break;
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            }
            answer
        };
        if !locked(world).lives[index].is_up {
            return;
        }
        let reason = if status == 200 { "OK" } else { "Refused" };
        let response = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Does what is due at all workers until the program ends.
pub fn start_clock(world: &Shared) {
    let shared = world.clone();
    thread::spawn(move || {
        loop {
            locked(&shared).tick();
            thread::sleep(Duration::from_millis(5));
        }
    });
}
