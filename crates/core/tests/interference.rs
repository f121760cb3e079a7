//! The interference estimates and the throttles that are computed from them.

use {
    marigoldbend_core::sched::{
        interference::{Group, Image, Interference, Pressure},
        job::JobId,
        throttle::best_throttles,
    },
    proptest::prelude::*,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
    test_case::test_case,
};

/// The true occupancy that the heavy best-effort image adds when it uses all CPUs of a worker.
const HEAVY_OCCUPANCY: f64 = 2.4;
/// The true occupancy that the light best-effort image adds when it uses all CPUs of a worker.
const LIGHT_OCCUPANCY: f64 = 0.1;

/// The tail latency at zero occupancy, as a share of the target.
const MIN_TAIL: f64 = 1.0 / 6.0;

/// The time between two reports of a worker.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A simulated deployment of three serving jobs on four workers, and the estimates from its
/// reports.
struct World {
    rng: SmallRng,
    estimates: Interference,
    serving: Image,
    heavy: Image,
    light: Image,
    /// The pressure on each worker, as the leader computes it from the reports.
    pressures: Vec<Pressure>,
    /// The CPU shares that the best-effort images use on each worker.
    shares: Vec<[(Image, f64); 2]>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut estimates = Interference::default();
        let (serving, heavy, light) = (
            estimates.image("serving"),
            estimates.image("heavy"),
            estimates.image("light"),
        );
        Self {
            rng: SmallRng::seed_from_u64(seed),
            estimates,
            serving,
            heavy,
            light,
            pressures: vec![Pressure::default(); 4],
            shares: vec![[(heavy, 0.0), (light, 0.0)]; 4],
        }
    }

    fn group(job: usize) -> Group {
        (JobId(job as u64), 0)
    }

    /// The true occupancy by a job's own load at a time in seconds; it varies from 0.24 to 0.72.
    fn load(job: usize, secs: f64) -> f64 {
        0.48 + 0.24 * (secs * 0.628 + job as f64 * 2.0).sin()
    }

    /// Simulates the given number of reports of every worker.
    fn run(&mut self, base: Instant, steps: u32) {
        for i in 0..steps {
            let now = base + REPORT_INTERVAL * i;
            let secs = REPORT_INTERVAL.as_secs_f64() * f64::from(i);
            for worker in 0..4 {
                if (i as usize + worker).is_multiple_of(5) {
                    self.shares[worker] = [
                        (self.heavy, self.rng.random_range(0.0..0.15)),
                        (self.light, self.rng.random_range(0.0..0.4)),
                    ];
                }
                let [(_, heavy), (_, light)] = self.shares[worker];
                self.pressures[worker].observe(&self.shares[worker], now);
                for job in 0..3 {
                    let occupancy =
                        Self::load(job, secs) + heavy * HEAVY_OCCUPANCY + light * LIGHT_OCCUPANCY;
                    let mut tail = MIN_TAIL / (1.0 - occupancy.min(0.98));
                    tail *= self.rng.random_range(0.95..1.05);
                    if self.rng.random_ratio(1, 20) {
                        tail *= 1.5;
                    }
                    let pressure = &self.pressures[worker];
                    self.estimates
                        .observe(self.serving, Self::group(job), tail, pressure, now);
                }
            }
        }
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn costs_are_estimated_under_varying_loads(seed: u64) {
    let mut world = World::new(seed);
    let base = Instant::now();
    world.run(base, 60);
    let heavy = world.estimates.cost(world.serving, world.heavy) * MIN_TAIL;
    let light = world.estimates.cost(world.serving, world.light) * MIN_TAIL;
    assert!(
        (heavy - HEAVY_OCCUPANCY).abs() < HEAVY_OCCUPANCY / 4.0,
        "heavy {heavy}"
    );
    assert!(
        (light - LIGHT_OCCUPANCY).abs() < LIGHT_OCCUPANCY * 2.0,
        "light {light}"
    );
    let now = base + REPORT_INTERVAL * 59;
    for job in 0..3 {
        let alone = world.estimates.headroom_alone(World::group(job), now);
        let truth = (1.0 - World::load(job, 29.5)) / MIN_TAIL;
        assert!(
            (alone - truth).abs() < 0.6,
            "job {job}: {alone} for {truth}"
        );
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn only_the_heavy_image_is_throttled(seed: u64) {
    let mut world = World::new(seed);
    world.run(Instant::now(), 60);
    let full = [(world.heavy, 0.4), (world.light, 0.06)];
    let throttles = best_throttles(&world.estimates, &[(world.serving, 3.0)], &full);
    assert!(throttles[0].1 < 45.0, "{throttles:?}");
    assert_eq!(throttles[1].1, 100.0, "{throttles:?}");
}

#[test]
fn next_leader_restores_the_estimates() {
    let mut world = World::new(4);
    world.run(Instant::now(), 60);
    let mut next = Interference::default();
    next.restore(&world.estimates.pairs());
    let (serving, heavy) = (next.image("serving"), next.image("heavy"));
    let expected = world.estimates.cost(world.serving, world.heavy);
    assert_eq!(next.cost(serving, heavy), expected);
}

proptest! {
    /// Guards against a panic of the leader: variances were clamped but the covariance was not,
    /// which made a variance negative.
    #[test]
    fn estimates_stay_finite(
        measurements in prop::collection::vec(
            (0.0..30.0f64, 0.0..1.5f64, 0.0..1.5f64, 0u64..5_000),
            1..200,
        ),
    ) {
        let mut estimates = Interference::default();
        let (serving, one, two) = (
            estimates.image("serving"),
            estimates.image("one"),
            estimates.image("two"),
        );
        let mut pressure = Pressure::default();
        let mut now = Instant::now();
        for (tail, first, second, gap_ms) in measurements {
            now += Duration::from_millis(gap_ms);
            pressure.observe(&[(one, first), (two, second)], now);
            estimates.observe(serving, World::group(0), tail, &pressure, now);
            prop_assert!(estimates.headroom_alone(World::group(0), now).is_finite());
            prop_assert!(estimates.cost(serving, one).is_finite());
            for pair in estimates.pairs() {
                prop_assert!(pair.cost.variance > 0.0);
            }
        }
    }
}
