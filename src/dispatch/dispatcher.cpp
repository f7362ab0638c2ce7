#include "src/dispatch/dispatcher.hpp"

#include <algorithm>
#include <variant>

namespace tulipyoke {
namespace {

// A request that the module leaves unanswered gets its response from the Dispatcher after half of the answer
// slack, so that the response still reaches the client within the slack.
constexpr Micros kOverdueSlackDivisor = 2;

// The age of a session's last write in milliseconds; never 0, which would mean that there is none.
double WriteAgeMs(Micros now, std::int64_t written_unix_ms) {
  constexpr double kMicrosPerMs = 1e3;
  constexpr double kLeastAgeMs = 0.001;
  return std::max(kLeastAgeMs,
                  static_cast<double>(now) / kMicrosPerMs - static_cast<double>(written_unix_ms));
}

std::vector<ClassStatistics> StatisticsFor(const std::vector<ClassSettings>& classes) {
  std::vector<ClassStatistics> statistics;
  for (const ClassSettings& of_class : classes) statistics.push_back({of_class.name});
  return statistics;
}

trace::RequestFinished TraceOf(RequestId id, const Response& response) {
  if (const auto* rejected = std::get_if<RejectedResponse>(&response)) {
    return {id, trace::Result::kRejected, rejected->retry_after};
  }
  const bool failed = std::holds_alternative<FailedResponse>(response);
  return {id, failed ? trace::Result::kFailed : trace::Result::kServed, 0};
}

trace::EndpointsUpdated TraceOf(const EndpointList& list) {
  trace::EndpointsUpdated event;
  event.complete = list.complete;
  for (const ListedServer& listed : list.servers) event.servers.push_back({listed.id, listed.state});
  return event;
}

// Whether the command starts this attempt.
bool StartsAttempt(const Command& command, OperationId id) {
  const auto* start = std::get_if<StartAttempt>(&command);
  return start && start->operation_id == id;
}

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options)),
      positions_(options_.settings.position_epoch),
      outcome_events_(options_.settings, positions_),
      router_(options_.settings, options_.seed),
      directory_(options_.zones, options_.kinds),
      replication_(router_, directory_, positions_),
      class_statistics_(StatisticsFor(options_.settings.classes)) {}

const ClassSettings& Dispatcher::ClassOf(int class_index) const {
  return options_.settings.classes[static_cast<std::size_t>(class_index)];
}

void Dispatcher::Start(Micros now, const EndpointList& known) {
  DeliverEvent(now, directory_.Apply(known, EndpointListKind::kCached, commands_));
}

RequestId Dispatcher::Submit(Micros now, const ClientRequest& request) {
  const RequestId id = next_request_++;
  const Micros arrival_time = std::min(now, request.arrival_time.value_or(now));
  const Micros deadline = std::max(now, std::min(arrival_time + request.timeout, drain_deadline_));
  in_flight_.AddRequest(id, {request.class_index, 0, deadline, request.session_key, request.payload});
  ++counters_.received;
  Trace(now, [&] {
    return trace::RequestReceived{std::string(ClientRequestId(request.payload.get())),
                                  id,
                                  ClassOf(request.class_index).name,
                                  request.group,
                                  deadline - now,
                                  now - arrival_time,
                                  request.preceding_write};
  });
  timers_.Schedule(deadline + options_.settings.response_slack / kOverdueSlackDivisor,
                   TimerQueue::Kind::kRequestOverdue, id);
  if (request.preceding_write && in_flight_.HasRequest(*request.preceding_write)) {
    write_barrier_.Add(id, *request.preceding_write, request, arrival_time);
    // After half of its time the module gives up a request that was not sent: there is nothing to wait for.
    timers_.Schedule(arrival_time + (deadline - arrival_time) / 2, TimerQueue::Kind::kWriteWaitExpired, id);
    return id;
  }
  DeliverEvent(now, ArrivalOf(now, id, request, arrival_time));
  return id;
}

