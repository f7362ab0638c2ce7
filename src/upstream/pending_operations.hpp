// Attempts and probes that wait for a connection to their server, first come first served.
#ifndef TULIPYOKE_SRC_UPSTREAM_PENDING_OPERATIONS_HPP_
#define TULIPYOKE_SRC_UPSTREAM_PENDING_OPERATIONS_HPP_

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke::net {

// One attempt or probe, from its start until a connection takes it. Times are microseconds of the loop's
// clock.
struct PendingOperation {
  OperationId operation_id = 0;
  std::shared_ptr<const RequestPayload> payload = {};  // none: a probe
  Micros client_deadline = 0;                          // when the client gives up
  Micros latest_start = kNoDeadline;                   // not begun by then, it must not be sent any more
};

// Not thread-safe.
class PendingOperations {
 public:
  void Push(ServerId server, PendingOperation operation);
  std::size_t Count(ServerId server) const;
  // The first and the last that wait for the server; there must be one.
  PendingOperation TakeFirst(ServerId server);
  PendingOperation TakeLast(ServerId server);
  std::deque<PendingOperation> TakeAll(ServerId server);
  // Does nothing where the operation does not wait.
  void Remove(OperationId operation_id);

 private:
  void EraseIfEmpty(ServerId server);

  std::map<ServerId, std::deque<PendingOperation>> queues_;
  std::unordered_map<OperationId, ServerId> servers_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_PENDING_OPERATIONS_HPP_
