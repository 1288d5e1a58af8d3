//! Reader of INI files that yields typed settings.
//!
//! Sections are read key by key. Each key that is missing, out of range or in the wrong
//! unit adds a [`Mistake`] and yields a placeholder value, so that one pass finds every
//! mistake. [`Document::finish`] adds a mistake for each unknown section and key.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use crate::mistake::{Mistake, Mistakes};
use crate::unit;

/// Longest name of an account, service, job or instance, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// A parsed INI file and the mistakes found so far.
#[derive(Debug)]
pub struct Document {
    file: String,
    sections: BTreeMap<String, BTreeMap<String, String>>,
    keys_read: BTreeSet<(String, String)>,
    mistakes: Vec<Mistake>,
}

impl Document {
    /// Parses `text`; `file` is the name that mistakes show.
    ///
    /// # Errors
    /// The text is not INI.
    pub fn parse(file: &str, text: &str) -> Result<Self, Mistakes> {
        let ini = ini::Ini::load_from_str_noescape(text).map_err(|error| {
            Mistakes(vec![Mistake {
                file: file.to_owned(),
                section: String::new(),
                key: String::new(),
                found: format!("line {}, column {}: {}", error.line, error.col, error.msg),
                allowed: "INI: [section] and key = value lines".to_owned(),
            }])
        })?;
        let mut document = Self {
            file: file.to_owned(),
            sections: BTreeMap::new(),
            keys_read: BTreeSet::new(),
            mistakes: Vec::new(),
        };
        for (section, properties) in &ini {
            document.add_section(section, properties);
        }
        Ok(document)
    }

    fn add_section(&mut self, section: Option<&str>, properties: &ini::Properties) {
        let Some(name) = section else {
            for (key, value) in properties {
                self.add_mistake("", key, value, "every key belongs to a [section]");
            }
            return;
        };
        if self.sections.contains_key(name) {
            self.add_mistake(name, "", "the section twice", "once");
            return;
        }
        let mut values = BTreeMap::new();
        for (key, value) in properties {
            if values.insert(key.to_owned(), value.to_owned()).is_some() {
                self.add_mistake(name, key, "the key twice", "once");
            }
        }
        self.sections.insert(name.to_owned(), values);
    }

    /// Records a mistake.
    pub fn add_mistake(&mut self, section: &str, key: &str, found: &str, allowed: &str) {
        self.mistakes.push(Mistake {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            found: found.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Returns whether the file has the section.
    #[must_use]
    pub fn has_section(&self, section: &str) -> bool {
        self.sections.contains_key(section)
    }

    /// Returns the names of the sections `[kind name]`, sorted.
    #[must_use]
    pub fn names_of(&self, kind: &str) -> Vec<String> {
        self.sections
            .keys()
            .filter_map(|section| section.strip_prefix(kind)?.strip_prefix(' '))
            .map(|name| name.trim().to_owned())
            .collect()
    }

    /// Opens a section for reading; a missing one reads as empty.
    pub fn section<'a>(&'a mut self, name: &str) -> Section<'a> {
        Section {
            document: self,
            name: name.to_owned(),
        }
    }

    /// Checks that every section and key was read; `known` lists the sections to suggest.
    ///
    /// # Errors
    /// Every mistake found, including unknown sections and keys.
    pub fn finish(mut self, known: &[&str]) -> Result<(), Mistakes> {
        let sections = std::mem::take(&mut self.sections);
        for (section, values) in &sections {
            let read = self.keys_read.iter().any(|(name, _)| name == section);
            if !read {
                let allowed = format!("sections {}", known.join(", "));
                self.add_mistake(section, "", "an unknown section", &allowed);
                continue;
            }
            for (key, value) in values {
                if !self.keys_read.contains(&(section.clone(), key.clone())) {
                    let allowed = self.known_keys(section);
                    self.add_mistake(section, key, &format!("unknown key = {value}"), &allowed);
                }
            }
        }
        if self.mistakes.is_empty() {
            Ok(())
        } else {
            Err(Mistakes(self.mistakes))
        }
    }

    fn known_keys(&self, section: &str) -> String {
        let keys: Vec<&str> = self
            .keys_read
            .iter()
            .filter(|(name, key)| name == section && !key.is_empty())
            .map(|(_, key)| key.as_str())
            .collect();
        format!("keys {}", keys.join(", "))
    }
}

/// One section of a [`Document`], read key by key.
#[derive(Debug)]
pub struct Section<'a> {
    document: &'a mut Document,
    name: String,
}

