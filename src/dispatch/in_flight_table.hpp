// The requests without a final response, and the attempts and probes in flight.
#ifndef TULIPYOKE_SRC_DISPATCH_IN_FLIGHT_TABLE_HPP_
#define TULIPYOKE_SRC_DISPATCH_IN_FLIGHT_TABLE_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/dispatch/commands.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

struct PendingRequest {
  int class_index = 0;
  int attempts_started = 0;
  Micros deadline = 0;
  std::uint64_t session_key = 0;  // 0: no session
  std::shared_ptr<const RequestPayload> payload;
  // The earliest start time of the finished attempts that a server executed or may have executed.
  std::optional<Micros> first_possible_execution = {};
};

struct Operation {
  enum class Kind { kAttempt, kProbe };

  Kind kind = Kind::kAttempt;
  ServerId server = 0;
  Micros start_time = 0;
  // Set only for attempts.
  RequestId request = 0;
  int attempt = 0;
  int class_index = 0;
  std::uint64_t session_key = 0;
  bool written = false;  // the last byte was written to the server's socket

  bool is_probe() const { return kind == Kind::kProbe; }
};

class InFlightTable {
 public:
  using Requests = std::unordered_map<RequestId, PendingRequest>;

  void AddRequest(RequestId id, PendingRequest request) { requests_[id] = std::move(request); }
  // Returns null if the request has ended. The pointer is valid until the request is removed.
  PendingRequest* FindRequest(RequestId id);
  bool RemoveRequest(RequestId id) { return requests_.erase(id) > 0; }
  bool HasRequest(RequestId id) const { return requests_.contains(id); }
  const Requests& requests() const { return requests_; }

  // Also increments the request's `attempts_started`.
  OperationId AddAttempt(Micros now, RequestId id, PendingRequest& request, ServerId server);
  OperationId AddProbe(Micros now, ServerId server);
  bool HasOperation(OperationId id) const { return operations_.contains(id); }
  std::size_t operation_count() const { return operations_.size(); }
  // Returns null if the operation has finished. The pointer is valid until the operation is removed.
  Operation* FindOperation(OperationId id);
  std::optional<Operation> RemoveOperation(OperationId id);
  std::optional<OperationId> FindAttempt(RequestId id, int attempt) const;
  // The request's attempts that are not completely written, in the order in which they were started.
  std::vector<OperationId> UnwrittenAttempts(RequestId id) const;
  // Whether an attempt of the request that is in flight is completely written.
  bool HasWrittenAttempt(RequestId id) const;
  // The earliest start time of the request's attempts in flight.
  std::optional<Micros> EarliestAttemptStart(RequestId id) const;

 private:
  struct AttemptKey {
    RequestId request = 0;
    int attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
  };
  using Attempts = std::map<AttemptKey, OperationId>;

  // Calls `visit` for each attempt of the request that is in flight.
  template <typename Visit>
  void ForEachAttempt(RequestId id, const Visit& visit) const;

  Requests requests_;
  std::unordered_map<OperationId, Operation> operations_;
  Attempts attempts_;
  OperationId next_operation_id_ = 1;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_IN_FLIGHT_TABLE_HPP_
