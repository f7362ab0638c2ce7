// A connection to a server: connects, starts the session, then runs one statement or probe at a time. It only
// reports events to its owner; after a failure it waits until the owner calls Close.
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

// Why a connection can no longer be used.
enum class ConnectionFailure {
  kConnectFailed,            // no connection or session could be established in time
  kServerAtConnectionLimit,  // the server refused the session: it has too many connections
  kConnectionLost,           // the server closed the connection, or a socket error occurred
  kProtocolViolation,        // the server violated the protocol
  kUnsolicitedData,          // the server sent data while no response was expected
  kStartDeadlineMissed,      // a statement was not fully written by its latest start time
  kStreamRejected,           // a large value began to arrive, but no client waits for it any more
};

// Called from the connection's handlers, on the event loop's thread. The connection cannot be used after
// OnFailure.
class UpstreamConnectionListener {
 public:
  virtual ~UpstreamConnectionListener() = default;

  // The session has started, or the cooldown after a response is over.
  virtual void OnReady(const UpstreamConnectionPtr& connection) = 0;
  // The operation's last byte has been written to the socket.
  virtual void OnWritten(const UpstreamConnectionPtr& connection) = 0;
  // A value that must be streamed begins to arrive. Returns null if no client waits for it.
  virtual std::shared_ptr<ResponseStream> OnLargeValue(const UpstreamConnectionPtr& connection,
                                                       const std::string& row_description,
                                                       std::size_t size) = 0;
  // The response is complete. The connection is in the state kCoolingDown.
  virtual void OnResponse(const UpstreamConnectionPtr& connection, Outcome outcome) = 0;
  virtual void OnFailure(const UpstreamConnectionPtr& connection, ConnectionFailure failure) = 0;
};

// Not thread-safe. Held by shared_ptr, also by its own handlers, none of which calls the listener after
// Close.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  enum class State { kConnecting, kCoolingDown, kIdle, kBusy, kClosed };

  // The listener must exist until Close.
  UpstreamConnection(asio::io_context& io, LoopClock& clock, UpstreamConnectionListener& listener,
                     ServerId server, const asio::ip::tcp::endpoint& endpoint);

  // May be called once. The session must start within `timeout` microseconds.
  void Connect(Micros timeout);
  // Must be called from OnReady, in the state kConnecting or kCoolingDown.
  void BecomeIdle();
  // Must be called in the state kIdle. The connection is busy until OnResponse or OnFailure.
  void Run(const PendingOperation& operation);
  // Must be called in the state kCoolingDown; calls OnReady after a short delay. Unsolicited data that the
  // server sends right after a response arrives in that time, so that it is not taken for the next response.
  void StartCooldown();
  void Close();

  ServerId server() const { return server_; }
  const asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  State state() const { return state_; }
  OperationId operation_id() const { return operation_id_; }  // of the current or last operation
  Micros idle_since() const { return idle_since_; }
  // Whether the current message has been completely written to the socket.
  bool all_sent() const { return outgoing_.sent(); }
  // Whether a message has been received or written only in part.
  bool has_partial_messages() const { return reader_.buffered() > 0 || !outgoing_.sent(); }
  // The outcome of the response as far as it has been received; none without a response, or if the connection
  // is not busy.
  std::optional<Outcome> outcome() const;
  // Whether the socket has neither unread bytes nor a pending end of stream. It peeks at the socket: the
  // number of available bytes does not show an end of stream, of which the event loop may not have been
  // notified yet.
  bool HasNoInput();
  // Whether a value is being streamed, reading is not paused, and no data has arrived for too long.
  bool IsStalled();

 private:
  bool IsClosed() const { return state_ == State::kClosed; }
  void Fail(ConnectionFailure failure) { listener_.OnFailure(shared_from_this(), failure); }
  void OnConnected(std::error_code error);
  void Write();
  void OnWritable(std::error_code error);
  void Read();
  void OnRead(std::error_code error, std::size_t size);
  void OnBytesReceived(std::string_view bytes);
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
  CancellableTimer timer_;  // for the connect timeout, then for the cooldown after a response
  ServerId server_;
  asio::ip::tcp::endpoint endpoint_;
  State state_ = State::kConnecting;
  Micros idle_since_ = 0;
  OperationId operation_id_ = 0;
  Micros latest_start_ = kNoDeadline;  // of the operation being written
  OutgoingMessage outgoing_;
  pg::MessageReader reader_;
  pg::QueryResponseReader response_;
  // The value being streamed: the bytes that have not arrived yet, and whether reading is paused until the
  // client has consumed those that have.
  std::shared_ptr<ResponseStream> stream_;
  std::size_t value_remaining_ = 0;
  bool reading_paused_ = false;
  Micros last_read_time_ = 0;
  static constexpr std::size_t kReadSize = 8192;
  std::array<char, kReadSize> read_buffer_{};
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_UPSTREAM_UPSTREAM_CONNECTION_HPP_
