#include "standins/misbehaving_clients.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <utility>

#include "standins/loop.hpp"

namespace tulipyoke::standins {
namespace {

constexpr Micros kReconnectDelay = 5'000;
constexpr std::size_t kReadBufferSize = 65'536;
constexpr int kNoSocket = -1;
constexpr Micros kNotYet = 0;

}  // namespace

struct MisbehavingClients::Connection {
  struct Unwritten {
    std::string request_id;
    std::size_t end = 0;  // offset in the stream
  };

  int number = 0;
  int descriptor = kNoSocket;
  std::string unsent;
  std::size_t sent = 0, composed = 0;  // bytes of the stream
  std::deque<Unwritten> unwritten;
  std::vector<std::string> written;
  int next_message = 0;
  bool composed_all = false, finished = false;
  Micros opened_at = 0, all_sent_at = kNotYet, next_write_at = 0, next_read_at = 0, reopen_at = 0;
};

MisbehavingClients::MisbehavingClients(std::uint16_t port, checks::History& history,
                                       MisbehaviourOptions options)
    : port_(port), history_(history), options_(std::move(options)), thread_([this] { Run(); }) {}

void MisbehavingClients::Stop() {
  stopped_ = true;
  if (thread_.joinable()) thread_.join();
}

void MisbehavingClients::Run() {
  std::vector<Connection> connections(static_cast<std::size_t>(options_.connections));
  for (std::size_t i = 0; i < connections.size(); ++i) connections[i].number = static_cast<int>(i);
  std::vector<pollfd> events;
  while (!stopped_) {
    const Micros now = Loop::Now();
    events.clear();
    for (Connection& connection : connections) {
      if (connection.descriptor == kNoSocket && !connection.finished && now >= connection.reopen_at)
        Open(connection);
      if (connection.descriptor == kNoSocket) continue;
      CloseIfDue(connection);
      if (connection.descriptor == kNoSocket) continue;
      short wanted = 0;
      if (options_.read_piece > 0 && now >= connection.next_read_at) wanted |= POLLIN;
      const bool has_more = !connection.unsent.empty() || !connection.composed_all;
      if (has_more && connection.sent < options_.max_sent && now >= connection.next_write_at)
        wanted |= POLLOUT;
      events.push_back({connection.descriptor, wanted, 0});
    }
    constexpr int kPollMilliseconds = 1;
    ::poll(events.data(), events.size(), kPollMilliseconds);
    std::size_t at = 0;
    for (Connection& connection : connections) {
      if (connection.descriptor == kNoSocket) continue;
      if (at == events.size() || events[at].fd != connection.descriptor) continue;
      const short ready = events[at].revents;
      ++at;
      if (ready & POLLOUT) Write(connection);
      if (connection.descriptor != kNoSocket && (ready & (POLLIN | POLLHUP | POLLERR)) &&
          options_.read_piece > 0)
        Read(connection);
    }
  }
  for (Connection& connection : connections) End(connection);
}

bool MisbehavingClients::Open(Connection& connection) {
  const int number = connection.number;
  connection = Connection();
  connection.number = number;
  connection.opened_at = Loop::Now();
  connection.reopen_at = connection.opened_at + kReconnectDelay;
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return false;
  if (options_.receive_buffer > 0)
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &options_.receive_buffer, sizeof options_.receive_buffer);
  constexpr int kOn = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof kOn);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port_);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(descriptor);
    return false;
  }
  connection.descriptor = descriptor;
  connection.unsent = options_.startup;
  connection.composed = connection.unsent.size();
  ++opened_;
  return true;
}

void MisbehavingClients::Write(Connection& connection) {
  while (!connection.composed_all && connection.unsent.size() < options_.write_piece) {
    const ClientMessage message =
        options_.next ? options_.next(connection.number, connection.next_message) : ClientMessage{};
    ++connection.next_message;
    connection.composed_all = message.bytes.empty();
    connection.unsent += message.bytes;
    connection.composed += message.bytes.size();
    if (!message.request_id.empty())
      connection.unwritten.push_back({message.request_id, connection.composed});
  }
  const std::size_t allowed = options_.max_sent - connection.sent;
  const std::size_t size = std::min({options_.write_piece, connection.unsent.size(), allowed});
  const ssize_t sent =
      ::send(connection.descriptor, connection.unsent.data(), size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN && errno != EINTR) return End(connection);
  if (sent <= 0) return;
  const Micros now = Loop::Now();
  connection.unsent.erase(0, static_cast<std::size_t>(sent));
  connection.sent += static_cast<std::size_t>(sent);
  bytes_sent_ += static_cast<std::uint64_t>(sent);
  connection.next_write_at = now + options_.write_interval;
  while (!connection.unwritten.empty() && connection.unwritten.front().end <= connection.sent) {
    connection.written.push_back(std::move(connection.unwritten.front().request_id));
    connection.unwritten.pop_front();
  }
  const bool all_sent = connection.composed_all && connection.unsent.empty();
  if (all_sent || connection.sent >= options_.max_sent) connection.all_sent_at = now;
}

void MisbehavingClients::Read(Connection& connection) {
  static thread_local std::array<char, kReadBufferSize> buffer;
  const std::size_t size = std::min(options_.read_piece, buffer.size());
  const ssize_t received = ::recv(connection.descriptor, buffer.data(), size, MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (received <= 0) return End(connection);
  bytes_received_ += static_cast<std::uint64_t>(received);
  connection.next_read_at = Loop::Now() + options_.read_interval;
}

void MisbehavingClients::CloseIfDue(Connection& connection) {
  const Micros now = Loop::Now();
  const bool sent_all = connection.all_sent_at != kNotYet;
  const bool due = sent_all && now - connection.all_sent_at >= options_.close_after;
  const bool too_old = options_.max_age > 0 && now - connection.opened_at >= options_.max_age;
  if (options_.close == ClientClose::kNever || (!due && !too_old)) return;
  if (options_.close == ClientClose::kShutdown) ::shutdown(connection.descriptor, SHUT_WR);
  if (options_.close == ClientClose::kAbort) {
    const linger reset{1, 0};
    ::setsockopt(connection.descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  End(connection);
}

// Notes that the clients of all requests that were written have left.
void MisbehavingClients::End(Connection& connection) {
  if (connection.descriptor == kNoSocket) return;
  ::close(connection.descriptor);
  connection.descriptor = kNoSocket;
  connection.finished = !options_.reconnects;
  connection.reopen_at = Loop::Now() + kReconnectDelay;
  const Micros now = Loop::Now();
  for (const std::string& id : connection.written) history_.Add(now, checks::Ended{id, checks::End::kLeft});
  for (const Connection::Unwritten& unwritten : connection.unwritten)
    history_.Add(now, checks::Ended{unwritten.request_id, checks::End::kLeft});
}

}  // namespace tulipyoke::standins
