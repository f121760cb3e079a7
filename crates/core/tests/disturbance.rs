//! Whether the pairs of images that disturb each other are told from the harmless ones.

use {
    marigoldbend_core::sched::{
        disturb::{Disturbance, Load, Pressure},
        pace::best,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
    test_case::test_case,
};

/// The occupancy that a core of each filling image adds in truth.
const HEAVY: f64 = 0.15;
const LIGHT: f64 = 0.01;

/// The floor of the tail, as a share of the target.
const FLOOR: f64 = 1.0 / 6.0;

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn the_heavy_image_is_paced_and_the_light_one_is_not(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut d = Disturbance::default();
    let serving = d.image("serving");
    let heavy = d.image("heavy");
    let light = d.image("light");
    let base = Instant::now();
    let mut load = Load::default();
    let mut pressure = Pressure::default();
    let mut cores = [(heavy, 0.0), (light, 0.0)];
    for i in 0..120u32 {
        let now = base + Duration::from_millis(500) * i;
        if i % 4 == 0 {
            cores = [
                (heavy, rng.random_range(0.0..2.0)),
                (light, rng.random_range(0.0..6.0)),
            ];
        }
        pressure.observe(&cores, now);
        let wave = 0.4 + 0.15 * f64::from(i).mul_add(0.16, 0.0).sin();
        let of = |image| pressure.cores().iter().filter(move |(i, _)| *i == image);
        let added = of(heavy).map(|(_, c)| c * HEAVY).sum::<f64>()
            + of(light).map(|(_, c)| c * LIGHT).sum::<f64>();
        let tail = FLOOR / (1.0 - (wave + added).min(0.98));
        let noise = rng.random_range(0.95..1.05);
        d.observe(serving, &mut load, tail * noise, &pressure, now);
    }
    assert!(d.per_core(serving, heavy) > HEAVY / 2.0);
    assert!(d.per_core(serving, light) < HEAVY / 4.0);
    let full = [(heavy, 6.0), (light, 1.0)];
    let paces = best(&d, &[(serving, load)], &full);
    assert!(paces[0].1 < 80.0, "{paces:?}");
    assert!(paces[1].1 > paces[0].1, "{paces:?}");
}
