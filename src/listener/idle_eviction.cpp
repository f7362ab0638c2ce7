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

// A client that takes nothing of what is sent to it for so long is given up.
constexpr Micros kWriteTimeout = 30'000'000;
// A client that has sent nothing for so long since it connected, or of what it has begun, is told so and let
// go. Two seconds are lawful.
constexpr Micros kMessageTimeout = 2'600'000;
// So is one that goes on sending, but is not through with one message by then; and one for whose large
// statement there was no room for so long.
constexpr Micros kMaxMessageDuration = 30'000'000;
constexpr Micros kReservationTimeout = 10'000'000;
// So may be one that holds its connection without a request; sooner, the more of the places are taken.
constexpr Micros kIdleTimeoutCrowded = 2'020'000;
constexpr Micros kIdleTimeout = 10'000'000;
// When places are short, a client that has asked nothing for so long since it connected goes before all
// others.
constexpr Micros kFirstRequestGrace = 200'000;
// So may one that has stopped half way through a message for so long, when nobody else is left to go.
constexpr Micros kPartialMessageIdle = 700'000;
// One for which there is no place has so long to say what is refused it.
constexpr Micros kOverLimitTimeout = 200'000;
// How many idle clients one look at all of them finds, and how long it is until the next one where there are
// none.
constexpr std::size_t kEvictionBatch = 32;
constexpr Micros kEvictionScanInterval = 5'000;
constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds(100);
// No attempt may begin 0.1 s after its client's close: where nothing is read, that is looked for twice in
// this time.
constexpr auto kDisconnectCheckInterval = std::chrono::milliseconds(50);
// How long a client may take to read the last words to it and close.
constexpr Micros kLingerTimeout = 1'000'000;

}  // namespace

// Those that never asked anything though they had time to go first, then those that asked once, since many
// hold their connection for good after that; then the rest, whoever has been idle longest first. Last of all
// goes one that has only just connected and is about to ask: it would come back, and so would the one for
// which that one is evicted.
bool ClientListener::EvictIdle(Micros least_idle) {
  const Micros now = clock_.Now();
  for (bool looked = false;; looked = true) {
    while (!eviction_candidates_.empty()) {
      const ConnectionPtr client = eviction_candidates_.front().client.lock();
      const Micros last_active = eviction_candidates_.front().last_active;
      // It may have asked since it was looked at.
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

// A look at all clients serves many that come: in a crowd there is no time for one each.
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
  // While some were found each look serves as many; none may be turned away for want of another.
  next_eviction_scan_ = idle.empty() ? now + kEvictionScanInterval : now;
}

bool ClientListener::IsIdle(const ClientConnection& client) const {
  if (client.has_pending_responses() || client.closing || client.closed || client.processing_scheduled)
    return false;
  // What has arrived and was not read yet is a request like any other.
  std::error_code error;
  return client.reader.buffered() == 0 && client.socket.available(error) == 0;
}

void ClientListener::ScheduleTimeoutCheck() {
  timeout_check_.ExpireAfter(kTimeoutCheckInterval, [this] {
    CheckTimeouts();
    ScheduleTimeoutCheck();
  });
}

// Nothing is read of one that has sent far ahead or waits for room, so that its end is not come upon.
void ClientListener::CheckDisconnects() {
  disconnect_check_.ExpireAfter(kDisconnectCheckInterval, [this] { CheckDisconnects(); });
  const std::unordered_set<ConnectionPtr> clients = clients_;
  for (const ConnectionPtr& client : clients) {
    if (!client->closing && !client->reading && HasDisconnected(*client)) Close(client);
  }
}

void ClientListener::CheckTimeouts() {
  const bool crowded = 3 * clients_.size() > options_.limits.most_clients;
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
  if (serving_state_.ClosesIdle(now, client->last_active) && !just_connected && IsIdle(*client)) {
    return ShutDownWrite(client);
  }
  if (client->over_limit && now - client->connected_at > kOverLimitTimeout) {
    return CloseWithError(client, "53300", kTooManyConnections);
  }
  if (const std::optional<ReadTimeout> timeout = FindReadTimeout(*client)) {
    ++counters_.silent;
    const bool no_capacity = *timeout == ReadTimeout::kNoCapacity;
    return CloseWithError(client, no_capacity ? "53300" : "08P01", ToText(*timeout));
  }
  std::error_code ignored;
  const bool unread = client->reader.buffered() > 0 || client->socket.available(ignored) > 0;
  if (unread || now - client->last_active <= idle_timeout) return;
  // It has long read its last response: there is no need to wait for its own close, which may never come.
  ++counters_.idle;
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
