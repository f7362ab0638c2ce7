// Connects the client side with the server side and is the only caller of the decision module. Requests and
// outcomes come in, independent of protocols; the module's decisions go out as commands. Owns the requests in
// progress, the attempts, the timers and the rule that each request gets exactly one final response.
#ifndef TULIPYOKE_SRC_DISPATCH_DISPATCHER_HPP_
#define TULIPYOKE_SRC_DISPATCH_DISPATCHER_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/dispatch/client_request.hpp"
#include "src/dispatch/commands.hpp"
#include "src/dispatch/endpoint_directory.hpp"
#include "src/dispatch/endpoint_list.hpp"
#include "src/dispatch/in_flight_table.hpp"
#include "src/dispatch/outcome.hpp"
#include "src/dispatch/outcome_events.hpp"
#include "src/dispatch/peer_replication.hpp"
#include "src/dispatch/peer_update.hpp"
#include "src/dispatch/position_scale.hpp"
#include "src/dispatch/response.hpp"
#include "src/dispatch/response_stream.hpp"
#include "src/dispatch/statistics.hpp"
#include "src/dispatch/stream_table.hpp"
#include "src/dispatch/timer_queue.hpp"
#include "src/dispatch/write_barrier.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

struct DispatcherOptions {
  Settings settings;
  std::uint64_t seed = 0;
  std::vector<std::string> zones, kinds;  // the names in endpoint lists, by the module's index
  Micros probe_timeout = 0;
  bool trace = false;  // issue a TraceStep for each step of each request
};

// Not thread-safe. No I/O: the caller passes the time and executes the commands. All times are microseconds
// of one clock that runs evenly and was set to Unix time once.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  Dispatcher(const Dispatcher&) = delete;  // its parts refer to each other
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Must be the first call; `known` are the servers as they were last known.
  void Start(Micros now, const EndpointList& known);

  // The client side.
  RequestId Submit(Micros now, const ClientRequest& request);
  void ClientDisconnected(Micros now, RequestId id);
  // Counts a response that the client side gave by itself, to a request that was never submitted.
  void CountLocalResponse(int class_index, const Response& response) { CountResponse(class_index, response); }
  // The client has received all of a streaming response, or as much of it as came.
  void StreamDelivered(RequestId id);

  // The server side. An operation that is over is ignored.
  // The server's socket has taken the last byte of the attempt. Ignored for probes.
  void OperationWritten(OperationId id);
  void OperationFinished(Micros now, OperationId id, Outcome outcome);
  // A large value has begun to arrive for the attempt. It is the response from here on, whatever becomes of
  // it, and no deadline ends it; OperationFinished reports its end. Null: no client waits for it any more.
  std::shared_ptr<ResponseStream> BeginStream(Micros now, OperationId id, const std::string& row_description,
                                              std::size_t size);

  // Service discovery.
  void UpdateEndpoints(Micros now, const EndpointList& list);

  // Graceful shutdown: every request gets its final response by then, also one that is submitted later.
  void SetDrainDeadline(Micros deadline);

  // Hot restart: what this process and its peer process tell each other while both run.
  void SetReplicationEnabled(bool enabled) { replication_.SetEnabled(enabled); }
  std::vector<SessionUpdate> SessionSnapshot() const { return replication_.Sessions(); }
  std::vector<ServerUpdate> ServerSnapshot() const { return replication_.Servers(); }
  void ApplyPeerUpdate(Micros now, const SessionUpdate& update);
  void ApplyPeerUpdate(Micros now, const ServerUpdate& update);
  // Until the peer's sessions are known, and for good once they are lost, a session without a known commit
  // may still have written.
  void SetSessionSync(Micros now, SessionSync sync) { DeliverEvent(now, sync); }

  // Runs the timers that have expired.
  void Tick(Micros now);
  std::optional<Micros> NextTimerExpiry() const { return timers_.NextExpiry(); }

  std::vector<Command> TakeCommands() { return std::exchange(commands_, {}); }
  const Settings& settings() const { return options_.settings; }
  const DispatchCounters& counters() const { return counters_; }
  DispatchStatistics StatisticsAt(Micros now) const;
  // Requests without a final response, and streaming responses that the client has not received completely.
  std::size_t in_progress() const { return in_flight_.requests().size() + streams_.size(); }

 private:
  void DeliverEvent(Micros now, Event event);
  RequestArrived ArrivalOf(Micros now, RequestId id, const ClientRequest& request, Micros arrival_time) const;
  // Tells the module of a request that has waited for a preceding write, if it still waits.
  void DeliverWaiting(Micros now, RequestId id);
  void FinishOperation(Micros now, OperationId id, Outcome outcome);
  void FinishProbe(Micros now, const Operation& operation, const Outcome& outcome);
  void FinishAttempt(Micros now, const Operation& operation, Outcome outcome);
  void FinishStream(Micros now, RequestId id, Outcome outcome);
  void CancelUnsent(Micros now, RequestId id);
  void RespondFinally(Micros now, RequestId id, Response response);
  void CountResponse(int class_index, const Response& response);
  void OnOperationTimeout(Micros now, OperationId id);
  void OnRequestOverdue(Micros now, RequestId id);
  // Reports an attempt as moot that the module asked for too late.
  void RefuseAttempt(Micros now, const Send& action, PendingRequest* request);
  // Until when an attempt of the request may be sent.
  Micros LatestStart(RequestId id, const PendingRequest& request) const;
  const ClassSettings& ClassOf(int class_index) const;
  // `make_event` returns the trace event; it is called only if tracing is on.
  template <typename MakeEvent>
  void Trace(Micros now, const MakeEvent& make_event) {
    if (options_.trace) commands_.push_back(TraceStep{now, make_event()});
  }

  // The actions of the module.
  void Execute(Micros now, const Send& action);
  void Execute(Micros now, const Reject& action);
  void Execute(Micros now, const Fail& action);
  void Execute(Micros now, const Cancel& action);
  void Execute(Micros now, const SetTimer& action);
  void Execute(Micros now, const CheckHealth& action);
  void Execute(Micros now, const CloseIdle& action);
  void Execute(Micros now, const Gossip& action);
  void Execute(Micros now, const Log& action);
  void Execute(Micros now, const WatchEndpointList& action);
  void Execute(Micros now, const FetchEndpointList& action);

  const DispatcherOptions options_;
  const PositionScale positions_;
  const OutcomeEvents outcome_events_;
  Router router_;
  EndpointDirectory directory_;
  PeerReplication replication_;
  InFlightTable in_flight_;
  WriteBarrier write_barrier_;
  StreamTable streams_;
  TimerQueue timers_;
  DispatchCounters counters_;
  std::vector<ClassStatistics> class_statistics_;
  std::uint64_t written_attempts_ = 0;
  std::vector<Command> commands_;
  std::deque<Event> events_;  // not yet delivered to the module
  bool delivering_ = false;
  RequestId next_request_ = 1;
  Micros drain_deadline_ = kNoDeadline;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_DISPATCHER_HPP_
