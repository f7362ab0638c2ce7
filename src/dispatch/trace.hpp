// The events that are logged while tracing is on, and their text form.
#ifndef TULIPYOKE_SRC_DISPATCH_TRACE_HPP_
#define TULIPYOKE_SRC_DISPATCH_TRACE_HPP_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::trace {

struct RequestReceived {
  std::string client_request_id;  // from the comment of the client's statement
  RequestId request = 0;
  std::string class_name;
  int group = 0;
  Micros timeout = 0;
  Micros waited = 0;  // time since the last byte of the request arrived
  std::optional<RequestId> preceding_write;
};

enum class Result { kServed, kRejected, kFailed };

struct RequestFinished {
  RequestId request = 0;
  Result result = Result::kServed;
  Micros retry_after = 0;
};

struct AttemptStarted {
  RequestId request = 0;
  int attempt = 0;
  std::string server;  // its id in service discovery, also in the events below
  Micros timeout = 0;
};

struct AttemptFinished {
  RequestId request = 0;
  int attempt = 0;
  std::string server;
  Status status = Status::kOk;
  Role role = Role::kUnknown;
  Micros elapsed = 0;
};

struct ProbeFinished {
  std::string server;
  Status status = Status::kOk;
  Micros elapsed = 0;
};

struct EndpointsUpdated {
  struct Server {
    std::string id;
    ServerState state = ServerState::kGone;
  };
  bool complete = false;
  std::vector<Server> servers;
};

using Event = std::variant<RequestReceived, RequestFinished, AttemptStarted, AttemptFinished, ProbeFinished,
                           EndpointsUpdated>;

// Returns one line: the name of the event, followed by `name=value` pairs.
std::string ToText(const Event& event);

}  // namespace tulipyoke::trace

#endif  // TULIPYOKE_SRC_DISPATCH_TRACE_HPP_
