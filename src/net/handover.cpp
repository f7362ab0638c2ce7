#include "src/net/handover.hpp"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <type_traits>
#include <utility>
#include <vector>

#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

constexpr std::array<std::string_view, 4> kSteps = {"hello", "synced", "serving", "done"};
constexpr std::string_view kHolds = "holds", kSession = "session", kServer = "server";
// No message is longer; whoever sends more speaks something else.
constexpr std::size_t kLongestLine = 4096;
// What a partner has not read yet; a hung one is given up.
constexpr std::size_t kMostUnread = std::size_t{8} << 20;
constexpr std::size_t kReadSize = 16384;
constexpr int kBacklog = 4;

std::string_view TakeField(std::string_view& rest) {
  const std::size_t end = std::min(rest.find(' '), rest.size());
  const std::string_view field = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return field;
}

template <typename T>
bool TakeNumber(std::string_view& rest, T& value) {
  const std::string_view field = TakeField(rest);
  const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), value);
  return error == std::errc() && end == field.data() + field.size();
}

// Names of routers may hold what names of files may not.
std::string FileNameOf(const std::string& name) {
  std::string safe;
  for (const char c : name) safe += std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ? c : '_';
  return safe;
}

}  // namespace

std::string ToLine(const HandoverMessage& message) {
  std::string line;
  if (const auto* step = std::get_if<HandoverStep>(&message)) {
    line = kSteps[static_cast<std::size_t>(*step)];
  } else if (const auto* holds = std::get_if<HandoverHolds>(&message)) {
    line = std::string(kHolds) + " " + std::to_string(holds->descriptors);
  } else if (const auto* session = std::get_if<SessionUpdate>(&message)) {
    line = std::string(kSession) + " " + std::to_string(session->key) + " " + std::to_string(session->group) +
           " " + std::to_string(session->commit_unix_ms);
  } else {
    const auto& server = std::get<ServerUpdate>(message);
    line = std::string(kServer) + " " + std::to_string(static_cast<int>(server.role)) + " " +
           std::to_string(server.role_time) + " " + std::to_string(server.position_unix_ms) + " " + server.id;
  }
  return line + "\n";
}

std::optional<HandoverMessage> ParseHandoverLine(std::string_view line) {
  for (std::size_t i = 0; i < kSteps.size(); ++i) {
    if (line == kSteps[i]) return static_cast<HandoverStep>(i);
  }
  const std::string_view kind = TakeField(line);
  if (kind == kHolds) {
    HandoverHolds holds;
    if (TakeNumber(line, holds.descriptors) && line.empty() && holds.descriptors >= 0) return holds;
  } else if (kind == kSession) {
    SessionUpdate news;
    if (TakeNumber(line, news.key) && TakeNumber(line, news.group) && TakeNumber(line, news.commit_unix_ms) &&
        line.empty()) {
      return news;
    }
  } else if (kind == kServer) {
    ServerUpdate news;
    int role = 0;
    if (TakeNumber(line, role) && TakeNumber(line, news.role_time) &&
        TakeNumber(line, news.position_unix_ms) && !line.empty() && role >= 0 &&
        role <= static_cast<int>(Role::kReplica)) {
      news.role = static_cast<Role>(role);
      news.id = line;
      return news;
    }
  }
  return std::nullopt;
}

struct Handover::Link {
  Link(Partner who, Socket connected) : partner(who), socket(std::move(connected)) {}

  Partner partner;
  Socket socket;
  std::string in, out;
  bool writing = false, done = false, closed = false;
};

Handover::Handover(asio::io_context& io, const std::string& folder, const std::string& name,
                   std::uint64_t seed, Events events)
    : io_(io), events_(std::move(events)), acceptor_(io) {
  if (folder.empty()) return;
  path_ = folder + "/tulipyoke-" + FileNameOf(name) + ".sock";
  own_path_ = path_ + "." + std::to_string(seed) + "." + std::to_string(::getpid());
  if (own_path_.size() < sizeof(sockaddr_un::sun_path)) return;
  LogWarning("upgrade_not_possible",
             "no upgrade beside a running process: the folder's name is too long for a socket: " + folder);
  path_.clear();
}

Handover::~Handover() = default;

bool Handover::JoinOlder() {
  if (path_.empty()) return false;
  // Never waits: a file that nobody listens on, or a process that hangs, is no partner.
  Socket socket(io_);
  std::error_code error;
  socket.open({}, error);
  if (!error) socket.non_blocking(true, error);
  if (!error) socket.connect(asio::local::stream_protocol::endpoint(path_), error);
  if (error) return false;
  Keep(Partner::kOlder, std::move(socket));
  Step(Partner::kOlder, HandoverStep::kHello);
  return has(Partner::kOlder);
}

