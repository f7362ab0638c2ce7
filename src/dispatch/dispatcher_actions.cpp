// Executes the actions of the routing policy.
#include <algorithm>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke {

void Dispatcher::Execute(Micros now, const Send& action) {
  PendingRequest* request = in_flight_.FindRequest(action.id);
  const int max_attempts = options_.settings.max_attempts;
  const bool too_many = request && max_attempts > 0 && request->attempts_started >= max_attempts;
  if (!request || too_many || now > request->deadline) return ReportUnsentAttempt(now, action, request);
  // Must precede AddAttempt, because the new attempt would count as one of the earlier attempts.
  const Micros latest_start = LatestStart(action.id, *request);
  const int attempt = request->attempts_started;
  const OperationId operation_id = in_flight_.AddAttempt(now, action.id, *request, action.server);
  ++counters_.attempts;
  Trace(now, [&] {
    return trace::AttemptStarted{action.id, attempt, directory_.IdOf(action.server), action.timeout};
  });
  const bool has_timeout = action.timeout > 0;
  const Micros deadline = has_timeout ? std::min(request->deadline, now + action.timeout) : request->deadline;
  timers_.Schedule(deadline, TimerQueue::Kind::kOperationTimeout, operation_id);
  commands_.push_back(StartAttempt{operation_id, action.server, request->payload, deadline, latest_start});
}

void Dispatcher::ReportUnsentAttempt(Micros now, const Send& action, PendingRequest* request) {
  AttemptEnded event;
  event.id = action.id;
  event.server = action.server;
  event.status = Status::kNotSent;
  event.request_ended = request == nullptr;
  if (request) {
    event.attempt = request->attempts_started;
    ++request->attempts_started;
  }
  ++counters_.attempt_outcomes[IndexOf(Status::kNotSent)];
  DeliverEvent(now, event);
}

// A request with an idempotency key may be retried only within a window after the first attempt that may have
// been executed. The policy observes the window when it decides on a retry; this limit also covers an attempt
// that waits for its connection until after the window.
Micros Dispatcher::LatestStart(RequestId id, const PendingRequest& request) const {
  const ClassSettings& class_settings = ClassSettingsFor(request.class_index);
  if (class_settings.idempotency != Idempotency::kWithKey) return kNoDeadline;
  const Micros first_execution = std::min(request.first_possible_execution.value_or(kNoDeadline),
                                          in_flight_.EarliestAttemptStart(id).value_or(kNoDeadline));
  return first_execution == kNoDeadline ? kNoDeadline : first_execution + class_settings.retry_window;
}

void Dispatcher::Execute(Micros now, const Reject& action) {
  SendFinalResponse(now, action.id, RejectedResponse{action.retry_after});
}

void Dispatcher::Execute(Micros now, const Fail& action) {
  SendFinalResponse(now, action.id, FailedResponse{});
}

void Dispatcher::Execute(Micros now, const Cancel& action) {
  const std::optional<OperationId> operation_id = in_flight_.FindAttempt(action.id, action.attempt);
  if (!operation_id) return;
  commands_.push_back(CancelOperation{*operation_id});
  FinishOperation(now, *operation_id, Outcome{.status = Status::kCancelled});
}

void Dispatcher::Execute(Micros now, const SetTimer& action) {
  // At least 1, so that the timer does not expire in the Tick in which it is set.
  constexpr Micros kMinDelay = 1;
  timers_.Schedule(now + std::max(action.delay, kMinDelay), TimerQueue::Kind::kPolicyTimer, action.token);
}

void Dispatcher::Execute(Micros now, const CheckHealth& action) {
  const OperationId operation_id = in_flight_.AddProbe(now, action.server);
  ++counters_.probes;
  timers_.Schedule(now + options_.probe_timeout, TimerQueue::Kind::kOperationTimeout, operation_id);
  commands_.push_back(StartProbe{operation_id, action.server});
}

void Dispatcher::Execute(Micros, const CloseIdle& action) {
  commands_.push_back(CloseIdleConnections{action.server});
}

// Ignored: routers are not connected to each other.
void Dispatcher::Execute(Micros, const Gossip&) {}

void Dispatcher::Execute(Micros, const Log& action) { commands_.push_back(WriteLog{action.text}); }

// Ignored: service discovery always watches the endpoint list.
void Dispatcher::Execute(Micros, const WatchEndpointList&) {}

void Dispatcher::Execute(Micros, const FetchEndpointList&) { commands_.push_back(RefreshEndpointList{}); }

}  // namespace tulipyoke
