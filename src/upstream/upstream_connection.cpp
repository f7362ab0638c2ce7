#include "src/upstream/upstream_connection.hpp"

#include <utility>

#include "src/pg/message_parser.hpp"
#include "src/pg/message_types.hpp"
#include "src/pg/sqlstate.hpp"

namespace tulipyoke::net {
namespace {

// The time in which unsolicited data that a server sends right after a response is detected.
constexpr Micros kCooldown = 2'000;
// A streamed value is abandoned after this time without data; until then its server may just be slow.
constexpr Micros kStallTimeout = 10'000'000;

}  // namespace

UpstreamConnection::UpstreamConnection(asio::io_context& io, LoopClock& clock,
                                       UpstreamConnectionListener& listener, ServerId server,
                                       const asio::ip::tcp::endpoint& endpoint)
    : clock_(clock),
      listener_(listener),
      socket_(io),
      timer_(io),
      server_(server),
      endpoint_(endpoint),
      reader_(pg::MessageReader::ForResponses()) {}

void UpstreamConnection::Connect(Micros timeout) {
  timer_.ExpireAt(clock_.ToSteady(clock_.Now() + timeout), [weak = weak_from_this()] {
    if (const UpstreamConnectionPtr self = weak.lock()) self->Fail(ConnectionFailure::kConnectFailed);
  });
  socket_.async_connect(endpoint_,
                        [self = shared_from_this()](std::error_code error) { self->OnConnected(error); });
}

void UpstreamConnection::OnConnected(std::error_code error) {
  if (state_ != State::kConnecting) return;
  if (!error) socket_.non_blocking(true, error);
  if (error) return Fail(ConnectionFailure::kConnectFailed);
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  outgoing_.SetStartup();
  Write();
  if (!IsClosed()) Read();
}

void UpstreamConnection::BecomeIdle() {
  state_ = State::kIdle;
  idle_since_ = clock_.Now();
}

void UpstreamConnection::Run(const PendingOperation& operation) {
  const bool is_probe = operation.payload == nullptr;
  state_ = State::kBusy;
  operation_id_ = operation.operation_id;
  latest_start_ = operation.latest_start;
  response_ = pg::QueryResponseReader(is_probe ? pg::QueryKind::kHealthCheck : pg::QueryKind::kStatement);
  stream_.reset();
  value_remaining_ = 0;
  if (is_probe) {
    outgoing_.SetProbe();
  } else {
    outgoing_.SetStatement(operation.payload, operation.client_deadline - clock_.Now());
  }
  Write();
}

void UpstreamConnection::StartCooldown() {
  timer_.ExpireAt(clock_.ToSteady(clock_.Now() + kCooldown), [weak = weak_from_this()] {
    if (const UpstreamConnectionPtr self = weak.lock()) self->listener_.OnReady(self);
  });
}

void UpstreamConnection::Close() {
  state_ = State::kClosed;
  stream_.reset();
  timer_.Cancel();
  std::error_code ignored;
  socket_.close(ignored);
}

std::optional<Outcome> UpstreamConnection::outcome() const {
  if (state_ != State::kBusy) return std::nullopt;
  return response_.outcome();
}

bool UpstreamConnection::HasNoInput() {
  char byte = 0;
  std::error_code error;
  socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

bool UpstreamConnection::IsStalled() {
  return stream_ && !reading_paused_ && clock_.Now() - last_read_time_ > kStallTimeout;
}

// Writes synchronously, so that outgoing_ always shows exactly what the socket has accepted. The handler of
// an asynchronous write could run after the one that reports the end of the connection, and an attempt whose
// last byte was sent would be reported as never sent.
void UpstreamConnection::Write() {
  const std::error_code error = outgoing_.WriteTo(socket_);
  if (error == asio::error::would_block) {
    socket_.async_wait(asio::socket_base::wait_write,
                       [self = shared_from_this()](std::error_code failed) { self->OnWritable(failed); });
    return;
  }
  if (error) return Fail(ConnectionFailure::kConnectionLost);
  outgoing_.ReleasePayload();
  if (state_ == State::kBusy) listener_.OnWritten(shared_from_this());
}

void UpstreamConnection::OnWritable(std::error_code error) {
  if (error || IsClosed()) return;
  // The server executes a statement when its last byte arrives: if that is sent now, the statement could take
  // effect a second time.
  if (state_ == State::kBusy && latest_start_ < clock_.Now())
    return Fail(ConnectionFailure::kStartDeadlineMissed);
  Write();
}

void UpstreamConnection::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](std::error_code error, std::size_t size) { self->OnRead(error, size); });
}

