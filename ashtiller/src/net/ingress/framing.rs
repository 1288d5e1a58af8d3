//! Finds the ends of heads and of chunked bodies, so that each request is handed over by itself.

/// Scanner for the empty line that ends a head, also across reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    state: State,
    lines: usize,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum State {
    /// Within a line.
    #[default]
    Line,
    /// After the end of a line.
    LineEnd,
    /// After the end of a line and a carriage return.
    Return,
}

impl HeadScanner {
    /// Scans further bytes; returns how many of them belong to the head if it ends there.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            self.state = match (*byte, self.state) {
                (b'\n', State::Line) => {
                    self.lines += 1;
                    State::LineEnd
                }
                (b'\n', State::LineEnd | State::Return) => {
                    self.state = State::Line;
                    return Some(index + 1);
                }
                (b'\r', State::LineEnd) => State::Return,
                _ => State::Line,
            };
        }
        None
    }

    /// Returns the number of lines so far.
    #[must_use]
    pub fn lines(&self) -> usize {
        self.lines
    }
}

/// Scanner for the end of a chunked body.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkScanner {
    state: ChunkState,
    /// Size of the chunk, or what is left of it.
    size: usize,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ChunkState {
    /// Within the digits of a chunk's size.
    #[default]
    Size,
    /// Within the rest of that line.
    Extension,
    /// Within the data of a chunk.
    Data,
    /// After the data, until the end of the line.
    DataEnd,
    /// At the start of a line after the last chunk.
    TrailerStart,
    /// Within a trailer.
    Trailer,
    /// After the empty line that ends the body.
    End,
}

impl ChunkScanner {
    /// Scans further bytes; returns how many of them belong to the body.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let mut index = 0;
        while index < bytes.len() && self.state != ChunkState::End {
            if self.state == ChunkState::Data {
                let count = self.size.min(bytes.len() - index);
                self.size -= count;
                index += count;
                if self.size == 0 {
                    self.state = ChunkState::DataEnd;
                }
                continue;
            }
            self.state = self.step(bytes[index]);
            index += 1;
        }
        index
    }

    fn step(&mut self, byte: u8) -> ChunkState {
        match (self.state, byte) {
            (ChunkState::Size | ChunkState::Extension, b'\n') if self.size == 0 => {
                ChunkState::TrailerStart
            }
            (ChunkState::Size | ChunkState::Extension, b'\n') => ChunkState::Data,
            (ChunkState::Size, byte) => match char::from(byte).to_digit(16) {
                Some(digit) => {
                    let size = self.size.saturating_mul(16);
                    self.size = size.saturating_add(digit as usize);
                    ChunkState::Size
                }
                None => ChunkState::Extension,
            },
            (ChunkState::DataEnd, b'\n') => ChunkState::Size,
            (ChunkState::TrailerStart, b'\n') => ChunkState::End,
            (ChunkState::TrailerStart, b'\r') | (ChunkState::Trailer, b'\n') => {
                ChunkState::TrailerStart
            }
            (ChunkState::TrailerStart, _) => ChunkState::Trailer,
            (state, _) => state,
        }
    }
}