RequestArrived Dispatcher::ArrivalOf(Micros now, RequestId id, const ClientRequest& request,
                                     Micros arrival_time) const {
  RequestArrived event;
  event.id = id;
  event.class_index = request.class_index;
  event.tenant = request.tenant;
  event.group = request.group;
  event.key = request.session_key;
  event.remaining = std::max<Micros>(0, in_flight_.requests().at(id).deadline - now);
  event.waited = now - arrival_time;
  event.is_retry = request.is_retry;
  if (request.last_write_unix_ms) event.ms_since_write = WriteAgeMs(now, *request.last_write_unix_ms);
  return event;
}

void Dispatcher::DeliverWaiting(Micros now, RequestId id) {
  const std::optional<WriteBarrier::Waiting> waiting = write_barrier_.Take(id);
  if (waiting) DeliverEvent(now, ArrivalOf(now, id, waiting->request, waiting->arrival_time));
}

void Dispatcher::ClientDisconnected(Micros now, RequestId id) {
  if (const StreamTable::Entry* streaming = streams_.Find(id)) {
    ++counters_.disconnected;
    if (streaming->open_operation) commands_.push_back(CancelOperation{*streaming->open_operation});
    streams_.Remove(id);
    return;
  }
  if (!in_flight_.RemoveRequest(id)) return;
  write_barrier_.RequestEnded(id);
  ++counters_.disconnected;
  DeliverEvent(now, RequestCancelled{id});
  CancelUnsent(now, id);
}

// No client waits for the request any more. An attempt that waits for a connection or is partly written must
// not go out later. It has never run, because a server begins nothing before the last byte.
void Dispatcher::CancelUnsent(Micros now, RequestId id) {
  for (const OperationId unsent : in_flight_.UnwrittenAttempts(id)) {
    const bool still_queued =
        std::erase_if(commands_, [&](const Command& command) { return StartsAttempt(command, unsent); }) > 0;
    if (!still_queued) commands_.push_back(CancelOperation{unsent});
    FinishOperation(now, unsent, Outcome{.status = Status::kNotSent});
  }
}

void Dispatcher::StreamDelivered(RequestId id) {
  const StreamTable::Entry* streaming = streams_.Find(id);
  if (!streaming) return;
  const bool complete = streaming->stream->state() == ResponseStream::State::kComplete;
  ++(complete ? counters_.served : counters_.failed);
  CountResponse(streaming->operation.class_index,
                complete ? Response(ServedResponse{}) : Response(FailedResponse{}));
  streams_.Remove(id);
}

void Dispatcher::OperationWritten(OperationId id) {
  Operation* operation = in_flight_.FindOperation(id);
  if (!operation || operation->is_probe()) return;
  operation->written = true;
  ++written_attempts_;
}

void Dispatcher::OperationFinished(Micros now, OperationId id, Outcome outcome) {
  if (const std::optional<RequestId> streaming = streams_.FindRequest(id)) {
    return FinishStream(now, *streaming, std::move(outcome));
  }
  FinishOperation(now, id, std::move(outcome));
}

std::shared_ptr<ResponseStream> Dispatcher::BeginStream(Micros now, OperationId id,
                                                        const std::string& row_description,
                                                        std::size_t size) {
  const Operation* found = in_flight_.FindOperation(id);
  if (!found) return nullptr;
  const Operation operation = *found;
  std::shared_ptr<ResponseStream> stream;
  if (!operation.is_probe() && in_flight_.RemoveRequest(operation.request)) {
    write_barrier_.RequestEnded(operation.request);
    stream = std::make_shared<ResponseStream>(row_description, size);
    streams_.Add(id, operation, stream);
    commands_.push_back(SendResponse{operation.request, StreamingResponse{stream}});
  }
  // The attempt's latency is the time to its first bytes. The commit of a write, which is stated behind the
  // value, is taken to be of this moment: rounding up is safe.
  FinishOperation(now, id, Outcome{});
  return stream;
}

