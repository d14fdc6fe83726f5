//! The platform's services as traits.

use std::fmt::Debug;
use std::pin::Pin;

use crate::KvError;
use crate::KvReply;
use crate::KvRequest;
use crate::Listed;

/// The future of a service call. Boxed, so that the traits can be used as
/// trait objects and an adapter can be replaced at run time.
pub type ServiceFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, KvError>> + Send + 'a>>;

/// The platform's key-value service.
pub trait KeyValue: Debug + Send + Sync {
    /// Makes one call.
    fn call(&self, req: KvRequest) -> ServiceFuture<'_, KvReply>;
}

/// The platform's list of instances.
pub trait InstanceList: Debug + Send + Sync {
    /// Reads the list as it is now.
    fn list(&self) -> ServiceFuture<'_, Vec<Listed>>;
}
