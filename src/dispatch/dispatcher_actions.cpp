// How the Dispatcher executes the actions of the decision module.
#include <algorithm>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke {

void Dispatcher::Execute(Micros now, const Send& action) {
  PendingRequest* request = in_flight_.FindRequest(action.id);
  const int most_attempts = options_.settings.max_attempts;
  const bool too_many = request && most_attempts > 0 && request->attempts_started >= most_attempts;
  if (!request || too_many || now > request->deadline) return RefuseAttempt(now, action, request);
  // Before the attempt is added: it must not count as an earlier one of itself.
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

void Dispatcher::RefuseAttempt(Micros now, const Send& action, PendingRequest* request) {
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
// run. The module keeps to the window when it decides; an attempt whose connection is slow to open must not
// be sent after it either.
Micros Dispatcher::LatestStart(RequestId id, const PendingRequest& request) const {
  const ClassSettings& of_class = ClassOf(request.class_index);
  if (of_class.idempotency != Idempotency::kWithKey) return kNoDeadline;
  const Micros first_run = std::min(request.first_possible_run.value_or(kNoDeadline),
                                    in_flight_.EarliestStart(id).value_or(kNoDeadline));
  return first_run == kNoDeadline ? kNoDeadline : first_run + of_class.retry_window;
}

void Dispatcher::Execute(Micros now, const Reject& action) {
  RespondFinally(now, action.id, RejectedResponse{action.retry_after});
}

void Dispatcher::Execute(Micros now, const Fail& action) { RespondFinally(now, action.id, FailedResponse{}); }

void Dispatcher::Execute(Micros now, const Cancel& action) {
  const std::optional<OperationId> operation_id = in_flight_.FindAttempt(action.id, action.attempt);
  if (!operation_id) return;
  commands_.push_back(CancelOperation{*operation_id});
  FinishOperation(now, *operation_id, Outcome{.status = Status::kCancelled});
}

void Dispatcher::Execute(Micros now, const SetTimer& action) {
  // Never expires in the turn in which it is set.
  constexpr Micros kLeastDelay = 1;
  timers_.Schedule(now + std::max(action.delay, kLeastDelay), TimerQueue::Kind::kModuleTimer, action.token);
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

// Routers have no connection to each other.
void Dispatcher::Execute(Micros, const Gossip&) {}

void Dispatcher::Execute(Micros, const Log& action) { commands_.push_back(WriteLog{action.text}); }

// The watch of service discovery is always on.
void Dispatcher::Execute(Micros, const WatchEndpointList&) {}

void Dispatcher::Execute(Micros, const FetchEndpointList&) { commands_.push_back(RefreshEndpointList{}); }

}  // namespace tulipyoke
