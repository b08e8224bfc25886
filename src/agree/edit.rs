//! Edits of the configuration's text from one version to the next, so that a process that is a few
//! versions behind does not have to receive the whole text.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::agree::record::Record;

/// Maximum number of edits in the log.
const MAX_EDITS: usize = 64;
/// Maximum size of the replacement texts of all edits in the log, in bytes.
const MAX_EDIT_BYTES: usize = 256 << 10;

/// The single region in which two versions of the configuration's text differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Version of the old text.
    pub from: u64,
    /// Version of the new text.
    pub to: u64,
    /// Bytes at the start that both texts share.
    pub head_bytes: usize,
    /// Bytes at the end that both texts share.
    pub tail_bytes: usize,
    /// New text between the shared start and end.
    pub replacement: String,
    /// Checksum of the whole new text.
    pub checksum: u64,
}

impl Edit {
    /// Finds the edit that turns the text of `old` into that of `new`.
    pub fn between(old: &Record, new: &Record) -> Self {
        let head_bytes = common_head(&old.text, &new.text);
        let tail_bytes = common_tail(&old.text[head_bytes..], &new.text[head_bytes..]);
        Self {
            from: old.text_version,
            to: new.text_version,
            head_bytes,
            tail_bytes,
            replacement: new.text[head_bytes..new.text.len() - tail_bytes].into(),
            checksum: xxh3::xxh3_64(new.text.as_bytes()),
        }
    }

    /// Applies the edit to the old text; `None` if the result does not match the checksum.
    pub fn apply(&self, text: &str) -> Option<String> {
        let tail_start =
            text.len().checked_sub(self.tail_bytes).filter(|start| self.head_bytes <= *start)?;
        let after =
            [text.get(..self.head_bytes)?, &self.replacement, text.get(tail_start..)?].concat();
        (xxh3::xxh3_64(after.as_bytes()) == self.checksum).then_some(after)
    }
}

/// Log of the latest edits, oldest first; each one starts from the version that the previous one
/// produced.
#[derive(Clone, Debug, Default)]
pub struct EditLog {
    edits: VecDeque<Edit>,
}

impl EditLog {
    /// Adds the edit from `old` to `new`; drops the oldest edits beyond the limits.
    pub fn record(&mut self, old: &Record, new: &Record) {
        if old.version == 0 || old.text_version == new.text_version {
            return;
        }
        self.edits.push_back(Edit::between(old, new));
        while self.edits.len() > MAX_EDITS || self.bytes() > MAX_EDIT_BYTES {
            self.edits.pop_front();
        }
    }

    /// Returns the edits from the text of `version` to that of `latest`, if all are still in the
    /// log.
    pub fn edits_since(&self, latest: &Record, version: u64) -> Option<Vec<Edit>> {
        if version == 0 || version >= latest.version {
            return None;
        }
        let from = latest.text_version_at(version)?;
        if from == latest.text_version {
            return Some(Vec::new());
        }
        let first = self.edits.iter().position(|edit| edit.from == from)?;
        Some(self.edits.iter().skip(first).cloned().collect())
    }

    fn bytes(&self) -> usize {
        self.edits.iter().map(|edit| edit.replacement.len()).sum()
    }
}

/// Returns the row `rest` with the text that results from applying `edits` to the text of `held`;
/// `None` if they do not lead to the text version of `rest`.
pub fn apply_all(held: &Record, edits: &[Edit], rest: Record) -> Option<Record> {
    let reached = edits.last().map_or(held.text_version, |edit| edit.to);
    if reached != rest.text_version {
        return None;
    }
    let text = edits.iter().try_fold(held.text.clone(), |text, edit| edit.apply(&text))?;
    Some(Record { text, ..rest })
}

/// Number of bytes at the start that both texts share, rounded down to a character boundary.
fn common_head(a: &str, b: &str) -> usize {
    let same = a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b).count();
    (0..=same).rev().find(|at| a.is_char_boundary(*at) && b.is_char_boundary(*at)).unwrap_or(0)
}

/// Number of bytes at the end that both texts share, rounded down to a character boundary.
fn common_tail(a: &str, b: &str) -> usize {
    let same = a.bytes().rev().zip(b.bytes().rev()).take_while(|(a, b)| a == b).count();
    let is_boundary =
        |len: &usize| a.is_char_boundary(a.len() - len) && b.is_char_boundary(b.len() - len);
    (0..=same).rev().find(is_boundary).unwrap_or(0)
}
