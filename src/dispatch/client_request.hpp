// A request as the client side hands it over, whatever protocol it came in.
#ifndef TULIPYOKE_SRC_DISPATCH_CLIENT_REQUEST_HPP_
#define TULIPYOKE_SRC_DISPATCH_CLIENT_REQUEST_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// The bytes of a request as the client sent them. They are forwarded unchanged, except for the timeout that
// the client states in them: each attempt replaces it by the time that is left.
struct RequestPayload {
  std::string bytes;
  std::size_t timeout_offset = 0, timeout_size = 0;
  std::shared_ptr<const void> memory_reservation = {};  // held as long as the payload, where it is large

  std::string_view BeforeTimeout() const { return std::string_view(bytes).substr(0, timeout_offset); }
  std::string_view AfterTimeout() const {
    return std::string_view(bytes).substr(timeout_offset + timeout_size);
  }
};

struct ClientRequest {
  int class_index = 0, tenant = 0, group = 0;
  std::uint64_t session_key = 0;                   // identifies the session; 0: none
  Micros timeout = 0;                              // until the client gives up
  std::optional<std::int64_t> last_write_unix_ms;  // the session's last write, if the client states it
  bool is_retry = false;                           // the client has sent this request before
  std::shared_ptr<const RequestPayload> payload;
  // When its last byte arrived, from which `wait` counts; nullopt: now.
  std::optional<Micros> arrival_time = {};
  // A request that the client sent earlier on the same connection and whose write this one has to see.
  std::optional<RequestId> preceding_write = {};
};

// The id that the client states in the comment of its statement, or "-".
std::string_view ClientRequestId(const RequestPayload* payload);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_CLIENT_REQUEST_HPP_
