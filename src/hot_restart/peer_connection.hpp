// The connection to one peer process: lines of text over a non-blocking Unix socket. It knows nothing of what
// the lines mean.
#ifndef TULIPYOKE_SRC_HOT_RESTART_PEER_CONNECTION_HPP_
#define TULIPYOKE_SRC_HOT_RESTART_PEER_CONNECTION_HPP_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tulipyoke::net {

// Runs on the event loop, whose thread calls everything here. Owned by shared pointers: a pending wait keeps
// it until it is closed.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using Socket = asio::local::stream_protocol::socket;
  struct Events {
    std::function<void(std::string_view line)> line;  // without its end
    // The peer ended the connection or broke the protocol's limits. Called once, and not after `Close`.
    std::function<void()> closed;
  };

  PeerConnection(Socket socket, Events events);

  // From here on what comes in is read and passed on.
  void Start();
  // Passes on what has come in by now, without waiting for the event loop.
  void ReadAvailable();
  // Sends at once as much as the peer's buffer takes, so that the peer is told before what follows here, such
  // as a client's answer. A peer that leaves too much unread is disconnected. `line` has its end.
  void Send(const std::string& line);
  // Closes and calls `closed`. Without effect once closed.
  void Disconnect();
  // Closes without a further event.
  void Close();

 private:
  void AwaitReadable();
  // Passes on the complete lines of what has come in.
  void ProcessInput();
  void Flush();

  Socket socket_;
  Events events_;
  std::string input_;
  std::string output_;
  bool awaiting_writable_ = false;
  bool closed_ = false;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_HOT_RESTART_PEER_CONNECTION_HPP_
