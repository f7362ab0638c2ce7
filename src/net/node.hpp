// One router: the loop, what runs in it, and how it starts and stops.
#ifndef TULIPYOKE_SRC_NET_NODE_HPP_
#define TULIPYOKE_SRC_NET_NODE_HPP_

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "src/config/config.hpp"
#include "src/discovery/dns_sd_discovery.hpp"
#include "src/discovery/registry_watch.hpp"
#include "src/exchange/exchange.hpp"
#include "src/net/alarm.hpp"
#include "src/net/clock.hpp"
#include "src/net/door.hpp"
#include "src/net/front.hpp"
#include "src/net/handover.hpp"
#include "src/net/pool.hpp"
#include "src/net/service.hpp"

namespace tulipyoke::net {

// What a planned stop leaves time for, counted from the signal.
struct StopPlan {
  Micros answer_by = 0, exit_by = 0;
};
StopPlan PlanStop(const Settings& settings);

class Node {
 public:
  explicit Node(const Config& config);

  std::uint16_t port() const { return front_.port(); }
  std::uint16_t door_port() const { return door_ ? door_->port() : 0; }
  // Until it has been told to stop and has finished what it took.
  void Run();
  // Of the loop; it rests between two of them where nothing is to be done.
  std::uint64_t turns() const { return turns_; }

 private:
  void CarryOut();
  void EndTurn();
  void Carry(const Command& command);
  std::unique_ptr<discovery::DnsSdDiscovery> MakeDirectory();
  void HeardRegistry(const Listing& listing);
  void AwaitSignal();
  void Reload();
  void Stop();
  // Takes clients from now on; the older process, if there is one, takes no more.
  void Serve();
  Handover::Events HandoverEvents();
  void OnStep(Handover::Partner partner, HandoverStep step);
  void OnParted(Handover::Partner partner, bool done);
  // Gives up what it needs no more now that a newer process takes the clients.
  void Shrink();
  // The part of the descriptors and of the memory that is this process's.
  void Take(double share);
  // What the operators' door says to a call.
  Reply AnswerOperator(const std::string& method, const std::string& path);
  void PrintCounters();

  Config config_;
  asio::io_context io_{1};
  // Before all that takes time: a signal that comes while the rest is being set up is handled afterwards.
  asio::signal_set signals_;
  LoopClock clock_;
  Exchange exchange_;
  Service service_;
  ServerPool pool_;
  ClientFront front_;
  std::unique_ptr<discovery::DnsSdDiscovery> directory_;  // none: the registry is the only source
  discovery::RegistryWatch discovery_;
  std::optional<OperatorDoor> door_;
  Handover handover_;
  asio::steady_timer due_timer_, stop_timer_;
  Alarm serve_timer_, sessions_timer_, shrink_timer_;
  std::optional<Micros> armed_for_;
  int told_holds_ = 0;
  std::optional<Micros> stop_asked_;
  StopPlan stop_plan_;
  bool listening_ = true, stop_timer_armed_ = false, done_ = false;
  std::uint64_t turns_ = 0;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_NODE_HPP_
