#include "src/dispatch/dispatcher.hpp"

#include <algorithm>
#include <variant>

namespace tulipyoke {
namespace {

// The Dispatcher answers a request that the policy has left unanswered once half of the response slack after
// the deadline has passed, so that the response still reaches the client within the slack.
constexpr Micros kOverdueSlackDivisor = 2;
// Stale timers are discarded once there are twice as many timers as can be pending, and at least this many.
constexpr std::size_t kMinTimersToDiscard = 1024;
// The policy timer, the overdue check, both again for the drain deadline, and the wait for a preceding write.
constexpr std::size_t kMaxTimersPerRequest = 5;

// The age of a session's last write in milliseconds. Always positive, because 0 means that there is no write.
double WriteAgeMs(Micros now, std::int64_t written_unix_ms) {
  constexpr double kMicrosPerMs = 1e3;
  constexpr double kMinAgeMs = 0.001;
  return std::max(kMinAgeMs, static_cast<double>(now) / kMicrosPerMs - static_cast<double>(written_unix_ms));
}

std::vector<ClassStatistics> InitialClassStatistics(const std::vector<ClassSettings>& classes) {
  std::vector<ClassStatistics> statistics;
  for (const ClassSettings& settings : classes) statistics.push_back({settings.name});
  return statistics;
}

trace::RequestFinished MakeTraceEvent(RequestId id, const Response& response) {
  if (const auto* rejected = std::get_if<RejectedResponse>(&response)) {
    return {id, trace::Result::kRejected, rejected->retry_after};
  }
  const bool failed = std::holds_alternative<FailedResponse>(response);
  return {id, failed ? trace::Result::kFailed : trace::Result::kServed, 0};
}

trace::EndpointsUpdated MakeTraceEvent(const EndpointList& list) {
  trace::EndpointsUpdated event;
  event.complete = list.complete;
  for (const ListedServer& listed : list.servers) event.servers.push_back({listed.id, listed.state});
  return event;
}

// Whether the command starts the attempt with this id.
bool IsStartOf(const Command& command, OperationId id) {
  const auto* start = std::get_if<StartAttempt>(&command);
  return start && start->operation_id == id;
}

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options)),
      position_scale_(options_.settings.position_epoch),
      outcome_translator_(options_.settings, position_scale_),
      router_(options_.settings, options_.seed),
      directory_(options_.zones, options_.kinds),
      replication_(router_, directory_, position_scale_),
      class_statistics_(InitialClassStatistics(options_.settings.classes)) {}

const ClassSettings& Dispatcher::ClassSettingsFor(int class_index) const {
  return options_.settings.classes[static_cast<std::size_t>(class_index)];
}

void Dispatcher::Start(Micros now, const EndpointList& cached) {
  DeliverEvent(now, directory_.Apply(cached, EndpointListKind::kCached, commands_));
}

RequestId Dispatcher::Submit(Micros now, const ClientRequest& request) {
  const RequestId id = next_request_id_++;
  const Micros arrival_time = std::min(now, request.arrival_time.value_or(now));
  const Micros deadline = std::max(now, std::min(arrival_time + request.timeout, drain_deadline_));
  in_flight_.AddRequest(id, {request.class_index, 0, deadline, request.session_key, request.payload});
  ++counters_.received;
  Trace(now, [&] {
    return trace::RequestReceived{std::string(ClientRequestId(request.payload.get())),
                                  id,
                                  ClassSettingsFor(request.class_index).name,
                                  request.group,
                                  deadline - now,
                                  now - arrival_time,
                                  request.preceding_write};
  });
  timers_.Schedule(deadline + options_.settings.response_slack / kOverdueSlackDivisor,
                   TimerQueue::Kind::kRequestOverdue, id);
  if (request.preceding_write && in_flight_.HasRequest(*request.preceding_write)) {
    write_barrier_.Add(id, *request.preceding_write, request, arrival_time);
    // The policy rejects a request that is still unsent after half of its timeout, so deferring it for longer
    // is useless.
    timers_.Schedule(arrival_time + (deadline - arrival_time) / 2, TimerQueue::Kind::kWriteWaitExpired, id);
    return id;
  }
  DeliverEvent(now, MakeArrivalEvent(now, id, request, arrival_time));
  return id;
}

