//! The mapped control file, and the draws that its rates ask for.

use std::ffi::CString;
use std::ptr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use mothpier_fault_control::{CELL, CONTROL_VARIABLE, Setting};

/// The mapped cells.
struct Cells(*const AtomicI64);

// SAFETY: the cells are atomics in a mapping that lives as long as the process.
unsafe impl Send for Cells {}
// SAFETY: as above.
unsafe impl Sync for Cells {}

static CELLS: OnceLock<Option<Cells>> = OnceLock::new();
static DRAWS: AtomicU64 = AtomicU64::new(0);

fn map() -> Option<Cells> {
    let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
    // SAFETY: plain system calls on a path that ends with a zero byte; the mapping is checked before it is used.
    let mapped = unsafe {
        let file = libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        let mapped =
            libc::mmap(ptr::null_mut(), Setting::COUNT * CELL, protection, libc::MAP_SHARED, file, 0);
        libc::close(file);
        mapped
    };
    (mapped != libc::MAP_FAILED).then_some(Cells(mapped.cast()))
}

fn cell(setting: Setting) -> Option<&'static AtomicI64> {
    let cells = CELLS.get_or_init(map).as_ref()?;
    // SAFETY: the mapping has a cell for every setting and is never unmapped.
    Some(unsafe { &*cells.0.add(setting as usize) })
}

/// The value of a setting; 0 without a control file.
pub fn value(setting: Setting) -> i64 {
    cell(setting).map_or(0, |cell| cell.load(Ordering::Relaxed))
}

/// Counts a countdown setting down; whether this call is the one that it names.
pub fn counts_down(setting: Setting) -> bool {
    let Some(cell) = cell(setting) else { return false };
    cell.load(Ordering::Relaxed) > 0 && cell.fetch_sub(1, Ordering::Relaxed) == 1
}

/// The next draw of this process (splitmix64 over a counter).
pub fn draw() -> u64 {
    let number = DRAWS.fetch_add(1, Ordering::Relaxed);
    let process = u64::from(std::process::id());
    let mut mixed = (value(Setting::Seed) as u64)
        .wrapping_add(process.wrapping_mul(0x9e37_79b9))
        .wrapping_add(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Whether a fault of this rate is injected now.
pub fn drawn(rate: Setting) -> bool {
    let rate = value(rate);
    let hit = rate > 0 && draw() % 1000 < rate as u64;
    if hit && let Some(injected) = cell(Setting::Injected) {
        injected.fetch_add(1, Ordering::Relaxed);
    }
    hit
}

/// One of several error numbers.
pub fn one_of(errors: &[i32]) -> i32 {
    errors[(draw() % errors.len() as u64) as usize]
}
