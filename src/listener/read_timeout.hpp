// Timeouts for reading a message from a client.
#ifndef TULIPYOKE_SRC_LISTENER_READ_TIMEOUT_HPP_
#define TULIPYOKE_SRC_LISTENER_READ_TIMEOUT_HPP_

#include <string_view>

namespace tulipyoke::net {

enum class ReadTimeout {
  kNoMemory,           // no memory became available in time for a large statement
  kNoCompleteMessage,  // no complete message arrived in time
};

// Returns the error text sent to the client.
constexpr std::string_view ToText(ReadTimeout timeout) {
  return timeout == ReadTimeout::kNoMemory ? "no room for so much" : "no whole message came in time";
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_READ_TIMEOUT_HPP_
