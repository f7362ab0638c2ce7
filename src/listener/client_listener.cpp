// Accepting connections, the limits of their number, and the end of the listener.
#include "src/listener/client_listener.hpp"

#include <fcntl.h>

#include <algorithm>
#include <stdexcept>
#include <system_error>
#include <unordered_set>
#include <utility>

#include "src/listener/client_connection.hpp"
#include "src/listener/response_messages.hpp"
#include "src/log/log.hpp"
#include "src/pg/message_writer.hpp"

namespace tulipyoke::net {
namespace {

// Idle clients closed for one new one at most: more than one, so that their number falls again after a rush.
constexpr int kMaxEvictionsPerAccept = 2;
// While there is room, only those go that were idle for so long: one that has just had its answer is about to
// be asked on again, and that request would cross its close.
constexpr Micros kMinIdleForEviction = 200'000;
// Clients beyond the limit that are still being told so; any more are told and closed in one go.
constexpr std::size_t kMaxOverLimitClients = 16;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
// And how long a process that ends waits for that, so that its successor can begin.
constexpr Micros kShutdownLinger = 100'000;

}  // namespace

ClientListener::ClientListener(asio::io_context& io, LoopClock& clock, Dispatcher& dispatcher,
                               const ServingState& serving_state, const ListenerOptions& options)
    : io_(io),
      clock_(clock),
      dispatcher_(dispatcher),
      serving_state_(serving_state),
      options_(options),
      acceptor_(io),
      accept_pause_(io),
      timeout_check_(io),
      disconnect_check_(io),
      statement_budget_(options.limits.large_statements) {
  statement_budget_.OnRelease([this] {
    if (std::exchange(reservation_check_posted_, true)) return;
    asio::post(io_, [this] { OnReservationReleased(); });
  });
  try {
    if (options.accept_fd >= 0) {
      // Programs that this one may start have no business with it. It is never shut down: others share it.
      ::fcntl(options.accept_fd, F_SETFD, FD_CLOEXEC);
      acceptor_.assign(options.listen.protocol(), options.accept_fd);
      acceptor_.local_endpoint();
    } else {
      acceptor_.open(options.listen.protocol());
      acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
      acceptor_.bind(options.listen);
      acceptor_.listen(asio::socket_base::max_listen_connections);
    }
    acceptor_.non_blocking(true);
  } catch (const std::system_error& error) {
    throw std::runtime_error("cannot listen on port " + std::to_string(options.listen.port()) + " of " +
                             options.listen.address().to_string() + ": " + error.code().message());
  }
  const Settings& settings = dispatcher.settings();
  for (const ClassSettings& c : settings.classes)
    classes_.try_emplace(c.name, static_cast<int>(classes_.size()));
  for (const TenantSettings& t : settings.tenants)
    tenants_.try_emplace(t.name, static_cast<int>(tenants_.size()));
  ScheduleTimeoutCheck();
  CheckDisconnects();
}

ClientListener::~ClientListener() = default;

void ClientListener::StartAccepting() {
  if (accepting_) return;
  accepting_ = true;
  Accept();
}

void ClientListener::PauseAccepting() {
  accepting_ = false;
  std::error_code ignored;
  accept_pause_.Cancel();
  acceptor_.cancel(ignored);
}

void ClientListener::SetLimits(const ListenerLimits& limits) {
  options_.limits = limits;
  statement_budget_.Resize(limits.large_statements);
  // Between two handlers: what another process tells is read in the middle of a request, whose client looks
  // idle until it has been handed in, and would be closed with it.
  asio::post(io_, [this] {
    while (clients_.size() > options_.limits.most_clients && EvictIdle()) {
    }
  });
}

void ClientListener::Accept() {
  acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
    if (!error) AddConnection(std::move(socket));
    if (!accepting_ || error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) return Accept();
    // Out of descriptors or memory: make room and try again shortly.
    ++counters_.accept_errors;
    const bool gone_already = error == asio::error::connection_aborted;
    if (!gone_already && !EvictIdle()) {
      LogWarning("accept_failed", "cannot accept a client: " + error.message(), {{"why", error.message()}});
    }
    accept_pause_.ExpireAfter(kAcceptRetryDelay, [this] { Accept(); });
  });
}

void ClientListener::AddConnection(asio::ip::tcp::socket socket) {
  ++counters_.accepted;
  std::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  // Clients may hold but a part of the descriptors for their requests. Where each asks on a connection of its
  // own and keeps it, those that are idle must go before that part is used up, or nobody can ask any more.
  for (int evicted = 0; evicted < kMaxEvictionsPerAccept && clients_.size() >= options_.limits.kept_clients;
       ++evicted) {
    const bool urgent = clients_.size() >= options_.limits.kept_clients + options_.limits.kept_clients / 8;
    if (!EvictIdle(urgent ? 0 : kMinIdleForEviction)) break;
  }
  const bool room = clients_.size() < options_.limits.most_clients || EvictIdle();
  if (!room && clients_.size() >= options_.limits.most_clients + kMaxOverLimitClients) {
    ++counters_.rejected;
    std::string out;
    pg::AppendError(out, "FATAL", "53300", kTooManyConnections);
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(out), ignored);
    return;
  }
  const auto client = std::make_shared<ClientConnection>(std::move(socket));
  client->connected_at = client->login_started = client->last_active = client->message_since = clock_.Now();
  clients_.insert(client);
  client->over_limit = !room;
  if (!room) ++counters_.rejected;
  Read(client);
}

// Whether somebody is owed anything: an answer, one that is not all sent, or the time to end what it has
// begun.
bool ClientListener::HasUnfinishedClients(Micros patience) const {
  const Micros now = clock_.Now();
  return std::any_of(clients_.begin(), clients_.end(), [&](const ConnectionPtr& client) {
    if (client->has_pending_responses() || client->unsent() > 0 || client->processing_scheduled) return true;
    if (client->closing) return now - client->closing_since < kShutdownLinger;
    std::error_code error;
    return now - client->connected_at < patience || client->socket.available(error) > 0 ||
           (client->reader.buffered() > 0 && now - client->message_since < patience);
  });
}

void ClientListener::StopAccepting() {
  accepting_ = false;
  while (acceptor_.is_open()) {
    std::error_code error;
    asio::ip::tcp::socket socket = acceptor_.accept(error);
    if (error) break;
    AddConnection(std::move(socket));
  }
  std::error_code ignored;
  accept_pause_.Cancel();
  acceptor_.close(ignored);
}

// What is still on its way is refused before it is whole: where the process only ended, the last byte of a
// statement could cross that, and its client would have no answer.
void ClientListener::RejectIncomplete() {
  const std::unordered_set<ConnectionPtr> clients = clients_;
  for (const ConnectionPtr& client : clients) {
    if (!client->has_pending_responses())
      CloseWithError(client, "57P03", "out of service: trying again is harmless");
  }
}

void ClientListener::Stop() {
  std::error_code ignored;
  acceptor_.close(ignored);
  accept_pause_.Cancel();
  timeout_check_.Cancel();
  disconnect_check_.Cancel();
  const std::unordered_set<ConnectionPtr> clients = clients_;
  for (const ConnectionPtr& client : clients) Close(client);
}

}  // namespace tulipyoke::net
