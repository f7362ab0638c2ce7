#include "src/upstream/pending_operations.hpp"

#include <algorithm>
#include <utility>

namespace tulipyoke::net {

void PendingOperations::Push(ServerId server, PendingOperation operation) {
  server_by_operation_[operation.operation_id] = server;
  queue_by_server_[server].push_back(std::move(operation));
}

std::size_t PendingOperations::Count(ServerId server) const {
  const auto queue = queue_by_server_.find(server);
  return queue == queue_by_server_.end() ? 0 : queue->second.size();
}

PendingOperation PendingOperations::TakeFirst(ServerId server) {
  std::deque<PendingOperation>& queue = queue_by_server_.at(server);
  PendingOperation operation = std::move(queue.front());
  queue.pop_front();
  server_by_operation_.erase(operation.operation_id);
  EraseIfEmpty(server);
  return operation;
}

PendingOperation PendingOperations::TakeLast(ServerId server) {
  std::deque<PendingOperation>& queue = queue_by_server_.at(server);
  PendingOperation operation = std::move(queue.back());
  queue.pop_back();
  server_by_operation_.erase(operation.operation_id);
  EraseIfEmpty(server);
  return operation;
}

std::deque<PendingOperation> PendingOperations::TakeAll(ServerId server) {
  const auto queue = queue_by_server_.find(server);
  if (queue == queue_by_server_.end()) return {};
  std::deque<PendingOperation> operations = std::move(queue->second);
  queue_by_server_.erase(queue);
  for (const PendingOperation& operation : operations) server_by_operation_.erase(operation.operation_id);
  return operations;
}

void PendingOperations::Remove(OperationId operation_id) {
  const auto found = server_by_operation_.find(operation_id);
  if (found == server_by_operation_.end()) return;
  const ServerId server = found->second;
  server_by_operation_.erase(found);
  std::erase_if(queue_by_server_.at(server),
                [&](const PendingOperation& operation) { return operation.operation_id == operation_id; });
  EraseIfEmpty(server);
}

void PendingOperations::EraseIfEmpty(ServerId server) {
  const auto queue = queue_by_server_.find(server);
  if (queue->second.empty()) queue_by_server_.erase(queue);
}

}  // namespace tulipyoke::net
