#include "src/upstream/upstream_pool.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "src/event_loop/endpoint.hpp"
#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

using State = UpstreamConnection::State;

void Remove(std::vector<UpstreamConnectionPtr>& list, const UpstreamConnectionPtr& connection) {
  const auto found = std::find(list.begin(), list.end(), connection);
  if (found != list.end()) list.erase(found);
}

}  // namespace

UpstreamPool::UpstreamPool(asio::io_context& io, LoopClock& clock, Dispatcher& dispatcher,
                           const UpstreamPoolOptions& options)
    : io_(io),
      clock_(clock),
      dispatcher_(dispatcher),
      options_(options),
      idle_policy_(options.server_idle_timeout),
      maintenance_timer_(io) {
  ScheduleMaintenance();
}

UpstreamPool::~UpstreamPool() { Stop(); }

void UpstreamPool::Start(const StartAttempt& attempt) {
  StartOperation(attempt.server,
                 {attempt.operation_id, attempt.payload, attempt.deadline, attempt.latest_start});
}

void UpstreamPool::Start(const StartProbe& probe) { StartOperation(probe.server, {probe.operation_id}); }

void UpstreamPool::StartOperation(ServerId server, PendingOperation operation) {
  Upstream& upstream = upstreams_[server];
  if (!upstream.endpoint) return Finish(operation.operation_id, Outcome{.status = Status::kConnectFailed});
  if (const UpstreamConnectionPtr connection = TakeIdle(upstream)) return Run(connection, operation);
  pending_operations_.Push(server, std::move(operation));
  OpenConnectionsForPending(server);
}

// Checks the idle time again, since connections may expire between two maintenance runs.
UpstreamConnectionPtr UpstreamPool::TakeIdle(Upstream& upstream) {
  while (!upstream.idle.empty()) {
    UpstreamConnectionPtr connection = upstream.idle.back();
    if (connection->idle_since() < idle_policy_.IdleSinceCutoff(clock_.Now())) {
      ++counters_.idle_closed;
      Close(connection);
    } else if (!connection->HasNoInput()) {
      ++counters_.unsolicited;
      Close(connection);
    } else {
      upstream.idle.pop_back();
      return connection;
    }
  }
  return nullptr;
}

void UpstreamPool::OpenConnectionsForPending(ServerId server) {
  const Upstream& upstream = upstreams_[server];
  while (upstream.becoming_ready() < pending_operations_.Count(server)) {
    if (connection_count_ < options_.max_connections || EvictLongestIdle()) {
      Open(server);
      continue;
    }
    ++counters_.limit_exceeded;
    Finish(pending_operations_.TakeLast(server).operation_id, Outcome{.status = Status::kConnectFailed});
  }
}

void UpstreamPool::Open(ServerId server) {
  Upstream& upstream = upstreams_[server];
  const auto connection = std::make_shared<UpstreamConnection>(
      io_, clock_, static_cast<UpstreamConnectionListener&>(*this), server, *upstream.endpoint);
  upstream.connecting.push_back(connection);
  ++connection_count_;
  ++counters_.opened;
  connection->Connect(options_.connect_timeout);
}

void UpstreamPool::Run(const UpstreamConnectionPtr& connection, const PendingOperation& operation) {
  // The operation waited too long for a connection: if sent now, it could take effect a second time.
  if (operation.latest_start < clock_.Now()) {
    Finish(operation.operation_id, Outcome{.status = Status::kNotSent});
    return OnReady(connection);
  }
  busy_connections_[operation.operation_id] = connection;
  connection->Run(operation);
}

void UpstreamPool::OnReady(const UpstreamConnectionPtr& connection) {
  const ServerId server = connection->server();
  Upstream& upstream = upstreams_[server];
  if (connection->endpoint() != upstream.endpoint) return Replace(connection);  // the address has changed
  if (connection->has_partial_messages() || !connection->HasNoInput()) return OnUnsolicitedData(connection);
  if (connection->state() == State::kConnecting) Remove(upstream.connecting, connection);
  if (connection->state() == State::kCoolingDown) --upstream.cooling_down;
  connection->BecomeIdle();
  if (pending_operations_.Count(server) > 0) return Run(connection, pending_operations_.TakeFirst(server));
  upstream.idle.push_back(connection);
}

void UpstreamPool::OnWritten(const UpstreamConnectionPtr& connection) {
  dispatcher_.OperationWritten(connection->operation_id());
}

