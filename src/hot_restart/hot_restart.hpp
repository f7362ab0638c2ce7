// Hot restart: a newer process of the router takes the clients over from the older one without a gap. The two
// are connected by a Unix socket, over which they tell each other which of them serves, and replicate the
// state that both need for their decisions.
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

// Another process of the same router, as seen from this one.
enum class PeerProcess { kOlder, kNewer };

enum class DisconnectReason {
  kFinished,  // the peer had said that it ends
  kLost,
};

struct HotRestartCallbacks {
  std::function<void(PeerProcess, HotRestartStep)> step;
  std::function<void(const DescriptorUsage&)> descriptor_usage;
  std::function<void(const SessionUpdate&)> session;
  std::function<void(const ServerUpdate&)> server;
  std::function<void(PeerProcess, DisconnectReason)> disconnected;
};

// Runs on the event loop, whose thread calls everything here and is the one that the events come on.
class HotRestart {
 public:
  // `folder` is shared by all processes of this router; empty: there is no hot restart. `name` is the
  // router's; `seed` differs between its processes.
  HotRestart(asio::io_context& io, const std::string& folder, const std::string& name, std::uint64_t seed,
             HotRestartCallbacks events);
  ~HotRestart();
  HotRestart(const HotRestart&) = delete;
  HotRestart& operator=(const HotRestart&) = delete;

  // Whether there is an older process; it has been greeted. Never waits.
  bool ConnectToOlderProcess();
  // From now on a newer process finds this one.
  void ListenForNewerProcess();
  void SendStep(PeerProcess peer, HotRestartStep step) { Send(peer, ToLine(step)); }
  // To each peer.
  void Broadcast(const HotRestartMessage& message);
  void SendToNewerProcess(const HotRestartMessage& message) { Send(PeerProcess::kNewer, ToLine(message)); }
  // Handles what the peers have sent by now.
  void ReceivePending();
  // Closes the connection to that peer, if there is one, and reports it.
  void Disconnect(PeerProcess peer);
  // Tells the peers that this process is done, and closes all connections without events.
  void Stop();

  bool has_peer(PeerProcess peer) const { return Of(peer).connection != nullptr; }
  bool has_no_peer() const { return !has_peer(PeerProcess::kOlder) && !has_peer(PeerProcess::kNewer); }

 private:
  using Socket = PeerConnection::Socket;
  struct Peer {
    std::shared_ptr<PeerConnection> connection;  // null: there is no such process
    bool done = false;                           // it has said that it ends
  };

  Peer& Of(PeerProcess peer) { return peer == PeerProcess::kOlder ? older_ : newer_; }
  const Peer& Of(PeerProcess peer) const { return peer == PeerProcess::kOlder ? older_ : newer_; }
  void Accept();
  void Add(PeerProcess peer, Socket socket);
  void OnLine(PeerProcess peer, std::string_view line);
  void OnClosed(PeerProcess peer);
  void Send(PeerProcess peer, const std::string& line);

  asio::io_context& io_;
  std::optional<HotRestartSocketPaths> paths_;  // none: there is no hot restart
  HotRestartCallbacks events_;
  asio::local::stream_protocol::acceptor acceptor_;
  Peer older_;
  Peer newer_;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_HOT_RESTART_HOT_RESTART_HPP_
