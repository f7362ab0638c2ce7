// Why the router rejects all further statements of a connection and closes it.
#ifndef TULIPYOKE_SRC_LISTENER_REJECTION_REASON_HPP_
#define TULIPYOKE_SRC_LISTENER_REJECTION_REASON_HPP_

#include <string_view>

namespace tulipyoke::net {

enum class RejectionReason {
  kOutOfService,        // an operator has taken the router out of service, or it is shutting down
  kTooManyConnections,  // accepted beyond the connection limit
  kTooMuchUnread,       // the unread bytes of all clients exceed their limit
  kTooManyErrors,       // the client has sent too many invalid statements in a row
};

// Returns the SQLSTATE with which a statement is rejected. Both codes allow a retry.
constexpr std::string_view SqlStateOf(RejectionReason reason) {
  return reason == RejectionReason::kOutOfService ? "57P03" : "53300";
}

// Returns the SQLSTATE of the error that ends the connection.
constexpr std::string_view FinalSqlStateOf(RejectionReason reason) {
  return reason == RejectionReason::kTooManyErrors ? "08P01" : SqlStateOf(reason);
}

// Returns the error text sent to the client.
constexpr std::string_view ToText(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kOutOfService:
      return "out of service: trying again is harmless";
    case RejectionReason::kTooManyConnections:
      return "too many connections";
    case RejectionReason::kTooMuchUnread:
      return "too much is waiting to be read";
    case RejectionReason::kTooManyErrors:
      return "too many invalid statements";
  }
  return "";
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_REJECTION_REASON_HPP_
