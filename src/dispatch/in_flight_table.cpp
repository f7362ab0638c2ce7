#include "src/dispatch/in_flight_table.hpp"

#include <algorithm>
#include <utility>

namespace tulipyoke {

PendingRequest* InFlightTable::FindRequest(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

OperationId InFlightTable::AddAttempt(Micros now, RequestId id, PendingRequest& request, ServerId server) {
  const OperationId operation_id = next_operation_id_;
  ++next_operation_id_;
  Operation& operation = operations_[operation_id];
  operation.kind = Operation::Kind::kAttempt;
  operation.server = server;
  operation.start_time = now;
  operation.request = id;
  operation.attempt = request.attempts_started;
  operation.class_index = request.class_index;
  operation.session_key = request.session_key;
  attempts_[{id, operation.attempt}] = operation_id;
  ++request.attempts_started;
  return operation_id;
}

OperationId InFlightTable::AddProbe(Micros now, ServerId server) {
  const OperationId operation_id = next_operation_id_;
  ++next_operation_id_;
  Operation& operation = operations_[operation_id];
  operation.kind = Operation::Kind::kProbe;
  operation.server = server;
  operation.start_time = now;
  return operation_id;
}

Operation* InFlightTable::FindOperation(OperationId id) {
  const auto found = operations_.find(id);
  return found == operations_.end() ? nullptr : &found->second;
}

std::optional<Operation> InFlightTable::RemoveOperation(OperationId id) {
  const auto found = operations_.find(id);
  if (found == operations_.end()) return std::nullopt;
  const Operation operation = found->second;
  operations_.erase(found);
  if (!operation.is_probe()) attempts_.erase({operation.request, operation.attempt});
  return operation;
}

std::optional<OperationId> InFlightTable::FindAttempt(RequestId id, int attempt) const {
  const auto found = attempts_.find({id, attempt});
  if (found == attempts_.end()) return std::nullopt;
  return found->second;
}

template <typename Visit>
void InFlightTable::ForEachAttempt(RequestId id, const Visit& visit) const {
  for (auto it = attempts_.lower_bound({id, 0}); it != attempts_.end() && it->first.request == id; ++it) {
    visit(it->second, operations_.at(it->second));
  }
}

std::vector<OperationId> InFlightTable::UnwrittenAttempts(RequestId id) const {
  std::vector<OperationId> unwritten;
  ForEachAttempt(id, [&](OperationId operation_id, const Operation& operation) {
    if (!operation.written) unwritten.push_back(operation_id);
  });
  return unwritten;
}

bool InFlightTable::HasWrittenAttempt(RequestId id) const {
  bool written = false;
  ForEachAttempt(id,
                 [&](OperationId, const Operation& operation) { written = written || operation.written; });
  return written;
}

std::optional<Micros> InFlightTable::EarliestAttemptStart(RequestId id) const {
  std::optional<Micros> earliest;
  ForEachAttempt(id, [&](OperationId, const Operation& operation) {
    earliest = std::min(earliest.value_or(operation.start_time), operation.start_time);
  });
  return earliest;
}

}  // namespace tulipyoke
