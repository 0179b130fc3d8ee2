//! File operations as replaceable closures, so that tests can inject failures and crashes.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

type PathOp<T> = Box<dyn FnMut(&Path) -> io::Result<T> + Send>;
type PathArgOp<A> = Box<dyn FnMut(&Path, A) -> io::Result<()> + Send>;
type AppendOp = Box<dyn FnMut(&Path, &[u8]) -> io::Result<()> + Send>;
type RenameOp = Box<dyn FnMut(&Path, &Path) -> io::Result<()> + Send>;

/// The file operations that a data folder needs.
pub struct FileOps {
    pub create_folder: PathOp<()>,
    /// Acquires an exclusive lock that is held until the closure is dropped; returns false if
    /// another process holds it.
    pub lock: PathOp<bool>,
    /// Returns the names of the files in a folder.
    pub list: PathOp<Vec<String>>,
    pub read: PathOp<Vec<u8>>,
    /// Appends to a file; creates it if it does not exist.
    pub append: AppendOp,
    pub sync: PathOp<()>,
    pub sync_folder: PathOp<()>,
    pub truncate: PathArgOp<u64>,
    pub rename: RenameOp,
    pub remove: PathOp<()>,
}

/// The file that was last appended to. It stays open so that the next sync reports a failed
/// write-back.
type OpenFile = Arc<Mutex<Option<(PathBuf, File)>>>;

fn with_file<T>(
    open: &OpenFile,
    path: &Path,
    run: impl FnOnce(&mut File) -> io::Result<T>,
) -> io::Result<T> {
    let mut slot = open.lock().unwrap_or_else(PoisonError::into_inner);
    if slot.as_ref().is_none_or(|(held, _)| held != path) {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        *slot = Some((path.to_owned(), file));
    }
    match slot.as_mut() {
        Some((_, file)) => run(file),
        None => Err(io::Error::other("no file is open")),
    }
}

impl FileOps {
    /// Returns operations on the real file system.
    pub fn real() -> Self {
        let open = OpenFile::default();
        let (append, sync) = (open.clone(), open.clone());
        let mut locked = Vec::new();
        Self {
            create_folder: Box::new(|path| fs::create_dir_all(path)),
            lock: Box::new(move |path| {
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                let acquired = match file.try_lock() {
                    Ok(()) => true,
                    Err(fs::TryLockError::WouldBlock) => false,
                    Err(fs::TryLockError::Error(error)) => return Err(error),
                };
                // The lock is released when the file is closed.
                locked.push(file);
                Ok(acquired)
            }),
            list: Box::new(list_files),
            read: Box::new(|path| fs::read(path)),
            append: Box::new(move |path, bytes| {
                with_file(&append, path, |file| file.write_all(bytes))
            }),
            sync: Box::new(move |path| with_file(&sync, path, |file| file.sync_data())),
            sync_folder: Box::new(|path| File::open(path)?.sync_all()),
            truncate: Box::new(|path, length| {
                let file = OpenOptions::new().write(true).open(path)?;
                file.set_len(length)?;
                file.sync_all()
            }),
            rename: Box::new(move |from, to| {
                *open.lock().unwrap_or_else(PoisonError::into_inner) = None;
                fs::rename(from, to)
            }),
            remove: Box::new(|path| fs::remove_file(path)),
        }
    }
}

fn list_files(path: &Path) -> io::Result<Vec<String>> {
    let mut names = Vec::new();
    for entry in fs::read_dir(path)? {
        names.push(entry?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}
