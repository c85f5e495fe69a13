//! How long the flights of one class take, learnt from those that ended.

use load_balancer::Micros;

/// Answers that are remembered. Hits are many and misses may be few, and a miss does not hang: enough for the few.
const ANSWERS: usize = 256;
/// Before so many nothing is learnt.
const ENOUGH: usize = 8;
/// A flight older than this multiple of a long answer time hangs. The longest but one counts as long: a single answer
/// may have hung itself.
const HANGS: f64 = 2.0;
/// Shorter differences are those of the machine.
const LEAST: Micros = Micros::from_millis(10);
/// Flights over which the share of those that end without an answer, however old, is averaged.
const LOST_SPAN: f64 = 32.0;
/// When more than this share hang, the class is slow as a whole, and a second flight only adds to that.
const LOST: f64 = 0.1;

/// Answer times of a class.
#[derive(Debug)]
pub(crate) struct LatencyTracker {
    answers: Vec<Micros>,
    next: usize,
    /// Of the answers so far: the middle one and the long one.
    learnt: Option<(Micros, Micros)>,
    /// The share of flights that hung to their end, smoothed.
    lost: f64,
    latency_objective: Micros,
}

impl LatencyTracker {
    pub fn new(latency_objective: Micros) -> LatencyTracker {
        LatencyTracker {
            answers: Vec::new(),
            next: 0,
            learnt: None,
            lost: 0.0,
            latency_objective,
        }
    }

    /// A flight was answered after so long.
    pub fn answered(&mut self, time: Micros) {
        self.lost -= self.lost / LOST_SPAN;
        if self.answers.len() < ANSWERS {
            self.answers.push(time);
        } else {
            self.answers[self.next % ANSWERS] = time;
        }
        self.next = self.next.wrapping_add(1);
        // Sorting them once in some flights costs less than a tree that is right at each.
        if self.answers.len() >= ENOUGH && self.next.is_multiple_of(ENOUGH) {
            let mut sorted = self.answers.clone();
            sorted.sort_unstable();
            self.learnt = Some((sorted[sorted.len() / 2], sorted[sorted.len() - 2]));
        }
    }

    /// A flight ended without an answer at this age.
    pub fn unanswered(&mut self, age: Micros) {
        if age > self.hangs_at() {
            self.lost += (1.0 - self.lost) / LOST_SPAN;
        }
    }

    /// From this age on a flight counts as hanging.
    pub fn hangs_at(&self) -> Micros {
        self.learnt
            .map_or(self.latency_objective, |(_, long)| long.scaled(HANGS))
            .max(LEAST)
    }

    /// Whether so many hang that it is not about a flight.
    pub fn is_slow(&self) -> bool {
        self.lost > LOST
    }

    /// What a flight usually takes; `None` until that is known.
    pub fn usual(&self) -> Option<Micros> {
        self.learnt.map(|(middle, _)| middle)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(millis: u64) -> Micros {
        Micros::from_millis(millis)
    }

    #[test]
    fn the_aim_counts_until_enough_is_known() {
        let mut pace = LatencyTracker::new(ms(100));
        (1..ENOUGH).for_each(|_| pace.answered(ms(15)));
        assert_eq!(pace.hangs_at(), ms(100));
        pace.answered(ms(15));
        assert_eq!((pace.hangs_at(), pace.usual()), (ms(30), Some(ms(15))));
    }

    /// Of a hundred answers one is a fetch: a fetch must not look like a hang.
    #[test]
    fn few_long_answers_are_remembered_and_a_single_one_is_not() {
        let mut pace = LatencyTracker::new(ms(100));
        (0..ANSWERS).for_each(|i| pace.answered(ms(if i == 17 { 2_000 } else { 1 })));
        assert_eq!(pace.hangs_at(), LEAST);
        (0..ANSWERS).for_each(|i| pace.answered(ms(if i % 100 == 0 { 300 } else { 1 })));
        assert_eq!((pace.hangs_at(), pace.usual()), (ms(600), Some(ms(1))));
    }

    #[test]
    fn a_few_lost_flights_change_nothing_and_many_show_a_slow_class() {
        let mut pace = LatencyTracker::new(ms(100));
        let mut play = |every: usize| {
            for i in 0..200 {
                if i % every == 0 {
                    pace.unanswered(ms(2_000))
                } else {
                    pace.answered(ms(20))
                }
            }
            pace.is_slow()
        };
        assert!(!play(25));
        assert!(play(5));
        assert!(!play(25), "and back");
    }

    #[test]
    fn what_ends_young_without_an_answer_tells_nothing() {
        let mut pace = LatencyTracker::new(ms(100));
        (0..200).for_each(|_| pace.unanswered(ms(99)));
        assert!(!pace.is_slow());
    }
}
