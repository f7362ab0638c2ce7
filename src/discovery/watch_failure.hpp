// Reasons for closing a connection of the registry watch.
#ifndef TULIPYOKE_SRC_DISCOVERY_WATCH_FAILURE_HPP_
#define TULIPYOKE_SRC_DISCOVERY_WATCH_FAILURE_HPP_

#include <string>
#include <system_error>

namespace tulipyoke::discovery {

struct WatchFailure {
  enum class Kind {
    kTransport,               // `error` holds the cause
    kResponseTimeout,         // the response headers did not arrive in time
    kHeartbeatTimeout,        // neither an update nor a heartbeat arrived in time
    kInvalidValue,            // and no complete listing followed it
    kResponseEndedOrInvalid,  // or it is not a valid watch response
    kRefreshRequested,        // RegistryWatch::Refresh() was called
  };
  Kind kind = Kind::kTransport;
  std::error_code error;  // set for kTransport only
};
// Returns the reason for use in log messages.
std::string ToText(const WatchFailure& failure);

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_WATCH_FAILURE_HPP_
