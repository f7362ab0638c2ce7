// What the system still holds of the bytes written to a socket.
#ifndef TULIPYOKE_SRC_LISTENER_SOCKET_BUFFERS_HPP_
#define TULIPYOKE_SRC_LISTENER_SOCKET_BUFFERS_HPP_

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <asio.hpp>
#include <cstddef>

namespace tulipyoke::net {

// What the shutdown of the sending direction adds to the unacknowledged bytes.
inline constexpr std::size_t kShutdownSequenceSize = 1;

// Returns how many bytes the system has not sent yet because the other side has no room for them, or 0 if the
// system does not tell. Unlike unacknowledged bytes there are none while an acknowledgement is only delayed.
inline std::size_t UnsentBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQNSD, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

// Returns how many bytes the other side has not acknowledged yet, or 0 if the system does not tell.
inline std::size_t UnacknowledgedBytes(asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_SOCKET_BUFFERS_HPP_
