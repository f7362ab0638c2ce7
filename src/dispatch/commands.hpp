// The commands that the Dispatcher issues. Its owner executes them in order.
#ifndef TULIPYOKE_SRC_DISPATCH_COMMANDS_HPP_
#define TULIPYOKE_SRC_DISPATCH_COMMANDS_HPP_

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <variant>

#include "src/dispatch/client_request.hpp"
#include "src/dispatch/peer_update.hpp"
#include "src/dispatch/response.hpp"
#include "src/dispatch/trace.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke {

// Identifies one attempt or probe from its start to its outcome; never reused.
using OperationId = std::uint64_t;

inline constexpr Micros kNoDeadline = std::numeric_limits<Micros>::max();

// For the server side. Each StartAttempt and StartProbe is reported back once with
// Dispatcher::OperationFinished, unless a CancelOperation comes first.
struct StartAttempt {
  OperationId operation_id = 0;
  ServerId server = 0;
  std::shared_ptr<const RequestPayload> payload;
  Micros deadline = 0;
  Micros latest_start = 0;  // not sent by then, it must not be sent at all: its outcome is Status::kMoot
};
struct StartProbe {
  OperationId operation_id = 0;
  ServerId server = 0;
};
struct CancelOperation {
  OperationId operation_id = 0;
};
struct SetAddress {
  ServerId server = 0;
  std::string address;
};
// The server drains or has left the list: nothing is started on it until the next SetAddress.
struct RemoveServer {
  ServerId server = 0;
};
struct CloseIdleConnections {
  ServerId server = 0;
};

// For the client side.
struct SendResponse {
  RequestId id = 0;
  Response response;
};

// For service discovery: poll now.
struct RefreshEndpointList {};

// For the other process of this router, if there is one. It has to be sent before the response behind it.
struct ReplicateToPeer {
  PeerUpdate update;
};

// For the log: a message of the decision module.
struct WriteLog {
  std::string text;
};
// For the log: one step of a request, if tracing is on.
struct TraceStep {
  Micros when = 0;
  trace::Event event;
};

using Command =
    std::variant<StartAttempt, StartProbe, CancelOperation, SetAddress, RemoveServer, CloseIdleConnections,
                 SendResponse, RefreshEndpointList, ReplicateToPeer, WriteLog, TraceStep>;

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_COMMANDS_HPP_
