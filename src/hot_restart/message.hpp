// The hot restart protocol: the messages that two processes of one router send each other, as text with one
// message per line. An older and a newer version of the program must understand each other in both
// directions, so the text of a message must never change.
#ifndef TULIPYOKE_SRC_HOT_RESTART_MESSAGE_HPP_
#define TULIPYOKE_SRC_HOT_RESTART_MESSAGE_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke::net {

// The progress of the sender.
enum class HotRestartStep {
  kHello,    // the newer process has connected
  kSynced,   // the older process has reduced its quota and sent all its state
  kServing,  // the newer process accepts the clients from now on
  kDone,     // the sender exits and has answered all requests that it accepted
};

// The maximum number of file descriptors that the sender uses from now on.
struct DescriptorUsage {
  int descriptors = 0;
};

// Earlier versions disconnect on a message of a kind that they do not know. A RequestIdUpdate therefore has
// the form of a ServerUpdate about a server that no list contains, which they ignore.
using HotRestartMessage =
    std::variant<HotRestartStep, DescriptorUsage, SessionUpdate, ServerUpdate, RequestIdUpdate>;

// Returns the message as one line, including the newline.
std::string ToLine(const HotRestartMessage& message);

// `line` has no newline. Returns none if it is not a valid message.
std::optional<HotRestartMessage> ParseHotRestartMessage(std::string_view line);

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_HOT_RESTART_MESSAGE_HPP_
