// Why a connection of the registry watch was given up.
#ifndef TULIPYOKE_SRC_DISCOVERY_WATCH_FAILURE_HPP_
#define TULIPYOKE_SRC_DISCOVERY_WATCH_FAILURE_HPP_

#include <string>
#include <system_error>

namespace tulipyoke::discovery {

struct WatchFailure {
  enum class Kind {
    kTransport,         // see `error`
    kResponseTimeout,   // no head of a response
    kHeartbeatTimeout,  // no update and no heartbeat
    kInvalidValue,      // and no complete list after it
    kResponseEnded,     // or it is no watch
    kRefreshRequested,  // see RegistryWatch::Refresh()
  };
  Kind kind = Kind::kTransport;
  std::error_code error;  // of kTransport
};
// For log messages.
std::string ToText(const WatchFailure& failure);

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_WATCH_FAILURE_HPP_
