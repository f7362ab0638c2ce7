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

// The number of connections that the kernel queues until they are accepted.
constexpr int kListenBacklog = 4;

}  // namespace

HotRestart::HotRestart(asio::io_context& io, const std::string& directory, const std::string& name,
                       std::uint64_t seed, HotRestartCallbacks callbacks)
    : io_(io), callbacks_(std::move(callbacks)), acceptor_(io) {
  if (directory.empty()) return;
  paths_ = MakeSocketPaths(directory, name, seed);
  if (paths_) return;
  LogWarning(
      "upgrade_not_possible",
      "hot restart is not possible: the path of a Unix socket in this directory is too long: " + directory);
}

// Closes the connections, since their callbacks refer to this object.
HotRestart::~HotRestart() {
  for (Peer* peer : {&older_, &newer_}) {
    if (peer->connection) peer->connection->Close();
  }
}

bool HotRestart::ConnectToOlderProcess() {
  if (!paths_) return false;
  // Non-blocking, so that a socket file without a listener, or a process that hangs, counts as no peer.
  Socket socket(io_);
  std::error_code error;
  socket.open({}, error);
  if (!error) socket.non_blocking(true, error);
  if (!error) socket.connect(Local::endpoint(paths_->shared), error);
  if (error) return false;
  AddPeer(PeerProcess::kOlder, std::move(socket));
  SendStep(PeerProcess::kOlder, HotRestartStep::kHello);
  return has_peer(PeerProcess::kOlder);
}

// Binds the socket to a temporary path and renames it: this atomically replaces the socket file of the older
// process, or of one that has exited.
void HotRestart::ListenForNewerProcess() {
  if (!paths_ || acceptor_.is_open()) return;
  const char* const temporary = paths_->temporary.c_str();
  std::error_code error;
  ::unlink(temporary);
  acceptor_.open({}, error);
  if (!error) acceptor_.bind(Local::endpoint(paths_->temporary), error);
  if (!error) acceptor_.listen(kListenBacklog, error);
  if (!error && std::rename(temporary, paths_->shared.c_str()) != 0) {
    error = std::error_code(errno, std::generic_category());
  }
  if (!error) return Accept();
  LogWarning("upgrade_not_possible",
             "hot restart is not possible: cannot listen for a newer process: " + error.message());
  ::unlink(temporary);
  std::error_code ignored;
  acceptor_.close(ignored);
}

void HotRestart::Accept() {
  acceptor_.async_accept([this](std::error_code error, Socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) return Accept();
    // A newer process that is still connected never started to serve: otherwise its socket file would have
    // replaced that of this process.
    Disconnect(PeerProcess::kNewer);
    AddPeer(PeerProcess::kNewer, std::move(socket));
    Accept();
  });
}

void HotRestart::AddPeer(PeerProcess peer, Socket socket) {
  PeerConnection::Callbacks callbacks{[this, peer](std::string_view line) { OnLine(peer, line); },
                                      [this, peer] { OnClosed(peer); }};
  const auto connection = std::make_shared<PeerConnection>(std::move(socket), std::move(callbacks));
  GetPeer(peer) = {connection};
  connection->Start();
}

void HotRestart::OnLine(PeerProcess peer, std::string_view line) {
  const std::optional<HotRestartMessage> message = ParseHotRestartMessage(line);
  if (!message) return Disconnect(peer);
  if (const auto* step = std::get_if<HotRestartStep>(&*message)) {
    if (*step == HotRestartStep::kDone) GetPeer(peer).done = true;
    return callbacks_.on_step(peer, *step);
  }
  if (const auto* usage = std::get_if<DescriptorUsage>(&*message))
    return callbacks_.on_descriptor_usage(*usage);
  if (const auto* session = std::get_if<SessionUpdate>(&*message)) callbacks_.on_session(*session);
  if (const auto* server = std::get_if<ServerUpdate>(&*message)) callbacks_.on_server(*server);
  if (const auto* request = std::get_if<RequestIdUpdate>(&*message)) callbacks_.on_request_id(*request);
  // Forwards the update, so that an older and a newer peer of this process also receive each other's updates.
  const PeerProcess other = peer == PeerProcess::kOlder ? PeerProcess::kNewer : PeerProcess::kOlder;
  Send(other, ToLine(*message));
}

void HotRestart::OnClosed(PeerProcess peer) {
  const bool done = GetPeer(peer).done;
  GetPeer(peer) = {};
  callbacks_.on_disconnected(peer, done ? DisconnectReason::kFinished : DisconnectReason::kLost);
}

void HotRestart::Broadcast(const HotRestartMessage& message) {
  const std::string line = ToLine(message);
  Send(PeerProcess::kOlder, line);
  Send(PeerProcess::kNewer, line);
}

void HotRestart::Send(PeerProcess peer, const std::string& line) {
  const std::shared_ptr<PeerConnection> connection = GetPeer(peer).connection;
  if (connection) connection->Send(line);
}

void HotRestart::ReceivePending() {
  for (const std::shared_ptr<PeerConnection>& connection : {older_.connection, newer_.connection}) {
    if (connection) connection->ReadAvailable();
  }
}

void HotRestart::Disconnect(PeerProcess peer) {
  const std::shared_ptr<PeerConnection> connection = GetPeer(peer).connection;
  if (connection) connection->Disconnect();
}

void HotRestart::Stop() {
  std::error_code ignored;
  acceptor_.close(ignored);
  for (const PeerProcess peer : {PeerProcess::kOlder, PeerProcess::kNewer}) {
    SendStep(peer, HotRestartStep::kDone);
    if (GetPeer(peer).connection) GetPeer(peer).connection->Close();
    GetPeer(peer) = {};
  }
}

}  // namespace tulipyoke::net
