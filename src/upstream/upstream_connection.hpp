// One connection to a server: connects, starts the session, then runs one statement or probe at a time. It
// tells its owner what happens and decides nothing by itself: where it cannot go on it waits for Close.
#ifndef TULIPYOKE_SRC_UPSTREAM_UPSTREAM_CONNECTION_HPP_
#define TULIPYOKE_SRC_UPSTREAM_UPSTREAM_CONNECTION_HPP_

#include <array>
#include <asio.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "src/dispatch/dispatcher.hpp"
#include "src/event_loop/cancellable_timer.hpp"
#include "src/event_loop/loop_clock.hpp"
#include "src/pg/message_reader.hpp"
#include "src/pg/query_response.hpp"
#include "src/upstream/outgoing_message.hpp"
#include "src/upstream/pending_operations.hpp"

namespace tulipyoke::net {

class UpstreamConnection;
using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

// Why a connection cannot be used any more.
enum class ConnectionFault {
  kConnectFailed,    // no connection, or no session on it, in time
  kServerFull,       // the server has too many connections
  kBroken,           // the connection ended, or an error of the socket
  kMalformed,        // the server broke the protocol
  kUnsolicitedData,  // it sent what was not asked for
  kStartTooLate,     // a statement was not written to its end by the time at which it had to start
  kValueNotWanted,   // a large value began to come for which nobody waits any more
};

// Called from the handlers of the connection, in the loop's thread. The connection is not used any more after
// OnFault.
class UpstreamConnectionListener {
 public:
  virtual ~UpstreamConnectionListener() = default;

  // The session has started, or the pause behind a response is over.
  virtual void OnReady(const UpstreamConnectionPtr& connection) = 0;
  // The operation's last byte has been taken by the socket.
  virtual void OnWritten(const UpstreamConnectionPtr& connection) = 0;
  // A value that is streamed begins to come. Null: nobody waits for it.
  virtual std::shared_ptr<ResponseStream> OnLargeValue(const UpstreamConnectionPtr& connection,
                                                       const std::string& row_description,
                                                       std::size_t size) = 0;
  // The response is complete. The connection is resting.
  virtual void OnResponse(const UpstreamConnectionPtr& connection, Outcome outcome) = 0;
  virtual void OnFault(const UpstreamConnectionPtr& connection, ConnectionFault fault) = 0;
};

// Not thread-safe. Held by shared_ptr, also by its own handlers; after Close none of these calls the
// listener.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  enum class State { kConnecting, kResting, kIdle, kBusy, kClosed };

  // The listener must live until Close.
  UpstreamConnection(asio::io_context& io, LoopClock& clock, UpstreamConnectionListener& listener,
                     ServerId server, const asio::ip::tcp::endpoint& endpoint);

  // Once. `timeout` in microseconds, until the session has started.
  void Connect(Micros timeout);
  // From kConnecting or kResting, within OnReady.
  void BecomeIdle();
  // From kIdle. The connection is busy until OnResponse or OnFault.
  void Run(const PendingOperation& operation);
  // From kResting: calls OnReady later. What the server sends right behind a response, without being asked,
  // arrives until then, and is never taken for the next response.
  void RestBeforeReady();
  void Close();

  ServerId server() const { return server_; }
  const asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  State state() const { return state_; }
  OperationId operation_id() const { return operation_id_; }  // of the operation that runs, or ran last
  Micros idle_since() const { return idle_since_; }
  // Whether all that was written has been taken by the socket.
  bool all_sent() const { return outgoing_.sent(); }
  // Whether bytes were read or written that belong to no complete message.
  bool has_partial_messages() const { return reader_.buffered() > 0 || !outgoing_.sent(); }
  // What the response amounts to so far; none: no response, or the connection is not busy.
  std::optional<Outcome> outcome() const;
  // Whether the server has sent nothing by now, the end of the stream included. Asks the socket: that the end
  // has come shows in no count of waiting bytes, and the loop may not have been told of it yet.
  bool IsQuiet();
  // Whether a value is being streamed of which nothing has come for too long.
  bool IsStalled();

 private:
  bool IsClosed() const { return state_ == State::kClosed; }
  void Fail(ConnectionFault fault) { listener_.OnFault(shared_from_this(), fault); }
  void OnConnected(std::error_code error);
  void Write();
  void OnWritable(std::error_code error);
  void Read();
  void OnRead(std::error_code error, std::size_t size);
  void OnBytes(std::string_view bytes);
  bool ReadNext();
  void OnMessage(const pg::Message& message);
  void OnStartupMessage(const pg::Message& message);
  void OnStartupError(std::string_view body);
  void OnResponseMessage(const pg::Message& message);
  void OnLargeRow(std::size_t size);
  bool ForwardValue();
  void ResumeReading();

  LoopClock& clock_;
  UpstreamConnectionListener& listener_;
  asio::ip::tcp::socket socket_;
  CancellableTimer timer_;  // of the connect timeout, then of the pause behind a response
  ServerId server_;
  asio::ip::tcp::endpoint endpoint_;
  State state_ = State::kConnecting;
  Micros idle_since_ = 0;
  OperationId operation_id_ = 0;
  Micros latest_start_ = kNoDeadline;  // of the operation that is being written
  OutgoingMessage outgoing_;
  pg::MessageReader reader_;
  pg::QueryResponseReader response_;
  // A value that is streamed: how much of it is still to come, and whether reading waits for the client to
  // take what has come.
  std::shared_ptr<ResponseStream> stream_;
  std::size_t value_remaining_ = 0;
  bool reading_paused_ = false;
  Micros last_read_ = 0;
  static constexpr std::size_t kReadSize = 8192;
  std::array<char, kReadSize> read_buffer_{};
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_UPSTREAM_CONNECTION_HPP_
