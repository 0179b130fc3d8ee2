//! A small deployment on loopback addresses: the project's daemons as processes, and stand-ins for
//! the platform's list, its replicas and the operator.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Headers, Reader, header};

pub const KEY: &str = "key4review0000000001";
pub const TENANT: &str = "tenant-1";
pub const HOST: &str = "review.example";

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// Writes `record.txt`.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at_s = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:8.3} s  {}", text.as_ref());
        let _ = file.flush();
    }
}

/// One request that a replica began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub request: String,
    pub replica: String,
    pub service: String,
    pub path: String,
}

/// What a faulty replica does to one in `GARBLED_ONE_IN` of its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Garble {
    Nothing,
    /// Answers the first request of a connection with bytes of another kind: a success with neither
    /// the request's id nor a seal.
    Foreign,
}

/// `garble` spoils 0.02 of the answers.
const GARBLED_ONE_IN: u64 = 50;

#[derive(Debug, Clone, Copy)]
struct Garbling {
    how: Garble,
    answers: u64,
    garbled: u64,
}

pub struct ReplicaSpec {
    pub identity: String,
    pub service: String,
    pub address: SocketAddr,
    pub engine: bool,
    pub work: Duration,
    pub events: u64,
    /// Idle connections are closed after this many seconds, which each answer states.
    pub idle_s: Option<u64>,
}

