//! Local directory of a configuration, laid out as it would be published.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;

use super::Failure;
use crate::names::PageName;

const ROOT_FILE: &str = "root.json";
const PAGES_DIR: &str = "pages";
const PAGE_SUFFIX: &str = ".json";

/// Root and pages of a configuration, as read from files.
pub(super) struct ConfigDir {
    /// Bytes of the root.
    pub(super) root: Bytes,
    /// Bytes of each page; its name is the file name without `.json`.
    pub(super) pages: BTreeMap<PageName, Bytes>,
}

impl ConfigDir {
    /// Reads `root.json` and `pages/*.json` below a directory, or a root file and the `pages/`
    /// beside it; a missing `pages/` counts as empty.
    pub(super) fn read(path: &Path) -> Result<Self, Failure> {
        let root_file = if path.is_dir() { path.join(ROOT_FILE) } else { path.to_owned() };
        let root = read_file(&root_file)?;
        let pages_dir = root_file.parent().unwrap_or(Path::new("")).join(PAGES_DIR);
        let pages = if pages_dir.is_dir() { read_pages(&pages_dir)? } else { BTreeMap::new() };
        Ok(Self { root, pages })
    }
}

fn read_pages(dir: &Path) -> Result<BTreeMap<PageName, Bytes>, Failure> {
    let mut pages = BTreeMap::new();
    for file in json_files(dir)? {
        let name = file.file_name().unwrap_or_default().to_string_lossy();
        let name = name.strip_suffix(PAGE_SUFFIX).unwrap_or(&name);
        pages.insert(PageName::new(name), read_file(&file)?);
    }
    Ok(pages)
}

fn json_files(dir: &Path) -> Result<Vec<PathBuf>, Failure> {
    let unreadable = |e| Failure::unreadable(dir, &e);
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.to_string_lossy().ends_with(PAGE_SUFFIX) {
            files.push(path);
        }
    }
    Ok(files)
}

fn read_file(path: &Path) -> Result<Bytes, Failure> {
    fs::read(path).map(Bytes::from).map_err(|e| Failure::unreadable(path, &e))
}
