// The requests that have no final response yet, and the attempts and probes that are under way.
#ifndef TULIPYOKE_SRC_DISPATCH_IN_FLIGHT_TABLE_HPP_
#define TULIPYOKE_SRC_DISPATCH_IN_FLIGHT_TABLE_HPP_

#include <compare>
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
  std::uint64_t session_key = 0;  // of the session; 0: none
  std::shared_ptr<const RequestPayload> payload;
  // When the first of the finished attempts that ran, or may have run, was started.
  std::optional<Micros> first_possible_run = {};
};

struct Operation {
  enum class Kind { kAttempt, kProbe };

  Kind kind = Kind::kAttempt;
  ServerId server = 0;
  Micros started = 0;
  // Of an attempt.
  RequestId request = 0;
  int attempt = 0;
  int class_index = 0;
  std::uint64_t session_key = 0;
  bool written = false;  // the server's socket has taken its last byte

  bool is_probe() const { return kind == Kind::kProbe; }
};

class InFlightTable {
 public:
  using Requests = std::unordered_map<RequestId, PendingRequest>;

  void AddRequest(RequestId id, PendingRequest request) { requests_[id] = std::move(request); }
  // Null if the request has its final response. The pointer is valid until the request is removed.
  PendingRequest* FindRequest(RequestId id);
  bool RemoveRequest(RequestId id) { return requests_.erase(id) > 0; }
  bool HasRequest(RequestId id) const { return requests_.contains(id); }
  const Requests& requests() const { return requests_; }

  // Counts the attempt at the request.
  OperationId AddAttempt(Micros now, RequestId id, PendingRequest& request, ServerId server);
  OperationId AddProbe(Micros now, ServerId server);
  // Null if the operation is over. The pointer is valid until the operation is removed.
  Operation* FindOperation(OperationId id);
  std::optional<Operation> RemoveOperation(OperationId id);
  std::optional<OperationId> FindAttempt(RequestId id, int attempt) const;
  // The request's attempts that are not completely written, in the order of their start.
  std::vector<OperationId> UnwrittenAttempts(RequestId id) const;
  // When the earliest of the request's attempts under way was started.
  std::optional<Micros> EarliestStart(RequestId id) const;

 private:
  struct AttemptKey {
    RequestId request = 0;
    int attempt = 0;
    auto operator<=>(const AttemptKey&) const = default;
  };
  using Attempts = std::map<AttemptKey, OperationId>;

  // Calls `visit` with each attempt of the request that is under way.
  template <typename Visit>
  void ForEachAttempt(RequestId id, const Visit& visit) const;

  Requests requests_;
  std::unordered_map<OperationId, Operation> operations_;
  Attempts attempts_;
  OperationId next_operation_ = 1;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_IN_FLIGHT_TABLE_HPP_
