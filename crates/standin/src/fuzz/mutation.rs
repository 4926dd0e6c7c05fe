//! Mutations of valid messages.

use fastrand::Rng;

/// The most mutations of one message.
const MAX_MUTATIONS: usize = 8;
/// The longest run of bytes that is inserted, removed or copied.
const MAX_RUN: usize = 64;
/// Numbers at the ends of the ranges that decoders read.
const NUMBERS: [&[u8]; 8] = [
    b"0",
    b"-1",
    b"1e308",
    b"NaN",
    b"255",
    b"4294967295",
    b"18446744073709551615",
    b"99999999999999999999",
];

/// A mutated copy of a sample; one in sixteen is arbitrary bytes instead.
pub(crate) fn mutate(sample: &[u8], rng: &mut Rng) -> Vec<u8> {
    if rng.u32(..16) == 0 {
        return arbitrary(rng);
    }
    let mut bytes = sample.to_vec();
    for _ in 0..rng.usize(..=MAX_MUTATIONS) {
        mutate_once(&mut bytes, rng);
    }
    bytes
}

fn mutate_once(bytes: &mut Vec<u8>, rng: &mut Rng) {
    let at = rng.usize(..=bytes.len());
    let end = (at + rng.usize(..MAX_RUN)).min(bytes.len());
    match rng.u32(..7) {
        0 => {
            if let Some(byte) = bytes.get_mut(at) {
                *byte ^= 1 << rng.u32(..8);
            }
        }
        1 => {
            if let Some(byte) = bytes.get_mut(at) {
                *byte = [0, 0x7f, 0x80, 0xfb, 0xff][rng.usize(..5)];
            }
        }
        2 => drop(bytes.drain(at..end)),
        3 => bytes.truncate(at),
        4 => {
            let run = bytes[at..end].to_vec();
            bytes.splice(at..at, run);
        }
        5 => {
            let run = arbitrary(rng);
            bytes.splice(at..at, run);
        }
        _ => replace_number(bytes, at, rng),
    }
}

/// Replaces the next decimal number with one at the end of a range.
fn replace_number(bytes: &mut Vec<u8>, from: usize, rng: &mut Rng) {
    let Some(start) = bytes[from..].iter().position(u8::is_ascii_digit) else {
        return;
    };
    let start = from + start;
    let digits = bytes[start..]
        .iter()
        .take_while(|byte| byte.is_ascii_digit());
    let end = start + digits.count();
    let number = NUMBERS[rng.usize(..NUMBERS.len())];
    bytes.splice(start..end, number.iter().copied());
}

fn arbitrary(rng: &mut Rng) -> Vec<u8> {
    let length = rng.usize(..MAX_RUN);
    (0..length).map(|_| rng.u8(..)).collect()
}
