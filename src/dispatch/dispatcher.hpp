// Where the client side and the server side meet, and the only caller of the decision module. Requests and
// outcomes come in, whatever protocol they were spoken in; what the module decides goes out as commands. It
// owns the live requests, the attempts' numbers, the timers and the rule that each request gets one final
// response. No I/O: the caller gives the time and carries out the commands.
#ifndef TULIPYOKE_SRC_DISPATCH_DISPATCHER_HPP_
#define TULIPYOKE_SRC_DISPATCH_DISPATCHER_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/dispatch/outcome.hpp"
#include "src/dispatch/response_stream.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// What a client sent, kept as the bytes that came; the only part that may change is the stated wait.
struct RequestPayload {
  std::string bytes;
  std::size_t timeout_offset = 0, timeout_size = 0;
  std::shared_ptr<const void> memory_reservation = {};  // what is set aside for it, where it is large

  // What stands before and behind the stated wait.
  std::string_view BeforeTimeout() const { return std::string_view(bytes).substr(0, timeout_offset); }
  std::string_view AfterTimeout() const {
    return std::string_view(bytes).substr(timeout_offset + timeout_size);
  }
};

struct ClientRequest {
  int class_index = 0, tenant = 0, group = 0;
  std::uint64_t key = 0;                      // the session; 0: none
  Micros wait = 0;                            // until the client gives up
  std::optional<std::int64_t> after_unix_ms;  // the session's last write, where clients tell
  bool repeat = false;
  std::shared_ptr<const RequestPayload> payload;
};

struct ServedResponse {
  QueryResult result;
};
struct RejectedResponse {  // trying again is harmless
  Micros retry_after = 0;  // 0: no advice
};
struct FailedResponse {};
struct StreamingResponse {  // served, as far as it comes: the front says by Delivered when it is through
  std::shared_ptr<ResponseStream> stream;
};
using Response = std::variant<ServedResponse, RejectedResponse, FailedResponse, StreamingResponse>;

// One attempt or probe, from its start to its outcome.
using OperationId = std::uint64_t;
inline constexpr Micros kNoDeadline = std::numeric_limits<Micros>::max();

// Commands. Each StartAttempt and StartProbe is reported back once, unless a CancelOperation comes first.
struct StartAttempt {
  OperationId operation_id = 0;
  ServerId server = 0;
  std::shared_ptr<const RequestPayload> payload;
  Micros deadline = 0;
  Micros latest_start = 0;  // not begun by then, it is not to be sent any more: its outcome is moot
};
struct StartProbe {
  OperationId operation_id = 0;
  ServerId server = 0;
};
struct CancelOperation {
  OperationId operation_id = 0;
};
struct SetAddress {
  ServerId server = 0;
  std::string address;
};
struct RemoveServer {  // it drains or has left the list: nothing more is started there, until SetAddress
  ServerId server = 0;
};
struct CloseIdleConnections {
  ServerId server = 0;
};
struct SendResponse {
  RequestId id = 0;
  Response response;
};
struct RefreshEndpointList {};
// For the other processes of this router, if there are any: before the answer behind it goes out.
struct SessionUpdate {
  std::uint64_t key = 0;  // 0: whatever sessions of the group are not named
  int group = 0;
  std::int64_t commit_unix_ms = 0;
};
struct ServerUpdate {
  std::string id;
  Role role = Role::kUnknown;
  Micros role_time = 0;
  std::int64_t position_unix_ms = 0;  // 0: none
};
struct ReplicateToPeer {
  std::variant<SessionUpdate, ServerUpdate> update;
};
struct WriteLog {
  std::string text;
};
struct TraceEvent {
  std::string text;
};
inline const std::string& ToText(const TraceEvent& event) { return event.text; }
struct TraceStep {  // a step of a request's way, where these are wanted
  Micros when = 0;
  TraceEvent event;
};
using Command =
    std::variant<StartAttempt, StartProbe, CancelOperation, SetAddress, RemoveServer, CloseIdleConnections,
                 SendResponse, RefreshEndpointList, ReplicateToPeer, WriteLog, TraceStep>;

