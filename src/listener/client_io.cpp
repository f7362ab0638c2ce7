// Reads from, writes to and closes client connections.
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "src/listener/client_connection.hpp"
#include "src/listener/client_listener.hpp"
#include "src/pg/message_writer.hpp"
#include "src/pg/session_command.hpp"
#include "src/pg/statement.hpp"

namespace tulipyoke::net {
namespace {

// Reading pauses while a response is pending and more than this many unprocessed bytes are buffered.
constexpr std::size_t kMaxReadAhead = 65536;
// A large statement that is complete this long after it got its memory had been sent before.
constexpr Micros kBufferedStatementTransfer = 100'000;
// Limit of response bytes not yet written to a client's socket. Its next statements wait while it is reached.
constexpr std::size_t kMaxUnsentBytes = std::size_t{16} << 10;
// An output buffer that is empty keeps at most this much memory, in bytes.
constexpr std::size_t kMaxRetainedOutput = std::size_t{16} << 10;
// Limit of one client's response bytes queued behind an open request. Its next statements wait while it is
// reached.
constexpr std::size_t kMaxQueuedBytes = std::size_t{64} << 10;
// No client gets a second open request once the open requests of all clients reach max_open_requests divided
// by this.
constexpr std::size_t kPipeliningDivisor = 2;
// Messages of one client processed per turn of the event loop, so that other clients are not delayed.
constexpr int kMaxMessagesPerTurn = 16;
// Messages of one client that are still processed when its connection is closed. More valid statements than
// this are never buffered.
constexpr int kMaxMessagesAtClose = 2048;
// After this many bytes that a client sent beyond the end of its session, reading from it stops. A client
// that had begun to send a statement sends the rest of it before it reads that the connection is closed.
constexpr std::size_t kMaxDiscardedBytes = pg::kMaxStatementSize;

}  // namespace

// Waits first and reads then, so that all input that has not been processed is either in the reader or still
// in the socket. A read that is in progress could hold input that neither shows, and the client would look
// idle.
void ClientListener::Read(const ConnectionPtr& client) {
  if (client->reading || client->closed) return;
  client->reading = true;
  client->socket.async_wait(asio::ip::tcp::socket::wait_read, [this, client](std::error_code error) {
    client->reading = false;
    if (client->closed) return;
    if (error) return Close(client);
    OnReadable(client);
  });
}

void ClientListener::OnReadable(const ConnectionPtr& client) {
  const std::optional<std::string_view> bytes = Receive(*client);
  if (!bytes) return Close(client);
  if (client->closing || client->input_ended) {
    // The client is expected to close. Further input is discarded, up to a limit.
    client->discarded_bytes += bytes->size();
    if (client->discarded_bytes < kMaxDiscardedBytes) Read(client);
    return;
  }
  if (bytes->empty()) return Read(client);
  Feed(*client, *bytes);
  ProcessInput(client);
}

std::optional<std::string_view> ClientListener::Receive(ClientConnection& client) {
  const ssize_t size = ::recv(client.socket.native_handle(), input_.data(), input_.size(), MSG_DONTWAIT);
  if (size > 0) return std::string_view(input_.data(), static_cast<std::size_t>(size));
  const bool has_no_input = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return has_no_input ? std::optional(std::string_view()) : std::nullopt;
}

void ClientListener::Feed(ClientConnection& client, std::string_view bytes) {
  client.last_active = clock_.Now();
  if (client.reader.buffered() == 0) client.message_started_at = clock_.Now();
  client.reader.Feed(bytes);
  client.arrivals.Add(bytes.size(), clock_.Now());
}

bool ClientListener::MayProcessNext(const ClientConnection& client) const {
  if (client.closing || client.closed || client.input_ended || client.unsent_bytes() >= kMaxUnsentBytes)
    return false;
  if (!client.has_pending_responses() && client.unsent_bytes() == 0) return true;
  // A client that has not read its responses waits while those of all clients need too much memory. Its next
  // statement is processed when it has read more.
  if (response_bytes() >= options_.limits.max_buffered_bytes) return false;
  if (!client.has_pending_responses()) return true;
  // Pipelined requests are admitted only while enough capacity remains for other clients.
  return client.open_requests < options_.limits.max_pipelined_requests &&
         client.queued_bytes < kMaxQueuedBytes &&
         kPipeliningDivisor * clients_by_request_.size() < options_.limits.max_open_requests;
}

void ClientListener::ProcessInput(const ConnectionPtr& client) {
  if (client->processing_scheduled || client->closed) return;
  FlushResponses(client);
  ProcessMessages(client);
  if (client->closed) return;
  const bool output_full = client->unsent_bytes() >= kMaxUnsentBytes;
  const bool reserved = ReserveStatement(client);
  const bool unread_limit_reached = UpdateUnreadBytes(client);
  if (unread_limit_reached && !client->has_pending_responses() && !client->closing) {
    ++counters_.rejected;
    RejectAndClose(client, RejectionReason::kTooMuchUnread);
  }
  // Closes right after the response, so that the client cannot send its next request while the connection is
  // being closed.
  if (IsClosedWhenIdle(*client) && IsIdle(*client)) return ShutDownWrite(client);
  Write(client);
  if (client->closed) return;
  const bool output_drained = client->unsent_bytes() < kMaxUnsentBytes;
  // Processes the messages that had to wait for unsent responses.
  if (output_full && output_drained && client->reader.buffered() > 0) ScheduleProcessing(client);
  if (!reserved) return;
  // One message can exceed the read-ahead limit, so reading goes on if it is the next one to be processed.
  const bool needs_more = !client->has_pending_responses() && !client->processing_scheduled && output_drained;
  const bool may_read_ahead =
      output_drained && !unread_limit_reached && client->reader.buffered() < kMaxReadAhead;
  if (needs_more || may_read_ahead) Read(client);
}

void ClientListener::ProcessMessages(const ConnectionPtr& client) {
  for (int processed = 0; MayProcessNext(*client); ++processed) {
    if (processed == kMaxMessagesPerTurn) {
      ScheduleProcessing(client);
      break;
    }
    if (!ProcessMessage(client)) break;
  }
  client->reader.ReleaseConsumed();
  if (const std::optional<pg::ProtocolError> error = client->reader.error()) OnProtocolError(client, *error);
}

bool ClientListener::ProcessMessage(const ConnectionPtr& client) {
  const std::size_t before = client->reader.buffered();
  const std::optional<pg::Message> message = client->reader.Next();
  if (!message) return false;
  client->message_arrived_at =
      ArrivalTimeOf(*client, client->arrivals.Take(before - client->reader.buffered()));
  client->reservation_awaited_since = client->reservation_granted_at = 0;
  client->message_started_at = clock_.Now();
  if (message->type == '\0' && !client->startup_complete) {
    OnStartup(client, message->body);
  } else {
    OnMessage(client, message->type, message->body);
  }
  return true;
}

// While a large statement waits for memory, the rest of it waits in the systems' buffers. If it is complete
// soon after that, its client had sent it before, and its time does not begin anew.
Micros ClientListener::ArrivalTimeOf(const ClientConnection& client, Micros read_at) const {
  if (client.reservation_granted_at == 0) return read_at;
  const bool was_buffered = read_at - client.reservation_granted_at <= kBufferedStatementTransfer;
  return was_buffered ? client.reservation_awaited_since : read_at;
}

bool ClientListener::UpdateUnreadBytes(const ConnectionPtr& client) {
  const bool uncounted = client->closing || client->statement_reservation;
  const std::size_t unread = uncounted ? 0 : client->reader.buffered();
  unread_bytes_ += unread - client->unread_bytes;
  client->unread_bytes = unread;
  return unread_bytes_ > options_.limits.max_buffered_bytes && unread > kReadSize;
}

bool ClientListener::ReserveStatement(const ConnectionPtr& client) {
  const std::size_t statement_size = !client->has_pending_responses() && !client->closing
                                         ? client->reader.PendingMessageSize().value_or(0)
                                         : 0;
  if (statement_size <= pg::kMaxMessageSize) {
    client->statement_reservation.reset();
    return true;
  }
  if (client->statement_reservation) return true;
  // Reservations are granted in the order in which they were requested.
  if (awaiting_reservation_.empty() || client->awaits_reservation)
    client->statement_reservation = statement_budget_.Reserve(statement_size);
  if (client->statement_reservation) {
    client->reader.Reserve(statement_size);
  } else if (!std::exchange(client->awaits_reservation, true)) {
    client->reservation_awaited_since = clock_.Now();
    awaiting_reservation_.push_back(client);
  }
  return client->statement_reservation != nullptr;
}

void ClientListener::OnReservationReleased() {
  reservation_check_posted_ = false;
  while (!awaiting_reservation_.empty()) {
    const ConnectionPtr client = awaiting_reservation_.front().lock();
    if (client && !client->closed && !client->closing) {
      if (!ReserveStatement(client)) return;
      client->last_active = client->reservation_granted_at = clock_.Now();
      Read(client);
    }
    if (client) client->awaits_reservation = false;
    awaiting_reservation_.pop_front();
  }
}

void ClientListener::ScheduleProcessing(const ConnectionPtr& client) {
  if (client->processing_scheduled) return;
  client->processing_scheduled = true;
  asio::post(io_, [this, client] {
    client->processing_scheduled = false;
    if (!client->closed) ProcessInput(client);
  });
}

bool ClientListener::HasDisconnected(ClientConnection& client) {
  pollfd poll_fd{client.socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// Writes synchronously as much as the socket accepts, the rest asynchronously. MSG_MORE puts the last message
// and the FIN into one segment: a client that got the message first could send another request before the
// FIN.
void ClientListener::Write(const ConnectionPtr& client) {
  if (client->writing || client->closed) return;
  WriteOutput(client);
  if (!client->closed) UpdateUnsentBytes(*client);
}

void ClientListener::WriteOutput(const ConnectionPtr& client) {
  if (!client->output.empty()) {
    const int flags = MSG_DONTWAIT | MSG_NOSIGNAL | (client->closing ? MSG_MORE : 0);
    const ssize_t sent =
        ::send(client->socket.native_handle(), client->output.data(), client->output.size(), flags);
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) return Close(client);
    if (sent > 0) client->last_active = clock_.Now();
    client->output.erase(0, static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
  }
  if (client->output.empty()) {
    // Otherwise each connection would keep the memory of its largest output.
    if (client->output.capacity() > kMaxRetainedOutput) client->output.shrink_to_fit();
    if (client->closing && !client->write_shut_down) ShutDownWrite(client);
    return;
  }
  client->writing = true;
  client->last_acknowledged = clock_.Now();
  client->output_in_flight.swap(client->output);
  client->output.clear();
  asio::async_write(client->socket, asio::buffer(client->output_in_flight),
                    [this, client](std::error_code error, std::size_t) {
                      client->writing = false;
                      if (client->closed) return;
                      if (error) return Close(client);
                      client->output_in_flight.clear();
                      client->output_in_flight.shrink_to_fit();
                      UpdateUnsentBytes(*client);
                      client->last_active = clock_.Now();
                      if (client->has_pending_responses() && client->pending_responses.front().stream &&
                          !ForwardStream(client))
                        return;
                      ProcessInput(client);
                    });
}

void ClientListener::OnProtocolError(const ConnectionPtr& client, pg::ProtocolError error) {
  ++counters_.malformed;
  CloseWithError(client, "08P01", pg::ToText(error));
}

void ClientListener::RejectAndClose(const ConnectionPtr& client, RejectionReason reason) {
  std::size_t no_input = 0;
  RejectAndClose(client, reason, no_input);
}

void ClientListener::RejectAndClose(const ConnectionPtr& client, RejectionReason reason,
                                    std::size_t& max_input) {
  client->rejection = reason;
  int processed = 0;
  while (processed < kMaxMessagesAtClose && !client->closing && !client->closed && !client->input_ended) {
    if (ProcessMessage(client)) {
      ++processed;
    } else if (!ReadMore(*client, max_input)) {
      break;
    }
  }
  CloseWithError(client, FinalSqlStateOf(reason), ToText(reason));
}

bool ClientListener::ReadMore(ClientConnection& client, std::size_t& max_input) {
  if (max_input < kReadSize || client.reader.error()) return false;
  const std::optional<std::string_view> bytes = Receive(client);
  if (!bytes || bytes->empty()) return false;
  max_input -= bytes->size();
  Feed(client, *bytes);
  return true;
}

void ClientListener::CloseWithError(const ConnectionPtr& client, std::string_view code,
                                    std::string_view message, std::string_view detail) {
  if (client->closing || client->closed || client->input_ended) return;
  client->statement_reservation.reset();
  client->reader = pg::MessageReader(false);  // drops buffered input while the connection closes
  client->arrivals = {};
  std::string fatal_error;
  pg::AppendError(fatal_error, "FATAL", code, message, detail);
  if (client->has_pending_responses()) {
    // The error is sent after the pending responses.
    Respond(*client, fatal_error);
    client->pending_responses.back().closes_connection = true;
    client->input_ended = true;
    return;
  }
  client->closing = true;
  client->output += fatal_error;
  Write(client);
}

void ClientListener::CloseWhenIdle(ClientConnection& client) {
  if (!client.close_when_idle_since) client.close_when_idle_since = clock_.Now();
}

bool ClientListener::IsClosedWhenIdle(const ClientConnection& client) const {
  return client.close_when_idle_since || (serving_state_.draining() && client.has_sent_message);
}

// Shuts down the sending direction and waits for the client to close: an immediate close could discard data
// that the client has not read.
void ClientListener::ShutDownWrite(const ConnectionPtr& client) {
  client->closing = true;
  if (client->writing || !client->output.empty()) return Write(client);
  client->write_shut_down = true;
  client->last_acknowledged = clock_.Now();
  std::error_code ignored;
  client->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  Read(client);
}

void ClientListener::Close(const ConnectionPtr& client) {
  if (client->closed) return;
  client->closed = true;
  std::error_code ignored;
  client->socket.close(ignored);
  unread_bytes_ -= std::exchange(client->unread_bytes, 0);
  client->statement_reservation.reset();
  queued_bytes_ -= std::exchange(client->queued_bytes, 0);
  unsent_bytes_ -= std::exchange(client->counted_unsent_bytes, 0);
  // Cancels the last request first: a request that waits for an earlier one must not start when that one
  // ends.
  for (auto pending = client->pending_responses.rbegin(); pending != client->pending_responses.rend();
       ++pending) {
    if (!pending->is_open()) continue;
    const RequestId request = pending->request;
    ReleaseRequestId(*pending, dispatcher_.MayHaveRun(request));
    FinishRequest(*client, *pending);
    dispatcher_.ClientDisconnected(clock_.Now(), request);
  }
  client->pending_responses.clear();
  clients_.erase(ConnectionPtr(client));
}

}  // namespace tulipyoke::net
