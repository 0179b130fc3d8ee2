//! Sends documents to control processes as the platform's operators do.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::drafts::{Draft, Drafts};
use crate::adapters::mutex::lock;
use crate::platform::{paths, standin};
use crate::soak::history::{DocumentRead, Publication, SentDocument, SentRoute};

/// Number of operators that publish at the same time.
const OPERATORS: u64 = 2;
/// Maximum number of publications in progress.
const MAX_IN_PROGRESS: usize = 8;
/// Redirects that a call follows.
const MAX_REDIRECTS: usize = 2;
/// Time without an answer after which a call counts as failed; longer for large documents.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Size of a document for which another `ANSWER_TIMEOUT_MS` is allowed.
const TIMEOUT_BYTES: u64 = 500_000;
/// Delay before a call is sent again, doubled each time.
const FIRST_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 2_000;
/// Statuses that end a publication at once.
const FINAL_STATUSES: [u16; 5] = [400, 409, 412, 413, 422];
/// Delay between two reads at the end of a run.
const FINAL_READ_INTERVAL: Duration = Duration::from_millis(250);

/// How a run is published to.
#[derive(Debug, Clone)]
pub struct OperatorSettings {
    /// The control processes and the addresses of their operators' API.
    pub controls: Vec<(Arc<str>, SocketAddr)>,
    /// Start of the run, from which times are counted.
    pub started_at: Instant,
    pub seed: u64,
    /// Mean time between two documents of one operator.
    pub interval_ms: u64,
    /// One in so many documents has about this size, in bytes.
    pub large: Option<(u32, usize)>,
}

/// The newest acknowledged document, and how it differs from the one acknowledged before.
#[derive(Debug, Clone, Default)]
pub struct News {
    pub document: Option<Arc<SentDocument>>,
    pub added: Vec<SentRoute>,
    pub removed: Vec<SentRoute>,
    pub revoked_keys: Vec<Arc<str>>,
}

/// The operators' part of the history.
#[derive(Debug, Default)]
pub struct OperatorRecord {
    pub documents: BTreeMap<u64, SentDocument>,
    pub publications: Vec<Publication>,
    pub reads: Vec<DocumentRead>,
}

/// Publishes and reads documents, and records what it sees.
pub struct Operator {
    settings: OperatorSettings,
    http: reqwest::Client,
    drafts: Mutex<Drafts>,
    random: Mutex<StdRng>,
    record: Mutex<OperatorRecord>,
    news: watch::Sender<News>,
}

