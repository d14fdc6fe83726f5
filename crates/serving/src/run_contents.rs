//! What a run consists of that may crash the upstream which runs it.

use std::sync::Arc;

use crate::Content;
use crate::Prompt;

/// A shared part of a prompt at one service.
///
/// It counts twice: among the prompts of one customer, and among those of all. Without the first,
/// a customer whose requests crash upstreams could name a part of another customer's prompts in
/// them, and have that customer refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartContent {
    /// The part in prompts of the customer.
    pub of_customer: Content,
    /// The part in prompts of all customers.
    pub of_all: Content,
}

impl PartContent {
    fn new(service: &str, customer: &str, id: u64) -> PartContent {
        let (service, id) = (service.as_bytes(), id.to_be_bytes());
        PartContent {
            of_customer: Content::of(&[b"prompt part", service, &id, customer.as_bytes()]),
            of_all: Content::of(&[b"prompt part", service, &id]),
        }
    }
}

/// The contents of one run: its request, and the parts of its prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunContents {
    /// The whole request.
    pub request: Content,
    /// The shared parts of its prompt in their order, each one once.
    pub parts: Arc<[PartContent]>,
}

impl RunContents {
    /// The contents of a run at this service. The last part of the prompt belongs to the request
    /// alone and is not among them.
    pub fn new(
        request: Content,
        service: &str,
        customer: Option<&str>,
        prompt: Option<&Prompt>,
    ) -> RunContents {
        let listed = prompt.map_or(&[][..], |p| p.parts.as_slice());
        let shared = listed.split_last().map_or(&[][..], |(_own, shared)| shared);
        let mut parts: Vec<PartContent> = Vec::with_capacity(shared.len());
        for part in shared {
            let part = PartContent::new(service, customer.unwrap_or(""), part.id);
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        RunContents {
            request,
            parts: parts.into(),
        }
    }

    /// The contents of a run without a prompt.
    pub fn of_request(request: Content) -> RunContents {
        RunContents {
            request,
            parts: Arc::default(),
        }
    }

    /// All contents, the most specific first: the request, then the parts of the customer's
    /// prompts and the parts of all prompts, each from the last to the first.
    pub fn iter(&self) -> impl Iterator<Item = Content> {
        let of_customer = self.parts.iter().rev().map(|p| p.of_customer);
        let of_all = self.parts.iter().rev().map(|p| p.of_all);
        [self.request].into_iter().chain(of_customer).chain(of_all)
    }
}
