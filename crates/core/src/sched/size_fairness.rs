//! Keeps large jobs of a queue from being starved by small ones.
//!
//! The least work first serves the most jobs, and under overload hardly any large one. So jobs are
//! divided into bands by their work, relative to the mean of their queue. While a band of larger
//! jobs is served much less often than all jobs of the queue, its oldest job comes first.

use std::array;

/// The number of bands. Band 0 has the jobs below the mean, band 1 those up to twice the mean, band 2
/// those up to four times the mean, and the last band all larger ones.
const BANDS: usize = 4;

/// The weight of the newest job in the mean work.
const NEWEST_WEIGHT: f64 = 0.02;

/// A band is neglected if it is served less than this share as often as all jobs. No size of job may
/// be served less than half as often, and what is done about it takes effect late.
const MIN_RELATIVE_SHARE: f64 = 0.7;

/// The number of counted jobs at which all counts are halved, so that old ones fade.
const MAX_COUNT: f64 = 256.0;

/// The number of jobs of a band, at least, after which it may count as neglected.
const MIN_COUNT: f64 = 4.0;

/// How often the jobs of one queue are served, by their size.
#[derive(Clone, Debug, Default)]
pub struct SizeFairness {
    /// The moving average of the jobs' work; zero before the first job.
    mean_work: f64,
    /// By band: the jobs that were served, and those that were served or became useless.
    counts: [(f64, f64); BANDS],
}

impl SizeFairness {
    /// Records the work of a job that was accepted; any unit will do.
    pub fn add_job(&mut self, work: u64) {
        let work = work as f64;
        if self.mean_work == 0.0 {
            self.mean_work = work;
        }
        self.mean_work += (work - self.mean_work) * NEWEST_WEIGHT;
    }

    /// Records that a job ended while it was of use to its caller, or (`served` is false) that it
    /// can't do so any more.
    pub fn count(&mut self, work: u64, served: bool) {
        let (served_count, count) = &mut self.counts[self.band(work)];
        *count += 1.0;
        if served {
            *served_count += 1.0;
        }
        if self.counts.iter().map(|(_, count)| count).sum::<f64>() > MAX_COUNT {
            for (served_count, count) in &mut self.counts {
                *served_count /= 2.0;
                *count /= 2.0;
            }
        }
    }

    /// Returns the moving average of the jobs' work; zero before the first job.
    pub fn mean_work(&self) -> f64 {
        self.mean_work
    }

    /// Returns the band of a job.
    pub fn band(&self, work: u64) -> usize {
        let ratio = work as f64 / self.mean_work.max(1.0);
        match ratio {
            ..1.0 => 0,
            ..2.0 => 1,
            ..4.0 => 2,
            _ => 3,
        }
    }

    /// Returns the band of larger jobs that is served least often, if it is neglected; `None` if
    /// there is no neglected band.
    pub fn neglected_band(&self) -> Option<usize> {
        let (served, count) = self.counts.iter().fold((0.0, 0.0), |sum, (served, count)| {
            (sum.0 + served, sum.1 + count)
        });
        let min_share = served / count.max(1.0) * MIN_RELATIVE_SHARE;
        let shares: [f64; BANDS] = array::from_fn(|band| {
            let (served, count) = self.counts[band];
            if count < MIN_COUNT {
                1.0
            } else {
                served / count
            }
        });
        let neglected = (1..BANDS).filter(|band| shares[*band] < min_share);
        neglected.min_by(|a, b| shares[*a].total_cmp(&shares[*b]))
    }
}