void Dispatcher::FinishStream(Micros now, RequestId id, Outcome outcome) {
  const Operation operation = streams_.Find(id)->operation;
  const std::shared_ptr<ResponseStream> stream = streams_.Find(id)->stream;
  streams_.CloseOperation(id);
  DeliverEvent(now, outcome_events_.ToServerShown(now, operation, outcome));
  const bool committed = outcome_events_.IsCommit(operation, outcome);
  replication_.ReplicateOutcome(operation, outcome.role, committed, commands_);
  // Either call may finish the client side as well and so remove the entry.
  if (outcome.status == Status::kOk) {
    stream->Complete(std::move(outcome.result.command_tag));
  } else {
    stream->Abort();
  }
}

void Dispatcher::FinishOperation(Micros now, OperationId id, Outcome outcome) {
  const std::optional<Operation> operation = in_flight_.RemoveOperation(id);
  if (!operation) return;
  if (operation->is_probe()) return FinishProbe(now, *operation, outcome);
  FinishAttempt(now, *operation, std::move(outcome));
}

void Dispatcher::FinishProbe(Micros now, const Operation& operation, const Outcome& outcome) {
  ++counters_.probe_outcomes[IndexOf(outcome.status)];
  Trace(now, [&] {
    return trace::ProbeFinished{directory_.IdOf(operation.server), outcome.status, now - operation.started};
  });
  DeliverEvent(now, outcome_events_.ToProbeEnded(now, operation, outcome));
}

void Dispatcher::FinishAttempt(Micros now, const Operation& operation, Outcome outcome) {
  ++counters_.attempt_outcomes[IndexOf(outcome.status)];
  Trace(now, [&] {
    return trace::AttemptFinished{operation.request, operation.attempt, directory_.IdOf(operation.server),
                                  outcome.status,    outcome.role,      now - operation.started};
  });
  PendingRequest* request = in_flight_.FindRequest(operation.request);
  if (request && !CannotHaveRun(outcome.status)) {
    const Micros earlier = request->first_possible_run.value_or(operation.started);
    request->first_possible_run = std::min(earlier, operation.started);
  }
  AttemptEnded event = outcome_events_.ToAttemptEnded(now, operation, outcome);
  const bool committed = outcome_events_.IsCommit(operation, outcome);
  if (outcome.status == Status::kOk) {
    RespondFinally(now, operation.request, ServedResponse{std::move(outcome.result)});
  }
  event.request_ended = !in_flight_.HasRequest(operation.request);
  DeliverEvent(now, std::move(event));
  replication_.ReplicateOutcome(operation, outcome.role, committed, commands_);
}

// The only place that sends a final response, except for streams: the first response ends the request.
void Dispatcher::RespondFinally(Micros now, RequestId id, Response response) {
  const PendingRequest* request = in_flight_.FindRequest(id);
  if (!request) return;
  CountResponse(request->class_index, response);
  Trace(now, [&] { return TraceOf(id, response); });
  in_flight_.RemoveRequest(id);
  write_barrier_.RequestEnded(id);
  if (std::holds_alternative<ServedResponse>(response)) ++counters_.served;
  if (std::holds_alternative<RejectedResponse>(response)) ++counters_.rejected;
  if (std::holds_alternative<FailedResponse>(response)) ++counters_.failed;
  commands_.push_back(SendResponse{id, std::move(response)});
  CancelUnsent(now, id);
}

void Dispatcher::CountResponse(int class_index, const Response& response) {
  ClassStatistics& statistics = class_statistics_[static_cast<std::size_t>(class_index)];
  if (std::holds_alternative<ServedResponse>(response)) {
    ++statistics.passed;
  } else if (std::holds_alternative<RejectedResponse>(response)) {
    ++statistics.dropped;
  } else {
    ++statistics.bad_gateway;
  }
}

