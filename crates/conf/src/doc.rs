use {
    crate::{Problem, Problems},
    ini::{Ini, ParseOption},
    std::{cell::RefCell, ops::RangeInclusive, str::FromStr},
    unit::Span,
};

/// An INI file under inspection; every wrong key is collected before the verdict.
pub(crate) struct Doc<'a> {
    file: &'a str,
    ini: Ini,
    problems: RefCell<Vec<Problem>>,
    text: &'a str,
}

impl<'a> Doc<'a> {
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

    /// The verdict: `value` where nothing was wrong.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Problems> {
        let problems = self.problems.into_inner();
        match value {
            Some(value) if problems.is_empty() => Ok(value),
            _ => Err(Problems(problems)),
        }
    }

    /// Refuses sections that `known` doesn't allow, doubled sections, keys outside sections and,
    /// in each section, keys that `keys` doesn't list.
    pub(crate) fn allow(&self, known: impl Fn(&str) -> Option<&'static [&'static str]>) {
        let mut seen = Vec::new();
        for (section, properties) in self.ini.iter() {
            let Some(section) = section else {
                for (key, _) in properties.iter() {
                    self.report(
                        "",
                        key,
                        "key stands before any section",
                        "move it below a [section] line",
                    );
                }
                continue;
            };
            if seen.contains(&section) {
                self.report(section, "", "section stands twice", "join the two");
            }
            seen.push(section);
            match known(section) {
                Some(keys) => self.allow_keys(section, properties, keys),
                None => self.report(
                    section,
                    "",
                    "unknown section",
                    "remove it or correct its name",
                ),
            }
        }
    }

    fn allow_keys(&self, section: &str, properties: &ini::Properties, keys: &[&str]) {
        let mut seen = Vec::new();
        for (key, _) in properties.iter() {
            if seen.contains(&key) {
                self.report(section, key, "key stands twice", "keep one of them");
            } else if !keys.contains(&key) {
                let allowed = format!("allowed here: {}", keys.join(", "));
                self.report(section, key, "unknown key", &allowed);
            }
            seen.push(key);
        }
    }

    /// The names of all sections in the order of the file.
    pub(crate) fn sections(&self) -> Vec<&str> {
        self.ini.sections().flatten().collect()
    }

    pub(crate) fn text(&self, section: &str, key: &str) -> Option<&str> {
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

    /// A value that must be there.
    pub(crate) fn need(&self, section: &str, key: &str, allowed: &str) -> Option<&str> {
        let held = self
            .ini
            .section(Some(section))
            .and_then(|keys| keys.get(key));
        if held.is_none() {
            self.report(section, key, "key is missing", allowed);
        }
        self.text(section, key)
    }

    /// A name of letters, digits, `-` and `_`, at most 63 bytes.
    pub(crate) fn name(&self, section: &str, key: &str) -> Option<String> {
        let allowed = "give a name of 1 to 63 letters, digits, - and _";
        let value = self.need(section, key, allowed)?;
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
        if value.len() > 63 || !value.bytes().all(plain) {
            self.report(section, key, "not a name", allowed);
            return None;
        }
        Some(value.to_owned())
    }

    /// A number in `range`, or `default` where the key is absent.
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
        let Some(value) = self.text(section, key) else {
            return default;
        };
        match value.parse::<T>() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let allowed = format!(
                    "give a number from {} to {}",
                    range.start().to_string(),
                    range.end().to_string()
                );
                self.report(section, key, &format!("{value:?} is not allowed"), &allowed);
                default
            }
        }
    }

    /// A number of milliseconds in `range`, or `default` milliseconds.
    pub(crate) fn millis(
        &self,
        section: &str,
        key: &str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Span {
        Span::millis(self.number(section, key, range, default))
    }

    /// A value parsed by `parse`.
    pub(crate) fn parse_with<T>(
        &self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.need(section, key, allowed)?;
        let parsed = parse(value);
        if parsed.is_none() {
            self.report(section, key, &format!("{value:?} is not allowed"), allowed);
        }
        parsed
    }

    pub(crate) fn report(&self, section: &str, key: &str, wrong: &str, allowed: &str) {
        let name = match (section, key) {
            ("", key) => key.to_owned(),
            (section, "") => format!("[{section}]"),
            (section, key) => format!("[{section}] {key}"),
        };
        self.problems.borrow_mut().push(Problem {
            remedy: allowed.to_owned(),
            file: self.file.to_owned(),
            key: name,
            line: self.line(section, key),
            message: wrong.to_owned(),
        });
    }

    /// The last line at which `key` stands in `section`, else the section's line, else 1.
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
                    .is_some_and(|held| held.trim() == key)
            {
                found = index + 1;
            }
        }
        found
    }
}
