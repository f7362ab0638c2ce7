#include "src/dispatch/stream_table.hpp"

#include <utility>

namespace tulipyoke {

void StreamTable::Add(OperationId operation_id, const Operation& operation,
                      std::shared_ptr<ResponseStream> stream) {
  entries_[operation.request] = {operation_id, operation, std::move(stream)};
  open_operations_[operation_id] = operation.request;
}

std::optional<RequestId> StreamTable::FindRequest(OperationId operation_id) const {
  const auto found = open_operations_.find(operation_id);
  if (found == open_operations_.end()) return std::nullopt;
  return found->second;
}

const StreamTable::Entry* StreamTable::Find(RequestId request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? nullptr : &found->second;
}

void StreamTable::CloseOperation(RequestId request) {
  const auto found = entries_.find(request);
  if (found == entries_.end() || !found->second.open_operation) return;
  open_operations_.erase(*found->second.open_operation);
  found->second.open_operation.reset();
}

void StreamTable::Remove(RequestId request) {
  CloseOperation(request);
  entries_.erase(request);
}

}  // namespace tulipyoke