void UpstreamConnection::OnRead(std::error_code error, std::size_t size) {
  if (IsClosed()) return;
  if (error) return Fail(ConnectionFailure::kConnectionLost);
  OnBytesReceived(std::string_view(read_buffer_.data(), size));
  if (!IsClosed() && !reading_paused_) Read();
}

void UpstreamConnection::OnBytesReceived(std::string_view bytes) {
  const bool expects_data = state_ == State::kConnecting || state_ == State::kBusy;
  if (!expects_data) return Fail(ConnectionFailure::kUnsolicitedData);
  reader_.Feed(bytes);
  last_read_time_ = clock_.Now();
  while (!IsClosed() && ReadNext()) {
  }
  reader_.ReleaseConsumed();
}

// Processes the next message, or the next part of a streamed value. Returns false if more bytes are needed,
// or after a protocol violation.
bool UpstreamConnection::ReadNext() {
  if (value_remaining_ > 0) return ForwardValue();
  if (state_ == State::kBusy) {
    if (const std::optional<std::size_t> size = reader_.NextLargeRow()) {
      OnLargeRow(*size);
      return true;
    }
  }
  const std::optional<pg::Message> message = reader_.error() ? std::nullopt : reader_.Next();
  if (reader_.error()) {
    Fail(ConnectionFailure::kProtocolViolation);
    return false;
  }
  if (!message) return false;
  OnMessage(*message);
  return true;
}

void UpstreamConnection::OnMessage(const pg::Message& message) {
  switch (state_) {
    case State::kConnecting:
      return OnStartupMessage(message);
    case State::kBusy:
      return OnResponseMessage(message);
    case State::kCoolingDown:
    case State::kIdle:
    case State::kClosed:
      return;
  }
}

void UpstreamConnection::OnStartupMessage(const pg::Message& message) {
  switch (message.type) {
    case pg::backend::kAuthentication: {
      const pg::Result<pg::Authentication> authentication = pg::ParseAuthentication(message.body);
      const bool done = authentication.ok() && *authentication == pg::Authentication::kDone;
      if (!done) Fail(ConnectionFailure::kProtocolViolation);
      return;
    }
    case pg::backend::kErrorResponse:
      return OnStartupError(message.body);
    case pg::backend::kReadyForQuery:
      timer_.Cancel();
      return listener_.OnReady(shared_from_this());
    case pg::backend::kParameterStatus:
    case pg::backend::kBackendKeyData:
    case pg::backend::kNoticeResponse:
      return;
    default:
      return Fail(ConnectionFailure::kProtocolViolation);
  }
}

void UpstreamConnection::OnStartupError(std::string_view body) {
  const pg::Result<pg::ErrorFields> fields = pg::ParseError(body);
  if (!fields) return Fail(ConnectionFailure::kProtocolViolation);
  const bool at_connection_limit = fields->code == pg::sqlstate::kTooManyConnections;
  Fail(at_connection_limit ? ConnectionFailure::kServerAtConnectionLimit : ConnectionFailure::kConnectFailed);
}

void UpstreamConnection::OnResponseMessage(const pg::Message& message) {
  const pg::Result<pg::ResponseProgress> progress = response_.Read(message);
  if (!progress) return Fail(ConnectionFailure::kProtocolViolation);
  if (*progress == pg::ResponseProgress::kIncomplete) return;
  stream_.reset();
  reading_paused_ = false;  // the stream buffers what the client has not consumed yet
  Outcome outcome = *response_.outcome();
  response_ =
      pg::QueryResponseReader(pg::QueryKind::kStatement);  // an idle connection does not keep the value
  state_ = State::kCoolingDown;
  listener_.OnResponse(shared_from_this(), std::move(outcome));
}

void UpstreamConnection::OnLargeRow(std::size_t size) {
  if (response_.BeginRow()) return Fail(ConnectionFailure::kProtocolViolation);
  stream_ = listener_.OnLargeValue(shared_from_this(), response_.row_description(), size);
  if (!stream_) return Fail(ConnectionFailure::kStreamRejected);
  value_remaining_ = size;
  stream_->on_writable = [weak = weak_from_this()] {
    if (const UpstreamConnectionPtr self = weak.lock()) self->ResumeReading();
  };
}

// Returns false if more bytes are needed.
bool UpstreamConnection::ForwardValue() {
  const std::string_view bytes = reader_.TakeValue(value_remaining_);
  value_remaining_ -= bytes.size();
  // The stream's observers may close this connection, which resets stream_.
  const std::shared_ptr<ResponseStream> stream = stream_;
  if (!bytes.empty()) reading_paused_ = !stream->Write(bytes);
  return value_remaining_ == 0;
}

void UpstreamConnection::ResumeReading() {
  if (IsClosed() || !reading_paused_) return;
  reading_paused_ = false;
  last_read_time_ = clock_.Now();
  Read();
}

}  // namespace tulipyoke::net
