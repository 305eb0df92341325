//! Prompts of the model's requests.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tamaracklead::decide::traffic::PromptPart;

use super::plan::BadPart;

/// First part of the prompts of most callers.
pub const FIRST: u64 = 1;
/// First part of the prompts of one other caller.
const OTHER_FIRST: u64 = 2;
/// Kinds of requests.
const KINDS: u64 = 4;
/// Second parts of one kind.
const SECOND_PARTS: u64 = 20;
/// Third parts that several requests a minute share.
const THIRD_PARTS: u64 = 60;
/// Third parts that hardly two requests share.
const RARE_PARTS: u64 = 600;

/// Shared parts of a sound prompt.
pub fn sound(rng: &mut ChaCha8Rng) -> Vec<PromptPart> {
    let kind = rng.random_range(0..KINDS);
    let first = if kind == KINDS - 1 { OTHER_FIRST } else { FIRST };
    let mut ids = vec![first, 100 + kind * 100 + zipf(rng, SECOND_PARTS)];
    match rng.random_range(0..10) {
        0..4 => ids.push(1_000 + zipf(rng, THIRD_PARTS)),
        4 => ids.push(2_000 + rng.random_range(0..RARE_PARTS)),
        _ => {}
    }
    parts(&ids)
}

/// Shared parts of a prompt that crashes replicas.
pub fn crashing(rng: &mut ChaCha8Rng, bad: &BadPart) -> Vec<PromptPart> {
    let mut ids = vec![FIRST, 100 + zipf(rng, SECOND_PARTS)];
    if rng.random_bool(0.4) {
        ids.push(1_000 + zipf(rng, THIRD_PARTS));
    }
    ids.insert(bad.position, bad.id);
    parts(&ids)
}

/// A number below `count`; the `n`th is `n` times as rare as the first one.
fn zipf(rng: &mut ChaCha8Rng, count: u64) -> u64 {
    let total: f64 = (1..=count).map(|n| 1.0 / n as f64).sum();
    let mut left = rng.random_range(0.0..total);
    for n in 1..count {
        left -= 1.0 / n as f64;
        if left < 0.0 {
            return n - 1;
        }
    }
    count - 1
}

fn parts(ids: &[u64]) -> Vec<PromptPart> {
    ids.iter().map(|id| PromptPart { id: *id, tokens: 10 }).collect()
}
