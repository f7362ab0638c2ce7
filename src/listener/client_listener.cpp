// Accepts connections, limits their number, and stops the listener.
#include "src/listener/client_listener.hpp"

#include <fcntl.h>

#include <algorithm>
#include <stdexcept>
#include <system_error>
#include <unordered_set>
#include <utility>

#include "src/listener/client_connection.hpp"
#include "src/listener/rejection_reason.hpp"
#include "src/listener/socket_buffers.hpp"
#include "src/log/log.hpp"
#include "src/pg/message_writer.hpp"

namespace tulipyoke::net {
namespace {

// Maximum idle clients evicted per new client. It is more than one, so that the number falls after a burst.
constexpr int kMaxEvictionsPerAccept = 2;
// Until eviction_threshold is exceeded by an eighth, only clients that have been idle for this long are
// evicted: a client that has just received a response often sends its next request at once, and the close
// would lose it.
constexpr Micros kMinIdleForEviction = 200'000;
// Connections accepted beyond the limit so that their first statement gets a proper rejection. Any further
// connection is rejected at once.
constexpr std::size_t kMaxOverLimitClients = 16;
// A large statement waits for memory for this part of the shortest deadline of a class, since its own time is
// known only once all of it has been read; but no longer than kMaxReservationTimeout.
constexpr Micros kReservationDeadlineDivisor = 4;
constexpr Micros kMaxReservationTimeout = 10'000'000;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
// How much of the clients' input, in bytes, is still read at once to reject statements before the exit.
constexpr std::size_t kMaxInputAtExit = std::size_t{64} << 20;
// How long a shutdown waits for a client to read its last message and close.
constexpr Micros kShutdownLinger = 100'000;
// The same while the client has not acknowledged all responses, from the last time that it acknowledged some.
constexpr Micros kReadingLinger = 1'000'000;

Micros ReservationTimeoutFor(const std::vector<ClassSettings>& classes) {
  Micros timeout = kMaxReservationTimeout;
  for (const ClassSettings& c : classes) {
    if (c.deadline > 0) timeout = std::min(timeout, c.deadline / kReservationDeadlineDivisor);
  }
  return timeout;
}

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
      used_request_ids_(requests::RetentionFor(dispatcher.settings().classes)),
      statement_budget_(options.limits.large_statement_bytes),
      reservation_timeout_(ReservationTimeoutFor(dispatcher.settings().classes)) {
  statement_budget_.OnRelease([this] {
    if (std::exchange(reservation_check_posted_, true)) return;
    asio::post(io_, [this] { OnReservationReleased(); });
  });
  try {
    if (options.accept_fd >= 0) {
      // The descriptor is not inherited by child processes, and never shut down, because other processes
      // share the socket.
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
  statement_budget_.Resize(limits.large_statement_bytes);
  // Posted, because an update from another process can arrive while a request is being submitted. Its client
  // still looks idle at that point and must not be closed.
  asio::post(io_, [this] {
    while (clients_.size() > options_.limits.max_clients && EvictIdle()) {
    }
  });
}

void ClientListener::Accept() {
  acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
    if (!error) AddConnection(std::move(socket));
    if (!accepting_ || error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) return Accept();
    // Usually descriptors or memory have run out: evicts an idle client and retries after a delay.
    ++counters_.accept_errors;
    const bool client_aborted = error == asio::error::connection_aborted;
    if (!client_aborted && !EvictIdle()) {
      LogWarning("accept_failed", "cannot accept a client: " + error.message(), {{"why", error.message()}});
    }
    accept_pause_.ExpireAfter(kAcceptRetryDelay, [this] { Accept(); });
  });
}

void ClientListener::AddConnection(asio::ip::tcp::socket socket) {
  ++counters_.accepted;
  std::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  // Clients may use only a part of the descriptors. If clients open a connection per request and keep it
  // open, idle ones are evicted before that part is used up.
  for (int evicted = 0;
       evicted < kMaxEvictionsPerAccept && clients_.size() >= options_.limits.eviction_threshold; ++evicted) {
    const bool urgent =
        clients_.size() >= options_.limits.eviction_threshold + options_.limits.eviction_threshold / 8;
    if (!EvictIdle(urgent ? 0 : kMinIdleForEviction)) break;
  }
  const bool below_limit = clients_.size() < options_.limits.max_clients || EvictIdle();
  if (!below_limit && clients_.size() >= options_.limits.max_clients + kMaxOverLimitClients) {
    ++counters_.rejected;
    std::string out;
    const RejectionReason reason = RejectionReason::kTooManyConnections;
    pg::AppendError(out, "FATAL", SqlStateOf(reason), ToText(reason));
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(out), ignored);
    return;
  }
  const auto client = std::make_shared<ClientConnection>(std::move(socket));
  client->connected_at = client->login_step_started = client->last_active = client->message_started_at =
      clock_.Now();
  clients_.insert(client);
  if (!below_limit) {
    client->rejection = RejectionReason::kTooManyConnections;
    ++counters_.rejected;
  }
  Read(client);
}

bool ClientListener::HasUnfinishedClients(Micros grace) const {
  const Micros now = clock_.Now();
  return std::any_of(clients_.begin(), clients_.end(), [&](const ConnectionPtr& client) {
    if (client->has_pending_responses() || client->unsent_bytes() > 0 || client->processing_scheduled)
      return true;
    if (client->closing) {
      const bool has_read_all = UnacknowledgedBytes(client->socket) <= kShutdownSequenceSize;
      const Micros linger = has_read_all ? kShutdownLinger : kReadingLinger;
      return now - client->last_acknowledged < linger;
    }
    std::error_code error;
    return now - client->connected_at < grace || client->socket.available(error) > 0 ||
           (client->reader.buffered() > 0 && now - client->message_started_at < grace);
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

// If the process exited without this error, the last byte of a statement could arrive during the exit and its
// client would get no response.
void ClientListener::RejectClientsWithoutRequests(UnreadInput unread_input) {
  std::size_t max_input = kMaxInputAtExit;
  const std::unordered_set<ConnectionPtr> clients = clients_;
  for (const ConnectionPtr& client : clients) {
    if (client->has_pending_responses()) continue;
    if (unread_input == UnreadInput::kProcess && IsSending(*client)) continue;
    RejectAndClose(client, RejectionReason::kOutOfService, max_input);
  }
}

bool ClientListener::IsSending(const ClientConnection& client) const {
  if (!client.reading || client.writing) return false;
  std::error_code error;
  if (client.socket.available(error) > 0) return true;
  const Micros pause = clock_.Now() - client.last_active;
  return client.reader.buffered() > 0 && pause < options_.timeouts.pause_at_exit;
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
