// Queues of attempts and probes that wait for a connection to their server, first in, first out.
#ifndef TULIPYOKE_SRC_UPSTREAM_PENDING_OPERATIONS_HPP_
#define TULIPYOKE_SRC_UPSTREAM_PENDING_OPERATIONS_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke::net {

// An attempt or probe that has not been assigned to a connection yet. Times are in microseconds of the event
// loop's clock.
struct PendingOperation {
  OperationId operation_id = 0;
  std::shared_ptr<const RequestPayload> payload = {};  // null for a probe
  Micros client_deadline = 0;                          // when the client stops waiting
  Micros latest_start = kNoDeadline;                   // after this time it must not be sent
};

// Not thread-safe.
class PendingOperations {
 public:
  void Push(ServerId server, PendingOperation operation);
  std::size_t Count(ServerId server) const;
  // Remove and return the first or last operation that waits for the server. There must be one.
  PendingOperation TakeFirst(ServerId server);
  PendingOperation TakeLast(ServerId server);
  std::deque<PendingOperation> TakeAll(ServerId server);
  // Has no effect if the operation is not waiting.
  void Remove(OperationId operation_id);

 private:
  void EraseIfEmpty(ServerId server);

  std::map<ServerId, std::deque<PendingOperation>> queue_by_server_;
  std::unordered_map<OperationId, ServerId> server_by_operation_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_PENDING_OPERATIONS_HPP_
