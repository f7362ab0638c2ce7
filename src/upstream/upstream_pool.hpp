// Manages the connections to all servers. Each connection runs one attempt or probe at a time.
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
  Micros server_idle_timeout = 0;  // after which servers close an idle connection
  std::size_t max_connections = 0;
};

// The numbers of connections since the pool was created; limit_exceeded counts operations instead.
struct UpstreamPoolCounters {
  std::uint64_t opened = 0;
  std::uint64_t connect_failed = 0;
  std::uint64_t idle_closed = 0;      // idle for too long, or evicted because of the connection limit
  std::uint64_t cancelled = 0;        // closed because the operation on them was cancelled
  std::uint64_t lost_while_busy = 0;  // ended or stalled during an operation
  std::uint64_t malformed = 0;        // the server violated the protocol
  std::uint64_t unsolicited = 0;      // the server sent unsolicited data
  std::uint64_t limit_exceeded = 0;   // operations that failed because of the connection limit
};

// Must be used on the event loop's thread. Reports the outcome of each started operation to the dispatcher
// once, unless the operation is cancelled first.
class UpstreamPool final : private UpstreamConnectionListener {
 public:
  UpstreamPool(asio::io_context& io, LoopClock& clock, Dispatcher& dispatcher,
               const UpstreamPoolOptions& options);
  ~UpstreamPool() override;
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  void Start(const StartAttempt& attempt);
  void Start(const StartProbe& probe);
  // Closes the connection on which the operation runs, or removes the operation from the pending ones.
  void Cancel(OperationId operation_id);
  // Operations that run at the previous address finish there; pending operations use the new one.
  void SetAddress(ServerId server, const std::string& address);
  // Lets running operations finish, fails pending ones, and starts no operation on the server until
  // SetAddress.
  void RemoveServer(ServerId server);
  void CloseIdle(ServerId server);
  void SetMaxConnections(std::size_t max_connections);
  // Closes all connections without reporting further outcomes.
  void Stop();

  std::size_t connections() const { return connection_count_; }
  const UpstreamPoolCounters& counters() const { return counters_; }

 private:
  struct Upstream {
    std::optional<asio::ip::tcp::endpoint> endpoint;  // none: no operation is started there
    std::vector<UpstreamConnectionPtr> idle;          // the most recently used is last
    std::vector<UpstreamConnectionPtr> connecting;
    std::size_t cooling_down = 0;  // connections in the cooldown after a response

    // The number of connections that will become ready unless they fail.
    std::size_t becoming_ready() const { return connecting.size() + cooling_down; }
  };

  void OnReady(const UpstreamConnectionPtr& connection) override;
  void OnWritten(const UpstreamConnectionPtr& connection) override;
  std::shared_ptr<ResponseStream> OnLargeValue(const UpstreamConnectionPtr& connection,
                                               const std::string& row_description, std::size_t size) override;
  void OnResponse(const UpstreamConnectionPtr& connection, Outcome outcome) override;
  void OnFailure(const UpstreamConnectionPtr& connection, ConnectionFailure failure) override;

  void StartOperation(ServerId server, PendingOperation operation);
  void Run(const UpstreamConnectionPtr& connection, const PendingOperation& operation);
  // Removes and returns an idle connection, and closes those that cannot be used. Null if none is left.
  UpstreamConnectionPtr TakeIdle(Upstream& upstream);
  // Opens connections until there is one for each pending operation. An operation runs on whichever
  // connection becomes ready first.
  void OpenConnectionsForPending(ServerId server);
  void Open(ServerId server);

  void OnConnectFailed(const UpstreamConnectionPtr& connection, Status status);
  void OnConnectionLost(const UpstreamConnectionPtr& connection);
  void OnProtocolViolation(const UpstreamConnectionPtr& connection);
  void OnUnsolicitedData(const UpstreamConnectionPtr& connection);
  void OnStartDeadlineMissed(const UpstreamConnectionPtr& connection);

  void Close(const UpstreamConnectionPtr& connection);
  // Closes the connection and opens new ones for pending operations.
  void Replace(const UpstreamConnectionPtr& connection);
  void CloseConnecting(ServerId server);
  // Closes the connection that has been idle longest. Returns false if none is idle.
  bool EvictLongestIdle();

  void Finish(OperationId operation_id, Outcome outcome);
  void FailPending(ServerId server);

  void ScheduleMaintenance();
  void RunMaintenance();
  void CloseExpiredIdle();
  void CloseStalled();
  void EraseUnusedUpstreams();

  asio::io_context& io_;
  LoopClock& clock_;
  Dispatcher& dispatcher_;
  UpstreamPoolOptions options_;
  IdlePolicy idle_policy_;
  UpstreamPoolCounters counters_;
  CancellableTimer maintenance_timer_;
  std::map<ServerId, Upstream> upstreams_;
  std::unordered_map<OperationId, UpstreamConnectionPtr> busy_connections_;
  PendingOperations pending_operations_;
  std::size_t connection_count_ = 0;  // in any state
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_UPSTREAM_POOL_HPP_
