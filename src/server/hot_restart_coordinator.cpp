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

// The share of descriptors and memory of each process while two processes of this router run.
constexpr double kHalfShare = 0.5;
// Server connections that the older process keeps in addition to one per request in progress.
constexpr std::size_t kSpareServerConnections = 16;
constexpr auto kReduceQuotaInterval = std::chrono::milliseconds(50);
// The older process normally sends its state within milliseconds. The timeout covers one that hangs.
constexpr auto kSyncTimeout = std::chrono::milliseconds(1000);

const char* NameOf(PeerProcess peer) { return peer == PeerProcess::kOlder ? "older" : "newer"; }

// Returns an empty path, which disables hot restart, if the listening socket is not shared by all processes
// of the router: such a process cannot hand over its clients.
std::string HotRestartDirectory(const Config& config) {
  return !config.accept_fd ? "" : config.shared_directory;
}

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
      hot_restart_(io, HotRestartDirectory(config), config.name, config.seed, MakeCallbacks()),
      older_sync_timer_(io),
      session_sync_timer_(io),
      quota_timer_(io) {}

HotRestartCallbacks HotRestartCoordinator::MakeCallbacks() {
  return {
      [this](PeerProcess peer, HotRestartStep step) { OnStep(peer, step); },
      [this](const DescriptorUsage& usage) { OnDescriptorUsage(usage); },
      [this](const SessionUpdate& session) { dispatcher_.ApplyPeerUpdate(clock_.Now(), session); },
      [this](const ServerUpdate& server) { dispatcher_.ApplyPeerUpdate(clock_.Now(), server); },
      [this](const RequestIdUpdate& request) { listener_.AddUsedRequestId(request.key); },
      [this](PeerProcess peer, DisconnectReason reason) { OnDisconnected(peer, reason); },
  };
}

void HotRestartCoordinator::Start() {
  if (!hot_restart_.ConnectToOlderProcess()) return StartServing();
  LogInfo("takes_over", config_.name + " is taking over from an older process", {{"name", config_.name}});
  SetQuota(kHalfShare);
  dispatcher_.SetReplicationEnabled(true);
  dispatcher_.SetSessionSync(clock_.Now(), {.complete = false});
  StartSyncTimeout();
}

void HotRestartCoordinator::StartSyncTimeout() {
  older_sync_timer_.ExpireAfter(kSyncTimeout, [this] {
    if (serving_state_.state() != ServingState::State::kStarting) return;
    hot_restart_.Disconnect(PeerProcess::kOlder);
    StartServing();
  });
}

void HotRestartCoordinator::StartServing() {
  if (serving_state_.state() != ServingState::State::kStarting) return;
  older_sync_timer_.Cancel();
  serving_state_.Start();
  listener_.StartAccepting();
  hot_restart_.SendStep(PeerProcess::kOlder, HotRestartStep::kServing);
  hot_restart_.ListenForNewerProcess();
  const std::string host = ParseHostPortOrThrow(config_.listen_address).host;
  const std::string address = host + ":" + std::to_string(listener_.port());
  const std::size_t servers = config_.cached_listing.servers.size();
  LogInfo("serving",
          config_.name + " is serving on " + address + " and knows " + std::to_string(servers) + " servers",
          {{"name", config_.name}, {"address", address}, {"servers", static_cast<std::int64_t>(servers)}});
}

void HotRestartCoordinator::OnStep(PeerProcess peer, HotRestartStep step) {
  if (peer == PeerProcess::kOlder) {
    if (step != HotRestartStep::kSynced) return;
    dispatcher_.SetSessionSync(clock_.Now(), {.complete = true});
    return StartServing();
  }
  if (step == HotRestartStep::kHello) return SyncWithNewer();
  if (step == HotRestartStep::kServing) return HandOverToNewer();
}

void HotRestartCoordinator::SyncWithNewer() {
  LogInfo("newer_process", "a newer process has connected: limits are reduced to half while both run");
  // The quota is reduced first, so that both processes together stay within the limits of one.
  SetQuota(kHalfShare);
  dispatcher_.SetReplicationEnabled(true);
  for (const ServerUpdate& server : dispatcher_.ServerSnapshot()) hot_restart_.SendToNewerProcess(server);
  for (const SessionUpdate& session : dispatcher_.SessionSnapshot()) hot_restart_.SendToNewerProcess(session);
  for (const std::uint64_t key : listener_.UsedRequestIds())
    hot_restart_.SendToNewerProcess(RequestIdUpdate{key});
  hot_restart_.SendStep(PeerProcess::kNewer, HotRestartStep::kSynced);
}

void HotRestartCoordinator::ReplicateRequestId(std::uint64_t key) {
  if (!hot_restart_.has_no_peer()) hot_restart_.Broadcast(RequestIdUpdate{key});
}

void HotRestartCoordinator::HandOverToNewer() {
  LogInfo("handed_over", "clients handed over to the newer process: " +
                             std::to_string(dispatcher_.in_progress()) + " requests in progress");
  listener_.PauseAccepting();
  serving_state_.HandOver(clock_.Now());
  reported_descriptors_ = config_.max_sockets;
  ReduceQuota();
}

void HotRestartCoordinator::ReduceQuota() {
  if (serving_state_.state() != ServingState::State::kHandedOver) return;
  pool_.SetMaxConnections(dispatcher_.in_progress() + kSpareServerConnections);
  const int descriptors = static_cast<int>(listener_.clients() + pool_.connections()) + kReservedDescriptors;
  if (descriptors < reported_descriptors_) {
    reported_descriptors_ = descriptors;
    hot_restart_.SendToNewerProcess(DescriptorUsage{descriptors});
  }
  quota_timer_.ExpireAfter(kReduceQuotaInterval, [this] { ReduceQuota(); });
}

// The older process reports decreasing use, and this one may use the rest.
void HotRestartCoordinator::OnDescriptorUsage(const DescriptorUsage& usage) {
  const double configured = config_.max_sockets;
  SetQuota(std::max(kHalfShare, (configured - usage.descriptors) / configured));
}

void HotRestartCoordinator::OnDisconnected(PeerProcess peer, DisconnectReason reason) {
  const bool finished = reason == DisconnectReason::kFinished;
  LogInfo("partner_left", std::string("the ") + NameOf(peer) + " process " +
                              (finished ? "has finished" : "disconnected before it finished"));
  if (hot_restart_.has_no_peer()) {
    SetQuota(kFullShare);
    dispatcher_.SetReplicationEnabled(false);
  }
  if (!finished) InvalidateSessions();
  if (peer == PeerProcess::kOlder) return StartServing();
  if (serving_state_.state() != ServingState::State::kHandedOver) return;
  serving_state_.TakeBack(clock_.Now());
  if (serving_state_.ready()) listener_.StartAccepting();
}

// The lost peer may have responded to writes that it did not replicate to this process. Session state counts
// as incomplete until the last of these writes must have ended. After that, sessions that are not known here
// are lost.
void HotRestartCoordinator::InvalidateSessions() {
  dispatcher_.SetSessionSync(clock_.Now(), {.complete = false});
  session_sync_timer_.ExpireAfter(std::chrono::microseconds(LongestDeadline(config_.settings)), [this] {
    dispatcher_.SetSessionSync(clock_.Now(), {.complete = true, .lost = true});
  });
}

void HotRestartCoordinator::SetQuota(double share) {
  const ResourceQuota quota = QuotaFor(config_, share);
  listener_.SetLimits(quota.clients);
  pool_.SetMaxConnections(quota.server_connections);
}

}  // namespace tulipyoke::net