std::shared_ptr<ResponseStream> UpstreamPool::OnLargeValue(const UpstreamConnectionPtr& connection,
                                                           const std::string& row_description,
                                                           std::size_t size) {
  return dispatcher_.BeginStream(clock_.Now(), connection->operation_id(), row_description, size);
}

void UpstreamPool::OnResponse(const UpstreamConnectionPtr& connection, Outcome outcome) {
  const OperationId operation_id = connection->operation_id();
  busy_connections_.erase(operation_id);
  ++upstreams_[connection->server()].cooling_down;
  // If the response came before the whole statement was sent, the next query would follow an incomplete
  // message.
  if (connection->has_partial_messages()) {
    OnUnsolicitedData(connection);
  } else {
    connection->StartCooldown();
  }
  Finish(operation_id, std::move(outcome));
}

void UpstreamPool::OnFailure(const UpstreamConnectionPtr& connection, ConnectionFailure failure) {
  switch (failure) {
    case ConnectionFailure::kConnectFailed:
      return OnConnectFailed(connection, Status::kConnectFailed);
    case ConnectionFailure::kServerAtConnectionLimit:
      return OnConnectFailed(connection, Status::kOverloaded);
    case ConnectionFailure::kConnectionLost:
      return OnConnectionLost(connection);
    case ConnectionFailure::kProtocolViolation:
      return OnProtocolViolation(connection);
    case ConnectionFailure::kUnsolicitedData:
      return OnUnsolicitedData(connection);
    case ConnectionFailure::kStartDeadlineMissed:
      return OnStartDeadlineMissed(connection);
    case ConnectionFailure::kStreamRejected:
      return Close(connection);
  }
}

void UpstreamPool::OnConnectFailed(const UpstreamConnectionPtr& connection, Status status) {
  ++counters_.connect_failed;
  const ServerId server = connection->server();
  Close(connection);
  const Upstream& upstream = upstreams_[server];
  while (pending_operations_.Count(server) > upstream.becoming_ready()) {
    Finish(pending_operations_.TakeFirst(server).operation_id, Outcome{.status = status});
  }
}

void UpstreamPool::OnConnectionLost(const UpstreamConnectionPtr& connection) {
  if (connection->state() == State::kConnecting) return OnConnectFailed(connection, Status::kConnectFailed);
  if (connection->state() != State::kBusy) return Replace(connection);
  ++counters_.lost_while_busy;
  const OperationId operation_id = connection->operation_id();
  // A server does not execute a statement before it has received the last byte.
  const Status status = connection->all_sent() ? Status::kReset : Status::kConnectFailed;
  Outcome outcome = connection->outcome().value_or(Outcome{.status = status});
  Replace(connection);
  Finish(operation_id, std::move(outcome));
}

// Reported like an error response: the statement may have been executed, and the server is charged with a
// failure.
void UpstreamPool::OnProtocolViolation(const UpstreamConnectionPtr& connection) {
  ++counters_.malformed;
  if (connection->state() != State::kBusy) return OnConnectionLost(connection);
  const OperationId operation_id = connection->operation_id();
  Close(connection);
  Finish(operation_id, Outcome{.status = Status::kError});
}

void UpstreamPool::OnUnsolicitedData(const UpstreamConnectionPtr& connection) {
  ++counters_.unsolicited;
  Replace(connection);
}

void UpstreamPool::OnStartDeadlineMissed(const UpstreamConnectionPtr& connection) {
  const OperationId operation_id = connection->operation_id();
  Replace(connection);
  Finish(operation_id, Outcome{.status = Status::kNotSent});
}

void UpstreamPool::Close(const UpstreamConnectionPtr& connection) {
  Upstream& upstream = upstreams_[connection->server()];
  switch (connection->state()) {
    case State::kConnecting:
      Remove(upstream.connecting, connection);
      break;
    case State::kCoolingDown:
      --upstream.cooling_down;
      break;
    case State::kIdle:
      Remove(upstream.idle, connection);
      break;
    case State::kBusy:
      busy_connections_.erase(connection->operation_id());
      break;
    case State::kClosed:
      return;
  }
  connection->Close();
  --connection_count_;
}

void UpstreamPool::Replace(const UpstreamConnectionPtr& connection) {
  Close(connection);
  OpenConnectionsForPending(connection->server());
}

void UpstreamPool::Cancel(OperationId operation_id) {
  const auto busy = busy_connections_.find(operation_id);
  if (busy == busy_connections_.end()) return pending_operations_.Remove(operation_id);
  ++counters_.cancelled;
  const UpstreamConnectionPtr connection = busy->second;
  Close(connection);
}

