// The message that is being written to a server, and the part of it that has not been written yet.
#ifndef TULIPYOKE_SRC_UPSTREAM_OUTGOING_MESSAGE_HPP_
#define TULIPYOKE_SRC_UPSTREAM_OUTGOING_MESSAGE_HPP_

#include <array>
#include <asio.hpp>
#include <memory>
#include <string>
#include <system_error>

#include "src/dispatch/dispatcher.hpp"

namespace tulipyoke::net {

// Cannot be copied or moved, since its buffers point into the object. Holds one message at a time: setting
// another one replaces it.
class OutgoingMessage {
 public:
  OutgoingMessage() = default;
  ~OutgoingMessage() = default;
  OutgoingMessage(const OutgoingMessage&) = delete;
  OutgoingMessage& operator=(const OutgoingMessage&) = delete;

  void SetStartup();
  // Sets the client's statement with its timeout replaced by `remaining` microseconds, in whole milliseconds
  // and at least one. The payload is not copied but referenced until ReleasePayload.
  void SetStatement(std::shared_ptr<const RequestPayload> payload, Micros remaining);
  void SetProbe();

  // Writes as much as the non-blocking socket accepts. Returns would_block if part of the message remains.
  std::error_code WriteTo(asio::ip::tcp::socket& socket);
  // Whether the whole message has been written to the socket.
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
