// Timeouts of client connections, and eviction of idle clients when connections are scarce.
#include <algorithm>
#include <chrono>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "src/listener/client_connection.hpp"
#include "src/listener/client_listener.hpp"
#include "src/listener/rejection_reason.hpp"
#include "src/listener/socket_buffers.hpp"
#include "src/pg/message_writer.hpp"

namespace tulipyoke::net {
namespace {

// A client is disconnected with an error if it sends no first message, or no more of an incomplete message,
// for this long. The limit leaves room for pauses of two seconds, which the protocol allows.
constexpr Micros kMessageTimeout = 2'600'000;
// The same happens if one message takes longer than kMaxMessageDuration, or if a large statement has waited
// for memory for ReservationTimeoutFor.
constexpr Micros kMaxMessageDuration = 30'000'000;
// A client without a request is disconnected after kIdleTimeout, or after kIdleTimeoutCrowded if more than a
// third of the allowed connections are in use.
constexpr Micros kIdleTimeoutCrowded = 2'020'000;
constexpr Micros kIdleTimeout = 10'000'000;
// A client that has paused for this long within a message may be evicted, after most other idle clients.
constexpr Micros kPartialMessageIdle = 700'000;
// How long a client counts as active that has not read all of its responses. They are in the socket's buffer,
// and closing the connection would discard them if the client sent something more.
constexpr Micros kUnreadResponseGrace = 3'000'000;
// A client that reads nothing of its pending output is disconnected after this time instead of
// ListenerTimeouts::write while the responses of all clients need too much memory.
constexpr Micros kScarceMemoryWriteTimeout = 3'000'000;
// How long a client beyond the connection limit may take to send the statement that will be rejected.
constexpr Micros kOverLimitTimeout = 200'000;
// Maximum idle clients that one scan collects, and the delay before the next scan if it found none.
constexpr std::size_t kEvictionBatch = 32;
constexpr Micros kEvictionScanInterval = 5'000;
constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds(100);
// No attempt may start later than 0.1 s after its client has closed. Connections that are not being read from
// are checked twice in this time.
constexpr auto kDisconnectCheckInterval = std::chrono::milliseconds(50);
// Clients ignore a parameter status, and the value is the one that they were told at the startup.
constexpr std::string_view kProbeParameter = "client_encoding";
constexpr std::string_view kProbeParameterValue = "UTF8";
// How long a client may take to close its connection, once it has read its last message or has stopped
// reading.
constexpr Micros kLingerTimeout = 1'000'000;

}  // namespace

// Clients are evicted in this order, the longest idle first within each group: those that sent no request
// within ListenerTimeouts::first_request; those with exactly one finished request, since many keep the
// connection without using it again; other idle clients; those that paused within a message; and, only at the
// connection limit, those that have only just connected, because they are about to send a request and would
// reconnect.
bool ClientListener::EvictIdle(Micros min_idle) {
  const Micros now = clock_.Now();
  for (bool scanned = false;; scanned = true) {
    while (!eviction_candidates_.empty()) {
      const ConnectionPtr client = eviction_candidates_.front().client.lock();
      const Micros last_active = eviction_candidates_.front().last_active;
      // The client may have sent a request since the scan.
      std::error_code error;
      const bool still_idle = client && client->last_active == last_active &&
                              !client->has_pending_responses() && !client->processing_scheduled &&
                              !client->writing && !client->closing && !client->closed &&
                              client->socket.available(error) == 0;
      if (still_idle && now - last_active < min_idle) return false;
      // The client would reconnect, and be evicted by the next one that connects.
      const bool has_room = clients_.size() < options_.limits.max_clients;
      if (still_idle && has_room && HasJustConnected(*client)) return false;
      eviction_candidates_.pop_front();
      if (!still_idle) continue;
      ++counters_.evicted;
      Close(client);
      return true;
    }
    if (scanned || now < next_eviction_scan_) return false;
    FindEvictionCandidates();
  }
}

// One scan of all clients serves many evictions, because a scan per eviction would be too slow in a burst.
void ClientListener::FindEvictionCandidates() {
  const Micros now = clock_.Now();
  using RankedClient = std::tuple<int, Micros, ConnectionPtr>;
  std::vector<RankedClient> idle;
  for (const ConnectionPtr& client : clients_) {
    if (client->has_pending_responses() || client->writing || client->closing || client->awaits_reservation)
      continue;
    if (now - client->last_active < kUnreadResponseGrace && UnsentBytes(client->socket) > 0) continue;
    const bool has_partial_message = client->reader.buffered() > 0;
    if (has_partial_message && now - client->last_active < kPartialMessageIdle) continue;
    const bool sent_no_request = !client->has_sent_message && !HasJustConnected(*client);
    const int rank = has_partial_message              ? 3
                     : sent_no_request                ? 0
                     : client->finished_requests == 1 ? 1
                     : client->has_sent_message       ? 2
                                                      : 4;
    idle.emplace_back(rank, client->last_active, client);
  }
  const std::size_t count = std::min(idle.size(), kEvictionBatch);
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(count), idle.end());
  eviction_candidates_.clear();
  for (std::size_t i = 0; i < count; ++i)
    eviction_candidates_.push_back({std::get<ConnectionPtr>(idle[i]), std::get<Micros>(idle[i])});
  // If the scan found idle clients, the next scan may follow at once.
  next_eviction_scan_ = idle.empty() ? now + kEvictionScanInterval : now;
}