inline constexpr std::size_t kStatuses = 9;

struct DispatchCounters {
  std::uint64_t received = 0, served = 0, rejected = 0, failed = 0, overdue = 0, disconnected = 0;
  std::uint64_t attempts = 0, probes = 0, endpoint_lists = 0;
  std::array<std::uint64_t, kStatuses> attempt_outcomes{}, probe_outcomes{};
};
std::string ToText(const DispatchCounters& counters);

// What operators are shown: ends by class, counted as the answer goes out, and the state of the moment.
struct ClassStatistics {
  std::string name;
  std::uint64_t passed = 0, dropped = 0, bad_gateway = 0;
};
struct DispatchStatistics {
  std::vector<ClassStatistics> classes;  // by name
  std::uint64_t upstream_attempts = 0;   // attempts written whole
  std::size_t in_progress = 0, known_servers = 0, skipped_servers = 0;
};
// One `name=value` each, with `end` behind it.
std::string ToText(const DispatchStatistics& statistics, char end);

struct DispatcherOptions {
  Settings settings;
  std::uint64_t seed = 0;
  std::vector<std::string> zones, kinds;
  Micros probe_timeout = 0;
  bool trace = false;  // each step of each request is told as TraceStep
};

// All times are microseconds of one clock that runs evenly and was set to Unix time once.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);

  // The first call; the servers as they were last known.
  void Start(Micros now, const EndpointList& known);
  RequestId Submit(Micros now, const ClientRequest& request);
  void ClientDisconnected(Micros now, RequestId id);
  // A request that a front turned away by itself; the module never hears of it.
  void CountLocalResponse(int class_index, const Response& response) { CountResponse(class_index, response); }
  // The attempt's last byte has been taken by its server's socket; probes are passed over.
  void OperationWritten(OperationId operation_id);
  // An operation that is no longer out is passed over.
  void OperationFinished(Micros now, OperationId operation_id, Outcome outcome);
  void UpdateEndpoints(Micros now, const EndpointList& listing);
  // A large value has begun to come for that attempt: it serves the request from here on, whatever becomes of
  // it, and no deadline ends it. Finished tells its end. Null: nobody waits for it any more.
  std::shared_ptr<ResponseStream> BeginStream(Micros now, OperationId operation_id, const std::string& shape,
                                              std::size_t size);
  // The client has been given all of it, or as much as came.
  void StreamDelivered(RequestId id);
  // Every request, also one that is taken later, has its final answer by then.
  void SetDrainDeadline(Micros when);
  // While another process of this router serves beside this one: what it must know, and what it tells. Until
  // its sessions are known here, or for good once they cannot be told any more, none is taken for unwritten.
  void EnableReplication(bool on) { replicates_ = on; }
  std::vector<SessionUpdate> SessionSnapshot() const;
  std::vector<ServerUpdate> ServerSnapshot() const;
  void ApplyPeerUpdate(Micros now, const SessionUpdate& news);
  void ApplyPeerUpdate(Micros now, const ServerUpdate& news);
  void SetSessionsKnown(Micros now, SessionsKnown known) { DeliverEvent(now, known); }
  // Runs what has come due.
  void Tick(Micros now);
  std::optional<Micros> NextTimer() const;

  std::vector<Command> TakeCommands() { return std::exchange(commands_, {}); }
  const Settings& settings() const { return options_.settings; }
  const DispatchCounters& counters() const { return counters_; }
  DispatchStatistics StatisticsAt(Micros now) const;
  std::size_t in_progress() const { return requests_.size() + streams_.size(); }

 private:
  struct Request {
    int class_index = 0, sends = 0;
    Micros deadline = 0;
    std::uint64_t key = 0;
    std::shared_ptr<const RequestPayload> payload;
    Micros may_have_run = kNoDeadline;  // send of the first attempt that did or may have
  };
  struct Operation {
    bool probe = false;
    RequestId request = 0;
    int attempt = 0, class_index = 0;
    ServerId server = 0;
    Micros sent = 0;
    std::uint64_t key = 0;
    bool written = false;  // its last byte is out
  };
  struct Stream {                  // a value that is being passed on
    OperationId operation_id = 0;  // 0: its server is through
    Operation operation;
    std::shared_ptr<ResponseStream> transfer;
  };
  // At the same moment an attempt's end comes before the module's timers, and these before the last guard.
  enum class TimerKind { kOperation, kModule, kOverdue };
  struct TimerEntry {
    Micros when = 0;
    TimerKind kind = TimerKind::kModule;
    std::uint64_t sequence = 0, id = 0;
    auto operator<=>(const TimerEntry&) const = default;
  };

  void DeliverEvent(Micros now, Event event);
  SessionUpdate UpdateOf(const SessionWrote& wrote) const;
  ServerUpdate UpdateOf(const std::string& id, ServerId server) const;
  void ReplicateOutcome(const Operation& operation, const Outcome& outcome, bool wrote);
  void Schedule(Micros when, TimerKind kind, std::uint64_t id);
  void FinishOperation(Micros now, OperationId operation_id, Outcome outcome);
  void FinishStream(Micros now, RequestId id, Outcome outcome);
  void CancelUnsent(Micros now, RequestId id);
  void SendFinalResponse(Micros now, RequestId id, Response response);
  void CountResponse(int class_index, const Response& response);
  // `text` is a function, so that nothing is put together where no trace is wanted.
  template <typename Text>
  void Trace(Micros now, const Text& text) {
    if (options_.trace) commands_.push_back(TraceStep{now, {text()}});
  }
  std::string NameOf(ServerId server) const;
  Micros LatestStart(RequestId id, const Request& request) const;
  std::optional<std::int64_t> PositionMs(const Outcome& outcome, bool commit) const;
  Report ReportOf(const Outcome& outcome) const;
  ListNews UpdateOf(const EndpointList& listing, ListKind kind);

  void Execute(Micros now, const Send& action);
  void Execute(Micros now, const Refuse& action);
  void Execute(Micros now, const Fail& action);
  void Execute(Micros now, const Cancel& action);
  void Execute(Micros now, const SetTimer& action);
  void Execute(Micros now, const Probe& action);
  void Execute(Micros now, const CloseIdle& action);
  void Execute(Micros now, const TellPeers& action);
  void Execute(Micros now, const Log& action);
  void Execute(Micros now, const WatchList& action);
  void Execute(Micros now, const FetchList& action);

  DispatcherOptions options_;
  Router router_;
  DispatchCounters counters_;
  std::vector<ClassStatistics> class_statistics_;  // by class
  std::uint64_t written_attempts_ = 0;
  std::vector<Command> commands_;
  std::deque<Event> events_;
  bool delivering_ = false, replicates_ = false;
  RequestId next_request_ = 1;
  OperationId next_operation_ = 1;
  Micros drain_deadline_ = kNoDeadline;
  std::uint64_t next_sequence_ = 0;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<OperationId, Operation> operations_;
  std::unordered_map<RequestId, Stream> streams_;
  std::unordered_map<OperationId, RequestId> open_streams_;  // whose servers are not through yet
  std::map<std::pair<RequestId, int>, OperationId> attempts_;
  std::priority_queue<TimerEntry, std::vector<TimerEntry>, std::greater<>> timers_;
  // By the id in lists. Ids are never used again once a server has left the list.
  struct Known {
    ServerId server = 0;
    std::string address;
    bool accepts = false;                   // the servers' side may start something there
    Role replicated_role = Role::kUnknown;  // the role that the other processes were told last
  };
  std::map<std::string, Known> servers_;
  ServerId next_server_ = 1;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_DISPATCHER_HPP_
