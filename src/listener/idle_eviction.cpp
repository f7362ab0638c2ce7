// Timeouts of client connections, and eviction of idle ones when places are short.
#include <algorithm>
#include <chrono>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "src/listener/client_connection.hpp"
#include "src/listener/client_listener.hpp"
#include "src/listener/response_messages.hpp"

namespace tulipyoke::net {
namespace {

// A client that reads nothing of what is sent to it for this long is disconnected.
constexpr Micros kWriteTimeout = 30'000'000;
// A client that has sent nothing for this long since it connected, or nothing more of a message that it has
// begun, is disconnected with an error. The protocol allows pauses of two seconds.
constexpr Micros kMessageTimeout = 2'600'000;
// So is a client that needs longer for one message, and one whose large statement has waited this long for
// memory.
constexpr Micros kMaxMessageDuration = 30'000'000;
constexpr Micros kReservationTimeout = 10'000'000;
// So may be one that holds its connection without a request; sooner, the more of the places are taken.
constexpr Micros kIdleTimeoutCrowded = 2'020'000;
constexpr Micros kIdleTimeout = 10'000'000;
// A client that has sent nothing for this long since it connected is evicted before all others.
constexpr Micros kFirstRequestGrace = 200'000;
// A client that has paused this long within a message may be evicted when there is no other.
constexpr Micros kPartialMessageIdle = 700'000;
// How long a client beyond the limit may take to send the statement that is rejected.
constexpr Micros kOverLimitTimeout = 200'000;
// How many idle clients one scan finds, and the pause before the next scan if there were none.
constexpr std::size_t kEvictionBatch = 32;
constexpr Micros kEvictionScanInterval = 5'000;
constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds(100);
// No attempt may start later than 0.1 s after its client's close: connections that are not read are checked
// twice in this time.
constexpr auto kDisconnectCheckInterval = std::chrono::milliseconds(50);
// How long a client may take to read its last message and close.
constexpr Micros kLingerTimeout = 1'000'000;

}  // namespace

// First clients that had time to send a request and sent none, then those that sent one, since many keep
// their connection without using it again; then the others, the longest idle first. Last those that have only
// just connected and are about to send a request: they would come back.
bool ClientListener::EvictIdle(Micros least_idle) {
  const Micros now = clock_.Now();
  for (bool looked = false;; looked = true) {
    while (!eviction_candidates_.empty()) {
      const ConnectionPtr client = eviction_candidates_.front().client.lock();
      const Micros last_active = eviction_candidates_.front().last_active;
      // It may have sent a request since the scan.
      std::error_code error;
      const bool same = client && client->last_active == last_active && !client->has_pending_responses() &&
                        !client->writing && !client->closing && !client->closed &&
                        client->socket.available(error) == 0;
      if (same && now - last_active < least_idle) return false;
      eviction_candidates_.pop_front();
      if (!same) continue;
      ++counters_.evicted;
      Close(client);
      return true;
    }
    if (looked || now < next_eviction_scan_) return false;
    FindEvictionCandidates();
  }
}

// One scan of all clients serves many evictions: in a burst there is no time for a scan each.
void ClientListener::FindEvictionCandidates() {
  const Micros now = clock_.Now();
  using Ranked = std::tuple<int, Micros, ConnectionPtr>;
  std::vector<Ranked> idle;
  for (const ConnectionPtr& client : clients_) {
    if (client->has_pending_responses() || client->writing || client->closing || client->awaits_reservation)
      continue;
    const bool partial = client->reader.buffered() > 0;
    if (partial && now - client->last_active < kPartialMessageIdle) continue;
    const bool mute = !client->has_sent_message && now - client->connected_at > kFirstRequestGrace;
    const int order = partial                          ? 3
                      : mute                           ? 0
                      : client->finished_requests == 1 ? 1
                      : client->has_sent_message       ? 2
                                                       : 4;
    idle.emplace_back(order, client->last_active, client);
  }
  const std::size_t most = std::min(idle.size(), kEvictionBatch);
  std::partial_sort(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(most), idle.end());
  eviction_candidates_.clear();
  for (std::size_t i = 0; i < most; ++i)
    eviction_candidates_.push_back({std::get<ConnectionPtr>(idle[i]), std::get<Micros>(idle[i])});
  // As long as a scan finds idle clients the next one may follow at once.
  next_eviction_scan_ = idle.empty() ? now + kEvictionScanInterval : now;
}

bool ClientListener::IsIdle(const ClientConnection& client) const {
  if (client.has_pending_responses() || client.closing || client.closed || client.processing_scheduled)
    return false;
  // Bytes that have arrived and are not read yet are a request, too.
  std::error_code error;
  return client.reader.buffered() == 0 && client.socket.available(error) == 0;
}

void ClientListener::ScheduleTimeoutCheck() {
  timeout_check_.ExpireAfter(kTimeoutCheckInterval, [this] {
    CheckTimeouts();
    ScheduleTimeoutCheck();
  });
}

// A client that has sent far ahead or waits for memory is not read, so that its disconnect is not noticed
// otherwise.
void ClientListener::CheckDisconnects() {
  disconnect_check_.ExpireAfter(kDisconnectCheckInterval, [this] { CheckDisconnects(); });
  const std::unordered_set<ConnectionPtr> clients = clients_;
  for (const ConnectionPtr& client : clients) {
    if (!client->closing && !client->reading && HasDisconnected(*client)) Close(client);
  }
}

void ClientListener::CheckTimeouts() {
  const bool crowded = 3 * clients_.size() > options_.limits.max_clients;
  const Micros idle_timeout = crowded ? kIdleTimeoutCrowded : kIdleTimeout;
  const std::unordered_set<ConnectionPtr> clients = clients_;
  for (const ConnectionPtr& client : clients) CheckTimeouts(client, idle_timeout);
}

void ClientListener::CheckTimeouts(const ConnectionPtr& client, Micros idle_timeout) {
  const Micros now = clock_.Now();
  const bool lingers = client->closing && now - client->closing_since > kLingerTimeout;
  const bool stuck = client->writing && now - client->last_active > kWriteTimeout;
  if (lingers || stuck) return Close(client);
  const bool busy = client->has_pending_responses() || client->processing_scheduled || client->writing;
  if (client->closing || busy) return;
  // A client that has only just connected is about to send a request.
  const bool just_connected = !client->has_sent_message && now - client->connected_at <= kFirstRequestGrace;
  if (serving_state_.ShouldCloseIdle(now, client->last_active) && !just_connected && IsIdle(*client)) {
    return ShutDownWrite(client);
  }
  if (client->over_limit && now - client->connected_at > kOverLimitTimeout) {
    return CloseWithError(client, "53300", kTooManyConnections);
  }
  if (const std::optional<ReadTimeout> timeout = FindReadTimeout(*client)) {
    ++counters_.read_timeouts;
    const bool no_capacity = *timeout == ReadTimeout::kNoCapacity;
    return CloseWithError(client, no_capacity ? "53300" : "08P01", ToText(*timeout));
  }
  std::error_code ignored;
  const bool unread = client->reader.buffered() > 0 || client->socket.available(ignored) > 0;
  if (unread || now - client->last_active <= idle_timeout) return;
  // It has long read its last response: there is no need to wait for its own close, which may never come.
  ++counters_.idle_timeouts;
  Close(client);
}

std::optional<ReadTimeout> ClientListener::FindReadTimeout(const ClientConnection& client) const {
  const Micros now = clock_.Now();
  if (client.awaits_reservation) {
    const bool expired = now - client.last_active > kReservationTimeout;
    return expired ? std::optional(ReadTimeout::kNoCapacity) : std::nullopt;
  }
  const bool partial = client.reader.buffered() > 0;
  if (!partial && client.has_sent_message) return std::nullopt;
  // Once the header of a message has arrived each piece of it counts as progress; before that only the
  // complete header does.
  Micros since = client.login_started;
  if (partial) {
    const bool has_header = client.reader.PendingMessageSize().has_value();
    since = has_header ? client.last_active : client.message_since;
  }
  const bool silent = now - since > kMessageTimeout;
  const bool too_slow = partial && now - client.message_since > kMaxMessageDuration;
  if (!silent && !too_slow) return std::nullopt;
  return ReadTimeout::kNoCompleteMessage;
}

}  // namespace tulipyoke::net
