#include "src/discovery/watch_failure.hpp"

namespace tulipyoke::discovery {

std::string ToText(const WatchFailure& failure) {
  switch (failure.kind) {
    case WatchFailure::Kind::kTransport:
      return failure.error.message();
    case WatchFailure::Kind::kResponseTimeout:
      return "no response in time";
    case WatchFailure::Kind::kHeartbeatTimeout:
      return "no update or heartbeat in time";
    case WatchFailure::Kind::kInvalidValue:
      return "an update was invalid";
    case WatchFailure::Kind::kResponseEndedOrInvalid:
      return "the response ended or was not a valid watch response";
    case WatchFailure::Kind::kRefreshRequested:
      return "a complete listing was requested";
  }
  return "";
}

}  // namespace tulipyoke::discovery