// Under a name of its own first: the rename replaces the file of a process that is gone, or of the older one,
// in one step.
void Handover::Offer() {
  if (path_.empty() || acceptor_.is_open()) return;
  std::error_code error;
  ::unlink(own_path_.c_str());
  acceptor_.open({}, error);
  if (!error) acceptor_.bind(asio::local::stream_protocol::endpoint(own_path_), error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (!error && std::rename(own_path_.c_str(), path_.c_str()) != 0) {
    error = std::error_code(errno, std::generic_category());
  }
  if (!error) return Accept();
  LogWarning("upgrade_not_possible", "a newer process will not find this one: " + error.message());
  ::unlink(own_path_.c_str());
  std::error_code ignored;
  acceptor_.close(ignored);
}

void Handover::Accept() {
  acceptor_.async_accept([this](std::error_code error, Socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) return Accept();
    Part(Partner::kNewer);  // it never came to serve, or a still newer one would not have found this one
    Keep(Partner::kNewer, std::move(socket));
    Accept();
  });
}

void Handover::Keep(Partner partner, Socket socket) {
  std::error_code ignored;
  socket.non_blocking(true, ignored);
  const auto link = std::make_shared<Link>(partner, std::move(socket));
  (partner == Partner::kOlder ? older_ : newer_) = link;
  AwaitBytes(link);
}

void Handover::AwaitBytes(const LinkPtr& link) {
  link->socket.async_wait(Socket::wait_read, [this, link](std::error_code error) {
    if (error || link->closed) return;
    Read(link);
    if (!link->closed) AwaitBytes(link);
  });
}

void Handover::Read(const LinkPtr& link) {
  std::array<char, kReadSize> bytes;
  while (!link->closed) {
    const ssize_t size = ::recv(link->socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0 && errno == EINTR) continue;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (size <= 0) return End(link);
    link->in.append(bytes.data(), static_cast<std::size_t>(size));
    std::size_t from = 0;
    for (std::size_t end = link->in.find('\n'); end != std::string::npos && !link->closed;
         end = link->in.find('\n', from)) {
      Take(link, std::string_view(link->in).substr(from, end - from));
      from = end + 1;
    }
    link->in.erase(0, from);
    if (link->in.size() > kLongestLine) return End(link);
  }
}

void Handover::Take(const LinkPtr& link, std::string_view line) {
  const std::optional<HandoverMessage> message = ParseHandoverLine(line);
  if (!message) return End(link);
  if (const auto* step = std::get_if<HandoverStep>(&*message)) {
    link->done = link->done || *step == HandoverStep::kDone;
    return events_.stepped(link->partner, *step);
  }
  if (const auto* holds = std::get_if<HandoverHolds>(&*message)) return events_.holds(*holds);
  if (const auto* session = std::get_if<SessionUpdate>(&*message)) events_.session(*session);
  if (const auto* server = std::get_if<ServerUpdate>(&*message)) events_.server(*server);
  // An upgrade of an upgrade: what the one tells, the other must know.
  const Partner other = link->partner == Partner::kOlder ? Partner::kNewer : Partner::kOlder;
  Send(other, ToLine(*message));
}

void Handover::Tell(const HandoverMessage& message) {
  const std::string line = ToLine(message);
  Send(Partner::kOlder, line);
  Send(Partner::kNewer, line);
}

void Handover::Send(Partner partner, const std::string& line) {
  const LinkPtr to = link(partner);
  if (!to) return;
  to->out += line;
  if (to->out.size() > kMostUnread) return End(to);
  Write(to);
}

// At once, as far as the partner's buffer goes: it is told before the client's answer leaves.
void Handover::Write(const LinkPtr& link) {
  if (link->writing || link->closed) return;
  while (!link->out.empty()) {
    const ssize_t size =
        ::send(link->socket.native_handle(), link->out.data(), link->out.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) continue;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (size < 0) return;  // its end shows in the reading
    link->out.erase(0, static_cast<std::size_t>(size));
  }
  if (link->out.empty()) return;
  link->writing = true;
  link->socket.async_wait(Socket::wait_write, [this, link](std::error_code error) {
    link->writing = false;
    if (!error) Write(link);
  });
}

void Handover::Poll() {
  for (const LinkPtr& link : {older_, newer_}) {
    if (link) Read(link);
  }
}

void Handover::Part(Partner partner) {
  if (const LinkPtr gone = link(partner)) End(gone);
}

void Handover::End(const LinkPtr& link) {
  if (link->closed) return;
  link->closed = true;
  std::error_code ignored;
  link->socket.close(ignored);
  (link->partner == Partner::kOlder ? older_ : newer_).reset();
  events_.parted(link->partner, link->done);
}

void Handover::Stop() {
  std::error_code ignored;
  acceptor_.close(ignored);
  for (const LinkPtr& link : {older_, newer_}) {
    if (!link) continue;
    Send(link->partner, ToLine(HandoverStep::kDone));
    link->closed = true;
    link->socket.close(ignored);
  }
  older_.reset();
  newer_.reset();
}

}  // namespace tulipyoke::net