bool ClientListener::HasJustConnected(const ClientConnection& client) const {
  return !client.has_sent_message && clock_.Now() - client.connected_at <= options_.timeouts.first_request;
}

bool ClientListener::HasJustStarted(const ClientConnection& client) const {
  return !client.has_sent_message &&
         clock_.Now() - client.login_step_started <= options_.timeouts.first_request;
}

bool ClientListener::IsIdle(const ClientConnection& client) const {
  if (client.has_pending_responses() || client.closing || client.closed || client.processing_scheduled)
    return false;
  // Unread input counts as a request.
  std::error_code error;
  return client.reader.buffered() == 0 && client.socket.available(error) == 0;
}

// A client that does not read its responses is not one that keeps sending: it is not read from meanwhile.
bool ClientListener::KeepsSending(const ClientConnection& client) const {
  if (!client.close_when_idle_since || client.has_pending_responses() || client.writing) return false;
  std::error_code error;
  const bool has_unprocessed = client.processing_scheduled || client.socket.available(error) > 0;
  return has_unprocessed && clock_.Now() - *client.close_when_idle_since > options_.timeouts.close_when_idle;
}

// The system accepts more bytes only when much of its buffer is free, and none after the shutdown of the
// sending direction. What the client has acknowledged shows earlier whether it still reads. Closing the
// socket before it has read everything can discard the rest: the system resets a connection on which the
// client has sent more.
Micros ClientListener::TimeSinceProgress(ClientConnection& client) const {
  const Micros now = clock_.Now();
  const std::size_t unacknowledged = UnacknowledgedBytes(client.socket);
  if (unacknowledged != client.unacknowledged_bytes) client.last_acknowledged = now;
  client.unacknowledged_bytes = unacknowledged;
  return now - client.last_acknowledged;
}

void ClientListener::ScheduleTimeoutCheck() {
  timeout_check_.ExpireAfter(kTimeoutCheckInterval, [this] {
    CheckTimeouts();
    ScheduleTimeoutCheck();
  });
}

// A client that has pipelined a lot or waits for memory is not being read from, so reads do not detect its
// disconnect.
void ClientListener::CheckDisconnects() {
  disconnect_check_.ExpireAfter(kDisconnectCheckInterval, [this] { CheckDisconnects(); });
  const std::unordered_set<ConnectionPtr> clients = clients_;
  for (const ConnectionPtr& client : clients) {
    if (client->reading) continue;
    if (!HasDisconnected(*client)) {
      ProbeConnection(client);
      continue;
    }
    // A client that is being closed may have ended only its sending direction and still read its responses.
    const bool has_read_all = UnacknowledgedBytes(client->socket) <= kShutdownSequenceSize;
    if (!client->closing || (client->write_shut_down && has_read_all)) Close(client);
  }
}

