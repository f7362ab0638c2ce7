#include "src/server/hot_restart_coordinator.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/log/log.hpp"
#include "src/server/resource_quota.hpp"
#include "src/server/shutdown_plan.hpp"

namespace tulipyoke::net {
namespace {

// The share of descriptors and memory that each of two processes of this router has.
constexpr double kShareBesideAnother = 0.5;
// Connections to servers that the older process keeps beyond one for each request.
constexpr std::size_t kSpareServerConnections = 16;
constexpr auto kReduceQuotaInterval = std::chrono::milliseconds(50);
// The older process sends its state within milliseconds; one that hangs is not waited for longer than this.
constexpr auto kSyncTimeout = std::chrono::milliseconds(1000);

const char* NameOf(PeerProcess peer) { return peer == PeerProcess::kOlder ? "older" : "newer"; }

// A process without a listening socket that is shared by all processes of the router cannot hand over.
std::string FolderOf(const Config& config) { return !config.accept_fd ? "" : config.shared_directory; }

}  // namespace

HotRestartCoordinator::HotRestartCoordinator(asio::io_context& io, LoopClock& clock, const Config& config,
                                             Dispatcher& dispatcher, ServingState& serving_state,
                                             UpstreamPool& pool, ClientListener& listener)
    : clock_(clock),
      config_(config),
      dispatcher_(dispatcher),
      serving_state_(serving_state),
      pool_(pool),
      listener_(listener),
      hot_restart_(io, FolderOf(config), config.name, config.seed, Events()),
      sync_timer_(io),
      sessions_timer_(io),
      quota_timer_(io) {}

HotRestartCallbacks HotRestartCoordinator::Events() {
  return {
      [this](PeerProcess peer, HotRestartStep step) { OnStep(peer, step); },
      [this](const DescriptorUsage& usage) { OnDescriptorUsage(usage); },
      [this](const SessionUpdate& session) { dispatcher_.ApplyPeerUpdate(clock_.Now(), session); },
      [this](const ServerUpdate& server) { dispatcher_.ApplyPeerUpdate(clock_.Now(), server); },
      [this](PeerProcess peer, DisconnectReason reason) { OnDisconnected(peer, reason); },
  };
}

void HotRestartCoordinator::Start() {
  if (!hot_restart_.ConnectToOlderProcess()) return Serve();
  LogInfo("takes_over", config_.name + " takes over from a running process", {{"name", config_.name}});
  SetQuota(kShareBesideAnother);
  dispatcher_.EnableReplication(true);
  dispatcher_.SetSessionsKnown(clock_.Now(), {.complete = false});
  AwaitStateOfOlder();
}

void HotRestartCoordinator::AwaitStateOfOlder() {
  sync_timer_.ExpireAfter(kSyncTimeout, [this] {
    if (serving_state_.state() != ServingState::State::kStarting) return;
    hot_restart_.Disconnect(PeerProcess::kOlder);
    Serve();
  });
}

void HotRestartCoordinator::Serve() {
  if (serving_state_.state() != ServingState::State::kStarting) return;
  sync_timer_.Cancel();
  serving_state_.Start();
  listener_.StartAccepting();
  hot_restart_.SendStep(PeerProcess::kOlder, HotRestartStep::kServing);
  hot_restart_.ListenForNewerProcess();
  const std::string host = ParseHostPortOrThrow(config_.listen_address).host;
  const std::string address = host + ":" + std::to_string(listener_.port());
  const std::size_t servers = config_.cached_listing.servers.size();
  LogInfo("serving",
          config_.name + " serves on " + address + ", knows " + std::to_string(servers) + " servers",
          {{"name", config_.name}, {"address", address}, {"servers", static_cast<std::int64_t>(servers)}});
}

void HotRestartCoordinator::OnStep(PeerProcess peer, HotRestartStep step) {
  if (peer == PeerProcess::kOlder) {
    if (step != HotRestartStep::kSynced) return;
    dispatcher_.SetSessionsKnown(clock_.Now(), {.complete = true});
    return Serve();
  }
  if (step == HotRestartStep::kHello) return ShareWithNewer();
  if (step == HotRestartStep::kServing) return HandOverToNewer();
}

void HotRestartCoordinator::ShareWithNewer() {
  LogInfo("newer_process", "a newer process has come: half of the room is left to it");
  // The quota first: both processes together hold no more than one may.
  SetQuota(kShareBesideAnother);
  dispatcher_.EnableReplication(true);
  for (const ServerUpdate& server : dispatcher_.ServerSnapshot()) hot_restart_.SendToNewerProcess(server);
  for (const SessionUpdate& session : dispatcher_.SessionSnapshot()) hot_restart_.SendToNewerProcess(session);
  hot_restart_.SendStep(PeerProcess::kNewer, HotRestartStep::kSynced);
}

void HotRestartCoordinator::HandOverToNewer() {
  LogInfo("handed_over", "the newer process takes the clients: " + std::to_string(dispatcher_.in_progress()) +
                             " requests are still out");
  listener_.PauseAccepting();
  serving_state_.HandOver(clock_.Now());
  reported_descriptors_ = config_.max_sockets;
  ReduceQuota();
}

void HotRestartCoordinator::ReduceQuota() {
  if (serving_state_.state() != ServingState::State::kHandedOver) return;
  pool_.SetMaxConnections(dispatcher_.in_progress() + kSpareServerConnections);
  const int descriptors = static_cast<int>(listener_.clients() + pool_.connections()) + kOwnDescriptors;
  if (descriptors < reported_descriptors_) {
    reported_descriptors_ = descriptors;
    hot_restart_.SendToNewerProcess(DescriptorUsage{descriptors});
  }
  quota_timer_.ExpireAfter(kReduceQuotaInterval, [this] { ReduceQuota(); });
}

// The older process needs less and less: this one has the rest.
void HotRestartCoordinator::OnDescriptorUsage(const DescriptorUsage& usage) {
  const double configured = config_.max_sockets;
  SetQuota(std::max(kShareBesideAnother, (configured - usage.descriptors) / configured));
}

void HotRestartCoordinator::OnDisconnected(PeerProcess peer, DisconnectReason reason) {
  const bool finished = reason == DisconnectReason::kFinished;
  LogInfo("partner_left",
          std::string("the ") + NameOf(peer) + " process " + (finished ? "has ended" : "broke off"));
  if (hot_restart_.has_no_peer()) {
    SetQuota(kWholeShare);
    dispatcher_.EnableReplication(false);
  }
  if (!finished) InvalidateSessions();
  if (peer == PeerProcess::kOlder) return Serve();
  if (serving_state_.state() != ServingState::State::kHandedOver) return;
  serving_state_.TakeBack(clock_.Now());
  if (serving_state_.ready()) listener_.StartAccepting();
}

// The lost process may have answered writes that this one was not told of. None of their sessions is known
// until the last of these writes must have ended; after that, whatever session is not known here has been
// lost.
void HotRestartCoordinator::InvalidateSessions() {
  dispatcher_.SetSessionsKnown(clock_.Now(), {.complete = false});
  sessions_timer_.ExpireAfter(std::chrono::microseconds(LongestDeadline(config_.settings)), [this] {
    dispatcher_.SetSessionsKnown(clock_.Now(), {.complete = true, .lost = true});
  });
}

void HotRestartCoordinator::SetQuota(double share) {
  const ResourceQuota quota = QuotaFor(config_, share);
  listener_.SetLimits(quota.clients);
  pool_.SetMaxConnections(quota.server_connections);
}

}  // namespace tulipyoke::net
