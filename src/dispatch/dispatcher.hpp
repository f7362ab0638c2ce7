// Passes requests and the outcomes of attempts to the routing policy (Router), of which it is the only
// caller, and turns the actions of the policy into commands. Independent of protocols. Keeps track of
// requests, attempts and timers. Each request gets exactly one final response, unless its client disconnects.
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
#include "src/dispatch/outcome_translator.hpp"
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
  std::vector<std::string> zones, kinds;  // as named in endpoint lists; the policy uses their index
  Micros probe_timeout = 0;
  bool trace = false;  // issue TraceStep commands
};

// Not thread-safe. Does no I/O: the caller passes the time and executes the commands. All times are in
// microseconds of a monotonic clock that started at Unix time.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);
  Dispatcher(const Dispatcher&) = delete;  // members hold references to each other
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Must be called before any other method. `cached` is the last known list of servers.
  void Start(Micros now, const EndpointList& cached);

  // Called by the client listener.
  RequestId Submit(Micros now, const ClientRequest& request);
  void ClientDisconnected(Micros now, RequestId id);
  // Whether a server may have executed the open request, or may yet if no further attempt starts.
  bool MayHaveRun(RequestId id) const;
  // Counts a response that the listener sent to a request that it did not submit.
  void CountLocalResponse(int class_index, const Response& response) { CountResponse(class_index, response); }
  // The listener has sent the client all of a streaming response, or all that was received before an abort.
  void StreamDelivered(RequestId id);

  // Called by the upstream pool. Calls for an operation that has already finished are ignored.
  // The last byte of the attempt has been written to the server's socket. Ignored for probes.
  void OperationWritten(OperationId id);
  void OperationFinished(Micros now, OperationId id, Outcome outcome);
  // The attempt has begun to receive a large value, which becomes the response of the request even if it is
  // aborted later. No deadline applies from then on; OperationFinished reports the end. Returns null if no
  // client is waiting for the response any more.
  std::shared_ptr<ResponseStream> BeginStream(Micros now, OperationId id, const std::string& row_description,
                                              std::size_t size);

  // Called by service discovery.
  void UpdateEndpoints(Micros now, const EndpointList& list);

  // For graceful shutdown: every request, including one submitted later, gets its final response by then.
  // Streaming responses that have begun are not ended.
  void SetDrainDeadline(Micros deadline);

  // For hot restart: the state that this process and its peer process exchange while both run.
  void SetReplicationEnabled(bool enabled) { replication_.SetEnabled(enabled); }
  std::vector<SessionUpdate> SessionSnapshot() const { return replication_.SessionUpdates(); }
  std::vector<ServerUpdate> ServerSnapshot() const { return replication_.ServerUpdates(); }
  void ApplyPeerUpdate(Micros now, const SessionUpdate& update);
  void ApplyPeerUpdate(Micros now, const ServerUpdate& update);
  // Tells the policy whether the sessions of the peer are known. Until they are, and permanently once they
  // are lost, a session without a known commit may have written.
  void SetSessionSync(Micros now, SessionSync sync) { DeliverEvent(now, sync); }

  // Handles all timers that have expired.
  void Tick(Micros now);
  std::optional<Micros> NextTimerExpiry() const { return timers_.NextExpiry(); }
  // Includes timers of requests that have ended, but not many more than there are others.
  std::size_t pending_timers() const { return timers_.size(); }

  std::vector<Command> TakeCommands() { return std::exchange(commands_, {}); }
  const Settings& settings() const { return options_.settings; }
  const DispatchCounters& counters() const { return counters_; }
  DispatchStatistics StatisticsAt(Micros now) const;
  // The number of requests without a final response and of streaming responses that are not fully delivered.
  // The number of streaming responses that are not fully delivered.
  std::size_t streams_in_progress() const { return streams_.size(); }
  std::size_t in_progress() const { return in_flight_.requests().size() + streams_.size(); }

 private:
  void DeliverEvent(Micros now, Event event);
  RequestArrived MakeArrivalEvent(Micros now, RequestId id, const ClientRequest& request,
                                  Micros arrival_time) const;
  // Passes the request to the policy if it is still deferred. The wait for its preceding write is then over,
  // also if the write has not ended.
  void DeliverDeferred(Micros now, RequestId id);
  void FinishOperation(Micros now, OperationId id, Outcome outcome);
  void FinishProbe(Micros now, const Operation& operation, const Outcome& outcome);
  void FinishAttempt(Micros now, const Operation& operation, Outcome outcome);
  void FinishStream(Micros now, RequestId id, Outcome outcome);
  void CancelUnsent(Micros now, RequestId id);
  void SendFinalResponse(Micros now, RequestId id, Response response);
  void CountResponse(int class_index, const Response& response);
  // Discards the timers of requests and operations that have ended, once there are many.
  void DiscardStaleTimers();
  bool IsStale(const TimerQueue::Timer& timer) const;
  void OnOperationTimeout(Micros now, OperationId id);
  void OnRequestOverdue(Micros now, RequestId id);
  // Reports an attempt that the policy requested too late, or beyond the limit of attempts, as not sent.
  void ReportUnsentAttempt(Micros now, const Send& action, PendingRequest* request);
  // The latest time at which an attempt of the request may be sent.
  Micros LatestStart(RequestId id, const PendingRequest& request) const;
  const ClassSettings& ClassSettingsFor(int class_index) const;
  // Issues the trace event that `make_event` returns. `make_event` is called only if tracing is on.
  template <typename MakeEvent>
  void Trace(Micros now, const MakeEvent& make_event) {
    if (options_.trace) commands_.push_back(TraceStep{now, make_event()});
  }

  // Execute an action of the policy.
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
  const PositionScale position_scale_;
  const OutcomeTranslator outcome_translator_;
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
  std::deque<Event> events_;  // not yet delivered to the policy
  bool delivering_ = false;
  RequestId next_request_id_ = 1;
  Micros drain_deadline_ = kNoDeadline;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_DISPATCHER_HPP_