void UpstreamPool::SetAddress(ServerId server, const std::string& address) {
  Upstream& upstream = upstreams_[server];
  try {
    upstream.endpoint = ParseEndpoint(address);
  } catch (const std::exception& error) {
    upstream.endpoint.reset();
    LogWarning("server_address_unusable",
               "the address of a server cannot be used: " + std::string(error.what()));
  }
  CloseIdle(server);
  CloseConnecting(server);
  if (upstream.endpoint) return OpenConnectionsForPending(server);
  FailPending(server);
}

void UpstreamPool::RemoveServer(ServerId server) {
  upstreams_[server].endpoint.reset();
  CloseIdle(server);
  CloseConnecting(server);
  FailPending(server);
}

void UpstreamPool::CloseIdle(ServerId server) {
  const std::vector<UpstreamConnectionPtr> idle = upstreams_[server].idle;
  for (const UpstreamConnectionPtr& connection : idle) Close(connection);
}

void UpstreamPool::CloseConnecting(ServerId server) {
  const std::vector<UpstreamConnectionPtr> connecting = upstreams_[server].connecting;
  for (const UpstreamConnectionPtr& connection : connecting) Close(connection);
}

void UpstreamPool::SetMaxConnections(std::size_t max_connections) {
  options_.max_connections = max_connections;
  while (connection_count_ > max_connections && EvictLongestIdle()) {
  }
}

bool UpstreamPool::EvictLongestIdle() {
  UpstreamConnectionPtr oldest;
  for (const auto& [server, upstream] : upstreams_) {
    if (upstream.idle.empty()) continue;
    const UpstreamConnectionPtr& candidate = upstream.idle.front();
    if (!oldest || candidate->idle_since() < oldest->idle_since()) oldest = candidate;
  }
  if (!oldest) return false;
  ++counters_.idle_closed;
  Close(oldest);
  return true;
}

void UpstreamPool::Finish(OperationId operation_id, Outcome outcome) {
  dispatcher_.OperationFinished(clock_.Now(), operation_id, std::move(outcome));
}

void UpstreamPool::FailPending(ServerId server) {
  for (const PendingOperation& operation : pending_operations_.TakeAll(server)) {
    Finish(operation.operation_id, Outcome{.status = Status::kConnectFailed});
  }
}

void UpstreamPool::ScheduleMaintenance() {
  maintenance_timer_.ExpireAfter(std::chrono::microseconds(idle_policy_.CheckInterval()), [this] {
    RunMaintenance();
    ScheduleMaintenance();
  });
}

void UpstreamPool::RunMaintenance() {
  CloseExpiredIdle();
  CloseStalled();
  EraseUnusedUpstreams();
}

void UpstreamPool::CloseExpiredIdle() {
  for (auto& [server, upstream] : upstreams_) {
    while (!upstream.idle.empty() &&
           upstream.idle.front()->idle_since() <= idle_policy_.IdleSinceCutoff(clock_.Now())) {
      ++counters_.idle_closed;
      const UpstreamConnectionPtr expired = upstream.idle.front();
      Close(expired);
    }
  }
}

void UpstreamPool::CloseStalled() {
  std::vector<UpstreamConnectionPtr> stalled;
  for (const auto& [operation_id, connection] : busy_connections_) {
    if (connection->IsStalled()) stalled.push_back(connection);
  }
  for (const UpstreamConnectionPtr& connection : stalled) OnConnectionLost(connection);
}

// Also erases a removed server that still runs an operation: the end of the operation adds the entry again,
// and a later call erases it.
void UpstreamPool::EraseUnusedUpstreams() {
  std::erase_if(upstreams_, [this](const auto& entry) {
    const auto& [server, upstream] = entry;
    return !upstream.endpoint && upstream.idle.empty() && upstream.becoming_ready() == 0 &&
           pending_operations_.Count(server) == 0;
  });
}

void UpstreamPool::Stop() {
  maintenance_timer_.Cancel();
  for (const auto& [server, upstream] : upstreams_) {
    CloseIdle(server);
    CloseConnecting(server);
  }
  std::vector<UpstreamConnectionPtr> busy;
  for (const auto& [operation_id, connection] : busy_connections_) busy.push_back(connection);
  for (const UpstreamConnectionPtr& connection : busy) Close(connection);
}

}  // namespace tulipyoke::net
