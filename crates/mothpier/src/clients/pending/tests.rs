use super::*;
use crate::memory::NodeMemory;
use crate::metrics::StateMetrics;

/// A value that was given up for want of memory, as the reply to a request.
fn given_up_reply(is_safe: bool) -> PendingReply {
    let (sender, value) = StreamedValue::of(100_000, &NodeMemory::new(0, &Rc::default()));
    assert!(sender.abandon());
    let pending_request = PendingRequest::new((0, is_safe), &Rc::default(), None);
    PendingReply { state: ReplyState::Streaming(value), pending_request: Some(pending_request) }
}

/// A request may only be refused, and counted as refused, if it may be sent again: it has run.
#[test]
fn a_value_given_up_is_refused_and_counted_only_if_the_request_may_run_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    for (is_safe, text, outcome, refusals) in
        [(true, "-BUSY 100\r\n", Ended::Rejected, 1), (false, "-ERR failed\r\n", Ended::Failed, 0)]
    {
        let metrics = Metrics::new(&[]).unwrap();
        let mut pending = VecDeque::from([given_up_reply(is_safe)]);
        assert_eq!(runtime.block_on(count_ready_replies(&mut pending, &metrics)), 1);
        let ReplyState::Ready(bytes) = &pending[0].state else { panic!("safe: {is_safe}") };
        assert_eq!(bytes, text);
        assert_eq!(pending[0].pending_request.as_ref().unwrap().outcome, outcome);
        let line = format!("edge_router_downstream_refusals_total{{reason=\"memory\"}} {refusals}\n");
        assert!(metrics.text(StateMetrics::default()).unwrap().contains(&line), "safe: {is_safe}");
    }
}
