// The commands that the Dispatcher issues. The owner of the Dispatcher executes them in order.
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

// Identifies an attempt or a probe until its outcome is reported. Ids are never reused.
using OperationId = std::uint64_t;

inline constexpr Micros kNoDeadline = std::numeric_limits<Micros>::max();

// Commands to the upstream pool. Each StartAttempt and StartProbe is answered by exactly one call of
// Dispatcher::OperationFinished, unless it is cancelled first by a CancelOperation.
struct StartAttempt {
  OperationId operation_id = 0;
  ServerId server = 0;
  std::shared_ptr<const RequestPayload> payload;
  Micros deadline = 0;
  Micros latest_start = 0;  // an attempt not sent by then is not sent at all: Status::kNotSent
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
// The server is draining or no longer listed. No operation is started on it until the next SetAddress.
struct RemoveServer {
  ServerId server = 0;
};
struct CloseIdleConnections {
  ServerId server = 0;
};

// Command to the client listener.
struct SendResponse {
  RequestId id = 0;
  Response response;
};

// Command to service discovery: poll the endpoint list now.
struct RefreshEndpointList {};

// Command to hot restart: send the update to the peer process, if there is one, before the response that
// follows this command.
struct ReplicateToPeer {
  PeerUpdate update;
};

// Command to the log: a message of the routing policy.
struct WriteLog {
  std::string text;
};
// Command to the log, issued only if tracing is on: a traced event of a request, a probe or an endpoint list.
struct TraceStep {
  Micros when = 0;
  trace::Event event;
};

using Command =
    std::variant<StartAttempt, StartProbe, CancelOperation, SetAddress, RemoveServer, CloseIdleConnections,
                 SendResponse, RefreshEndpointList, ReplicateToPeer, WriteLog, TraceStep>;

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_COMMANDS_HPP_
