//! The definitions that this library stands in front of.

use std::ffi::{CStr, c_void};
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the C library, looked up once.
pub struct Real {
    name: &'static CStr,
    found: AtomicPtr<c_void>,
}

impl Real {
    /// A function by its name.
    pub const fn named(name: &'static CStr) -> Self {
        Real { name, found: AtomicPtr::new(std::ptr::null_mut()) }
    }

    /// The next definition of the name after this library's.
    pub fn get(&self) -> *mut c_void {
        let found = self.found.load(Ordering::Relaxed);
        if !found.is_null() {
            return found;
        }
        // SAFETY: the name ends with a zero byte.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            // Without the real function nothing can go on.
            // SAFETY: ends the process.
            unsafe { libc::abort() }
        }
        self.found.store(found, Ordering::Relaxed);
        found
    }
}

/// Calls the real function of a name with a type.
macro_rules! real {
    ($name:literal as $type:ty, $($argument:expr),*) => {{
        static REAL: $crate::real::Real = $crate::real::Real::named($name);
        // SAFETY: the type is that of the C library's declaration; the arguments are the caller's own.
        unsafe { std::mem::transmute::<*mut std::ffi::c_void, $type>(REAL.get())($($argument),*) }
    }};
}
pub(crate) use real;
