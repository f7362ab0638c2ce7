// A client's request, independent of the protocol in which it arrived.
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

// The bytes of a request as the client sent them. Each attempt forwards them unchanged, except that the
// timeout stated in them is replaced by the remaining time.
struct RequestPayload {
  std::string bytes;
  std::size_t timeout_offset = 0, timeout_size = 0;
  std::shared_ptr<const void> memory_reservation = {};  // for a large payload; released with the payload

  std::string_view BeforeTimeout() const { return std::string_view(bytes).substr(0, timeout_offset); }
  std::string_view AfterTimeout() const {
    return std::string_view(bytes).substr(timeout_offset + timeout_size);
  }
};

struct ClientRequest {
  int class_index = 0, tenant = 0, group = 0;
  std::uint64_t session_key = 0;                   // 0: no session
  Micros timeout = 0;                              // after which the client gives up
  std::optional<std::int64_t> last_write_unix_ms;  // the session's last write, if stated by the client
  bool is_retry = false;                           // the client has sent this request before
  std::shared_ptr<const RequestPayload> payload;
  // When the last byte of the request arrived; `timeout` starts then. nullopt: now.
  std::optional<Micros> arrival_time = {};
  // An earlier request on the same client connection whose write must be visible to this request.
  std::optional<RequestId> preceding_write = {};
};

// The id that the client gave in the comment of its statement, or "-" if there is none.
std::string_view ClientRequestId(const RequestPayload* payload);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_CLIENT_REQUEST_HPP_
