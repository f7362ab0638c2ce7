// Hot restart: a newer process of the router takes over the clients from an older one without interruption.
// Over a Unix socket, the two processes tell each other which of them serves, and replicate the state that
// both need for routing decisions.
#ifndef TULIPYOKE_SRC_HOT_RESTART_HOT_RESTART_HPP_
#define TULIPYOKE_SRC_HOT_RESTART_HOT_RESTART_HPP_

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/hot_restart/message.hpp"
#include "src/hot_restart/peer_connection.hpp"
#include "src/hot_restart/socket_path.hpp"

namespace tulipyoke::net {

// Another process of the same router, relative to this one.
enum class PeerProcess { kOlder, kNewer };

enum class DisconnectReason {
  kFinished,  // the peer had announced its end
  kLost,
};

struct HotRestartCallbacks {
  std::function<void(PeerProcess, HotRestartStep)> on_step;
  std::function<void(const DescriptorUsage&)> on_descriptor_usage;
  std::function<void(const SessionUpdate&)> on_session;
  std::function<void(const ServerUpdate&)> on_server;
  std::function<void(const RequestIdUpdate&)> on_request_id;
  std::function<void(PeerProcess, DisconnectReason)> on_disconnected;
};

// Must be used on the event loop's thread, which also makes the callbacks.
class HotRestart {
 public:
  // `directory` is shared by all processes of this router; hot restart is off if it is empty. `name` is the
  // router's name; `seed` must differ between its processes.
  HotRestart(asio::io_context& io, const std::string& directory, const std::string& name, std::uint64_t seed,
             HotRestartCallbacks callbacks);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  // Connects to the older process and sends it kHello. Returns false if there is none. Does not block.
  bool ConnectToOlderProcess();
  // Accepts connections from newer processes from now on.
  void ListenForNewerProcess();
  void SendStep(PeerProcess peer, HotRestartStep step) { Send(peer, ToLine(step)); }
  // Sends the message to each peer.
  void Broadcast(const HotRestartMessage& message);
  void SendToNewerProcess(const HotRestartMessage& message) { Send(PeerProcess::kNewer, ToLine(message)); }
  // Processes what the peers have sent so far, without waiting for the event loop.
  void ReceivePending();
  // Closes the connection to the peer, if there is one, and calls on_disconnected.
  void Disconnect(PeerProcess peer);
  // Sends kDone to the peers and closes all connections without calling on_disconnected.
  void Stop();

  bool has_peer(PeerProcess peer) const { return GetPeer(peer).connection != nullptr; }
  bool has_no_peer() const { return !has_peer(PeerProcess::kOlder) && !has_peer(PeerProcess::kNewer); }

 private:
  using Socket = PeerConnection::Socket;
  struct Peer {
    std::shared_ptr<PeerConnection> connection;  // null if there is no such process
    bool done = false;                           // it has announced its end
  };

  Peer& GetPeer(PeerProcess peer) { return peer == PeerProcess::kOlder ? older_ : newer_; }
  const Peer& GetPeer(PeerProcess peer) const { return peer == PeerProcess::kOlder ? older_ : newer_; }
  void Accept();
  void AddPeer(PeerProcess peer, Socket socket);
  void OnLine(PeerProcess peer, std::string_view line);
  void OnClosed(PeerProcess peer);
  void Send(PeerProcess peer, const std::string& line);

  asio::io_context& io_;
  std::optional<HotRestartSocketPaths> paths_;  // none if hot restart is off
  HotRestartCallbacks callbacks_;
  asio::local::stream_protocol::acceptor acceptor_;
  Peer older_;
  Peer newer_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_HOT_RESTART_HOT_RESTART_HPP_
