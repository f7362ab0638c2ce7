// The message that is being written to a server, and how much of it the socket has not taken yet.
#ifndef TULIPYOKE_SRC_UPSTREAM_OUTGOING_MESSAGE_HPP_
#define TULIPYOKE_SRC_UPSTREAM_OUTGOING_MESSAGE_HPP_

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>
#include <system_error>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke::net {

// Neither copied nor moved, since it refers to its own bytes. One message at a time: setting another replaces
// it.
class OutgoingMessage {
 public:
  OutgoingMessage() = default;
  ~OutgoingMessage() = default;
  OutgoingMessage(const OutgoingMessage&) = delete;
  OutgoingMessage& operator=(const OutgoingMessage&) = delete;

  void SetStartup();
  // The client's statement, whose timeout is replaced by `remaining` microseconds, at least a millisecond.
  // Its bytes are not copied: the payload is kept until ReleasePayload.
  void SetStatement(std::shared_ptr<const RequestPayload> payload, Micros remaining);
  void SetProbe();

  // Writes as much as the non-blocking socket takes at once. The error is would_block where that is not all.
  std::error_code WriteTo(asio::ip::tcp::socket& socket);
  // Whether the socket has taken all of it.
  bool sent() const { return asio::buffer_size(unsent_) == 0; }
  void ReleasePayload() { payload_.reset(); }

 private:
  void SetQuery(const RequestPayload& payload);

  std::string header_, timeout_;
  std::shared_ptr<const RequestPayload> payload_;
  std::array<asio::const_buffer, 5> unsent_{};
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_OUTGOING_MESSAGE_HPP_
