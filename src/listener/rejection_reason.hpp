// Why the router rejects all further statements of a connection and closes it.
#ifndef TULIPYOKE_SRC_LISTENER_REJECTION_REASON_HPP_
#define TULIPYOKE_SRC_LISTENER_REJECTION_REASON_HPP_

#include <string_view>

namespace tulipyoke::net {

enum class RejectionReason {
  kOutOfService,  // an operator has taken the router out of service, or it is shutting down
};

// Returns the SQLSTATE with which a statement is rejected. Both codes allow a retry.
constexpr std::string_view SqlStateOf(RejectionReason) { return "57P03"; }

// Returns the error text sent to the client.
constexpr std::string_view ToText(RejectionReason) { return "out of service: trying again is harmless"; }

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_REJECTION_REASON_HPP_
