//! Changes of the operators' text from one version to the next, so that a
//! process that lags a little need not be sent the whole text.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::agree::record::Record;

/// Most edits kept.
const MAX_EDITS: usize = 64;
/// Most bytes of text in all edits kept.
const MAX_EDIT_BYTES: usize = 256 << 10;

/// The one region in which two texts differ.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Version of the text before.
    pub from: u64,
    /// Version of the text after.
    pub to: u64,
    /// Bytes that stay at the beginning.
    pub head_bytes: usize,
    /// Bytes that stay at the end.
    pub tail_bytes: usize,
    /// What stands between them after.
    pub replacement: String,
    /// Checksum of the text after.
    pub checksum: u64,
}

impl Edit {
    /// What turns the text of `old` into that of `new`.
    pub fn between(old: &Record, new: &Record) -> Self {
        let head = common_head(&old.text, &new.text);
        let tail = common_tail(&old.text[head..], &new.text[head..]);
        Self {
            from: old.text_version,
            to: new.text_version,
            head_bytes: head,
            tail_bytes: tail,
            replacement: new.text[head..new.text.len() - tail].into(),
            checksum: xxh3::xxh3_64(new.text.as_bytes()),
        }
    }

    /// The text after, made from the text before; `None` if they do not belong together.
    pub fn apply(&self, text: &str) -> Option<String> {
        let rest =
            text.len().checked_sub(self.tail_bytes).filter(|rest| self.head_bytes <= *rest)?;
        let after = [text.get(..self.head_bytes)?, &self.replacement, text.get(rest..)?].concat();
        (xxh3::xxh3_64(after.as_bytes()) == self.checksum).then_some(after)
    }
}

/// The latest edits, oldest first; each begins where the one before it ended.
#[derive(Clone, Debug, Default)]
pub struct EditLog {
    edits: VecDeque<Edit>,
}

impl EditLog {
    /// Keeps the step from `old` to `new`.
    pub fn record(&mut self, old: &Record, new: &Record) {
        if old.version == 0 || old.text_version == new.text_version {
            return;
        }
        self.edits.push_back(Edit::between(old, new));
        while self.edits.len() > MAX_EDITS || self.bytes() > MAX_EDIT_BYTES {
            self.edits.pop_front();
        }
    }

    /// The edits that lead from the text of `version` to that of `latest`, if
    /// all are still kept.
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

/// The row `rest` with the text that `edits` make of the text of `held`;
/// `None` if they do not lead there.
pub fn apply_all(held: &Record, edits: &[Edit], rest: Record) -> Option<Record> {
    let reached = edits.last().map_or(held.text_version, |edit| edit.to);
    if reached != rest.text_version {
        return None;
    }
    let text = edits.iter().try_fold(held.text.clone(), |text, edit| edit.apply(&text))?;
    Some(Record { text, ..rest })
}

/// Bytes that both begin with, up to a character's boundary.
fn common_head(a: &str, b: &str) -> usize {
    let same = a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b).count();
    (0..=same).rev().find(|at| a.is_char_boundary(*at) && b.is_char_boundary(*at)).unwrap_or(0)
}

/// Bytes that both end with, up to a character's boundary.
fn common_tail(a: &str, b: &str) -> usize {
    let same = a.bytes().rev().zip(b.bytes().rev()).take_while(|(a, b)| a == b).count();
    let bounds =
        |len: &usize| a.is_char_boundary(a.len() - len) && b.is_char_boundary(b.len() - len);
    (0..=same).rev().find(bounds).unwrap_or(0)
}
