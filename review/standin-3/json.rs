//! A small reader of JSON.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn read(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader {
            chars: text.chars().collect(),
            at: 0,
        };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.chars.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn space(&mut self) {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, c: char) -> Option<()> {
        self.space();
        (self.chars.get(self.at) == Some(&c)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str) -> Option<()> {
        let end = self.at + word.len();
        let found: String = self.chars.get(self.at..end)?.iter().collect();
        (found == word).then(|| self.at = end)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.chars.get(self.at)? {
            'n' => self.word("null").map(|()| Json::Null),
            't' => self.word("true").map(|()| Json::Bool(true)),
            'f' => self.word("false").map(|()| Json::Bool(false)),
            '"' => self.string().map(Json::Text),
            '[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(']').is_some() {
                        return Some(Json::List(items));
                    }
                    self.take(',')?;
                }
            }
            '{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take('}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(':')?;
                    fields.push((name, self.value()?));
                    if self.take('}').is_some() {
                        return Some(Json::Object(fields));
                    }
                    self.take(',')?;
                }
            }
            _ => {
                let start = self.at;
                while self
                    .chars
                    .get(self.at)
                    .is_some_and(|c| "+-.eE0123456789".contains(*c))
                {
                    self.at += 1;
                }
                let text: String = self.chars[start..self.at].iter().collect();
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let c = *self.chars.get(self.at)?;
                    self.at += 1;
                    text.push(match c {
                        'n' => '\n',
                        't' => '\t',
                        'r' => '\r',
                        'b' => '\u{8}',
                        'f' => '\u{c}',
                        'u' => {
                            let hex: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?
                        }
                        other => other,
                    });
                }
                c => text.push(c),
            }
        }
    }
}
