use {
    crate::{Problem, Problems},
    ini::{Ini, ParseOption},
    std::{cell::RefCell, ops::RangeInclusive, str::FromStr},
    unit::Span,
};

/// An INI file being read. Problems are collected until [`Self::finish`], so that one pass reports
/// all of them.
pub(crate) struct IniFile<'a> {
    file: &'a str,
    ini: Ini,
    problems: RefCell<Vec<Problem>>,
    text: &'a str,
}

impl<'a> IniFile<'a> {
    /// Parses `text`, the contents of the file named `file`. Escapes and quotes are taken
    /// literally.
    pub(crate) fn parse(file: &'a str, text: &'a str) -> Result<Self, Problems> {
        let option = ParseOption {
            enabled_escape: false,
            enabled_quote: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| {
            Problems(vec![Problem {
                remedy: "write [section] lines, key = value lines and ; comments".to_owned(),
                file: file.to_owned(),
                key: "syntax".to_owned(),
                line: error.line,
                message: error.msg.to_string(),
            }])
        })?;
        Ok(Self {
            file,
            ini,
            problems: RefCell::default(),
            text,
        })
    }

    /// Returns `value`, or the problems if there are any.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Problems> {
        let problems = self.problems.into_inner();
        match value {
            Some(value) if problems.is_empty() => Ok(value),
            _ => Err(Problems(problems)),
        }
    }

    /// Reports unknown and duplicate sections, keys outside any section, and unknown and duplicate
    /// keys in a section. `keys_of` returns the keys of a section, or nothing if the section is
    /// unknown.
    pub(crate) fn check_sections(&self, keys_of: impl Fn(&str) -> Option<&'static [&'static str]>) {
        let mut seen = Vec::new();
        for (section, properties) in self.ini.iter() {
            let Some(section) = section else {
                for (key, _) in properties.iter() {
                    self.report(
                        "",
                        key,
                        "key is outside any section",
                        "move it below a [section] line",
                    );
                }
                continue;
            };
            if seen.contains(&section) {
                self.report(section, "", "duplicate section", "merge the two");
            }
            seen.push(section);
            match keys_of(section) {
                Some(keys) => self.check_keys(section, properties, keys),
                None => self.report(
                    section,
                    "",
                    "unknown section",
                    "remove it or correct its name",
                ),
            }
        }
    }

    /// Reports keys of a section that are duplicate or not among `keys`.
    fn check_keys(&self, section: &str, properties: &ini::Properties, keys: &[&str]) {
        let mut seen = Vec::new();
        for (key, _) in properties.iter() {
            if seen.contains(&key) {
                self.report(section, key, "duplicate key", "keep one of them");
            } else if !keys.contains(&key) {
                let remedy = format!("allowed here: {}", keys.join(", "));
                self.report(section, key, "unknown key", &remedy);
            }
            seen.push(key);
        }
    }

    /// The names of all sections, in the file's order.
    pub(crate) fn sections(&self) -> Vec<&str> {
        self.ini.sections().flatten().collect()
    }

    /// The trimmed value of a key, or nothing if it is absent or empty; an empty value is reported.
    pub(crate) fn value(&self, section: &str, key: &str) -> Option<&str> {
        let value = self.ini.section(Some(section))?.get(key)?.trim();
        if value.is_empty() {
            self.report(
                section,
                key,
                "value is empty",
                "give a value or remove the key",
            );
            return None;
        }
        Some(value)
    }

    /// The value of a required key; a missing key is reported with `remedy`.
    pub(crate) fn require(&self, section: &str, key: &str, remedy: &str) -> Option<&str> {
        let value = self
            .ini
            .section(Some(section))
            .and_then(|keys| keys.get(key));
        if value.is_none() {
            self.report(section, key, "key is missing", remedy);
        }
        self.value(section, key)
    }

    /// The value of a required key that holds a name: 1 to 63 letters, digits, `-` and `_`.
    pub(crate) fn name(&self, section: &str, key: &str) -> Option<String> {
        let remedy = "give a name of 1 to 63 letters, digits, - and _";
        let value = self.require(section, key, remedy)?;
        let valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
        if value.len() > 63 || !value.bytes().all(valid) {
            self.report(section, key, "not a name", remedy);
            return None;
        }
        Some(value.to_owned())
    }

    /// A number in `range`, or `default` if the key is absent or its value is reported as invalid.
    pub(crate) fn number<T>(
        &self,
        section: &str,
        key: &str,
        range: RangeInclusive<T>,
        default: T,
    ) -> T
    where
        T: Copy + FromStr + PartialOrd + ToString,
    {
        let Some(value) = self.value(section, key) else {
            return default;
        };
        match value.parse::<T>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let remedy = format!(
                    "give a number from {} to {}",
                    range.start().to_string(),
                    range.end().to_string()
                );
                self.report(section, key, &format!("{value:?} is not allowed"), &remedy);
                default
            }
        }
    }

    /// A span given in milliseconds, under the rules of [`Self::number`].
    pub(crate) fn millis(
        &self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Span {
        Span::millis(self.number(section, key, range, default))
    }

    /// The value of a required key as parsed by `parse`; a value that `parse` rejects is reported.
    pub(crate) fn parse_with<T>(
        &self,
        section: &str,
        key: &str,
        remedy: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.require(section, key, remedy)?;
        let parsed = parse(value);
        if parsed.is_none() {
            self.report(section, key, &format!("{value:?} is not allowed"), remedy);
        }
        parsed
    }

    /// Adds a problem with a key, with a section if `key` is empty, or with a key outside any
    /// section if `section` is empty.
    pub(crate) fn report(&self, section: &str, key: &str, message: &str, remedy: &str) {
        let name = match (section, key) {
            ("", key) => key.to_owned(),
            (section, "") => format!("[{section}]"),
            (section, key) => format!("[{section}] {key}"),
        };
        self.problems.borrow_mut().push(Problem {
            remedy: remedy.to_owned(),
            file: self.file.to_owned(),
            key: name,
            line: self.line(section, key),
            message: message.to_owned(),
        });
    }

    /// The line of the last occurrence of `key` in `section`, else that of the section, else 1.
    fn line(&self, section: &str, key: &str) -> usize {
        let mut inside = section.is_empty();
        let mut found = 1;
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[') {
                inside = name.trim_end_matches(']').trim() == section;
                if inside {
                    found = index + 1;
                }
            } else if inside
                && !key.is_empty()
                && line
                    .split(['=', ':'])
                    .next()
                    .is_some_and(|name| name.trim() == key)
            {
                found = index + 1;
            }
        }
        found
    }
}
