//! Mutex locking that ignores poisoning.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks `mutex`, ignoring poisoning.
///
/// Poisoning can be ignored because locks are held only for a few operations that leave the
/// value consistent, and never across an `await`.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