void Dispatcher::UpdateEndpoints(Micros now, const EndpointList& list) {
  ++counters_.endpoint_lists;
  Trace(now, [&] { return TraceOf(list); });
  const EndpointListKind kind = list.complete ? EndpointListKind::kFull : EndpointListKind::kDelta;
  DeliverEvent(now, directory_.Apply(list, kind, commands_));
}

void Dispatcher::SetDrainDeadline(Micros deadline) {
  drain_deadline_ = deadline;
  // The module decides how each request ends: one that was never sent is rejected, so that its client may
  // retry elsewhere.
  for (const auto& [id, request] : in_flight_.requests()) {
    if (request.deadline <= deadline) continue;
    timers_.Schedule(deadline, TimerQueue::Kind::kModuleTimer, id);
    timers_.Schedule(deadline, TimerQueue::Kind::kRequestOverdue, id);
  }
}

void Dispatcher::ApplyPeerUpdate(Micros now, const SessionUpdate& update) {
  DeliverEvent(now, replication_.ToEvent(update));
}

void Dispatcher::ApplyPeerUpdate(Micros now, const ServerUpdate& update) {
  if (const std::optional<ServerObservation> event = replication_.ToEvent(update)) DeliverEvent(now, *event);
}

void Dispatcher::Tick(Micros now) {
  while (const std::optional<TimerQueue::Timer> timer = timers_.PopExpired(now)) {
    switch (timer->kind) {
      case TimerQueue::Kind::kOperationTimeout:
        OnOperationTimeout(now, timer->id);
        break;
      case TimerQueue::Kind::kModuleTimer:
        // At a drain deadline the module ends a request that waits, too: it has to know of it for that.
        DeliverWaiting(now, timer->id);
        DeliverEvent(now, TimerFired{timer->id});
        break;
      case TimerQueue::Kind::kWriteWaitExpired:
        DeliverWaiting(now, timer->id);
        break;
      case TimerQueue::Kind::kRequestOverdue:
        OnRequestOverdue(now, timer->id);
        break;
    }
  }
}

void Dispatcher::OnOperationTimeout(Micros now, OperationId id) {
  const Operation* operation = in_flight_.FindOperation(id);
  if (!operation) return;
  commands_.push_back(CancelOperation{id});
  // An attempt that waits for its connection or is partly written has not run and never will.
  const bool may_run = operation->is_probe() || operation->written;
  FinishOperation(now, id, Outcome{.status = may_run ? Status::kTimeout : Status::kConnectFailed});
}

// The module should have answered the request; the client must not wait any longer.
void Dispatcher::OnRequestOverdue(Micros now, RequestId id) {
  const PendingRequest* request = in_flight_.FindRequest(id);
  if (!request) return;
  if (now > request->deadline) ++counters_.overdue;
  RespondFinally(now, id, FailedResponse{});
  DeliverEvent(now, RequestCancelled{id});
}

// An event that arises while another one is handled waits for its turn: the module is never re-entered.
void Dispatcher::DeliverEvent(Micros now, Event event) {
  events_.push_back(std::move(event));
  if (delivering_) return;
  delivering_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    router_.handle(now, next, actions);
    for (const Action& action : actions) {
      std::visit([&](const auto& typed_action) { Execute(now, typed_action); }, action);
    }
    // A request that waited for a write goes on once the module has been told of all that the write did.
    while (events_.empty()) {
      const std::optional<RequestId> released = write_barrier_.NextReleased();
      if (!released) break;
      DeliverWaiting(now, *released);
    }
  }
  delivering_ = false;
}

DispatchStatistics Dispatcher::StatisticsAt(Micros now) const {
  DispatchStatistics statistics;
  statistics.classes = class_statistics_;
  statistics.upstream_attempts = written_attempts_;
  statistics.in_progress = in_progress();
  statistics.known_servers = directory_.entries().size();
  for (const auto& [id, entry] : directory_.entries()) {
    if (router_.avoids(now, entry.server)) ++statistics.skipped_servers;
  }
  return statistics;
}

}  // namespace tulipyoke
