#include "src/hot_restart/hot_restart.hpp"

#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>
#include <variant>

#include "src/log/log.hpp"

namespace tulipyoke::net {
namespace {

using Local = asio::local::stream_protocol;

// Connections that the kernel keeps until they are accepted.
constexpr int kListenBacklog = 4;

}  // namespace

HotRestart::HotRestart(asio::io_context& io, const std::string& folder, const std::string& name,
                       std::uint64_t seed, HotRestartCallbacks events)
    : io_(io), events_(std::move(events)), acceptor_(io) {
  if (folder.empty()) return;
  paths_ = MakeSocketPaths(folder, name, seed);
  if (paths_) return;
  LogWarning("upgrade_not_possible",
             "no upgrade beside a running process: the folder's name is too long for a socket: " + folder);
}

// The connections' events use this object.
HotRestart::~HotRestart() {
  for (Peer* peer : {&older_, &newer_}) {
    if (peer->connection) peer->connection->Close();
  }
}

bool HotRestart::ConnectToOlderProcess() {
  if (!paths_) return false;
  // Non-blocking: a file that nobody listens on, or a process that hangs, is no peer.
  Socket socket(io_);
  std::error_code error;
  socket.open({}, error);
  if (!error) socket.non_blocking(true, error);
  if (!error) socket.connect(Local::endpoint(paths_->shared), error);
  if (error) return false;
  Add(PeerProcess::kOlder, std::move(socket));
  SendStep(PeerProcess::kOlder, HotRestartStep::kHello);
  return has_peer(PeerProcess::kOlder);
}

// The socket is made under a path of its own and renamed: this replaces the file of the older process, or of
// one that is gone, atomically.
void HotRestart::ListenForNewerProcess() {
  if (!paths_ || acceptor_.is_open()) return;
  const char* const unpublished = paths_->unpublished.c_str();
  std::error_code error;
  ::unlink(unpublished);
  acceptor_.open({}, error);
  if (!error) acceptor_.bind(Local::endpoint(paths_->unpublished), error);
  if (!error) acceptor_.listen(kListenBacklog, error);
  if (!error && std::rename(unpublished, paths_->shared.c_str()) != 0) {
    error = std::error_code(errno, std::generic_category());
  }
  if (!error) return Accept();
  LogWarning("upgrade_not_possible", "a newer process will not find this one: " + error.message());
  ::unlink(unpublished);
  std::error_code ignored;
  acceptor_.close(ignored);
}

void HotRestart::Accept() {
  acceptor_.async_accept([this](std::error_code error, Socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) return Accept();
    // One that is still connected never came to serve: it would have replaced the path that this one is
    // found by.
    Disconnect(PeerProcess::kNewer);
    Add(PeerProcess::kNewer, std::move(socket));
    Accept();
  });
}

void HotRestart::Add(PeerProcess peer, Socket socket) {
  PeerConnection::Events events{[this, peer](std::string_view line) { OnLine(peer, line); },
                                [this, peer] { OnClosed(peer); }};
  const auto connection = std::make_shared<PeerConnection>(std::move(socket), std::move(events));
  Of(peer) = {connection};
  connection->Start();
}

void HotRestart::OnLine(PeerProcess peer, std::string_view line) {
  const std::optional<HotRestartMessage> message = ParseHotRestartMessage(line);
  if (!message) return Disconnect(peer);
  if (const auto* step = std::get_if<HotRestartStep>(&*message)) {
    if (*step == HotRestartStep::kDone) Of(peer).done = true;
    return events_.step(peer, *step);
  }
  if (const auto* usage = std::get_if<DescriptorUsage>(&*message)) return events_.descriptor_usage(*usage);
  if (const auto* session = std::get_if<SessionUpdate>(&*message)) events_.session(*session);
  if (const auto* server = std::get_if<ServerUpdate>(&*message)) events_.server(*server);
  // With a process on either side, each must learn what the other one replicates.
  const PeerProcess other = peer == PeerProcess::kOlder ? PeerProcess::kNewer : PeerProcess::kOlder;
  Send(other, ToLine(*message));
}

void HotRestart::OnClosed(PeerProcess peer) {
  const bool done = Of(peer).done;
  Of(peer) = {};
  events_.disconnected(peer, done ? DisconnectReason::kFinished : DisconnectReason::kLost);
}

void HotRestart::Broadcast(const HotRestartMessage& message) {
  const std::string line = ToLine(message);
  Send(PeerProcess::kOlder, line);
  Send(PeerProcess::kNewer, line);
}

void HotRestart::Send(PeerProcess peer, const std::string& line) {
  const std::shared_ptr<PeerConnection> connection = Of(peer).connection;
  if (connection) connection->Send(line);
}

void HotRestart::ReceivePending() {
  for (const std::shared_ptr<PeerConnection>& connection : {older_.connection, newer_.connection}) {
    if (connection) connection->ReadAvailable();
  }
}

void HotRestart::Disconnect(PeerProcess peer) {
  const std::shared_ptr<PeerConnection> connection = Of(peer).connection;
  if (connection) connection->Disconnect();
}

void HotRestart::Stop() {
  std::error_code ignored;
  acceptor_.close(ignored);
  for (const PeerProcess peer : {PeerProcess::kOlder, PeerProcess::kNewer}) {
    SendStep(peer, HotRestartStep::kDone);
    if (Of(peer).connection) Of(peer).connection->Close();
    Of(peer) = {};
  }
}

}  // namespace tulipyoke::net