/// A replica that follows the pages.
pub struct Replica {
    pub spec: ReplicaSpec,
    pub born_ms: u64,
    garbling: Mutex<Garbling>,
    stopped: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    pub fn start(spec: ReplicaSpec, record: &Record, runs: &Arc<Mutex<Vec<Run>>>) -> Arc<Self> {
        let listener = bind(spec.address);
        record.line(format!("replica {} of {} starts at {}", spec.identity, spec.service, spec.address));
        let replica = Arc::new(Self {
            spec,
            born_ms: unix_ms(),
            garbling: Mutex::new(Garbling { how: Garble::Nothing, answers: 0, garbled: 0 }),
            stopped: AtomicBool::new(false),
            open: Mutex::default(),
            running: AtomicU64::new(0),
            record: record.clone(),
            runs: Arc::clone(runs),
        });
        let accepting = Arc::clone(&replica);
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            while !accepting.stopped.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let _ = stream.set_read_timeout(accepting.spec.idle_s.map(Duration::from_secs));
                        accepting.open.lock().unwrap().push(stream.try_clone().unwrap());
                        let serving = Arc::clone(&accepting);
                        thread::spawn(move || serving.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        replica
    }

    /// Crashes: closes the listener and all connections.
    pub fn crash(&self) {
        self.record.line(format!("replica {} crashes for good", self.spec.identity));
        self.stopped.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(10));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Sets what the replica does to its answers from now on.
    pub fn garble(&self, how: Garble) {
        self.record.line(format!("replica {}: garbles {how:?}", self.spec.identity));
        *self.garbling.lock().unwrap() = Garbling { how, answers: 0, garbled: 0 };
    }

    /// Counts an answer. Returns true if it is to be garbled in this way.
    fn is_garbled(&self, how: Garble, can_be: bool) -> bool {
        let mut garbling = self.garbling.lock().unwrap();
        garbling.answers += 1;
        let is_due = (garbling.garbled + 1) * GARBLED_ONE_IN <= garbling.answers;
        let is_garbled = garbling.how == how && can_be && is_due;
        garbling.garbled += u64::from(is_garbled);
        is_garbled
    }

    /// Returns the replica's entry of the platform's list.
    pub fn entry(&self) -> Vec<u8> {
        let models = match self.spec.engine {
            true => r#","stage":"both","models":[{"name":"m","version":1,"adapters":[]}]"#,
            false => "",
        };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"z1","version":"v1","slots":24,"state":"ready","coldRemainingMs":0{models},"identifier":"{}","born":{}}}"#,
            self.spec.service, self.spec.address, self.spec.identity, self.born_ms
        )
        .into_bytes()
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = Reader::new(stream);
        let mut is_first = true;
        while let Ok(Some((first, headers))) = reader.head() {
            let mut body = Vec::new();
            if reader.body(&headers, false, &mut body).is_err() {
                return;
            }
            let mut words = first.split(' ');
            let (_, path) = (words.next(), words.next().unwrap_or("/").to_owned());
            if self.stopped.load(Ordering::Relaxed) || self.respond(&mut writer, &path, &headers, is_first).is_err() {
                return;
            }
            is_first = false;
        }
    }

    fn respond(&self, writer: &mut TcpStream, path: &str, headers: &Headers, is_first: bool) -> std::io::Result<()> {
        let running = self.running.load(Ordering::Relaxed);
        let instance = &self.spec.identity;
        if path == "/health" {
            return plain(writer, "200 OK", &[("X-Lilacspindle-Instance-Id", instance.clone())], b"");
        }
        if path == "/report" && self.spec.engine {
            let report = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":0,"queuedRequests":0,"activeRequests":{running},"kvCacheUsed":0,"kvCacheTotal":34342,"handles":0,"pinned":0,"held":0,"state":"ready","next":0,"runs":[],"born":{}}}"#,
                self.born_ms
            );
            return plain(writer, "200 OK", &[("Content-Type", "application/json".to_owned())], report.as_bytes());
        }
        let Some(id) = header(headers, "x-lilacspindle-request-id").map(str::to_owned) else {
            return plain(writer, "400 Bad Request", &[("X-Lilacspindle-Not-Executed", "1".to_owned())], b"");
        };
        let expected = header(headers, "x-lilacspindle-expected-instance");
        if expected.is_some_and(|expected| expected != instance) {
            self.record.line(format!("replica {instance} answers {id} with 421"));
            let sent = [("X-Lilacspindle-Request-Id", id), ("X-Lilacspindle-Instance-Id", instance.clone())];
            return plain(writer, "421 Misdirected Request", &sent, b"");
        }
        self.record.line(format!("replica {instance} of {} runs {id} {path}", self.spec.service));
        self.runs.lock().unwrap().push(Run {
            request: id.clone(),
            replica: instance.clone(),
            service: self.spec.service.clone(),
            path: path.to_owned(),
        });
        self.running.fetch_add(1, Ordering::Relaxed);
        let result = match self.spec.engine {
            true => self.stream(writer, &id),
            false => {
                thread::sleep(self.spec.work);
                if self.is_garbled(Garble::Foreign, is_first) {
                    self.record.line(format!("replica {instance} answers {id} with bytes that are no answer of its"));
                    self.running.fetch_sub(1, Ordering::Relaxed);
                    let kind = [("Content-Type", "text/html".to_owned()), ("Connection", "close".to_owned())];
                    plain(writer, "200 OK", &kind, b"<html>It works!</html>")?;
                    return Err(std::io::Error::other("closed after bytes that are no answer"));
                }
                let seal = ("X-Lilacspindle-Response-Seal", format!("{instance}.{id}"));
                let mut sent = vec![("X-Lilacspindle-Request-Id", id), seal];
                sent.extend(self.spec.idle_s.map(|idle_s| ("Keep-Alive", format!("timeout={idle_s}"))));
                plain(writer, "200 OK", &sent, &[b'x'; 800])
            }
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn stream(&self, writer: &mut TcpStream, id: &str) -> std::io::Result<()> {
        thread::sleep(self.spec.work);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Lilacspindle-Request-Id: {id}\r\nX-Lilacspindle-Response-Seal: {}.{id}\r\nX-Lilacspindle-Weight-Versions: 1\r\n\r\n",
            self.spec.identity
        );
        writer.write_all(head.as_bytes())?;
        for number in 1..=self.spec.events {
            let event = format!("id: {number}\ndata: piece {number} of {} of {id}\n\n", self.spec.events);
            chunk(writer, event.as_bytes())?;
            thread::sleep(Duration::from_millis(15));
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

fn chunk(writer: &mut TcpStream, data: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    writer.write_all(&bytes)
}

fn plain(writer: &mut TcpStream, status: &str, headers: &[(&str, String)], body: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)
}

fn bind(address: SocketAddr) -> TcpListener {
    let end = Instant::now() + Duration::from_secs(3);
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) if Instant::now() > end => cannot_run(&format!("cannot bind {address}: {error}")),
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Ends with the exit code of a case that could not be run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    end_processes();
    std::process::exit(2);
}