// The end of a connection comes behind all data that the client has sent, so a client that has closed its
// connection with much unread looks connected until it is sent something: its system then answers with a
// reset, which the next check finds.
void ClientListener::ProbeConnection(const ConnectionPtr& client) {
  const bool streams = client->has_pending_responses() && client->pending_responses.front().stream;
  if (client->open_requests == 0 || client->closing || client->unsent_bytes() > 0 || streams) return;
  pg::AppendParameterStatus(client->output, kProbeParameter, kProbeParameterValue);
  Write(client);
}

void ClientListener::CheckTimeouts() {
  const bool crowded = 3 * clients_.size() > options_.limits.max_clients;
  const Micros idle_timeout = crowded ? kIdleTimeoutCrowded : kIdleTimeout;
  const std::unordered_set<ConnectionPtr> clients = clients_;
  for (const ConnectionPtr& client : clients) CheckTimeouts(client, idle_timeout);
}

void ClientListener::CheckTimeouts(const ConnectionPtr& client, Micros idle_timeout) {
  const Micros now = clock_.Now();
  if (client->writing || client->write_shut_down) {
    const bool memory_is_scarce = response_bytes() >= options_.limits.max_buffered_bytes;
    const Micros write_timeout = memory_is_scarce
                                     ? std::min(kScarceMemoryWriteTimeout, options_.timeouts.write)
                                     : options_.timeouts.write;
    const Micros timeout = client->writing ? write_timeout : kLingerTimeout;
    if (TimeSinceProgress(*client) > timeout) return Close(client);
  }
  if (KeepsSending(*client))
    return RejectAndClose(client, client->rejection.value_or(RejectionReason::kOutOfService));
  const bool busy = client->has_pending_responses() || client->processing_scheduled || client->writing;
  if (client->closing || busy) return;
  // A client that has only just started its session is expected to send a request.
  if (serving_state_.ShouldCloseIdle(now, client->last_active) && !HasJustStarted(*client) &&
      IsIdle(*client)) {
    return ShutDownWrite(client);
  }
  const bool over_limit = client->rejection == RejectionReason::kTooManyConnections;
  std::error_code error;
  const bool has_unread_input = client->socket.available(error) > 0;
  if (over_limit && !has_unread_input && now - client->connected_at > kOverLimitTimeout) {
    return RejectAndClose(client, RejectionReason::kTooManyConnections);
  }
  if (const std::optional<ReadTimeout> timeout = FindReadTimeout(*client)) {
    ++counters_.read_timeouts;
    const bool no_memory = *timeout == ReadTimeout::kNoMemory;
    return CloseWithError(client, no_memory ? "53300" : "08P01", ToText(*timeout));
  }
  const bool unread = client->reader.buffered() > 0 || has_unread_input;
  if (unread || now - client->last_active <= idle_timeout) return;
  if (UnsentBytes(client->socket) > 0 && TimeSinceProgress(*client) <= kLingerTimeout) return;
  // The client has long read its last response, so there is no need to wait for it to close, which it may
  // never do.
  ++counters_.idle_timeouts;
  Close(client);
}

std::optional<ReadTimeout> ClientListener::FindReadTimeout(const ClientConnection& client) const {
  const Micros now = clock_.Now();
  if (client.awaits_reservation) {
    const bool expired = now - client.last_active > reservation_timeout_;
    return expired ? std::optional(ReadTimeout::kNoMemory) : std::nullopt;
  }
  const bool has_partial_message = client.reader.buffered() > 0;
  if (!has_partial_message && client.has_sent_message) return std::nullopt;
  // Once a message header is complete, every received piece counts as progress. Before that, only completing
  // the header does.
  Micros since = client.login_step_started;
  if (has_partial_message) {
    const bool has_header = client.reader.PendingMessageSize().has_value();
    since = has_header ? client.last_active : client.message_started_at;
  }
  const bool no_progress = now - since > kMessageTimeout;
  const bool too_slow = has_partial_message && now - client.message_started_at > kMaxMessageDuration;
  if (!no_progress && !too_slow) return std::nullopt;
  return ReadTimeout::kNoCompleteMessage;
}

}  // namespace tulipyoke::net
