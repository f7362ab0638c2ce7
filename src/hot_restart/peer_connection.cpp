#include "src/hot_restart/peer_connection.hpp"

#include <sys/socket.h>
#include <sys/types.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <system_error>
#include <utility>

namespace tulipyoke::net {
namespace {

// In bytes. A peer that sends a longer line does not use this protocol.
constexpr std::size_t kMaxLineLength = 4096;
// In bytes. If more output than this is queued, the peer has stopped reading.
constexpr std::size_t kMaxUnsentBytes = std::size_t{8} << 20;
// In bytes.
constexpr std::size_t kReadBufferSize = 16384;

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

PeerConnection::PeerConnection(Socket socket, Callbacks callbacks)
    : socket_(std::move(socket)), callbacks_(std::move(callbacks)) {
  std::error_code ignored;
  socket_.non_blocking(true, ignored);
}

void PeerConnection::Start() { AwaitReadable(); }

void PeerConnection::AwaitReadable() {
  socket_.async_wait(Socket::wait_read, [this, self = shared_from_this()](std::error_code error) {
    if (error || closed_) return;
    ReadAvailable();
    if (!closed_) AwaitReadable();
  });
}

void PeerConnection::ReadAvailable() {
  const std::shared_ptr<PeerConnection> self = shared_from_this();  // callbacks may release it
  std::array<char, kReadBufferSize> bytes;
  while (!closed_) {
    const ssize_t size = ::recv(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0 && errno == EINTR) continue;
    if (size < 0 && WouldBlock()) return;
    if (size <= 0) return Disconnect();
    input_.append(bytes.data(), static_cast<std::size_t>(size));
    ProcessInput();
    if (input_.size() > kMaxLineLength) return Disconnect();
  }
}

void PeerConnection::ProcessInput() {
  std::size_t begin = 0;
  std::size_t end = input_.find('\n');
  while (end != std::string::npos && !closed_) {
    callbacks_.on_line(std::string_view(input_).substr(begin, end - begin));
    begin = end + 1;
    end = input_.find('\n', begin);
  }
  input_.erase(0, begin);
}

void PeerConnection::Send(const std::string& line) {
  output_ += line;
  if (output_.size() > kMaxUnsentBytes) return Disconnect();
  Flush();
}

void PeerConnection::Flush() {
  if (awaiting_writable_ || closed_) return;
  while (!output_.empty()) {
    const ssize_t size =
        ::send(socket_.native_handle(), output_.data(), output_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) continue;
    if (size < 0 && WouldBlock()) break;
    if (size < 0) return;  // reading detects the end of the connection
    output_.erase(0, static_cast<std::size_t>(size));
  }
  if (output_.empty()) return;
  awaiting_writable_ = true;
  socket_.async_wait(Socket::wait_write, [this, self = shared_from_this()](std::error_code error) {
    awaiting_writable_ = false;
    if (!error) Flush();
  });
}

void PeerConnection::Disconnect() {
  if (closed_) return;
  Close();
  callbacks_.on_closed();
}

void PeerConnection::Close() {
  closed_ = true;
  std::error_code ignored;
  socket_.close(ignored);
}

}  // namespace tulipyoke::net