/// The daemons that run. Static, so that each way out of the program ends them.
static PROCESSES: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

pub fn end_processes() {
    let mut processes = PROCESSES.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for (_, child) in processes.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    processes.clear();
}

pub struct Site {
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The entries of the platform's list, as bytes.
    pub listed: Arc<Mutex<Vec<Vec<u8>>>>,
    pub entries: Vec<SocketAddr>,
    folder: PathBuf,
    ips: [u8; 2],
    port: u16,
    controls: usize,
    ids: AtomicU64,
}

impl Site {
    /// Prepares a deployment with `controls` control instances and `entries` entries.
    pub fn new(case: &str, controls: usize, entries: usize) -> Self {
        let begun = Instant::now();
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::options().append(true).create(true).open(path).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let record = Record { begun, file: Arc::new(Mutex::new(file)) };
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("lilac-review-{case}-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let ips = [64 + (pid % 150) as u8, 1 + (pid / 150 % 250) as u8];
        let port = 20_000 + (unix_ms() % 2_500) as u16 * 10;
        let mut site = Self {
            record,
            runs: Arc::default(),
            listed: Arc::default(),
            entries: Vec::new(),
            folder,
            ips,
            port,
            controls,
            ids: AtomicU64::new(0),
        };
        site.entries = (0..entries).map(|number| site.at(20 + number, 2)).collect();
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(110));
            cannot_run("the case took longer than 110 s");
        });
        site.serve_list();
        site
    }

    /// Returns a port of a machine, which has a loopback address of its own.
    pub fn at(&self, machine: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.ips[0], self.ips[1], machine as u8);
        SocketAddr::new(IpAddr::V4(ip), self.port + port)
    }

    fn control_api(&self, number: usize) -> SocketAddr {
        self.at(10 + number, 4)
    }

    fn serve_list(&self) {
        let listener = bind(self.at(2, 5));
        let listed = Arc::clone(&self.listed);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let listed = Arc::clone(&listed);
                thread::spawn(move || {
                    let mut writer = stream.try_clone().unwrap();
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(_)) = reader.head() {
                        let mut body = br#"{"instances":["#.to_vec();
                        body.extend(listed.lock().unwrap().join(&b","[..]));
                        body.extend_from_slice(br#"],"next":null}"#);
                        let kind = [("Content-Type", "application/json".to_owned())];
                        if plain(&mut writer, "200 OK", &kind, &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> = (0..self.controls.min(3)).map(|n| self.control_api(n).to_string()).collect();
        seeds.join(",")
    }

    fn instance(&self, name: &str, machine: usize, rpc: u16, admin: u16) -> String {
        format!(
            "[instance]\nname = {name}\nzone = z1\nrpc_address = {}\nadmin_address = {}\ncontrol_addresses = {}\ncontrol_rpc_port = {}\n\n",
            self.at(machine, rpc), self.at(machine, admin), self.seeds(), self.port
        )
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        path
    }

    fn spawn(&self, name: &str, settings: &Path) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Command::new("target/release/lilacspindled")
            .arg("run").arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("cannot start lilacspindled: {e}")));
        self.record.line(format!("process {name} starts, pid {}", child.id()));
        if let Ok(path) = std::env::var("PID_FILE")
            && let Ok(mut file) = fs::OpenOptions::new().append(true).open(path)
        {
            let _ = writeln!(file, "{}", child.id());
        }
        PROCESSES.lock().unwrap().push((name.to_owned(), child));
    }

    pub fn start_control(&self, number: usize, bootstrap: bool) {
        let name = format!("control-{number}");
        let data = self.folder.join(format!("{name}-data"));
        let _ = fs::create_dir_all(&data);
        let text = self.instance(&name, 10 + number, 0, 1)
            + &format!(
                "[directory]\noperator_address = {}\ndata_folder = {}\nlist_address = {}\nmay_form = {bootstrap}\ntolerated_losses = 1\n",
                self.control_api(number), data.display(), self.at(2, 5)
            );
        self.spawn(&name, &self.write(&name, &text));
    }

    pub fn start_entry(&self, number: usize) {
        let name = format!("entry-{number}");
        let machine = 20 + number;
        let text = self.instance(&name, machine, 0, 1)
            + &format!(
                "[gateway]\nhttp_address = {}\nready_address = {}\nlist_address = {}\ngrace_ms = 8000\nretry_ratio = 0.2\nretry_slack = 60\nretry_window_s = 10\n",
                self.at(machine, 2), self.at(machine, 3), self.at(2, 5)
            );
        self.spawn(&name, &self.write(&name, &text));
    }

    /// Returns the settings of the sidecar beside the engine at `engine`.
    pub fn sidecar_settings(&self, number: usize, engine: SocketAddr, service: &str) -> (String, PathBuf) {
        let name = format!("sidecar-{number}");
        let text = self.instance(&name, 40 + number, 7, 8)
            + &format!("[reporter]\nengine_address = {engine}\nengine_service = {service}\n");
        let path = self.write(&name, &text);
        (name, path)
    }

    pub fn start_sidecar(&self, number: usize, engine: SocketAddr, service: &str) {
        let (name, path) = self.sidecar_settings(number, engine, service);
        self.spawn(&name, &path);
    }

    pub fn start_all(&self, bootstrap: bool) {
        for number in 0..self.controls {
            self.start_control(number, bootstrap);
        }
        for number in 0..self.entries.len() {
            self.start_entry(number);
        }
    }

    pub fn pid(&self, name: &str) -> u32 {
        let processes = PROCESSES.lock().unwrap();
        let found = processes.iter().find(|(known, _)| known == name);
        found.map_or(0, |(_, child)| child.id())
    }

    /// Sends a signal to a process that this program has started.
    pub fn signal(&self, name: &str, signal: &str) {
        let pid = self.pid(name);
        if pid > 0 {
            self.record.line(format!("process {name}, pid {pid}, gets {signal}"));
            let _ = Command::new("sh").arg("-c").arg(format!("kill -{signal} {pid}")).status();
        }
    }

    /// Waits until a process has ended by itself.
    pub fn wait_for_end(&self, name: &str, limit: Duration) -> bool {
        let has_ended = http::wait_for(limit, || {
            let mut processes = PROCESSES.lock().unwrap();
            let found = processes.iter_mut().find(|(known, _)| known == name);
            found.is_none_or(|(_, child)| child.try_wait().is_ok_and(|status| status.is_some()))
        });
        if has_ended {
            PROCESSES.lock().unwrap().retain(|(known, _)| known != name);
        }
        has_ended
    }

    /// Removes the data of a control instance that does not run.
    pub fn wipe_control(&self, number: usize) {
        let _ = fs::remove_dir_all(self.folder.join(format!("control-{number}-data")));
    }

    /// Reads the configuration at a control instance, like the operator.
    pub fn read_configuration(&self, control: usize) -> http::Answer {
        let address = self.control_api(control);
        let head = [("Host", address.to_string())];
        http::once(address, "GET", "/Configuration.Read", &head, b"", Duration::from_secs(1))
    }

    /// Kills the processes whose names begin so.
    pub fn kill(&self, prefix: &str) {
        let mut processes = PROCESSES.lock().unwrap();
        for (name, child) in processes.iter_mut().filter(|(name, _)| name.starts_with(prefix)) {
            let _ = child.kill();
            self.record.line(format!("process {name} is killed"));
        }
        for (_, child) in processes.iter_mut().filter(|(name, _)| name.starts_with(prefix)) {
            let _ = child.wait();
        }
        processes.retain(|(name, _)| !name.starts_with(prefix));
    }

    /// Publishes a configuration like an operator. Returns true once it is acknowledged.
    pub fn publish(&self, version: u64, body: &str, limit: Duration) -> bool {
        let controls: Vec<usize> = (0..self.controls).collect();
        self.publish_to(version, body, &controls, limit).is_some()
    }

    /// Publishes a configuration at some control instances in turn. Returns the one that has
    /// acknowledged it.
    pub fn publish_to(&self, version: u64, body: &str, controls: &[usize], limit: Duration) -> Option<usize> {
        let end = Instant::now() + limit;
        let mut tries = 0;
        let mut redirects = 0;
        let mut backoff = Duration::from_millis(50);
        let mut target = self.control_api(controls[0]);
        while Instant::now() < end {
            let kind = [("Host", target.to_string()), ("Content-Type", "application/json".to_owned())];
            let answer = http::once(target, "POST", "/Configuration.Replace", &kind, body.as_bytes(), Duration::from_secs(1));
            self.record.line(format!("operator sends version {version} to {target}: {}", answer.status));
            match answer.status {
                200 => return controls.iter().copied().find(|number| self.control_api(*number) == target),
                307 if redirects < 2 => {
                    let location = header(&answer.headers, "location").unwrap_or_default().to_owned();
                    let authority = location.trim_start_matches("http://").split('/').next().unwrap_or_default();
                    if let Ok(leader) = authority.parse() {
                        target = leader;
                        redirects += 1;
                        continue;
                    }
                }
                _ => {}
            }
            tries += 1;
            redirects = 0;
            target = self.control_api(controls[tries % controls.len()]);
            thread::sleep(backoff);
            backoff = (backoff * 2).min(Duration::from_millis(800));
        }
        None
    }

    pub fn is_ready(&self, entry: usize) -> bool {
        let address = self.at(20 + entry, 3);
        let head = [("Host", address.to_string())];
        http::once(address, "GET", "/readiness", &head, b"", Duration::from_secs(1)).status == 200
    }

    pub fn wait_until_ready(&self) {
        for entry in 0..self.entries.len() {
            if !http::wait_for(Duration::from_secs(20), || self.is_ready(entry)) {
                cannot_run("an entry did not become ready");
            }
        }
        self.record.line("all entries are ready");
    }

    pub fn next_id(&self, kind: &str) -> String {
        format!("{kind}{:06}", self.ids.fetch_add(1, Ordering::Relaxed))
    }

    /// Headers of a client's request.
    pub fn caller_headers(&self, id: &str, deadline_ms: u64) -> Vec<(&'static str, String)> {
        vec![
            ("Host", HOST.to_owned()),
            ("X-Lilacspindle-Request-Id", id.to_owned()),
            ("X-Lilacspindle-Deadline-Milliseconds", deadline_ms.to_string()),
            ("Authorization", format!("Bearer {KEY}")),
        ]
    }

    pub fn finish(&self, broken: bool, summary: &str) -> ! {
        self.record.line(summary);
        println!("{summary}");
        end_processes();
        match std::env::var("KEEP").is_ok() {
            true => println!("kept {}", self.folder.display()),
            false => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
        std::process::exit(i32::from(broken));
    }
}

/// Returns a configuration. A service is a name and whether its replicas are engines; a route is a
/// prefix, a kind and a service.
pub fn configuration(version: u64, services: &[(&str, bool)], routes: &[(&str, &str, &str, u64)]) -> String {
    let engine = r#","engine":{"slots":24,"kvCacheTokens":34342,"kvBytes":163840,"linkMbps":24000.0,"moves":false,"backups":false,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}"#;
    let services: Vec<String> = services
        .iter()
        .map(|(name, is_engine)| {
            let engine = if *is_engine { engine } else { "" };
            format!(r#"{{"name":"{name}","healthCheckPath":"/health","maxConnections":242,"protocol":"h1","tls":false{engine}}}"#)
        })
        .collect();
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service, timeout_ms)| {
            let name = prefix.trim_matches('/');
            format!(r#"{{"name":"r-{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":1500,"priority":1,"service":"{service}","maxAttempts":1,"allowAnonymous":false,"stickySessions":true,"resumeStreams":false,"gapTargetMs":180}}"#)
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"{TENANT}","apiKeys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(","), services.join(",")
    )
}
