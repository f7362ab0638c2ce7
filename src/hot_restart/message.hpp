// The protocol of a hot restart: the messages that the two processes of one router send each other, and their
// text, one message per line. An older and a newer version of the program must understand each other in both
// directions: the text of a message never changes.
#ifndef TULIPYOKE_SRC_HOT_RESTART_MESSAGE_HPP_
#define TULIPYOKE_SRC_HOT_RESTART_MESSAGE_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke::net {

// What the sender has reached.
enum class HotRestartStep {
  kHello,    // the newer process has connected
  kSynced,   // the older one has reduced its quota and has sent all state
  kServing,  // the newer one takes the clients from now on
  kDone,     // the sender ends, with all requests that it took answered
};

// The most descriptors that the sender uses from now on.
struct DescriptorUsage {
  int descriptors = 0;
};

using HotRestartMessage = std::variant<HotRestartStep, DescriptorUsage, SessionUpdate, ServerUpdate>;

// The message as one line, with its end.
std::string ToLine(const HotRestartMessage& message);

// `line` is without its end. None where it is not a message of this protocol.
std::optional<HotRestartMessage> ParseHotRestartMessage(std::string_view line);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_HOT_RESTART_MESSAGE_HPP_
