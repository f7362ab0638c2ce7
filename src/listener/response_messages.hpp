// Encodes short server messages as bytes.
#ifndef TULIPYOKE_SRC_LISTENER_RESPONSE_MESSAGES_HPP_
#define TULIPYOKE_SRC_LISTENER_RESPONSE_MESSAGES_HPP_

#include <string>
#include <string_view>

#include "src/pg/message_writer.hpp"

namespace tulipyoke::net {

inline std::string ReadyForQueryMessage() {
  std::string message;
  pg::AppendReadyForQuery(message);
  return message;
}

inline std::string EmptyQueryMessage() {
  std::string message;
  pg::AppendMessage(message, 'I', {});
  return message;
}

inline std::string CommandCompleteMessage(std::string_view tag) {
  std::string message;
  pg::AppendMessage(message, 'C', std::string(tag) + '\0');
  return message;
}

inline std::string ErrorMessage(std::string_view code, std::string_view text, std::string_view detail = {}) {
  std::string message;
  pg::AppendError(message, "ERROR", code, text, detail);
  return message;
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_RESPONSE_MESSAGES_HPP_
