// A connection to a peer process: exchanges lines of text over a non-blocking Unix socket, without
// interpreting them.
#ifndef TULIPYOKE_SRC_HOT_RESTART_PEER_CONNECTION_HPP_
#define TULIPYOKE_SRC_HOT_RESTART_PEER_CONNECTION_HPP_

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace tulipyoke::net {

// Must be used on the event loop's thread. Owned by shared pointers: a pending asynchronous wait keeps it
// alive until it is closed.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using Socket = asio::local::stream_protocol::socket;
  struct Callbacks {
    std::function<void(std::string_view line)> on_line;  // without the newline
    // The peer closed the connection or exceeded a size limit, or Disconnect was called. Called at most once,
    // and not after Close.
    std::function<void()> on_closed;
  };

  PeerConnection(Socket socket, Callbacks callbacks);

  // Starts reading and passing received lines to on_line.
  void Start();
  // Passes on the lines that have arrived so far, without waiting for the event loop.
  void ReadAvailable();
  // Immediately sends as much as the socket buffer accepts, so that the peer can read the line before later
  // actions of this process, such as a response to a client, take effect. Disconnects a peer that leaves too
  // much data unread. `line` includes the newline.
  void Send(const std::string& line);
  // Closes the connection and calls on_closed. Has no effect if it is already closed.
  void Disconnect();
  // Closes the connection without calling on_closed.
  void Close();

 private:
  void AwaitReadable();
  // Passes the complete lines in input_ to on_line.
  void ProcessInput();
  void Flush();

  Socket socket_;
  Callbacks callbacks_;
  std::string input_;
  std::string output_;
  bool awaiting_writable_ = false;
  bool closed_ = false;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_HOT_RESTART_PEER_CONNECTION_HPP_