impl Section<'_> {
    fn value(&mut self, key: &str) -> Option<String> {
        self.document
            .keys_read
            .insert((self.name.clone(), key.to_owned()));
        self.document.sections.get(&self.name)?.get(key).cloned()
    }

    /// Records a mistake at a key of this section.
    pub fn reject(&mut self, key: &str, found: &str, allowed: &str) {
        let name = self.name.clone();
        self.document.add_mistake(&name, key, found, allowed);
    }

    fn read<T>(
        &mut self,
        key: &str,
        default: Option<T>,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let Some(text) = self.value(key) else {
            if default.is_none() {
                self.reject(key, "nothing", allowed);
            }
            return default;
        };
        let value = parse(&text);
        if value.is_none() {
            self.reject(key, &format!("`{text}`"), allowed);
        }
        value
    }

    /// Reads a name of 1 to 63 letters, digits, `-`, `_` or `.`.
    pub fn name(&mut self, key: &str, default: Option<&str>) -> Arc<str> {
        let allowed = "1 to 63 letters, digits, `-`, `_` or `.`";
        let default = default.map(Arc::from);
        self.read(key, default, allowed, |text| {
            is_valid_name(text).then(|| Arc::from(text))
        })
        .unwrap_or_else(|| Arc::from(""))
    }

    /// Reads an IP address with a port.
    pub fn address(&mut self, key: &str, default: Option<SocketAddr>) -> SocketAddr {
        let allowed = "an IP number and a port, such as 127.0.0.1:8080";
        self.read(key, default, allowed, |text| text.parse().ok())
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Reads a duration within `range`.
    pub fn duration(
        &mut self,
        key: &str,
        default: Option<Duration>,
        range: RangeInclusive<Duration>,
    ) -> Duration {
        let (low, high) = (
            unit::format_duration(*range.start()),
            unit::format_duration(*range.end()),
        );
        let allowed = format!("a time in ms, s, min or h from {low} to {high}");
        let parse = |text: &str| unit::parse_duration(text).filter(|time| range.contains(time));
        self.read(key, default, &allowed, parse).unwrap_or_default()
    }

    /// Reads a duration within `range`; `None` if the key is absent.
    pub fn optional_duration(
        &mut self,
        key: &str,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        let text = self.value(key);
        text.map(|_| self.duration(key, None, range))
    }

    /// Reads a size in bytes within `range`.
    pub fn size(&mut self, key: &str, default: Option<u64>, range: RangeInclusive<u64>) -> u64 {
        let (low, high) = (
            unit::format_size(*range.start()),
            unit::format_size(*range.end()),
        );
        let allowed = format!("a size in B, KiB, MiB, GiB or TiB from {low} to {high}");
        let parse = |text: &str| unit::parse_size(text).filter(|size| range.contains(size));
        self.read(key, default, &allowed, parse).unwrap_or_default()
    }

    /// Reads a size that may be missing.
    pub fn optional_size(&mut self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let text = self.value(key);
        text.map(|_| self.size(key, None, range))
    }

    /// Reads a whole number that may be missing.
    pub fn optional_count(&mut self, key: &str, range: RangeInclusive<u32>) -> Option<u32> {
        let text = self.value(key);
        text.map(|_| self.count(key, None, range))
    }

    /// Reads a whole number within `range`.
    pub fn count(&mut self, key: &str, default: Option<u32>, range: RangeInclusive<u32>) -> u32 {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let parse = |text: &str| text.parse().ok().filter(|count| range.contains(count));
        self.read(key, default, &allowed, parse).unwrap_or_default()
    }

    /// Reads a number of processors; the result is in thousandths of a processor.
    pub fn processors(&mut self, key: &str, default: Option<u64>) -> u64 {
        let allowed = "processors such as 2 or 0.25, at least 0.001";
        let parse =
            |text: &str| unit::parse_processors(text).filter(|thousandths| *thousandths > 0);
        self.read(key, default, allowed, parse).unwrap_or_default()
    }

    /// Reads a percentage such as `20%`; the result is between 0 and 1.
    pub fn share(&mut self, key: &str, default: Option<f64>) -> f64 {
        self.read(key, default, "a share from 0% to 100%", unit::parse_share)
            .unwrap_or_default()
    }

    /// Reads `yes` or `no`.
    pub fn flag(&mut self, key: &str, default: Option<bool>) -> bool {
        let parse = |text: &str| match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        };
        self.read(key, default, "yes or no", parse)
            .unwrap_or_default()
    }

    /// Reads a comma-separated list of words; a missing key yields `default`.
    pub fn words(&mut self, key: &str, default: &str) -> Vec<Arc<str>> {
        let text = self.value(key).unwrap_or_else(|| default.to_owned());
        text.split(',')
            .map(str::trim)
            .filter(|word| !word.is_empty())
            .map(Arc::from)
            .collect()
    }

    /// Reads one of `choices` by its name.
    pub fn choice<T: Copy>(
        &mut self,
        key: &str,
        default: Option<T>,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.read(key, default, &names.join(" or "), |text| {
            choices
                .iter()
                .find(|(name, _)| *name == text)
                .map(|(_, value)| *value)
        })
    }
}

/// Returns whether `text` can name an account, service, job or instance.
#[must_use]
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}
