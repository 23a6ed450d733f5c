//! The wall clock, stepped by a setting; the monotonic clocks run on untouched.

use libc::{c_int, clockid_t, time_t, timespec, timeval};
use mothpier_fault_control::Setting;

use crate::control::value;
use crate::real::real;

const MICROS_PER_SECOND: i64 = 1_000_000;

type ClockGettime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

/// Reads a clock.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = real!(c"clock_gettime" as ClockGettime, clock, time);
    let stepped = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if result == 0 && stepped && !time.is_null() {
        let offset = value(Setting::WallOffsetMicros);
        // SAFETY: the real function has just filled it.
        let time = unsafe { &mut *time };
        let nanos = time.tv_nsec + offset.rem_euclid(MICROS_PER_SECOND) * 1000;
        time.tv_sec += offset.div_euclid(MICROS_PER_SECOND) + nanos / 1_000_000_000;
        time.tv_nsec = nanos % 1_000_000_000;
    }
    result
}

fn now() -> timespec {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: a place of its own.
    unsafe { clock_gettime(libc::CLOCK_REALTIME, &raw mut time) };
    time
}

/// Reads the wall clock in microseconds.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn gettimeofday(time: *mut timeval, _zone: *mut libc::c_void) -> c_int {
    let now = now();
    if !time.is_null() {
        // SAFETY: the caller's own place.
        unsafe { *time = timeval { tv_sec: now.tv_sec, tv_usec: now.tv_nsec / 1000 } };
    }
    0
}

/// Reads the wall clock in seconds.
///
/// # Safety
///
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn time(seconds: *mut time_t) -> time_t {
    let now = now().tv_sec;
    if !seconds.is_null() {
        // SAFETY: the caller's own place.
        unsafe { *seconds = now };
    }
    now
}
