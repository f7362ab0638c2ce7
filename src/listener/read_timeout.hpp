// Why a client that sends too slowly is disconnected.
#ifndef TULIPYOKE_SRC_LISTENER_READ_TIMEOUT_HPP_
#define TULIPYOKE_SRC_LISTENER_READ_TIMEOUT_HPP_

#include <string_view>

namespace tulipyoke::net {

enum class ReadTimeout {
  kNoCapacity,         // there was no memory for its large statement in time
  kNoCompleteMessage,  // no complete message arrived in time
};

// The text that the client is sent.
constexpr std::string_view ToText(ReadTimeout timeout) {
  return timeout == ReadTimeout::kNoCapacity ? "no room for so much" : "no whole message came in time";
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_READ_TIMEOUT_HPP_
