// Encodes the actions of router instances as a reply in the simulator's wire format.
#ifndef TULIPYOKE_ADAPTER_REPLY_ENCODER_HPP_
#define TULIPYOKE_ADAPTER_REPLY_ENCODER_HPP_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke::wire {

// Reports that a router threw an exception while it handled an event.
struct InstanceFailed {
  std::string reason;
};

struct InstanceAction {
  std::uint16_t instance = 0;
  std::variant<Action, InstanceFailed> action;
};

// Returns the bytes of the reply to batch `number`. Durations are clamped to the range of 32 bits of
// microseconds.
std::string EncodeReply(std::uint32_t number, const std::vector<InstanceAction>& actions);

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_REPLY_ENCODER_HPP_
