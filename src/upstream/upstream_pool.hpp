// The connections to all servers, and the attempts and probes that run on them, one at a time on each.
#ifndef TULIPYOKE_SRC_UPSTREAM_UPSTREAM_POOL_HPP_
#define TULIPYOKE_SRC_UPSTREAM_UPSTREAM_POOL_HPP_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/dispatch/dispatcher.hpp"
#include "src/event_loop/cancellable_timer.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/upstream/idle_policy.hpp"
#include "src/upstream/pending_operations.hpp"
#include "src/upstream/upstream_connection.hpp"

namespace tulipyoke::net {

struct UpstreamPoolOptions {
  Micros connect_timeout = 0;
  Micros server_idle_timeout = 0;  // after which the servers close idle connections
  std::size_t max_connections = 0;
};

// Of connections, since the start; limit_exceeded counts operations.
struct UpstreamPoolCounters {
  std::uint64_t opened = 0;
  std::uint64_t connect_failed = 0;
  std::uint64_t idle_closed = 0;      // idle for too long, or evicted to make room
  std::uint64_t cancelled = 0;        // closed since the running operation was cancelled
  std::uint64_t lost_while_busy = 0;  // ended amid an operation
  std::uint64_t malformed = 0;        // the server broke the protocol
  std::uint64_t unsolicited = 0;      // the server sent what was not asked for
  std::uint64_t limit_exceeded = 0;   // operations for which no connection could be opened within the limit
};

// Runs in the loop's thread. The outcome of each operation that is started is reported once to the
// dispatcher, unless Cancel comes first.
class UpstreamPool final : private UpstreamConnectionListener {
 public:
  UpstreamPool(asio::io_context& io, LoopClock& clock, Dispatcher& dispatcher,
               const UpstreamPoolOptions& options);
  ~UpstreamPool() override;
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  void Start(const StartAttempt& attempt);
  void Start(const StartProbe& probe);
  // Closes the connection on which the operation runs, or drops it from those that wait.
  void Cancel(OperationId operation_id);
  // Operations that run at an earlier address are finished there; those that wait move to the new one.
  void SetAddress(ServerId server, const std::string& address);
  // Starts nothing more at the server until SetAddress; operations that run are finished.
  void RemoveServer(ServerId server);
  void CloseIdle(ServerId server);
  void SetMaxConnections(std::size_t max_connections);
  // Closes all connections and reports nothing more.
  void Stop();

  std::size_t connections() const { return connections_; }
  const UpstreamPoolCounters& counters() const { return counters_; }

 private:
  struct Upstream {
    std::optional<asio::ip::tcp::endpoint> endpoint;  // none: nothing is started there
    std::vector<UpstreamConnectionPtr> idle;          // the one used last is at the end
    std::vector<UpstreamConnectionPtr> connecting;
    std::size_t resting = 0;  // connections in the pause behind a response

    // Connections that are about to be ready.
    std::size_t upcoming() const { return connecting.size() + resting; }
  };

  void OnReady(const UpstreamConnectionPtr& connection) override;
  void OnWritten(const UpstreamConnectionPtr& connection) override;
  std::shared_ptr<ResponseStream> OnLargeValue(const UpstreamConnectionPtr& connection,
                                               const std::string& row_description, std::size_t size) override;
  void OnResponse(const UpstreamConnectionPtr& connection, Outcome outcome) override;
  void OnFault(const UpstreamConnectionPtr& connection, ConnectionFault fault) override;

  void StartOperation(ServerId server, PendingOperation operation);
  void Run(const UpstreamConnectionPtr& connection, const PendingOperation& operation);
  // An idle connection that can be used; those that cannot are closed. Null: there is none.
  UpstreamConnectionPtr TakeIdle(Upstream& upstream);
  // Opens connections until there is one for each operation that waits; whichever is ready first is used.
  void OpenForPending(ServerId server);
  void Open(ServerId server);

  void OnConnectFailed(const UpstreamConnectionPtr& connection, Status status);
  void OnBroken(const UpstreamConnectionPtr& connection);
  void OnMalformed(const UpstreamConnectionPtr& connection);
  void OnUnsolicitedData(const UpstreamConnectionPtr& connection);
  void OnStartTooLate(const UpstreamConnectionPtr& connection);

  void Close(const UpstreamConnectionPtr& connection);
  // Closes the connection and opens others for the operations that wait.
  void Replace(const UpstreamConnectionPtr& connection);
  void CloseConnecting(ServerId server);
  // Closes the connection that has been idle longest; false where none is idle.
  bool EvictIdle();

  void Finish(OperationId operation_id, Outcome outcome);
  void FailPending(ServerId server);

  void ScheduleMaintenance();
  void RunMaintenance();
  void CloseExpired();
  void CloseStalled();
  void EraseUnused();

  asio::io_context& io_;
  LoopClock& clock_;
  Dispatcher& dispatcher_;
  UpstreamPoolOptions options_;
  IdlePolicy idle_policy_;
  UpstreamPoolCounters counters_;
  CancellableTimer maintenance_timer_;
  std::map<ServerId, Upstream> upstreams_;
  std::unordered_map<OperationId, UpstreamConnectionPtr> busy_;
  PendingOperations pending_;
  std::size_t connections_ = 0;  // of any state
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_UPSTREAM_POOL_HPP_
