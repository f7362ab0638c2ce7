#include "src/upstream/pending_operations.hpp"

#include <algorithm>
#include <utility>

namespace tulipyoke::net {

void PendingOperations::Push(ServerId server, PendingOperation operation) {
  servers_[operation.operation_id] = server;
  queues_[server].push_back(std::move(operation));
}

std::size_t PendingOperations::Count(ServerId server) const {
  const auto queue = queues_.find(server);
  return queue == queues_.end() ? 0 : queue->second.size();
}

PendingOperation PendingOperations::TakeFirst(ServerId server) {
  std::deque<PendingOperation>& queue = queues_.at(server);
  PendingOperation operation = std::move(queue.front());
  queue.pop_front();
  servers_.erase(operation.operation_id);
  EraseIfEmpty(server);
  return operation;
}

PendingOperation PendingOperations::TakeLast(ServerId server) {
  std::deque<PendingOperation>& queue = queues_.at(server);
  PendingOperation operation = std::move(queue.back());
  queue.pop_back();
  servers_.erase(operation.operation_id);
  EraseIfEmpty(server);
  return operation;
}

std::deque<PendingOperation> PendingOperations::TakeAll(ServerId server) {
  const auto queue = queues_.find(server);
  if (queue == queues_.end()) return {};
  std::deque<PendingOperation> operations = std::move(queue->second);
  queues_.erase(queue);
  for (const PendingOperation& operation : operations) servers_.erase(operation.operation_id);
  return operations;
}

void PendingOperations::Remove(OperationId operation_id) {
  const auto found = servers_.find(operation_id);
  if (found == servers_.end()) return;
  const ServerId server = found->second;
  servers_.erase(found);
  std::erase_if(queues_.at(server),
                [&](const PendingOperation& operation) { return operation.operation_id == operation_id; });
  EraseIfEmpty(server);
}

void PendingOperations::EraseIfEmpty(ServerId server) {
  const auto queue = queues_.find(server);
  if (queue->second.empty()) queues_.erase(queue);
}

}  // namespace tulipyoke::net