impl Operator {
    /// Fails if no HTTP client can be built.
    pub fn new(settings: OperatorSettings, drafts: Drafts) -> reqwest::Result<Arc<Self>> {
        let http = reqwest::Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Arc::new(Self {
            http,
            drafts: Mutex::new(drafts),
            random: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            record: Mutex::default(),
            news: watch::Sender::default(),
            settings,
        }))
    }

    /// Tells of each newer document that is acknowledged.
    pub fn news(&self) -> watch::Receiver<News> {
        self.news.subscribe()
    }

    /// Returns what was recorded so far.
    pub fn take_record(&self) -> OperatorRecord {
        std::mem::take(&mut *lock(&self.record))
    }

    /// Publishes the first document; returns once it is acknowledged.
    pub async fn publish_first(self: &Arc<Self>) {
        let draft = lock(&self.drafts).next_valid();
        self.publish(draft).await;
    }

    /// Publishes and reads until told to stop, and ends once no publication is in progress.
    pub async fn run(self: &Arc<Self>, stop: watch::Receiver<bool>) {
        let permits = Arc::new(Semaphore::new(MAX_IN_PROGRESS));
        let operators = (0..OPERATORS).map(|_| {
            let mut stop = stop.clone();
            let (operator, permits) = (Arc::clone(self), Arc::clone(&permits));
            async move {
                tokio::select! {
                    orders = operator.publish_repeatedly(permits) => orders,
                    _ = stop.wait_for(|stop| *stop) => {}
                }
            }
        });
        let mut stop_reading = stop.clone();
        let reading = async {
            tokio::select! {
                () = self.read_repeatedly() => {}
                _ = stop_reading.wait_for(|stop| *stop) => {}
            }
        };
        future::join(future::join_all(operators), reading).await;
        // Publications that are in progress hold a permit each.
        let all = u32::try_from(MAX_IN_PROGRESS).unwrap_or(u32::MAX);
        drop(permits.acquire_many(all).await);
    }

    /// Reads the document from random control processes at the end of a run, up to `until`.
    pub async fn read_at_end(&self, until: Instant) {
        while Instant::now() < until {
            self.read(true).await;
            sleep(FINAL_READ_INTERVAL).await;
        }
    }

    async fn publish_repeatedly(self: &Arc<Self>, permits: Arc<Semaphore>) {
        let mut newest: Option<Draft> = None;
        loop {
            let draft = self.next_draft(newest.as_ref());
            if draft.sent.fault.is_none() {
                newest = Some(draft.clone());
            }
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let operator = Arc::clone(self);
            tokio::spawn(async move {
                operator.publish(draft).await;
                drop(permit);
            });
            let pause_ms = lock(&self.random).random_range(0..=self.settings.interval_ms * 2);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Draws the next document: usually a new one, sometimes an invalid one, an earlier one, or
    /// other content under the version of the last one.
    fn next_draft(&self, previous: Option<&Draft>) -> Draft {
        let mut random = lock(&self.random);
        let mut drafts = lock(&self.drafts);
        match (random.random_range(0..20), previous) {
            (0 | 1, _) => return drafts.next_invalid(),
            (2, Some(previous)) => return previous.clone(),
            (3, Some(_)) => return drafts.same_version(),
            _ => {}
        }
        let padded = match self.settings.large {
            Some((one_in, bytes)) if random.random_ratio(1, one_in.max(1)) => bytes,
            _ => 0,
        };
        drafts.pad(padded);
        drafts.next_valid()
    }

    /// Sends a document to one control process after the other until it has a clear answer.
    async fn publish(self: &Arc<Self>, draft: Draft) {
        let sent = SentDocument::clone(&draft.sent);
        lock(&self.record)
            .documents
            .entry(draft.content)
            .or_insert(sent);
        let mut backoff_ms = FIRST_BACKOFF_MS;
        let mut other_refusals = 0;
        loop {
            let sent_ms = self.now_ms();
            let (process, mut status) = self.send(&draft).await;
            let is_lost = status == Some(200) && lock(&self.random).random_ratio(1, 8);
            if is_lost {
                status = None;
            }
            lock(&self.record).publications.push(Publication {
                version: draft.sent.version,
                content: draft.content,
                process,
                sent_ms,
                answered_ms: status.map(|_| self.now_ms()),
                status,
            });
            match status {
                Some(200) => {
                    self.acknowledged(&draft.sent);
                    return;
                }
                Some(status) if FINAL_STATUSES.contains(&status) => return,
                Some(status) if (400..500).contains(&status) && ![408, 429].contains(&status) => {
                    other_refusals += 1;
                    if other_refusals == 3 {
                        return;
                    }
                }
                _ => {}
            }
            sleep(Duration::from_millis(backoff_ms)).await;
            backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    fn any_control(&self) -> (Arc<str>, SocketAddr) {
        let index = lock(&self.random).random_range(0..self.settings.controls.len());
        self.settings.controls[index].clone()
    }

    /// Sends a document to a random control process, or where that redirects to. Returns the
    /// process that was called last, and its answer.
    async fn send(&self, draft: &Draft) -> (Arc<str>, Option<u16>) {
        let (mut process, address) = self.any_control();
        let mut url = format!("http://{address}{}", paths::PUBLISH);
        let size = u64::try_from(draft.body.len()).unwrap_or(u64::MAX);
        let timeout_ms = ANSWER_TIMEOUT_MS * (1 + size / TIMEOUT_BYTES);
        for redirects in 0..=MAX_REDIRECTS {
            let call = self.http.post(&url).body(draft.body.to_vec());
            let call = call.header("Content-Type", "application/json");
            let answer = call.timeout(Duration::from_millis(timeout_ms)).send().await;
            let Ok(answer) = answer else {
                return (process, None);
            };
            let location = answer.headers().get("Location");
            let location = location.and_then(|location| location.to_str().ok());
            match (answer.status().as_u16(), location) {
                (307, Some(location)) if redirects < MAX_REDIRECTS => {
                    location.clone_into(&mut url);
                    process = self.process_at(location);
                }
                (status, _) => return (process, Some(status)),
            }
        }
        (process, None)
    }

    /// Returns the name of the control process that a location leads to.
    fn process_at(&self, location: &str) -> Arc<str> {
        let mut controls = self.settings.controls.iter();
        let named =
            controls.find(|(_, address)| location.starts_with(&format!("http://{address}/")));
        named.map_or_else(|| location.into(), |(name, _)| Arc::clone(name))
    }

    fn acknowledged(&self, sent: &Arc<SentDocument>) {
        self.news.send_if_modified(|news| {
            let held = news.document.as_ref();
            if held.is_some_and(|held| held.version >= sent.version) {
                return false;
            }
            let before = held.map_or(&[][..], |held| &held.routes);
            let keys = held.into_iter().flat_map(|held| held.keys.keys());
            let revoked = keys.filter(|key| !sent.keys.contains_key(*key));
            *news = News {
                added: without(&sent.routes, before),
                removed: without(before, &sent.routes),
                revoked_keys: revoked.map(Arc::clone).collect(),
                document: Some(Arc::clone(sent)),
            };
            true
        });
    }

    async fn read_repeatedly(&self) {
        loop {
            self.read(false).await;
            sleep(Duration::from_millis(self.settings.interval_ms / 4)).await;
        }
    }

    async fn read(&self, is_final: bool) {
        let (process, address) = self.any_control();
        let sent_ms = self.now_ms();
        let answer = self.read_from(address).await;
        let (status, body) = answer.unzip();
        let document = body.filter(|_| status == Some(200)).map(|body: Vec<u8>| {
            let version = standin::decode_version(&body);
            (version.unwrap_or(0), xxh3_64(&body))
        });
        lock(&self.record).reads.push(DocumentRead {
            process,
            sent_ms,
            answered_ms: status.map(|_| self.now_ms()),
            status,
            document,
            is_final,
        });
    }

    /// Returns the answer of a control process; `None` if it is late or cut.
    async fn read_from(&self, address: SocketAddr) -> Option<(u16, Vec<u8>)> {
        let call = self.http.get(format!("http://{address}{}", paths::READ));
        let call = call.timeout(Duration::from_millis(ANSWER_TIMEOUT_MS * 2));
        let mut answer = call.send().await.ok()?;
        let status = answer.status().as_u16();
        let mut body = Vec::new();
        while let Some(chunk) = answer.chunk().await.ok()? {
            body.extend_from_slice(&chunk);
        }
        Some((status, body))
    }

    fn now_ms(&self) -> u64 {
        let elapsed = self.settings.started_at.elapsed();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the routes of `routes` whose location is not among `others`.
fn without(routes: &[SentRoute], others: &[SentRoute]) -> Vec<SentRoute> {
    let known: BTreeSet<_> = others
        .iter()
        .map(|route| (&route.host, &route.prefix))
        .collect();
    let mut missing = routes.to_vec();
    missing.retain(|route| !known.contains(&(&route.host, &route.prefix)));
    missing
}