RequestArrived Dispatcher::MakeArrivalEvent(Micros now, RequestId id, const ClientRequest& request,
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

void Dispatcher::DeliverDeferred(Micros now, RequestId id) {
  const std::optional<WriteBarrier::DeferredRequest> deferred = write_barrier_.Take(id);
  if (deferred) DeliverEvent(now, MakeArrivalEvent(now, id, deferred->request, deferred->arrival_time));
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

bool Dispatcher::MayHaveRun(RequestId id) const {
  const auto request = in_flight_.requests().find(id);
  if (request == in_flight_.requests().end()) return true;  // its response is being streamed
  return request->second.first_possible_execution.has_value() || in_flight_.HasWrittenAttempt(id);
}

// Cancels the attempts of an ended request that are waiting for a connection or are only partly written. They
// have not been executed, because a server does not execute a request before its last byte.
void Dispatcher::CancelUnsent(Micros now, RequestId id) {
  for (const OperationId unsent : in_flight_.UnwrittenAttempts(id)) {
    const bool still_queued =
        std::erase_if(commands_, [&](const Command& command) { return IsStartOf(command, unsent); }) > 0;
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
  // The attempt's latency is the time to its first byte. The commit position of a write follows the value, so
  // the commit is taken to be of now: rounding up is safe.
  FinishOperation(now, id, Outcome{});
  return stream;
}

void Dispatcher::FinishStream(Micros now, RequestId id, Outcome outcome) {
  const Operation operation = streams_.Find(id)->operation;
  const std::shared_ptr<ResponseStream> stream = streams_.Find(id)->stream;
  streams_.CloseOperation(id);
  DeliverEvent(now, outcome_translator_.ToServerObservation(now, operation, outcome));
  const bool committed = outcome_translator_.IsCommit(operation, outcome);
  replication_.ReplicateOutcome(operation, outcome.role, committed, commands_);
  // Either call may deliver the end of the stream to the client and thus remove the entry.
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
    return trace::ProbeFinished{directory_.IdOf(operation.server), outcome.status,
                                now - operation.start_time};
  });
  DeliverEvent(now, outcome_translator_.ToHealthCheckEnded(now, operation, outcome));
}

void Dispatcher::FinishAttempt(Micros now, const Operation& operation, Outcome outcome) {
  ++counters_.attempt_outcomes[IndexOf(outcome.status)];
  Trace(now, [&] {
    return trace::AttemptFinished{operation.request, operation.attempt, directory_.IdOf(operation.server),
                                  outcome.status,    outcome.role,      now - operation.start_time};
  });
  PendingRequest* request = in_flight_.FindRequest(operation.request);
  if (request && !IsCertainlyNotExecuted(outcome.status)) {
    const Micros earlier = request->first_possible_execution.value_or(operation.start_time);
    request->first_possible_execution = std::min(earlier, operation.start_time);
  }
  AttemptEnded event = outcome_translator_.ToAttemptEnded(now, operation, outcome);
  const bool committed = outcome_translator_.IsCommit(operation, outcome);
  if (outcome.status == Status::kOk) {
    SendFinalResponse(now, operation.request, ServedResponse{std::move(outcome.result)});
  }
  event.request_ended = !in_flight_.HasRequest(operation.request);
  DeliverEvent(now, std::move(event));
  replication_.ReplicateOutcome(operation, outcome.role, committed, commands_);
}

// Sends all final responses except streaming ones. Removes the request, so that it gets only one response.
void Dispatcher::SendFinalResponse(Micros now, RequestId id, Response response) {
  const PendingRequest* request = in_flight_.FindRequest(id);
  if (!request) return;
  CountResponse(request->class_index, response);
  Trace(now, [&] { return MakeTraceEvent(id, response); });
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
  Trace(now, [&] { return MakeTraceEvent(list); });
  const EndpointListKind kind = list.complete ? EndpointListKind::kFull : EndpointListKind::kDelta;
  DeliverEvent(now, directory_.Apply(list, kind, commands_));
}

void Dispatcher::SetDrainDeadline(Micros deadline) {
  drain_deadline_ = deadline;
  // The timer lets the policy end each request: one that was never sent is rejected, so that its client may
  // retry elsewhere.
  for (const auto& [id, request] : in_flight_.requests()) {
    if (request.deadline <= deadline) continue;
    timers_.Schedule(deadline, TimerQueue::Kind::kPolicyTimer, id);
    timers_.Schedule(deadline, TimerQueue::Kind::kRequestOverdue, id);
  }
}

void Dispatcher::ApplyPeerUpdate(Micros now, const SessionUpdate& update) {
  DeliverEvent(now, replication_.ToEvent(update));
}

void Dispatcher::ApplyPeerUpdate(Micros now, const ServerUpdate& update) {
  if (const std::optional<ServerObservation> event = replication_.ToEvent(update)) DeliverEvent(now, *event);
}

// A client states how long it waits, up to a day, so timers would outlive their requests for that long.
void Dispatcher::DiscardStaleTimers() {
  const std::size_t pending =
      kMaxTimersPerRequest * in_flight_.requests().size() + in_flight_.operation_count();
  if (timers_.size() < kMinTimersToDiscard + 2 * pending) return;
  timers_.Discard([this](const TimerQueue::Timer& timer) { return IsStale(timer); });
}

bool Dispatcher::IsStale(const TimerQueue::Timer& timer) const {
  if (timer.kind == TimerQueue::Kind::kOperationTimeout) return !in_flight_.HasOperation(timer.id);
  // The policy's other tokens are no request ids.
  const bool is_request_id = timer.id < next_request_id_;
  return is_request_id && !in_flight_.HasRequest(timer.id);
}

void Dispatcher::Tick(Micros now) {
  DiscardStaleTimers();
  while (const std::optional<TimerQueue::Timer> timer = timers_.PopExpired(now)) {
    switch (timer->kind) {
      case TimerQueue::Kind::kOperationTimeout:
        OnOperationTimeout(now, timer->id);
        break;
      case TimerQueue::Kind::kPolicyTimer:
        // At the drain deadline the policy also ends deferred requests, so it must be given them first.
        DeliverDeferred(now, timer->id);
        DeliverEvent(now, TimerFired{timer->id});
        break;
      case TimerQueue::Kind::kWriteWaitExpired:
        DeliverDeferred(now, timer->id);
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
  // An attempt that is waiting for a connection or is partly written has not been executed and never will be.
  const bool may_have_been_executed = operation->is_probe() || operation->written;
  FinishOperation(now, id,
                  Outcome{.status = may_have_been_executed ? Status::kTimeout : Status::kConnectFailed});
}

// Fallback for a request that the policy has not answered in time.
void Dispatcher::OnRequestOverdue(Micros now, RequestId id) {
  const PendingRequest* request = in_flight_.FindRequest(id);
  if (!request) return;
  if (now > request->deadline) ++counters_.overdue;
  SendFinalResponse(now, id, FailedResponse{});
  DeliverEvent(now, RequestCancelled{id});
}

// Queues an event that is raised while another one is handled, because the policy must not be re-entered.
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
    // Deferred requests follow once the policy has handled all events of the write that they waited for.
    while (events_.empty()) {
      const std::optional<RequestId> ready = write_barrier_.NextReady();
      if (!ready) break;
      DeliverDeferred(now, *ready);
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
